#include "knapweedcroft/gateway/stop_schedule.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

// Clients stop using a node after two consecutive failed health checks, at one check per second.
static constexpr milliseconds healthCheckRemovalTime { 2300 };
static constexpr milliseconds exitMargin { 400 };
// Time to write the last answers; a large one takes 0.13 s at 1,000 Mbit/s.
static constexpr milliseconds writeTime { 150 };
// A request at which its upstream works must not be broken off before the last sixth of the grace period.
static constexpr std::int64_t graceParts = 6;
static constexpr milliseconds lastPartMargin { 200 };

} // namespace internal

stop_schedule makeStopSchedule(milliseconds grace)
{
    stop_schedule schedule;
    schedule.idleClose = internal::healthCheckRemovalTime;
    schedule.end = std::max(grace - internal::exitMargin, milliseconds {});
    schedule.lastAnswer = std::max(schedule.end - internal::writeTime, milliseconds {});
    const milliseconds lastPart = grace - grace / internal::graceParts + internal::lastPartMargin;
    schedule.lastStart = std::max(std::min(lastPart, schedule.lastAnswer - internal::writeTime), milliseconds {});
    return schedule;
}

} // namespace knapweedcroft
