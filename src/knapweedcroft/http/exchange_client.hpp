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

/** @brief Failure of an exchange without a complete response. */
struct exchange_failure {
    bool wasWritten = true; /*!< False only if no byte of the request was written. */
    error cause; /*!< Of kind `connection_failed`, `timed_out` or `invalid_value`. */
};

/** @brief Outcome of an exchange. */
using exchange_outcome = std::variant<opaque_response, exchange_failure>;

/** @brief How a response relates to the request that waits for one. */
enum class response_relation : std::uint8_t {
    answer, /*!< It names the request. */
    foreign, /*!< It names another request. */
    unidentified /*!< It names no request. */
};

/** @brief Settings of an exchange client. */
struct exchange_client_settings {
    message_limits limits { std::size_t { 64 } * 1024, std::size_t { 64 } * 1024 * 1024 };
    /** @brief Body bytes of all responses in progress. Beyond half of it only one of the large responses is read, until
     * it ends. Beyond all of it the longest one fails, since it is that of a server that sends without end. */
    std::size_t maxBufferedBytes = std::size_t { 64 } * 1024 * 1024;
    milliseconds connectTimeout { 1000 }; /*!< Timeout for opening a connection. */
    /** @brief Idle connections are closed after this, or earlier if the server advertises a shorter timeout. */
    milliseconds idleTimeout { 4000 };
    milliseconds idleTimeoutMargin { 1000 }; /*!< Subtracted from the idle timeout that the server advertises. */
};

/** @brief Counters of a client since its construction. */
struct exchange_counters {
    std::uint64_t openedConnections = 0;
    std::uint64_t mismatchedResponses = 0; /*!< Responses that may belong to a different request, discarded. */
    std::uint64_t unsolicitedData = 0; /*!< Connections closed because of data outside a response. */
    std::uint64_t oversizedResponses = 0; /*!< Exchanges that failed because of a size limit. */
};

/**
 * @brief HTTP/1.1 client with persistent connections and one request at a time on each connection.
 *
 * Requests are never retried. A response to another request is discarded, and the client waits for the next one on the
 * connection, but fails the exchange after several of them. A response that names no request is an answer only if it is
 * the first one of its connection: on a connection that was used before, it may repeat an earlier response. A
 * connection is closed instead of reused if it carries data outside a response or a response that names no request, if
 * the response arrived before the whole request was written, or if its exchange was cancelled.
 */
class exchange_client {
public:
    /** @brief Returns how a response relates to the request. */
    using response_classifier = std::function<response_relation(const opaque_response&)>;

    /** @brief Called once with the outcome, never from within `start`. */
    using completion_handler = std::function<void(exchange_outcome)>;

    /**
     * @brief Constructs a client.
     * @param loop Event loop; must outlive the client.
     * @param settings Limits and timeouts of all exchanges.
     */
    exchange_client(event_loop& loop, const exchange_client_settings& settings);
    exchange_client(const exchange_client&) = delete;
    exchange_client& operator=(const exchange_client&) = delete;
    ~exchange_client();

    /**
     * @brief Starts an exchange.
     * @param address `host:port` of the server.
     * @param request Request to send.
     * @param classify Returns how a response relates to the request.
     * @param onDone Receives the outcome, unless the exchange is cancelled.
     * @return Identifier of the exchange; never reused.
     */
    std::uint64_t start(
        const std::string& address, opaque_request request, response_classifier classify, completion_handler onDone);

    /**
     * @brief Cancels an exchange: closes its connection and drops its completion handler.
     * @param exchangeId Identifier of the exchange; ignored if the exchange has ended.
     */
    void cancel(std::uint64_t exchangeId);

    /**
     * @brief Pauses or resumes the reading of large responses, while responses that have been passed on fill the
     * memory.
     *
     * Small ones are read at any time. A server may cut off a response that remains unread for some seconds.
     */
    void setPaused(bool isPaused);

    /** @brief Returns the body bytes of all responses in progress. */
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return m_bufferedBytes; }

    [[nodiscard]] const exchange_counters& counters() const noexcept { return m_counters; }

private:
    class connection;
    using connection_list = std::list<std::unique_ptr<connection>>;

    [[nodiscard]] std::unique_ptr<connection> acquireIdle(const std::string& address);
    void finish(connection& ended, exchange_outcome outcome, bool isReusable);
    void removeIdle(connection& ended);
    void closeAndRelease(std::unique_ptr<connection> unused);
    void enforceBufferLimit();
    [[nodiscard]] connection& largest();
    [[nodiscard]] bool shouldPause(const connection& target);
    void resumeReading();

    event_loop& m_loop;
    exchange_client_settings m_settings;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> m_active;
    std::unordered_map<std::string, connection_list> m_idle;
    exchange_counters m_counters;
    std::size_t m_bufferedBytes = 0;
    bool m_isPaused = false;
    bool m_hasPausedExchanges = false;
    std::uint64_t m_preferredExchange = 0; /*!< Reads on while all other large responses wait. */
    std::shared_ptr<bool> m_isAlive;
    std::uint64_t m_lastExchangeId = 0;
};

} // namespace knapweedcroft

#endif
