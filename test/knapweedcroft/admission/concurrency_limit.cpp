#include "knapweedcroft/admission/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

static const time_point s_start { milliseconds { 1000 } };

static void finishCalls(concurrency_limit& limit, int calls, std::int64_t latency, time_point now)
{
    for (int call = 0; call < calls; ++call)
        limit.record(completion::finished, milliseconds { latency }, limit.value(), now);
}

// Guards against full load on a cold upstream, and against a ramp that never reaches the slots.
TEST(ConcurrencyLimit, RampsUpOnEvidence)
{
    concurrency_limit limit { gradient_limit {}, 4 };
    EXPECT_EQ(limit.value(), 0U);
    limit.setSlots(20);
    EXPECT_EQ(limit.value(), 4U);
    limit.record(completion::finished, milliseconds { 1 }, 1, s_start);
    EXPECT_EQ(limit.value(), 4U);
    finishCalls(limit, 100, 1, s_start);
    EXPECT_EQ(limit.value(), 20U);
    EXPECT_FALSE(limit.isWarmingUp());
    limit.resetLimit();
    EXPECT_EQ(limit.value(), 4U);
}

// Guards against a limit that collapses because a downstream service is slow.
TEST(ConcurrencyLimit, IgnoresLatency)
{
    concurrency_limit limit { gradient_limit {}, 4 };
    limit.setSlots(20);
    finishCalls(limit, 100, 10, s_start);
    finishCalls(limit, 100, 500, s_start + milliseconds { 500 });
    EXPECT_EQ(limit.value(), 20U);
}

// Guards against a limit that ignores shed calls, or that decreases once per call of a burst of shed calls.
TEST(ConcurrencyLimit, IsCutOncePerRoundTripOnSheds)
{
    concurrency_limit limit { aimd_limit { 0.5 }, 4 };
    limit.setSlots(20);
    finishCalls(limit, 100, 10, s_start);
    for (int shed = 0; shed < 10; ++shed)
        limit.record(completion::shed, milliseconds { 10 }, 20, s_start);
    EXPECT_EQ(limit.value(), 10U);
    limit.record(completion::shed, milliseconds { 10 }, 20, s_start + milliseconds { 10 });
    EXPECT_EQ(limit.value(), 5U);
    finishCalls(limit, 200, 10, s_start + milliseconds { 20 });
    EXPECT_EQ(limit.value(), 20U);
}

TEST(ConcurrencyLimit, StaysAtTheSlotsIfFixed)
{
    concurrency_limit limit { fixed_limit {}, 4 };
    limit.setSlots(20);
    limit.record(completion::shed, milliseconds { 10 }, 20, s_start);
    EXPECT_EQ(limit.value(), 20U);
}

} // namespace knapweedcroft
