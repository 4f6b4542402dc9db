#include "soak/configuration_ledger.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

namespace {

[[nodiscard]] constexpr time_point at(std::int64_t ms) { return time_point { milliseconds { 100'000 + ms } }; }

[[nodiscard]] configuration_probe probe(std::int64_t version, std::int64_t sentMs, bool isServed)
{
    return { "n1", 1, version, at(sentMs), at(sentMs + 10), isServed };
}

// Version 1 is acknowledged at 0 ms, version 2 at 4000 ms.
class configuration_ledger_test : public testing::Test {
protected:
    configuration_ledger_test()
    {
        m_ledger.recordChange(1, at(0));
        m_ledger.recordChange(2, at(4000));
    }

    [[nodiscard]] std::size_t violationsOf(const configuration_probe& seen)
    {
        m_ledger.recordProbe(seen);
        return m_ledger.violations().size();
    }

    configuration_ledger m_ledger;
};

} // namespace

TEST_F(configuration_ledger_test, FindsARequestHandledByAnOlderVersion)
{
    EXPECT_EQ(violationsOf(probe(1, 6000, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 6001, true)), 1U);
}

TEST_F(configuration_ledger_test, FindsAMissingRoute)
{
    EXPECT_EQ(violationsOf(probe(2, 6000, false)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 7000, false)), 0U);
    EXPECT_EQ(violationsOf(probe(2, 7000, false)), 1U);
}

TEST_F(configuration_ledger_test, RequiresNothingRightAfterADisturbance)
{
    m_ledger.setDisturbed("n1", true, at(4500));
    m_ledger.setDisturbed("n1", false, at(5000));
    EXPECT_EQ(violationsOf(probe(1, 8000, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 8001, true)), 1U);
}

TEST_F(configuration_ledger_test, RequiresNothingRightAfterAnOutage)
{
    m_ledger.setOutage(true, at(3000));
    m_ledger.setOutage(false, at(5000));
    EXPECT_EQ(violationsOf(probe(1, 8000, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 8001, true)), 1U);
}

TEST_F(configuration_ledger_test, AllowsMoreTimeWhileNodesAreTurnedAway)
{
    m_ledger.setTurningAway(true, at(3000));
    EXPECT_EQ(violationsOf(probe(1, 11'000, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 11'001, true)), 1U);
}

TEST_F(configuration_ledger_test, FindsAProcessThatGoesBack)
{
    EXPECT_EQ(violationsOf(probe(2, 4100, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 4360, true)), 0U);
    EXPECT_EQ(violationsOf(probe(1, 4361, true)), 1U);
}

} // namespace knapweedcroft::platform
