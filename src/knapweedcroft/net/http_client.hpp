#ifndef KNAPWEEDCROFT_NET_HTTP_CLIENT_HPP
#define KNAPWEEDCROFT_NET_HTTP_CLIENT_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace knapweedcroft {

struct http_client_request {
    std::string address; /*!< `host:port`. */
    http_method method = http_method::post;
    std::string target; /*!< Path and query, percent-encoded. */
    http_headers headers; /*!< Without `Host`, length and connection headers. */
    std::string contentType;
    std::string body;
    milliseconds timeout { 5000 }; /*!< From `send` to the end of the response. */
};

/** @brief Reports that no complete response was received. */
struct http_failure {
    bool wasWritten = true; /*!< False if no byte of the request was written to a connection. */
    error cause; /*!< Of kind `connection_failed`, `timed_out` or `invalid_value`. */
};

using http_outcome = std::variant<http_response, http_failure>;

struct http_client_settings {
    std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024; /*!< Larger response bodies are failures. */
    std::size_t maxHeaderBytes = std::size_t { 64 } * 1024; /*!< Larger response headers are failures. */
    std::size_t maxIdleConnections = 256; /*!< Per address; excess connections are closed. */
    milliseconds maxIdleTime { 20'000 }; /*!< Must be well below the idle timeout of the servers. */
};

/**
 * @brief HTTP client with a pool of persistent connections, each of which carries one request at a time.
 *
 * Never retries a request. A connection whose request timed out, failed or was cancelled is closed and not reused.
 */
class http_client {
public:
    /** @brief Identifies a request; never reused by the same client. */
    using request_id = std::uint64_t;

    /** @brief Called once with the outcome; never called from within `send`. */
    using completion = std::function<void(http_outcome)>;

    /** @brief Constructs a client without connections; the loop must outlive it. */
    http_client(event_loop& loop, const http_client_settings& settings);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** @brief Closes all connections; the completions of requests in flight are not called. */
    ~http_client();

    /** @brief Sends a request and returns its id. */
    request_id send(const http_client_request& request, completion done);

    /**
     * @brief Cancels a request; its completion is not called and its connection is closed.
     * @param id The request; nothing happens if it has completed.
     */
    void cancel(request_id id);

    /** @brief Returns the number of requests in flight. */
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_active.size(); }

    /**
     * @brief Returns whether any byte of a request was written to its connection.
     * @return False also if the request is not in flight.
     */
    [[nodiscard]] bool wasWritten(request_id id) const;

private:
    struct connection;
    using connection_owner = std::unique_ptr<connection>;

    static void onComplete(evhttp_request* request, void* argument);
    static void onOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

    [[nodiscard]] connection_owner takeIdle(const std::string& address);
    [[nodiscard]] connection_owner connectTo(const std::string& address);
    [[nodiscard]] bool start(connection& conn, const http_client_request& request);
    void fail(request_id id, error cause);
    void handleCompletion(connection& conn, evhttp_request* request);
    void addIdle(connection_owner owned);
    void discard(connection_owner owned);
    void reject(request_id id, error cause, completion done);

    event_loop& m_loop;
    http_client_settings m_settings;
    clock m_clock;
    std::unordered_map<request_id, connection_owner> m_active;
    std::unordered_map<std::string, std::vector<connection_owner>> m_idle;
    std::vector<connection_owner> m_discarded;
    std::unordered_map<request_id, completion> m_rejected;
    std::shared_ptr<bool> m_isAlive;
    request_id m_lastId = 0;
};

} // namespace knapweedcroft

#endif
