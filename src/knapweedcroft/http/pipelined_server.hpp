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

/** @brief Size limits and timeouts for the clients of a server. */
struct pipelined_server_limits {
    message_limits message;
    milliseconds headerTime { 10'000 }; /*!< Longest time from the first to the last byte of a header section. */
    /** @brief Connections without a request are closed after this, unless their client is reading a response. */
    milliseconds idleTime { 60'000 };
    std::size_t maxPipelined = 256; /*!< Most unanswered requests per connection; reading pauses beyond it. */
    /** @brief Bytes of requests and responses buffered over all connections, also of those being read; further requests
     * are answered with 503. */
    std::size_t maxBufferedBytes = std::size_t { 96 } * 1024 * 1024;
    /** @brief Bodies of up to this size count twice, because a copy is kept to send them again. */
    std::size_t maxKeptBodyBytes = 0;
};

/** @brief Callbacks of a server. */
struct pipelined_server_handlers {
    /** @brief Receives a complete request and its identifier. */
    std::function<void(std::uint64_t, opaque_request)> onRequest;
    /** @brief Reports an unanswered request whose client disconnected or whose connection is being closed. */
    std::function<void(std::uint64_t)> onAborted;
    /** @brief Builds the response to an invalid request. */
    std::function<opaque_response(const parse_error&)> makeErrorResponse;
};

/**
 * @brief HTTP/1.1 server with request pipelining, based on bufferevents.
 *
 * Pipelined requests are dispatched as they arrive and answered in order. If a client closes or resets its
 * connection, each of its unanswered requests is reported as aborted, even if more requests are still being read.
 * evhttp supports neither: it reads the next request of a connection only after it has answered the current one.
 */
class pipelined_server {
public:
    /**
     * @brief Constructs a server; it accepts connections after `listen`.
     * @param loop Event loop; must outlive the server.
     * @param limits Size limits and timeouts.
     * @param handlers Callbacks; all of them must be set.
     */
    pipelined_server(event_loop& loop, const pipelined_server_limits& limits, pipelined_server_handlers handlers);
    pipelined_server(const pipelined_server&) = delete;
    pipelined_server& operator=(const pipelined_server&) = delete;
    ~pipelined_server();

    /**
     * @brief Starts accepting connections.
     * @param host IP address to listen on.
     * @param port Port, or 0 for an ephemeral one.
     * @return Bound address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /** @brief Changes the limits for requests that are read from now on. */
    void setLimits(const pipelined_server_limits& limits) { m_limits = limits; }

    /**
     * @brief Answers a request; ignored if the client has disconnected or the request is answered already.
     * @param requestId Identifier of the request.
     * @param response Response to send.
     * @param shouldClose Whether to close the connection after the response; later requests on it are aborted.
     */
    void answer(std::uint64_t requestId, opaque_response response, bool shouldClose = false);

    /**
     * @brief Makes the next response of each connection the last one, so that clients reconnect to another node.
     *
     * Pipelined requests that have been dispatched by then are still answered; later ones are left unread.
     */
    void startDraining() { m_isDraining = true; }

    /** @brief Returns the unanswered requests of each connection behind which an answer is ready. */
    [[nodiscard]] std::vector<std::uint64_t> blockingRequests() const { return unansweredRequests(true); }

    /** @brief Returns all unanswered requests. */
    [[nodiscard]] std::vector<std::uint64_t> pendingRequests() const { return unansweredRequests(false); }

    /** @brief Closes the connections that have no unanswered, no partly received request and no unsent response. */
    void closeIdle();

    void stopAccepting();

    /** @brief Returns the number of unanswered requests. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_pending.size(); }

    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }

    /** @brief Returns the bytes of requests and responses that are buffered. */
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return m_bufferedBytes; }

    /** @brief Returns the part of `bufferedBytes` that responses take, which only their clients can free. */
    [[nodiscard]] std::size_t responseBytes() const noexcept { return m_responseBytes; }

private:
    class connection;
    friend class connection;

    void accept(evutil_socket_t socket);
    void removeConnection(connection* ended);
    void resumeReading(connection* target);
    [[nodiscard]] std::vector<std::uint64_t> unansweredRequests(bool isBlockingOnly) const;

    event_loop& m_loop;
    pipelined_server_limits m_limits;
    pipelined_server_handlers m_handlers;
    std::unordered_map<connection*, std::unique_ptr<connection>> m_connections;
    std::unordered_map<std::uint64_t, connection*> m_pending;
    tcp_listener m_listener;
    std::uint64_t m_lastRequestId = 0;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_responseBytes = 0;
    bool m_isDraining = false;
};

} // namespace knapweedcroft

#endif
