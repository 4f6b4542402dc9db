#ifndef KNAPWEEDCROFT_NET_LOG_CLIENT_HPP
#define KNAPWEEDCROFT_NET_LOG_CLIENT_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace knapweedcroft {

struct log_client_settings {
    std::string address; /*!< `host:port` of the log service. */
    milliseconds pollTimeout { 2000 }; /*!< Maximum time for which the log service delays an empty response. */
    milliseconds responseTimeout { 3000 }; /*!< Time allowed for a response in addition to the poll timeout. */
    milliseconds initialBackoff { 100 };
    milliseconds maxBackoff { 2000 };
    std::uint32_t maxRecords = 500; /*!< Maximum number of records per read. */
    std::uint64_t seed = 1; /*!< Seed of the back-off jitter. */
};

/** @brief Callbacks of a log client; none is called from within a member function. */
struct log_client_handlers {
    std::function<void(records_read)> recordsRead;
    std::function<void(append_finished)> appendFinished;
    std::function<void(bool)> availabilityChanged; /*!< Called when first known, and on each change. */
};

/** @brief Client of the log service: reads streams by long polling and appends records to them. */
class log_client {
public:
    /**
     * @brief Constructs a client that follows no stream.
     * @param loop Must outlive the client.
     * @param http Sends the requests; must outlive this client.
     * @param settings Address and times.
     * @param handlers Callbacks; all must be set.
     */
    log_client(event_loop& loop, http_client& http, const log_client_settings& settings, log_client_handlers handlers);
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;
    ~log_client();

    /**
     * @brief Starts to read a stream, or restarts at another offset; records that the log has trimmed are skipped.
     * @param stream Name of the stream.
     * @param from Offset of the first record to read; a negative one counts as zero.
     */
    void follow(const std::string& stream, std::int64_t from);

    /**
     * @brief Advances the read position of a followed stream, after newer state was received from a peer.
     * @param stream Name of the stream.
     * @param from Offset of the next record to read; ignored if it is below the current position.
     */
    void advance(const std::string& stream, std::int64_t from);

    /**
     * @brief Appends a record, without retries.
     *
     * The outcome is `unknown` if neither success nor failure is certain.
     * @param action The record.
     */
    void append(const append_record& action);

    /** @brief Discards the outcomes of all pending appends, and reports the availability again. */
    void restart() noexcept
    {
        ++m_generation;
        m_isAvailabilityKnown = false;
    }

private:
    struct stream_state {
        std::string name;
        std::int64_t next = 0;
        std::uint32_t failures = 0;
        std::uint64_t request = 0;
        std::unique_ptr<loop_timer> retry;
    };

    void poll(stream_state& stream);
    void onPolled(stream_state& stream, const http_outcome& outcome);
    [[nodiscard]] bool processRecords(stream_state& stream, const http_response& response);
    void scheduleRetry(stream_state& stream);
    void onAppended(append_handle handle, const http_outcome& outcome);
    void setAvailable(bool isAvailable);

    event_loop& m_loop;
    http_client& m_http;
    log_client_settings m_settings;
    log_client_handlers m_handlers;
    std::mt19937_64 m_random;
    std::map<std::string, stream_state> m_streams;
    std::shared_ptr<bool> m_isAlive;
    std::uint64_t m_generation = 0;
    bool m_isAvailabilityKnown = false;
    bool m_isAvailable = false;
};

} // namespace knapweedcroft

#endif
