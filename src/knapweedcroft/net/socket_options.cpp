#include "knapweedcroft/net/socket_options.hpp"

#include "knapweedcroft/net/http_types.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static std::uint16_t getPort(const sockaddr_storage& address) noexcept
{
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

static void setPort(sockaddr_storage& address, std::uint16_t port) noexcept
{
    if (address.ss_family == AF_INET6)
        reinterpret_cast<sockaddr_in6*>(&address)->sin6_port = htons(port);
    else
        reinterpret_cast<sockaddr_in*>(&address)->sin_port = htons(port);
}

} // namespace internal

void setNoDelay(evutil_socket_t socket) noexcept
{
    constexpr int enable = 1;
    if (socket >= 0)
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

void setKeepAlive(evutil_socket_t socket) noexcept
{
    constexpr int enable = 1;
    constexpr int idleSeconds = 10;
    constexpr int intervalSeconds = 5;
    constexpr int probeCount = 3;
    if (socket < 0)
        return;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof(enable));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof(intervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof(probeCount));
}

result<bound_socket> bindSocket(const std::string& host, std::uint16_t port)
{
    const std::string text = formatHostPort(host_port { host, port });
    sockaddr_storage address {};
    int size = sizeof(address);
    // evutil_parse_sockaddr_port rejects port 0, so the port is set separately.
    if (evutil_parse_sockaddr_port(host.c_str(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return error { error_kind::invalid_value,
            "\"" + host + "\" is not an IP address; set the listen address to an IP address" };
    internal::setPort(address, port);
    bound_socket bound;
    bound.socket = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bound.socket < 0)
        return error { error_kind::connection_failed, "cannot create a socket; check the limit on open files" };
    evutil_make_listen_socket_reuseable(bound.socket);
    setNoDelay(bound.socket);
    const bool isBound = bind(bound.socket, reinterpret_cast<sockaddr*>(&address), static_cast<socklen_t>(size)) == 0;
    socklen_t nameSize = sizeof(address);
    if (!isBound || getsockname(bound.socket, reinterpret_cast<sockaddr*>(&address), &nameSize) != 0) {
        evutil_closesocket(bound.socket);
        return error { error_kind::connection_failed, "cannot bind to " + text + "; choose another address or port" };
    }
    bound.address = formatHostPort(host_port { host, internal::getPort(address) });
    return bound;
}

} // namespace knapweedcroft
