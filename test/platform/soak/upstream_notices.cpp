#include "soak/soak_run.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

namespace {

constexpr std::uint64_t seed = 1;

[[nodiscard]] soak_report play(std::vector<planned_fault> faults)
{
    fault_plan plan;
    plan.loadDuration = milliseconds { 8000 };
    plan.faults = std::move(faults);
    soak_run run { seed, std::move(plan) };
    return run.execute();
}

void expectNoViolation(const soak_report& report)
{
    EXPECT_EQ(report.violations.size(), 0U)
        << report.summary << "\n  " << (report.violations.empty() ? "" : report.violations.front());
}

} // namespace

// Guards against nodes that ignore the limit which an upstream in need names in its answers.
TEST(UpstreamNotices, KeepTheRateThatAnUpstreamNames)
{
    expectNoViolation(play({ { fault_kind::upstream_limited, 0, milliseconds { 500 }, milliseconds { 7000 } },
        { fault_kind::upstream_limited, 1, milliseconds { 500 }, milliseconds { 7000 } } }));
}

} // namespace knapweedcroft::platform
