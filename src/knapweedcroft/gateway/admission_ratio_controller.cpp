#include "knapweedcroft/gateway/admission_ratio_controller.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds updateInterval { 50 };
static constexpr milliseconds maxInterval { 500 }; // After a longer gap, earlier measurements are obsolete.
static constexpr double smoothingTimeMs = 120.0;
static constexpr double targetUtilization = 1.0;
// The queue after a burst drains without intervention, and other upstreams may take part of it.
static constexpr double toleratedWaitMs = 40.0;
// Excess wait that reduces the ratio as much as an excess utilization of 1.
static constexpr double fullPenaltyWaitMs = 200.0;
// A change of the ratio takes effect at a deep service after about 300 ms; gains above the inverse, 3.3 per second,
// would oscillate.
static constexpr double decreaseGainPerSecond = 1.8;
static constexpr double increaseGainPerSecond = 2.0;
// At this ratio, the highest-priority rank is reduced to about a sixth. That bounds the overload that can be shed if
// all demand is of that rank.
static constexpr double minAdmissionRatio = 0.004;

} // namespace internal

void admission_ratio_controller::update(const load_sample& sample, time_point now)
{
    const milliseconds elapsed = now - m_lastUpdate;
    if (elapsed < internal::updateInterval || sample.slots <= 0.0)
        return;
    m_lastUpdate = now;
    const double offered = m_offeredWorkMs;
    m_offeredWorkMs = 0.0;
    if (elapsed > internal::maxInterval) {
        m_utilization = 0.0;
        m_admissionRatio = 1.0;
        return;
    }
    const double interval = elapsed.count();
    const double measured = offered / (interval * sample.slots);
    m_utilization += (1.0 - std::exp(-interval / internal::smoothingTimeMs)) * (measured - m_utilization);
    const double excessWait = std::max(0.0, sample.wait.count() - internal::toleratedWaitMs);
    const double spare = internal::targetUtilization - m_utilization - excessWait / internal::fullPenaltyWaitMs;
    constexpr double millisecondsPerSecond = 1000.0;
    const double gain = spare > 0.0 ? internal::increaseGainPerSecond : internal::decreaseGainPerSecond;
    const double change = std::max(-2.0, spare) * gain * interval / millisecondsPerSecond;
    m_admissionRatio = std::min(1.0, std::max(internal::minAdmissionRatio, m_admissionRatio * (1.0 + change)));
}

double rankAdmissionRatio(double ratio, std::uint32_t rank) noexcept
{
    // A rank is reduced only once the next lower priority is refused almost entirely.
    constexpr double rankFactors[] = { 40.0, 8.0, 1.0 };
    constexpr std::uint32_t lowestRank = 2;
    return std::min(1.0, ratio * rankFactors[std::min(rank, lowestRank)]);
}

} // namespace knapweedcroft
