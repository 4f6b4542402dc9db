#ifndef KNAPWEEDCROFT_NET_TCP_LISTENER_HPP
#define KNAPWEEDCROFT_NET_TCP_LISTENER_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <event2/util.h>

#include <cstdint>
#include <functional>
#include <string>

struct evconnlistener;

namespace knapweedcroft {

/** @brief Accepts TCP connections on one address. */
class tcp_listener {
public:
    /** @brief Called with the socket of an accepted connection, and takes ownership of it. */
    using handler = std::function<void(evutil_socket_t)>;

    /**
     * @brief Constructs a listener that does not listen yet.
     * @param loop Must outlive the listener.
     * @param backlog Maximum number of connections that wait to be accepted.
     * @param accepted Called for each connection; an exception is passed to the loop's fault handler.
     */
    tcp_listener(event_loop& loop, int backlog, handler accepted);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /**
     * @brief Starts to accept connections; must not be called again after it has succeeded.
     * @param host IP address.
     * @param port Port, or 0 for a port chosen by the system.
     * @return The bound address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /** @brief Stops accepting connections; the port stays bound until the listener is destroyed. */
    void stop();

private:
    event_loop& m_loop;
    int m_backlog;
    handler m_acceptHandler;
    evconnlistener* m_listener = nullptr;
};

} // namespace knapweedcroft

#endif
