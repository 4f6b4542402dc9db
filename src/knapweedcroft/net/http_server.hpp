#ifndef KNAPWEEDCROFT_NET_HTTP_SERVER_HPP
#define KNAPWEEDCROFT_NET_HTTP_SERVER_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace knapweedcroft {

/** @brief Limits of a server. */
struct http_server_settings {
    std::size_t maxBodyBytes = std::size_t { 1024 } * 1024; /*!< Larger bodies are rejected with 413. */
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024; /*!< Larger headers are rejected with 431. */
    milliseconds idleTime { 60'000 }; /*!< Connections without traffic for this time are closed. */
    http_headers errorHeaders; /*!< Added to error responses that the server itself generates. */
};

/**
 * @brief HTTP server on top of libevent's evhttp, with routing, size limits and detection of disconnected clients.
 *
 * A client that closes or half-closes its connection before it has received its response counts as disconnected.
 */
class http_server {
public:
    /** @brief Identifies a request; never reused by the same server. */
    using request_id = std::uint64_t;

    /** @brief Handles a request; `answer` may be called from the handler or at any later time. */
    using handler = std::function<void(request_id, const http_request&)>;

    /**
     * @brief Constructs a server that does not listen yet.
     * @param loop Must outlive the server.
     * @warning Throws `std::runtime_error` if memory is exhausted.
     */
    http_server(event_loop& loop, const http_server_settings& settings);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /**
     * @brief Starts to accept connections.
     * @param host IP address to listen on.
     * @param port Port, or 0 for a port chosen by the system.
     * @return The bound address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /**
     * @brief Adds a route; routes are matched in the order in which they were added.
     * @param pattern Path; a segment in braces, such as `{name}`, matches any segment and becomes a parameter.
     * @param callback Called for each matching request.
     */
    void route(http_method method, std::string_view pattern, handler callback);

    /**
     * @brief Sets the handler of disconnected clients.
     * @param callback Called with the id of each request whose client disconnected; it needs no response any more.
     */
    void setGoneHandler(std::function<void(request_id)> callback);

    /** @brief Responds to a request; does nothing if it was answered before or its client has disconnected. */
    void answer(request_id id, const http_response& response);

    /** @brief Returns the number of requests without a response yet. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_pending.size(); }

private:
    struct pending_request {
        http_server* server = nullptr;
        request_id id = 0;
        evhttp_request* request = nullptr;
        evhttp_connection* connection = nullptr;
        internal::event_owner closeWatcher;
    };

    struct route_entry {
        http_method method;
        std::vector<std::string> segments;
        handler callback;
    };

    struct evhttp_deleter {
        void operator()(evhttp* value) const noexcept;
    };

    static void onRequest(evhttp_request* request, void* self);
    static void onClosed(evhttp_connection* connection, void* argument);
    static void onReadable(evutil_socket_t socket, short what, void* argument);
    static void onOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* self);

    void handle(evhttp_request* request);
    void dispatch(request_id id, http_request& request);
    void watchForClose(pending_request& pending);
    void removePending(request_id id);
    void send(evhttp_request* request, const http_response& response);
    [[nodiscard]] http_response makeServerError(int status, std::string_view kind, std::string_view message) const;
    void replaceErrorPage(evbuffer* buffer);

    event_loop& m_loop;
    http_server_settings m_settings;
    std::unique_ptr<evhttp, evhttp_deleter> m_http;
    std::vector<route_entry> m_routes;
    std::function<void(request_id)> m_disconnectHandler;
    std::unordered_map<request_id, std::unique_ptr<pending_request>> m_pending;
    request_id m_lastId = 0;
    bool m_isReplying = false;
};

} // namespace knapweedcroft

#endif
