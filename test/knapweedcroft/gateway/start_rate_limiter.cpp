#include "knapweedcroft/gateway/start_rate_limiter.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

// Starts whatever may start, each millisecond, and returns how many requests that are.
[[nodiscard]] int countStarts(start_rate_limiter& limiter, std::int64_t fromMs, std::int64_t untilMs)
{
    int count = 0;
    for (std::int64_t time = fromMs; time < untilMs; ++time) {
        while (limiter.mayStart(at(time))) {
            limiter.recordStart(at(time));
            ++count;
        }
    }
    return count;
}

} // namespace

TEST(StartRateLimiter, LimitsNothingWithoutARate)
{
    start_rate_limiter limiter;
    EXPECT_TRUE(limiter.mayStart(at(0)));
    EXPECT_EQ(limiter.delay(1000, at(0)), milliseconds {});
}

TEST(StartRateLimiter, KeepsTheNamedRate)
{
    for (const double rate : { 0.3, 1.0, 12.3, 400.0 }) {
        start_rate_limiter limiter;
        limiter.setRate(rate, at(0));
        EXPECT_NEAR(countStarts(limiter, 0, 20'000), rate * 20, 1.0) << rate;
    }
}

// Guards against a burst of everything that was not sent during a pause of the process or of the load.
TEST(StartRateLimiter, SavesNothingUpDuringAPause)
{
    start_rate_limiter limiter;
    limiter.setRate(10.0, at(0));
    EXPECT_LE(countStarts(limiter, 60'000, 60'099), 2);
}

// Guards against a burst at a new rate, in either direction.
TEST(StartRateLimiter, KeepsEachRateOfASeries)
{
    start_rate_limiter limiter;
    double allowed = 0.0;
    int started = 0;
    std::int64_t time = 0;
    for (const double rate : { 20.0, 5.0, 50.0, 0.2, 20.0, 2.0, 100.0 }) {
        limiter.setRate(rate, at(time));
        started += countStarts(limiter, time, time + 1000);
        allowed += rate;
        time += 1000;
        EXPECT_LE(started, allowed + 2.0) << rate;
    }
}

// Guards against a limit that never ends: without requests there are no answers that would tell.
TEST(StartRateLimiter, SendsARequestFromTimeToTimeAtARateOfZero)
{
    start_rate_limiter limiter;
    limiter.setRate(0.0, at(0));
    EXPECT_EQ(countStarts(limiter, 0, 4999), 0);
    EXPECT_EQ(countStarts(limiter, 4999, 20'500), 4);
}

TEST(StartRateLimiter, PredictsWhenARequestMayStart)
{
    start_rate_limiter limiter;
    limiter.setRate(10.0, at(0));
    EXPECT_EQ(limiter.delay(0, at(40)), milliseconds { 60 });
    EXPECT_EQ(limiter.delay(3, at(40)), milliseconds { 360 });
    EXPECT_EQ(limiter.delay(0, at(500)), milliseconds {});
    limiter.setRate(std::nullopt, at(500));
    EXPECT_EQ(limiter.delay(3, at(500)), milliseconds {});
}

} // namespace knapweedcroft
