#include "soak/soak_run.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

// Guards against a request that ends each upstream which runs it and is sent to the next one, and to the first one
// again as soon as that is back.
TEST(PoisonRequests, AreHeldBackAfterTheThirdCrash)
{
    fault_plan plan;
    plan.loadDuration = milliseconds { 8000 };
    plan.faults = { { fault_kind::poison_requests, 0, milliseconds { 500 }, milliseconds { 7000 } } };
    soak_run run { 1, plan };
    const soak_report report = run.execute();
    EXPECT_EQ(report.violations.size(), 0U)
        << report.summary << "\n  " << (report.violations.empty() ? "" : report.violations.front());
}

} // namespace knapweedcroft::platform
