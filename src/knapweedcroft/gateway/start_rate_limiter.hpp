#ifndef KNAPWEEDCROFT_GATEWAY_START_RATE_LIMITER_HPP
#define KNAPWEEDCROFT_GATEWAY_START_RATE_LIMITER_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <optional>

namespace knapweedcroft {

/**
 * @brief Spaces the requests to an upstream evenly at the rate that the upstream has named.
 *
 * No credit accumulates while nothing starts, so neither a pause of the process nor a new rate lets through a burst.
 */
class start_rate_limiter {
public:
    /**
     * @brief Sets the rate.
     * @param rate Requests per second, finite and not negative; nothing if there is no limit.
     */
    void setRate(std::optional<double> rate, time_point now);

    /** @brief Returns the rate in requests per second, or nothing if there is no limit. */
    [[nodiscard]] const std::optional<double>& rate() const noexcept { return m_rate; }

    /** @brief Returns true if a request may start now. */
    [[nodiscard]] bool mayStart(time_point now) const { return !m_rate || nextStart() <= now; }

    /** @brief Records that a request has started. */
    void recordStart(time_point now);

    /** @brief Returns the time between two requests; meaningful only with a limit. */
    [[nodiscard]] milliseconds interval() const;

    /** @brief Returns the earliest start of the next request; meaningful only with a limit. */
    [[nodiscard]] time_point nextStart() const { return m_lastStart + interval(); }

    /**
     * @brief Returns the time until a request may start.
     * @param ahead Number of requests that start before it.
     * @return Zero if there is no limit; never negative.
     */
    [[nodiscard]] milliseconds delay(std::size_t ahead, time_point now) const;

private:
    std::optional<double> m_rate;
    time_point m_lastStart; /*!< Time at which the latest request was due to start. */
};

} // namespace knapweedcroft

#endif
