#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_QUEUE_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_QUEUE_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/start_rate_limiter.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Request for a slot of the upstream. */
struct slot_request {
    std::uint64_t id = 0;
    std::string entry;
    bool isSubCall = false; /*!< If it is refused, the work done for the calling request is lost. */
    bool hasAlternative = false; /*!< The sender can try another upstream. */
    time_point target; /*!< Answers after this time are late. */
    time_point deadline; /*!< Answers after this time are useless. */
};

/** @brief Decision to send the request to the upstream now. */
struct start_request {
    std::uint64_t id = 0;

    friend bool operator==(const start_request& lhs, const start_request& rhs) { return lhs.id == rhs.id; }
};

/** @brief Decision to refuse the request; it has not run. */
struct refuse_request {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overloaded;
    milliseconds retryAfter; /*!< Expected wait for a slot, with jitter. */

    friend bool operator==(const refuse_request& lhs, const refuse_request& rhs)
    {
        return lhs.id == rhs.id && lhs.reason == rhs.reason;
    }
};

/** @brief Decision on one request. */
using slot_decision = std::variant<start_request, refuse_request>;

/** @brief Decisions in the order in which they must be carried out. */
using slot_decisions = std::vector<slot_decision>;

/**
 * @brief Bounds the concurrency of an upstream to its slots, and its rate of requests to the rate that it names, and
 * queues the excess requests.
 *
 * During an overload of several seconds, the first-in-first-out queue of an upstream sheds requests at random, so every
 * call tree loses some calls and fails as a whole. This queue is ordered by due time instead: requests that can still
 * meet their target latency come first, by target; requests that can only be late follow, by deadline. A request that
 * cannot meet its deadline is refused at once. A request that can only be late is refused at once if its sender has an
 * alternative, and otherwise after an eighth of its target latency, except for sub-calls, which wait as long as their
 * deadline can be met.
 *
 * If the upstream names a rate, the wait for it is known exactly. So a request with an alternative waits no longer than
 * a late one does, and a sub-call whose predicted answer misses its deadline is refused.
 */
class upstream_queue {
public:
    /**
     * @brief Constructs a queue without slots.
     * @param seed Seed of the jitter of retry delays.
     */
    explicit upstream_queue(std::uint64_t seed)
        : m_jitter { seed }
    {
    }

    /**
     * @brief Starts, queues or refuses a request.
     * @param request The request; its identifier must be neither queued nor running.
     * @return Decisions for this and other requests.
     */
    [[nodiscard]] slot_decisions offer(const slot_request& request, time_point now);

    /**
     * @brief Frees the slot of a running request, or removes a queued request.
     * @param id Identifier of the request; ignored if unknown.
     * @param isMeasured True if the upstream responded, so that the elapsed time is a valid service time sample.
     * @return Decisions for queued requests.
     */
    [[nodiscard]] slot_decisions release(std::uint64_t id, bool isMeasured, time_point now);

    /**
     * @brief Sets the concurrency limit.
     * @param slots Number of slots; running requests in excess of it continue.
     * @return Decisions for queued requests.
     */
    [[nodiscard]] slot_decisions setSlots(std::uint32_t slots, time_point now);

    /**
     * @brief Sets the rate that the upstream has named.
     * @param rate Requests per second, finite and not negative; nothing if the upstream names none.
     * @return Decisions for queued requests.
     */
    [[nodiscard]] slot_decisions setRate(std::optional<double> rate, time_point now);

    /** @brief Returns the rate that the upstream has named, in requests per second, or nothing if it names none. */
    [[nodiscard]] const std::optional<double>& rate() const noexcept { return m_rateLimiter.rate(); }

    /** @brief Returns true if the rate that the upstream has named delays a request for too long to offer it here. */
    [[nodiscard]] bool isTooSlowFor(const slot_request& request, time_point now) const;

    /** @brief Refuses all queued requests. */
    [[nodiscard]] slot_decisions refuseAll(refusal_reason reason, time_point now);

    /** @brief Starts requests whose time has come, and refuses those that can no longer be served in time. */
    [[nodiscard]] slot_decisions poll(time_point now);

    /** @brief Returns the time at which `poll` is due, or nothing if the queue is empty. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the current load of the upstream. */
    [[nodiscard]] upstream_load load(time_point now) const;

    /** @brief Returns the slots that can be in use at the same time, in view of the rate that the upstream names. */
    [[nodiscard]] double usableSlots() const;

    /** @brief Returns the expected service time of requests of an entry. */
    [[nodiscard]] milliseconds serviceTime(const std::string& entry) const;

    /**
     * @brief Returns the service times that have changed considerably since they were last returned, and at intervals
     * those that are still considerably above the lowest one.
     */
    [[nodiscard]] std::vector<entry_service_time> takeChangedServiceTimes(time_point now);

    /** @brief Returns the expected wait for a slot of a request queued last. */
    [[nodiscard]] milliseconds expectedSlotWait(time_point now) const;

private:
    struct waiting_key {
        bool isLate = false;
        time_point due; /*!< Target if it can be met, otherwise the deadline. */
        std::uint64_t sequence = 0;

        friend bool operator<(const waiting_key& lhs, const waiting_key& rhs) noexcept
        {
            return std::tie(lhs.isLate, lhs.due, lhs.sequence) < std::tie(rhs.isLate, rhs.due, rhs.sequence);
        }
    };

    struct waiting_request {
        slot_request request;
        time_point arrival;
    };

    struct entry_estimate {
        double meanMs = 0.0; /*!< Moving average of the service time, including that of cancelled requests. */
        double reportedMs = 0.0; /*!< Value last returned by `takeChangedServiceTimes`; zero if none. */
        double lowestReportedMs = 0.0;
        std::uint32_t samples = 0;
        time_point reportedAt;
    };

    struct running_request {
        std::string entry;
        time_point start;
    };

    [[nodiscard]] milliseconds expectedWait(std::size_t ahead, time_point now) const;
    [[nodiscard]] std::optional<refusal_reason> reasonToRefuse(
        const waiting_request& waiting, std::size_t ahead, time_point now) const;
    void refuse(std::uint64_t id, refusal_reason reason, time_point now, slot_decisions& decisions);
    void start(const slot_request& request, time_point now, slot_decisions& decisions);
    void dispatch(time_point now, slot_decisions& decisions);
    void pruneAndReorder(time_point now, slot_decisions& decisions);
    void recordServiceTime(const running_request& ended, time_point now);
    void recordElapsedTime(const running_request& ended, bool isMeasured, time_point now);

    jitter m_jitter;
    std::uint32_t m_slots = 0;
    start_rate_limiter m_rateLimiter;
    std::uint64_t m_lastSequence = 0;
    std::map<waiting_key, waiting_request> m_waiting;
    std::unordered_map<std::uint64_t, waiting_key> m_keysById;
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::unordered_map<std::string, double> m_entryServiceTimesMs; /*!< Moving average per entry. */
    std::unordered_map<std::string, entry_estimate> m_estimates; /*!< Times to report to other nodes, per entry. */
    time_point m_lastPoll;
    double m_meanServiceTimeMs = 0.0; /*!< Moving average over all entries; zero until the first sample. */
};

} // namespace knapweedcroft

#endif
