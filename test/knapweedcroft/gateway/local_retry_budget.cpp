#include "knapweedcroft/gateway/local_retry_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace knapweedcroft {

// The retries of all nodes together stay within the ratio and the slack in every window, whichever node retries.
TEST(LocalRetryBudget, HoldsInEveryWindowOverAllNodes)
{
    constexpr std::size_t nodeCount = 5;
    constexpr std::int64_t windowTime = 10'000;
    const local_retry_budget_settings settings { 0.2, 49.0, milliseconds { windowTime } };
    std::vector<local_retry_budget> nodes(nodeCount, local_retry_budget { settings });
    for (local_retry_budget& node : nodes)
        node.setNodeCount(nodeCount);
    std::mt19937 random { 11 };
    std::vector<std::int64_t> firstAttempts;
    std::vector<std::int64_t> retries;
    for (std::int64_t now = 0; now < 60'000; now += 5) {
        const time_point at { milliseconds { now } };
        // The load moves between the nodes and pauses for a while.
        const std::size_t busy = static_cast<std::size_t>(now / 7000) % nodeCount;
        if (now < 20'000 || now > 34'000) {
            nodes[busy].recordFirstAttempt("visits", at);
            firstAttempts.push_back(now);
        }
        if (nodes[random() % nodeCount].spend("visits", at))
            retries.push_back(now);
    }
    const auto within = [](const std::vector<std::int64_t>& times, std::int64_t start) {
        return std::count_if(times.begin(), times.end(),
            [start](std::int64_t time) { return start <= time && time < start + windowTime; });
    };
    for (std::int64_t start = 0; start <= 50'000; start += 100) {
        const std::int64_t maxFirstAttempts = std::max({ within(firstAttempts, start),
            within(firstAttempts, start - windowTime), within(firstAttempts, start - 5000) });
        EXPECT_LE(within(retries, start), 0.2 * static_cast<double>(maxFirstAttempts) + 49.0)
            << "window from " << start;
    }
    EXPECT_GT(retries.size(), 50U);
}

TEST(LocalRetryBudget, CountsEachServiceSeparately)
{
    local_retry_budget allowance { { 0.5, 0.0, milliseconds { 1000 } } };
    const time_point now { milliseconds { 1 } };
    for (int count = 0; count < 10; ++count)
        allowance.recordFirstAttempt("a", now);
    EXPECT_FALSE(allowance.spend("b", now));
    EXPECT_TRUE(allowance.spend("a", now));
}

// Guards against retries on top of those that the called service inherits from its callers (BUDGET).
TEST(LocalRetryBudget, CountsInheritedRetriesAgainstTheLimit)
{
    local_retry_budget budget { { 0.5, 0.0, milliseconds { 1000 } } };
    const time_point now { milliseconds { 1 } };
    for (int count = 0; count < 10; ++count)
        budget.recordFirstAttempt("a", now);
    for (int count = 0; count < 4; ++count)
        budget.recordInheritedRetry("a", now);
    EXPECT_FALSE(budget.spend("a", now));
    const time_point later = now + milliseconds { 1200 };
    for (int count = 0; count < 10; ++count)
        budget.recordFirstAttempt("a", later);
    EXPECT_TRUE(budget.spend("a", later)) << "the window of the inherited ones is over";
}

} // namespace knapweedcroft
