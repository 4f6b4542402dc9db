#ifndef KNAPWEEDCROFT_HTTP_EXCHANGE_CLIENT_HPP
#define KNAPWEEDCROFT_HTTP_EXCHANGE_CLIENT_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/http/message.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace knapweedcroft {

/** @brief An exchange that ended without a complete response. */
struct exchange_failure {
    bool wasWritten = true; /*!< False if no byte of the request was written. */
    error cause; /*!< Of kind `connection_failed`, `timed_out` or `invalid_value`. */
};

/** @brief How an exchange ended. */
using exchange_outcome = std::variant<opaque_response, exchange_failure>;

/** @brief Settings of a client. */
struct exchange_client_settings {
    message_limits limits { std::size_t { 64 } * 1024, std::size_t { 64 } * 1024 * 1024 };
    milliseconds connectTime { 1000 }; /*!< Longest time to open a connection. */
    milliseconds idleTime { 4000 }; /*!< Idle connections are closed after this, or sooner if the server says so. */
    milliseconds idleMargin { 1000 }; /*!< Taken off the idle time that the server states. */
};

/** @brief Counts of a client since its start. */
struct exchange_counters {
    std::uint64_t opened = 0; /*!< Connections. */
    std::uint64_t foreign = 0; /*!< Responses that belonged to another request. */
    std::uint64_t surplus = 0; /*!< Connections closed for bytes that belong to no request. */
};

/**
 * @brief Sends opaque requests to servers over kept connections, one request at a time on each.
 *
 * Nothing is sent twice. A response that the caller does not recognise as the answer to its request is dropped, and
 * the next one on the connection is awaited. A connection that carries surplus bytes, that answered before the whole
 * request was written, or whose exchange was cancelled, is closed and not used again.
 */
class exchange_client {
public:
    /** @brief Tells whether a response answers a request. */
    using matcher = std::function<bool(const opaque_response&)>;

    /** @brief Called once with the outcome, never from inside `start`. */
    using completion = std::function<void(exchange_outcome)>;

    /**
     * @brief Constructs a client.
     * @param loop The loop; must outlive the client.
     * @param settings The settings.
     */
    exchange_client(event_loop& loop, const exchange_client_settings& settings);
    exchange_client(const exchange_client&) = delete;
    exchange_client& operator=(const exchange_client&) = delete;
    ~exchange_client();

    /**
     * @brief Starts an exchange.
     * @param address `host:port` of the server.
     * @param request The request.
     * @param isAnswer Tells whether a response belongs to the request.
     * @param done Called with the outcome.
     * @return Number of the exchange; never reused.
     */
    std::uint64_t start(const std::string& address, const opaque_request& request, matcher isAnswer, completion done);

    /**
     * @brief Gives up an exchange: its connection is closed and its completion is not called.
     * @param exchange The exchange; nothing happens if it has ended.
     */
    void cancel(std::uint64_t exchange);

    /** @brief Returns the counts since the start. */
    [[nodiscard]] const exchange_counters& counters() const noexcept { return m_counters; }

private:
    class connection;
    using connection_list = std::list<std::unique_ptr<connection>>;

    [[nodiscard]] std::unique_ptr<connection> takeIdle(const std::string& address);
    void finish(connection& ended, exchange_outcome outcome, bool isReusable);
    void dropIdle(connection& ended);
    void dispose(std::unique_ptr<connection> unused);

    event_loop& m_loop;
    exchange_client_settings m_settings;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> m_active;
    std::unordered_map<std::string, connection_list> m_idle;
    exchange_counters m_counters;
    std::shared_ptr<bool> m_isAlive;
    std::uint64_t m_lastExchange = 0;
};

} // namespace knapweedcroft

#endif
