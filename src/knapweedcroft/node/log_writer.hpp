#ifndef KNAPWEEDCROFT_NODE_LOG_WRITER_HPP
#define KNAPWEEDCROFT_NODE_LOG_WRITER_HPP

#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/node/id_source.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace knapweedcroft {

/**
 * @brief Appends records to the log, and limits how often each is retried.
 *
 * A record is requested again until its effect is read back from the log, since an append may take effect although its
 * response was lost. All records are idempotent, so a repeated append is harmless; only its rate is limited.
 */
class log_writer {
public:
    /**
     * @brief Constructs a writer.
     * @param ids Source of append handles.
     * @param seed Seed of the jitter of the retry interval.
     */
    log_writer(id_source& ids, std::uint64_t seed);

    /**
     * @brief Appends a record unless an append for the same purpose is in flight or ended within the retry interval.
     * @param purpose Identifies the intended effect; retries use the same purpose.
     * @param stream Stream of the log.
     * @param payload JSON text of the record.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void appendPaced(const std::string& purpose, const std::string& stream, const std::string& payload, time_point now,
        node_actions& actions);

    /**
     * @brief Handles the end of an append.
     * @param event The append and its outcome.
     * @param now Current time.
     */
    void handleAppendFinished(const append_finished& event, time_point now);

private:
    struct retry_state {
        bool isInFlight = false;
        time_point earliestRetry;
    };

    id_source& m_ids;
    jitter m_jitter;
    std::map<std::string, retry_state> m_purposes;
    std::unordered_map<append_handle, std::string> m_inFlight;
};

} // namespace knapweedcroft

#endif
