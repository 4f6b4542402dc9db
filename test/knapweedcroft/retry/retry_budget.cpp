#include "knapweedcroft/retry/retry_budget.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

struct reserve_case {
    std::uint32_t balance;
    std::uint32_t reservation;
    std::uint32_t remaining;
};

class retry_budget_reserve_test : public testing::TestWithParam<reserve_case> { };

// Guards against reserving more than the balance, and against rounding that reserves nothing of a balance of one.
TEST_P(retry_budget_reserve_test, ReservesHalfRoundedUp)
{
    retry_budget budget { GetParam().balance };
    EXPECT_EQ(budget.reserve(), GetParam().reservation);
    EXPECT_EQ(budget.balance(), GetParam().remaining);
    EXPECT_EQ(budget.reserved(), GetParam().reservation);
}

INSTANTIATE_TEST_SUITE_P(Table, retry_budget_reserve_test,
    testing::Values(reserve_case { 0, 0, 0 }, reserve_case { 1, 1, 0 }, reserve_case { 2, 1, 1 },
        reserve_case { 5, 3, 2 }, reserve_case { 4294967295U, 2147483648U, 2147483647U }));

// Guards against a peer that returns more than was reserved for it, which would make the attempts of an action
// unbounded.
TEST(RetryBudget, ReturnsAtMostTheReservation)
{
    retry_budget budget { 4 };
    const std::uint32_t first = budget.reserve();
    const std::uint32_t second = budget.reserve();
    budget.release(second, 100);
    EXPECT_EQ(budget.balance(), 2U);
    budget.release(first, 0);
    budget.release(5);
    EXPECT_EQ(budget.balance(), 2U);
    EXPECT_EQ(budget.reserved(), 0U);
}

TEST(RetryBudget, SpendsUntilEmpty)
{
    retry_budget budget { 1 };
    EXPECT_TRUE(budget.spend());
    EXPECT_FALSE(budget.spend());
    EXPECT_EQ(budget.balance(), 0U);
}

} // namespace knapweedcroft
