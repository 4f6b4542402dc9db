#include "soak/poison_ledger.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

namespace {

[[nodiscard]] constexpr time_point at(std::int64_t ms) { return time_point { milliseconds { 100'000 + ms } }; }

} // namespace

TEST(PoisonLedger, FindsAFourthRetryAfterTheThirdCrash)
{
    poison_ledger ledger;
    for (const std::int64_t time : { 0, 100, 200 }) {
        ledger.recordArrival(at(time));
        ledger.recordCrash(at(time + 30));
    }
    ledger.recordArrival(at(730)); // Not yet due.
    for (const std::int64_t time : { 731, 800, 900 })
        ledger.recordArrival(at(time));
    EXPECT_EQ(ledger.violations().size(), 0U);
    ledger.recordArrival(at(1000));
    EXPECT_EQ(ledger.violations().size(), 1U);
}

TEST(PoisonLedger, RequiresNothingAfterTwoCrashes)
{
    poison_ledger ledger;
    ledger.recordCrash(at(0));
    ledger.recordCrash(at(100));
    for (std::int64_t time = 1000; time < 1010; ++time)
        ledger.recordArrival(at(time));
    EXPECT_EQ(ledger.violations().size(), 0U);
}

} // namespace knapweedcroft::platform
