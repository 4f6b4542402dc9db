#include "soak/request_ledger.hpp"

#include <gtest/gtest.h>

#include <string>

namespace knapweedcroft::platform {

// Guards against a soak that accepts requests which a stopping node has passed on and left without an answer.
TEST(RequestLedger, ReportsWhatAStoppingNodeHasPassedOnAndNotAnswered)
{
    const time_point now { milliseconds { 1 } };
    const soak_entry entry { "/order/", "shop", false, "" };
    const exchange_failure closed { true, error { error_kind::connection_failed, "closed" } };
    request_ledger ledger;
    ledger.setStopping("node", true);
    for (const char* id : { "unread", "lost" })
        ledger.recordSent(id, "node", entry, now);
    ledger.recordArrival("lost", "upstream", now);
    for (const char* id : { "unread", "lost" })
        ledger.recordEnd(id, closed, now);
    constexpr std::size_t maxAttempts = 2;
    const std::vector<std::string> found = ledger.violations({}, maxAttempts);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_NE(found.front().find("lost on node: no answer"), std::string::npos) << found.front();
}

} // namespace knapweedcroft::platform
