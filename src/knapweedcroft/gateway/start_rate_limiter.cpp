#include "knapweedcroft/gateway/start_rate_limiter.hpp"

#include <algorithm>
#include <cstdint>

namespace knapweedcroft {

namespace internal {

static constexpr double millisecondsPerSecond = 1000.0;
// Only an answer tells that the limit has ended, so one request in this time is sent even at a rate of zero.
static constexpr milliseconds maxStartInterval { 5000 };
// Timers fire late; a request that starts late by up to this much does not delay the next one.
static constexpr milliseconds timerTolerance { 20 };

} // namespace internal

milliseconds start_rate_limiter::interval() const
{
    const double rate = m_rate.value_or(0.0);
    const double minRate = internal::millisecondsPerSecond / internal::maxStartInterval.count();
    return milliseconds::fromFraction(internal::millisecondsPerSecond / std::max(rate, minRate));
}

void start_rate_limiter::setRate(std::optional<double> rate, time_point now)
{
    // The upstream counts the requests that it has just received without a limit.
    if (!m_rate && rate)
        m_lastStart = now;
    m_rate = rate;
}

void start_rate_limiter::recordStart(time_point now)
{
    if (m_rate)
        m_lastStart = std::max(nextStart(), now - internal::timerTolerance);
}

milliseconds start_rate_limiter::delay(std::size_t ahead, time_point now) const
{
    if (!m_rate)
        return {};
    const milliseconds untilNext = std::max(milliseconds {}, nextStart() - now);
    return untilNext + interval() * static_cast<std::int64_t>(ahead);
}

} // namespace knapweedcroft
