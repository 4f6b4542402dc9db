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
    /** @brief Takes a connection; the receiver owns the socket. */
    using handler = std::function<void(evutil_socket_t)>;

    /**
     * @brief Constructs a listener that does not listen yet.
     * @param loop The loop; must outlive the listener.
     * @param backlog Connections that may wait to be accepted.
     * @param accepted Called for each connection; an exception that it lets out goes to the loop's fault handler.
     */
    tcp_listener(event_loop& loop, int backlog, handler accepted);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /**
     * @brief Starts to accept connections; may succeed once.
     * @param host IP address.
     * @param port Port, or 0 to have the system choose one.
     * @return The address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /** @brief Accepts no more connections; the port stays taken until the listener is destroyed. */
    void stop();

private:
    event_loop& m_loop;
    int m_backlog;
    handler m_accepted;
    evconnlistener* m_listener = nullptr;
};

} // namespace knapweedcroft

#endif
