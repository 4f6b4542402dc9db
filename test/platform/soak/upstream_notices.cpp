#include "soak/soak_expectation.hpp"

namespace knapweedcroft::platform {

namespace {

[[nodiscard]] fault_plan makePlan(std::vector<planned_fault> faults)
{
    fault_plan plan;
    plan.loadDuration = milliseconds { 8000 };
    plan.faults = std::move(faults);
    return plan;
}

} // namespace

// Guards against nodes that ignore the limit which an upstream in need names in its answers.
TEST(UpstreamNotices, KeepTheRateThatAnUpstreamNames)
{
    expectNoViolation(makePlan({ { fault_kind::upstream_limited, 0, milliseconds { 500 }, milliseconds { 7000 } },
        { fault_kind::upstream_limited, 1, milliseconds { 500 }, milliseconds { 7000 } } }));
}

// Guards against a burst at a limited upstream each time the node beside it starts again and does not know the limit.
TEST(UpstreamNotices, KeepTheRateWhileTheNodeBesideTheUpstreamStartsAgain)
{
    std::vector<planned_fault> faults { { fault_kind::upstream_limited, 0, milliseconds { 500 },
                                            milliseconds { 7000 } },
        { fault_kind::upstream_slow, 0, milliseconds { 1500 }, milliseconds { 6000 } } };
    for (const std::int64_t start : { 2000, 3000, 4000, 5000, 6000 })
        faults.push_back({ fault_kind::node_kill, 0, milliseconds { start }, milliseconds { 100 } });
    fault_plan plan = makePlan(std::move(faults));
    plan.upstreamRateLimit = 0.5;
    expectNoViolation(plan);
}

// Guards against nodes that wait for an announcement although an upstream says in its answers that it leaves.
TEST(UpstreamNotices, SendNothingMoreToAnUpstreamThatSaysItLeaves)
{
    expectNoViolation(makePlan({ { fault_kind::upstream_leaving, 0, milliseconds { 1000 }, milliseconds { 4000 } },
        { fault_kind::upstream_leaving, 3, milliseconds { 2000 }, milliseconds { 4000 } } }));
}

// Guards against nodes that passed on that an upstream leaves, and forget it when the node beside that upstream starts
// again.
TEST(UpstreamNotices, OutliveTheNodeBesideAnUpstreamThatSaysItLeaves)
{
    expectNoViolation(makePlan({ { fault_kind::upstream_leaving, 0, milliseconds { 1000 }, milliseconds { 6000 } },
        { fault_kind::node_kill, 0, milliseconds { 2500 }, milliseconds { 200 } } }));
}

// Guards against a node that acknowledges a leave while the store is away and offers the upstream again when it starts
// anew, from its old record (DRAIN).
TEST(UpstreamNotices, OutliveTheNodeThatAcknowledgedALeave)
{
    fault_plan plan = makePlan({ { fault_kind::store_away_refusing, 0, milliseconds { 500 }, milliseconds { 2000 } },
        { fault_kind::upstream_left, 0, milliseconds { 700 }, milliseconds { 9000 } },
        { fault_kind::node_kill, 0, milliseconds { 1500 }, milliseconds { 500 } } });
    plan.loadDuration = milliseconds { 10'000 };
    expectNoViolation(plan);
}

} // namespace knapweedcroft::platform
