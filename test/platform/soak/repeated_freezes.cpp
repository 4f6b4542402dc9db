#include "soak/soak_expectation.hpp"

namespace knapweedcroft::platform {

// Guards against nodes that send a peer nothing any more after it has frozen twice in a row: its second link ended
// uncleanly, and the status of its upstream was forgotten although the first link worked (RECOVER).
TEST(RepeatedFreezes, AreFollowedByService)
{
    fault_plan plan;
    plan.loadDuration = milliseconds { 9000 };
    std::int64_t start = 500;
    for (const std::size_t host : { 1U, 3U, 0U, 2U }) {
        plan.faults.push_back({ fault_kind::node_freeze, host, milliseconds { start }, milliseconds { 900 } });
        plan.faults.push_back({ fault_kind::node_freeze, host, milliseconds { start + 925 }, milliseconds { 1000 } });
        start += 2000;
    }
    expectNoViolation(plan);
}

} // namespace knapweedcroft::platform
