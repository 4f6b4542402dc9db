#ifndef KNAPWEEDCROFT_ADMISSION_ADMISSION_CONTROLLER_HPP
#define KNAPWEEDCROFT_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "knapweedcroft/admission/concurrency_limit.hpp"
#include "knapweedcroft/admission/internal/call_queue.hpp"
#include "knapweedcroft/admission/service_time_estimate.hpp"
#include "knapweedcroft/admission/settings.hpp"
#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/class_order.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Call offered for admission to the upstream. */
struct admission_request {
    call_id id;
    priority order;
    time_point deadline;
    std::string entry; /*!< Name of the catalogue entry. */
    std::uint32_t entryLimit = 0; /*!< Concurrency limit of the entry; zero for no limit. */
    std::uint32_t depth = 0; /*!< Depth in the call tree of the action; zero for the root call. */
};

/** @brief Decision to send a call to the upstream now. */
struct start_call {
    call_id id;

    friend bool operator==(const start_call& lhs, const start_call& rhs) { return lhs.id == rhs.id; }
};

/** @brief Decision to answer a call now as refused; it did not run. */
struct refuse_call {
    call_id id;
    refusal_reason reason = refusal_reason::overloaded;
    milliseconds retryAfter; /*!< Time after which the caller may try again. */

    friend bool operator==(const refuse_call& lhs, const refuse_call& rhs)
    {
        return lhs.id == rhs.id && lhs.reason == rhs.reason && lhs.retryAfter == rhs.retryAfter;
    }
};

/** @brief Decision on one call. */
using admission_decision = std::variant<start_call, refuse_call>;

/** @brief Decisions, to be carried out in this order. */
using admission_decisions = std::vector<admission_decision>;

/**
 * @brief Decides which calls run on one upstream, and when.
 *
 * Every offered call gets exactly one decision, unless it is cancelled while queued. The times passed to successive
 * calls must not decrease.
 */
class admission_controller {
public:
    /**
     * @brief Constructs a controller for an unavailable upstream; `setSlots` makes it available.
     * @param seed Seed of the retry-after jitter and of the random queue order.
     */
    admission_controller(const admission_settings& settings, std::uint64_t seed);

    /**
     * @brief Starts, queues or refuses a call.
     * @param request The call; ignored if a call with the same identifier is queued or running.
     * @return Decisions for this call and for queued calls that it evicts.
     */
    [[nodiscard]] admission_decisions offer(const admission_request& request, time_point now);

    /**
     * @brief Records the end of a running call.
     * @param id The call; ignored unless it is running.
     * @return Decisions for queued calls.
     */
    [[nodiscard]] admission_decisions complete(call_id id, completion outcome, time_point now);

    /**
     * @brief Cancels a queued or running call; a running one frees its slot.
     * @param id The call; ignored if unknown.
     * @return Decisions for other calls.
     */
    [[nodiscard]] admission_decisions cancel(call_id id, time_point now);

    /**
     * @brief Sets the number of slots that the upstream declares.
     * @param slots Number of slots; zero marks the upstream unavailable and refuses all queued calls.
     * @return Decisions for queued calls.
     */
    [[nodiscard]] admission_decisions setSlots(std::uint32_t slots, time_point now);

    /** @brief Resets the concurrency limit and the threshold, for an upstream that is new or was restarted. */
    void resetLimit(time_point now);

    /**
     * @brief Refuses all queued calls and all calls offered later, for a planned stop.
     * @return Decisions for queued calls.
     */
    [[nodiscard]] admission_decisions stopAccepting(time_point now);

    /** @brief Accepts calls again after `stopAccepting`, for an upstream that is available again. */
    void resumeAccepting() noexcept { m_isAccepting = true; }

    /**
     * @brief Refuses queued calls that can no longer meet their deadline and starts calls for which slots are free.
     * @return Decisions for queued calls.
     */
    [[nodiscard]] admission_decisions poll(time_point now);

    /**
     * @brief Returns the admission threshold; less important calls would be refused.
     * @return The most important priority evicted within the threshold validity, relaxed with the time since then;
     * nothing if no call was evicted or the queue is not ordered by priority.
     */
    [[nodiscard]] std::optional<priority> threshold(time_point now) const;

    /**
     * @brief Returns the remaining validity of the current threshold.
     * @return The remaining validity; zero if there is no threshold.
     */
    [[nodiscard]] milliseconds thresholdValidity(time_point now) const;

    /** @brief Returns the predicted queueing time of a new call at the end of the queue. */
    [[nodiscard]] milliseconds queueTime() const;

    /** @brief Returns the number of running calls. */
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }

    /** @brief Returns the number of queued calls. */
    [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }

    /** @brief Returns the current concurrency limit. */
    [[nodiscard]] std::uint32_t limit() const noexcept { return m_limit.value(); }

    /** @brief Returns the mean service time over all entries. */
    [[nodiscard]] milliseconds serviceTime() const noexcept { return m_serviceTime.mean(); }

    /** @brief Returns the time at which `poll` is next due; nothing if no call is queued. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

private:
    struct running_call {
        time_point start;
        std::string entry;
        bool hasEntryLimit = false;
    };

    [[nodiscard]] internal::queued_call makeQueuedCall(const admission_request& request, time_point now);
    [[nodiscard]] priority queuePriorityOf(const admission_request& request);
    [[nodiscard]] std::optional<refusal_reason> immediateRefusal(
        const admission_request& request, const internal::queued_call& call, time_point now) const;
    [[nodiscard]] bool isDeadlineUnreachable(
        const std::string& entry, time_point deadline, time_point predictedStart) const;
    [[nodiscard]] milliseconds entryServiceTime(const std::string& entry) const;
    [[nodiscard]] milliseconds predictedWait(std::size_t ahead) const;
    [[nodiscard]] milliseconds retryAfter();
    void start(const internal::queued_call& call, time_point now, admission_decisions& decisions);
    void refuse(call_id id, refusal_reason reason, admission_decisions& decisions);
    void refuseAll(refusal_reason reason, admission_decisions& decisions);
    void evictBeyondQueueBound(time_point now, admission_decisions& decisions);
    [[nodiscard]] bool isPriorityOrdered() const;
    void recordEviction(priority evicted, time_point now);
    [[nodiscard]] priority relaxedThreshold(priority value, milliseconds elapsed) const;
    void evictBlockedBeyondBound(const std::string& entry, admission_decisions& decisions);
    void dispatch(time_point now, admission_decisions& decisions);
    void shedOnDelay(milliseconds delay, time_point now, admission_decisions& decisions);
    void removeRunning(call_id id, const running_call& call);

    admission_settings m_settings;
    std::mt19937_64 m_random;
    concurrency_limit m_limit;
    service_time_estimate m_serviceTime;
    std::unordered_map<std::string, service_time_estimate> m_entryServiceTimes;
    std::unordered_map<std::string, std::uint32_t> m_entryRunning;
    internal::call_queue m_queue;
    std::unordered_map<call_id, running_call> m_running;
    std::uint64_t m_nextSequence = 0;
    bool m_isAccepting = true;
    bool m_isAvailable = false;
    class_order m_classOrder;
    std::optional<priority> m_evictedPriority;
    time_point m_evictedAt;
    std::optional<time_point> m_delayedSince;
    time_point m_nextShed;
    std::uint32_t m_shedCount = 0;
};

} // namespace knapweedcroft

#endif
