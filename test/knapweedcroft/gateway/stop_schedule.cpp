#include "knapweedcroft/gateway/stop_schedule.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace knapweedcroft {

// Guards against requests that are broken off before the last sixth of the grace period, and against a process that is
// killed before it has written its last answers.
TEST(StopSchedule, GivesUpInTheLastSixthAndEndsInTime)
{
    const milliseconds grace { 6000 };
    const stop_schedule schedule = makeStopSchedule(grace);
    EXPECT_GT(schedule.lastStart, milliseconds { 5000 });
    EXPECT_GE(schedule.lastAnswer - schedule.lastStart, milliseconds { 100 });
    EXPECT_GE(schedule.end - schedule.lastAnswer, milliseconds { 100 });
    EXPECT_GE(grace - schedule.end, milliseconds { 300 });
}

TEST(StopSchedule, KeepsItsOrderForAnyGracePeriod)
{
    for (std::int64_t grace = 0; grace <= 60'000; grace += 50) {
        const stop_schedule schedule = makeStopSchedule(milliseconds { grace });
        EXPECT_GE(schedule.lastStart, milliseconds {}) << grace;
        EXPECT_LE(schedule.lastStart, schedule.lastAnswer) << grace;
        EXPECT_LE(schedule.lastAnswer, schedule.end) << grace;
        EXPECT_LE(schedule.end, milliseconds { grace }) << grace;
    }
}

} // namespace knapweedcroft
