#ifndef KNAPWEEDCROFT_HTTP_PIPELINED_SERVER_HPP
#define KNAPWEEDCROFT_HTTP_PIPELINED_SERVER_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/http/message.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/tcp_listener.hpp"

#include <event2/util.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief Bounds on what the clients of a server may send, and on how long they may take. */
struct pipelined_server_limits {
    message_limits message;
    milliseconds headerTime { 10'000 }; /*!< Longest time from the first byte of a header to its last. */
    milliseconds idleTime { 60'000 }; /*!< A connection that waits longer for a request is closed. */
    std::size_t maxPipelined = 256; /*!< Requests of one connection that may wait for their answers. */
    std::size_t maxHeldBytes
        = std::size_t { 96 } * 1024 * 1024; /*!< Requests and answers held, over all connections. */
};

/** @brief Receivers of what happens on a server. */
struct pipelined_server_handlers {
    std::function<void(std::uint64_t, opaque_request)> received; /*!< A whole request and its number. */
    std::function<void(std::uint64_t)> abandoned; /*!< The client of an unanswered request has gone. */
    std::function<opaque_response(const parse_fault&)> rejected; /*!< Makes the answer to an invalid request. */
};

/**
 * @brief Serves opaque HTTP/1.1 requests over bufferevents.
 *
 * Requests that a client pipelines are handed over as they come and answered in their order. A client that closes or
 * resets its connection is reported for each request of it that has no answer yet, also while more requests are read.
 * evhttp does neither: it reads the next request of a connection only after the answer to the present one.
 */
class pipelined_server {
public:
    /**
     * @brief Constructs a server that does not listen yet.
     * @param loop The loop; must outlive the server.
     * @param limits The bounds.
     * @param handlers The receivers.
     */
    pipelined_server(event_loop& loop, const pipelined_server_limits& limits, pipelined_server_handlers handlers);
    pipelined_server(const pipelined_server&) = delete;
    pipelined_server& operator=(const pipelined_server&) = delete;
    ~pipelined_server();

    /**
     * @brief Starts to accept connections.
     * @param host IP address to listen on.
     * @param port Port, or 0 to have the system choose one.
     * @return The address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /**
     * @brief Changes the bounds, for requests that are read from now on.
     * @param limits The bounds.
     */
    void setLimits(const pipelined_server_limits& limits) { m_limits = limits; }

    /**
     * @brief Answers a request; does nothing if the client has gone or has its answer.
     * @param request Number of the request.
     * @param response The answer.
     * @param closes Closes the connection after the answer; requests behind it on the connection count as not read.
     */
    void answer(std::uint64_t request, const opaque_response& response, bool closes = false);

    /** @brief From now on each answer closes its connection, so that clients open new ones elsewhere. */
    void startDraining() { m_isDraining = true; }

    /** @brief Closes the connections on which no request waits for an answer and none is being read. */
    void closeIdle();

    /** @brief Stops accepting connections. */
    void stopAccepting();

    /** @brief Returns the number of requests without an answer. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_pending.size(); }

    /** @brief Returns the number of open connections. */
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }

    /** @brief Returns the bytes of requests and answers that are held. */
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_heldBytes; }

private:
    class connection;
    friend class connection;

    void accept(evutil_socket_t socket);
    void remove(connection* ended);
    void resume(connection* waiting);

    event_loop& m_loop;
    pipelined_server_limits m_limits;
    pipelined_server_handlers m_handlers;
    std::unordered_map<connection*, std::unique_ptr<connection>> m_connections;
    std::unordered_map<std::uint64_t, connection*> m_pending;
    tcp_listener m_listener;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_heldBytes = 0;
    bool m_isDraining = false;
};

} // namespace knapweedcroft

#endif
