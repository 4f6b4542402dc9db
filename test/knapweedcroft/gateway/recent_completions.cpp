#include "knapweedcroft/gateway/recent_completions.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

} // namespace

TEST(RecentCompletions, ContainsWhatCompletedWithinASecond)
{
    recent_completions completions;
    completions.record(1, at(0));
    EXPECT_TRUE(completions.contains(1, at(1000)));
    EXPECT_FALSE(completions.contains(1, at(1001)));
    EXPECT_FALSE(completions.contains(2, at(0)));
}

TEST(RecentCompletions, KeepsAContentThatCompletesAgain)
{
    recent_completions completions;
    completions.record(1, at(0));
    completions.record(1, at(900));
    completions.record(2, at(1500));
    EXPECT_TRUE(completions.contains(1, at(1500)));
}

// Guards against memory that grows with each content.
TEST(RecentCompletions, ForgetsWhatCompletedEarlier)
{
    recent_completions completions;
    for (std::uint64_t digest = 0; digest < 10'000; ++digest)
        completions.record(digest, at(static_cast<std::int64_t>(digest)));
    EXPECT_LE(completions.size(), 1001U);
}

} // namespace knapweedcroft
