#ifndef KNAPWEEDCROFT_ADMISSION_SERVICE_TIME_ESTIMATE_HPP
#define KNAPWEEDCROFT_ADMISSION_SERVICE_TIME_ESTIMATE_HPP

#include "knapweedcroft/core/time.hpp"

namespace knapweedcroft {

/** @brief Exponentially weighted moving average of the service time of calls. */
class service_time_estimate {
public:
    /**
     * @brief Constructs an estimate without samples.
     * @param initial Mean returned until the first sample.
     */
    explicit service_time_estimate(milliseconds initial) noexcept
        : m_mean { initial.count() }
    {
    }

    /** @brief Adds the service time of a finished call. */
    void add(milliseconds sample) noexcept;

    /**
     * @brief Adds a lower bound on the service time, from a call that timed out before it finished.
     * @param sample Time until the time-out; ignored unless it exceeds the mean.
     */
    void addLowerBound(milliseconds sample) noexcept;

    [[nodiscard]] milliseconds mean() const noexcept { return milliseconds::fromFraction(m_mean); }

private:
    double m_mean;
    bool m_hasSamples = false;
};

} // namespace knapweedcroft

#endif
