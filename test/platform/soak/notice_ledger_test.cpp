#include "soak/notice_ledger.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

namespace {

[[nodiscard]] constexpr time_point at(std::int64_t ms) { return time_point { milliseconds { 100'000 + ms } }; }

// Upstream `u` names a limit of 10 requests per second from 0 ms on, and node `n` passes it on at 100 ms.
class notice_ledger_test : public testing::Test {
protected:
    notice_ledger_test()
    {
        m_ledger.recordLimit("u", 10.0, at(0));
        m_ledger.recordResponse("n", m_answer, at(100));
    }

    void recordArrival(std::int64_t ms) { m_ledger.recordArrival("u", "n", at(ms), at(ms)); }

    void recordArrivals(std::size_t count, std::int64_t fromMs, std::int64_t intervalMs)
    {
        for (std::size_t number = 0; number < count; ++number)
            recordArrival(fromMs + static_cast<std::int64_t>(number) * intervalMs);
    }

    opaque_response m_answer { 200, { { "X-Response-Signature", "u" }, { "Server-Limit", "10.0" } }, {} };
    notice_ledger m_ledger;
};

} // namespace

// 4 s x 10 per second x 1.5 + 5 = 65.
TEST_F(notice_ledger_test, FindsMoreRequestsThanTheLimitAllows)
{
    recordArrivals(65, 1000, 50);
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    EXPECT_EQ(m_ledger.maxCounted(), 65U);
    recordArrival(4990);
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(notice_ledger_test, CountsOnlyNodesThatHavePassedTheLimitOn)
{
    recordArrivals(100, 300, 1);
    EXPECT_EQ(m_ledger.maxCounted(), 0U);
    m_ledger.recordDisturbance("n");
    recordArrivals(100, 1000, 1);
    EXPECT_EQ(m_ledger.maxCounted(), 0U);
    m_ledger.recordResponse("n", m_answer, at(2000));
    recordArrivals(100, 2500, 1);
    EXPECT_EQ(m_ledger.maxCounted(), 100U);
}

TEST_F(notice_ledger_test, ChecksNoWindowInWhichTheLimitEnds)
{
    recordArrivals(100, 1000, 10);
    m_ledger.recordLimit("u", std::nullopt, at(4900));
    EXPECT_EQ(m_ledger.violations().size(), 0U);
}

TEST_F(notice_ledger_test, AllowsWhatEachLimitOfAWindowAllows)
{
    m_ledger.recordLimit("u", 100.0, at(3000));
    recordArrivals(335, 1000, 11);
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    recordArrival(4999);
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(notice_ledger_test, FindsARequestToALeavingUpstream)
{
    m_ledger.recordResponse("n", { 200, { { "X-Response-Signature", "u" }, { "Server-Leaving", "1" } }, {} }, at(200));
    m_ledger.recordArrival("u", "n", at(200), at(300));
    m_ledger.recordArrival("u", "other", at(400), at(400));
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    m_ledger.recordArrival("u", "n", at(201), at(300));
    EXPECT_EQ(m_ledger.violations().size(), 1U);
    m_ledger.recordDisturbance("n");
    m_ledger.recordArrival("u", "n", at(500), at(500));
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(notice_ledger_test, FindsARequestAfterAnAcknowledgedLeave)
{
    m_ledger.recordLeaveAcknowledged("u", "n", at(1000));
    m_ledger.recordArrival("u", "other", at(3000), at(3001));
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    m_ledger.recordArrival("u", "other", at(3001), at(3001));
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(notice_ledger_test, BindsOnlyNodesInTouchByAnAcknowledgedLeave)
{
    m_ledger.recordLeaveAcknowledged("u", "n", at(1000));
    for (const char* disturbed : { "n", "other" }) {
        m_ledger.setOutOfTouch(disturbed, true, at(1500));
        m_ledger.recordArrival("u", "other", at(6000), at(6000));
        m_ledger.setOutOfTouch(disturbed, false, at(6500));
        m_ledger.recordArrival("u", "other", at(7000), at(7000));
        EXPECT_EQ(m_ledger.violations().size(), 0U) << disturbed;
    }
    m_ledger.recordArrival("u", "other", at(7001), at(7001));
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

} // namespace knapweedcroft::platform
