#include "soak/soak_expectation.hpp"

namespace knapweedcroft::platform {

// Guards against a request that ends each upstream which runs it and is sent to the next one, and to the first one
// again as soon as that is back.
TEST(PoisonRequests, AreHeldBackAfterTheThirdCrash)
{
    fault_plan plan;
    plan.loadDuration = milliseconds { 8000 };
    plan.faults = { { fault_kind::poison_requests, 0, milliseconds { 500 }, milliseconds { 7000 } } };
    expectNoViolation(plan);
}

} // namespace knapweedcroft::platform
