#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_QUEUE_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_QUEUE_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/core/time.hpp"
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

/** @brief A request that asks for a slot of the upstream. */
struct slot_request {
    std::uint64_t id = 0;
    std::string entry;
    bool isInvested = false; /*!< Work on another request would be lost with it. */
    bool hasAlternative = false; /*!< The sender can ask another upstream. */
    time_point target; /*!< A later answer is late. */
    time_point deadline; /*!< A later answer is of no use. */
};

/** @brief The request is to be sent to the upstream now. */
struct start_request {
    std::uint64_t id = 0;

    friend bool operator==(const start_request& lhs, const start_request& rhs) { return lhs.id == rhs.id; }
};

/** @brief The request is to be answered now; it did not run. */
struct refuse_request {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overloaded;
    milliseconds retryAfter; /*!< When room is expected. */

    friend bool operator==(const refuse_request& lhs, const refuse_request& rhs)
    {
        return lhs.id == rhs.id && lhs.reason == rhs.reason;
    }
};

/** @brief What is to be done with one request. */
using slot_decision = std::variant<start_request, refuse_request>;

/** @brief Decisions in the order in which they are to be carried out. */
using slot_decisions = std::vector<slot_decision>;

/**
 * @brief Keeps an upstream exactly full and holds the requests that wait for a slot.
 *
 * Load pattern: more requests than slots for seconds. The upstream's own queue is first-in-first-out and sheds at
 * random, so that every tree of calls loses a part and fails as a whole. Here requests wait in the order in which they
 * are due: those that can be timely by the time of their target, behind them those that can only be late by their
 * deadline. A request that cannot meet its deadline is refused at once. One that can only be late is refused as soon as
 * it has waited an eighth of its target latency, unless work in progress needs it.
 */
class upstream_queue {
public:
    /**
     * @brief Constructs a queue without slots.
     * @param seed Seed of the jitter of retry times.
     */
    explicit upstream_queue(std::uint64_t seed)
        : m_jitter { seed }
    {
    }

    /**
     * @brief Offers a request.
     * @param request The request; its identifier is neither waiting nor running.
     * @param now Present time.
     * @return Decisions for this request and for others.
     */
    [[nodiscard]] slot_decisions offer(const slot_request& request, time_point now);

    /**
     * @brief Frees the slot of a running request, or withdraws a waiting one.
     * @param id The request; ignored if unknown.
     * @param isMeasured True if the upstream answered, so that its time counts as service time.
     * @param now Present time.
     * @return Decisions for waiting requests.
     */
    [[nodiscard]] slot_decisions release(std::uint64_t id, bool isMeasured, time_point now);

    /**
     * @brief Sets the number of slots.
     * @param slots The slots; running requests beyond them go on.
     * @param now Present time.
     * @return Decisions for waiting requests.
     */
    [[nodiscard]] slot_decisions setSlots(std::uint32_t slots, time_point now);

    /**
     * @brief Refuses all waiting requests.
     * @param reason The reason.
     * @return The decisions.
     */
    [[nodiscard]] slot_decisions refuseAll(refusal_reason reason);

    /**
     * @brief Refuses waiting requests whose time has run out.
     * @param now Present time.
     * @return The decisions.
     */
    [[nodiscard]] slot_decisions poll(time_point now);

    /** @brief Returns when `poll` may have something to do, if ever. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the load of the upstream. */
    [[nodiscard]] upstream_load load() const;

    /**
     * @brief Returns the expected time on the upstream of a request of an entry.
     * @param entry Name of the entry.
     */
    [[nodiscard]] milliseconds serviceTime(const std::string& entry) const;

    /** @brief Returns the time after which a new request that is refused now may find a slot. */
    [[nodiscard]] milliseconds expectedRoom() const;

private:
    struct waiting_key {
        bool isLate = false;
        time_point due; /*!< Target if it can be met, else the deadline. */
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

    struct running_request {
        std::string entry;
        time_point start;
    };

    [[nodiscard]] milliseconds waitBehind(std::size_t ahead) const;
    void refuse(std::uint64_t id, refusal_reason reason, slot_decisions& decisions);
    void dispatch(time_point now, slot_decisions& decisions);
    void review(time_point now, slot_decisions& decisions);
    void measure(const running_request& ended, time_point now);

    jitter m_jitter;
    std::uint32_t m_slots = 0;
    std::uint64_t m_sequence = 0;
    std::map<waiting_key, waiting_request> m_waiting;
    std::unordered_map<std::uint64_t, waiting_key> m_keys;
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::unordered_map<std::string, double> m_serviceTimes; /*!< Mean per entry in ms. */
    time_point m_polledAt;
    double m_meanServiceTime = 0.0; /*!< In ms; zero until the first answer. */
};

} // namespace knapweedcroft

#endif
