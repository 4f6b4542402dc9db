#include "knapweedcroft/net/tcp_listener.hpp"

#include "knapweedcroft/net/socket_options.hpp"

#include <event2/listener.h>

#include <utility>

namespace knapweedcroft {

tcp_listener::tcp_listener(event_loop& loop, int backlog, handler accepted)
    : m_loop { loop }
    , m_backlog { backlog }
    , m_acceptHandler { std::move(accepted) }
{
}

tcp_listener::~tcp_listener()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

result<std::string> tcp_listener::listen(const std::string& host, std::uint16_t port)
{
    const result<bound_socket> bound = bindSocket(host, port);
    if (!hasValue(bound))
        return errorOf(bound);
    const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
        tcp_listener& self = *static_cast<tcp_listener*>(argument);
        self.m_loop.guard([&self, socket] { self.m_acceptHandler(socket); });
    };
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    m_listener = evconnlistener_new(m_loop.base(), accepted, this, flags, m_backlog, valueOf(bound).socket);
    if (m_listener == nullptr) {
        evutil_closesocket(valueOf(bound).socket);
        return error { error_kind::connection_failed,
            "cannot listen on " + valueOf(bound).address + "; choose another port" };
    }
    return valueOf(bound).address;
}

void tcp_listener::stop()
{
    if (m_listener != nullptr)
        evconnlistener_disable(m_listener);
}

} // namespace knapweedcroft
