#ifndef KNAPWEEDCROFT_ADMISSION_CONCURRENCY_LIMIT_HPP
#define KNAPWEEDCROFT_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "knapweedcroft/admission/settings.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>

namespace knapweedcroft {

/** @brief How a running call ended. */
enum class completion : std::uint8_t {
    finished, /*!< The upstream answered. */
    failed, /*!< The upstream or its connection failed. */
    shed, /*!< The upstream reported that it did not run the call. */
    sub_call_refused, /*!< Like `shed`, but because a sub-call was refused; no sign of overload of this upstream. */
    timed_out,
    cancelled
};

/**
 * @brief Concurrency limit of an upstream: at most its declared slots; adaptive policies lower it on overload.
 *
 * Only calls shed by the upstream count as a sign of overload. Latency does not: it also grows when a downstream
 * service is slow, and a slow upstream still runs as many calls at once as it has slots.
 */
class concurrency_limit {
public:
    /**
     * @brief Constructs a limit that is zero until `setSlots` is called.
     * @param policy How the limit is adjusted.
     * @param initial Limit from which an adaptive policy starts, also after `resetLimit`; 0 counts as 1.
     */
    concurrency_limit(const limit_policy& policy, std::uint32_t initial) noexcept;

    /**
     * @brief Sets the number of declared slots, the upper bound of the limit.
     * @param slots Number of slots; zero admits no call.
     */
    void setSlots(std::uint32_t slots) noexcept;

    /** @brief Resets an adaptive limit to its initial value; a fixed one is unchanged. */
    void resetLimit() noexcept;

    /**
     * @brief Adjusts the limit to the outcome of a call.
     * @param latency Time for which the call ran.
     * @param running Number of calls running when it ended, this one included.
     */
    void record(completion outcome, milliseconds latency, std::uint32_t running, time_point now) noexcept;

    /** @brief Returns the number of calls that may run at once; zero if there are no slots. */
    [[nodiscard]] std::uint32_t value() const noexcept;

    /** @brief Returns whether the limit is in its initial ramp, which ends at the slots or when a call is shed. */
    [[nodiscard]] bool isWarmingUp() const noexcept { return m_isWarmingUp; }

private:
    [[nodiscard]] bool isAdaptive() const noexcept;
    void decreaseLimit(milliseconds latency, time_point now) noexcept;
    void increaseLimit(double step) noexcept;

    limit_policy m_policy;
    double m_initial;
    double m_limit;
    std::uint32_t m_slots = 0;
    bool m_isWarmingUp = true;
    time_point m_nextDecrease;
};

} // namespace knapweedcroft

#endif
