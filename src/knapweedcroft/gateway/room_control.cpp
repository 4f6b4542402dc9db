#include "knapweedcroft/gateway/room_control.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds updateInterval { 50 };
static constexpr milliseconds longestInterval { 500 }; // After a longer gap, what was measured before says nothing.
static constexpr double smoothingTime = 120.0; // In ms.
static constexpr double targetUtilization = 1.0;
// A queue that a burst leaves behind drains by itself; other upstreams may take a part of it.
static constexpr double harmlessWait = 40.0; // In ms.
// A queue whose wait has this length in ms counts as much as full utilization beyond the target.
static constexpr double fullWait = 200.0;
// Whole requests reach the deep service within about 300 ms; gains per second beyond the inverse would oscillate.
static constexpr double decreaseGain = 1.8; // Per second.
static constexpr double increaseGain = 2.0; // Per second.
// The most urgent rank is cut to a sixth at this share, which must do for demand of that rank alone.
static constexpr double leastShare = 0.004;

} // namespace internal

void room_control::update(const room_sample& sample, time_point now)
{
    const milliseconds elapsed = now - m_updatedAt;
    if (elapsed < internal::updateInterval || sample.slots == 0)
        return;
    m_updatedAt = now;
    const double offered = m_offered;
    m_offered = 0.0;
    if (elapsed > internal::longestInterval) {
        m_utilization = 0.0;
        m_share = 1.0;
        return;
    }
    const double interval = elapsed.count();
    const double measured = offered / (interval * static_cast<double>(sample.slots));
    m_utilization += (1.0 - std::exp(-interval / internal::smoothingTime)) * (measured - m_utilization);
    const double excessWait = std::max(0.0, sample.wait.count() - internal::harmlessWait);
    const double spare = internal::targetUtilization - m_utilization - excessWait / internal::fullWait;
    constexpr double millisecondsPerSecond = 1000.0;
    const double gain = spare > 0.0 ? internal::increaseGain : internal::decreaseGain;
    const double change = std::max(-2.0, spare) * gain * interval / millisecondsPerSecond;
    m_share = std::min(1.0, std::max(internal::leastShare, m_share * (1.0 + change)));
}

double admittedShare(double room, std::uint32_t rank) noexcept
{
    // A rank is cut only when the next less urgent one has given way almost wholly.
    constexpr double steps[] = { 40.0, 8.0, 1.0 };
    constexpr std::uint32_t lastStep = 2;
    return std::min(1.0, room * steps[std::min(rank, lastStep)]);
}

} // namespace knapweedcroft
