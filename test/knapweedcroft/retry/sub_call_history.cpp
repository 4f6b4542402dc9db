#include "knapweedcroft/retry/sub_call_history.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

// Guards against a repeat that is classified as a first sub-call, and against distinct sub-calls classified as repeats.
TEST(SubCallHistory, TellsRepeatsFromFirstCalls)
{
    sub_call_history history { 20 };
    const auto isFirst = [&history](const char* entry, const std::optional<std::string>& key, std::uint64_t hash) {
        return std::holds_alternative<first_sub_call>(history.record(entry, key, hash));
    };
    EXPECT_TRUE(isFirst("a", std::nullopt, 1));
    EXPECT_FALSE(isFirst("a", std::nullopt, 1));
    EXPECT_TRUE(isFirst("a", std::nullopt, 2));
    EXPECT_TRUE(isFirst("b", std::nullopt, 1));
    EXPECT_TRUE(isFirst("a", "key", 1));
    EXPECT_FALSE(isFirst("a", "key", 3));
    EXPECT_TRUE(isFirst("a", "other", 1));
    const sub_call_kind third = history.record("a", std::nullopt, 1);
    ASSERT_TRUE(std::holds_alternative<repeated_sub_call>(third));
    EXPECT_EQ(std::get<repeated_sub_call>(third).repeats, 2U);
}

// Guards against unbounded fan-out of a call, by new sub-calls or by repeats.
TEST(SubCallHistory, StopsAtTheLimit)
{
    sub_call_history history { 2 };
    EXPECT_TRUE(std::holds_alternative<first_sub_call>(history.record("a", std::nullopt, 1)));
    EXPECT_TRUE(std::holds_alternative<repeated_sub_call>(history.record("a", std::nullopt, 1)));
    EXPECT_TRUE(std::holds_alternative<sub_call_limit_reached>(history.record("a", std::nullopt, 1)));
    EXPECT_TRUE(std::holds_alternative<sub_call_limit_reached>(history.record("b", std::nullopt, 1)));
    EXPECT_EQ(history.count(), 2U);
}

} // namespace knapweedcroft
