#include "soak/soak_expectation.hpp"

namespace knapweedcroft::platform {

namespace {

constexpr std::size_t lastHost = 3;
constexpr milliseconds instant {};

[[nodiscard]] fault_plan makePlan(std::vector<planned_fault> faults)
{
    fault_plan plan;
    plan.sharedReadingFrom = 0;
    plan.loadDuration = milliseconds { 17'000 };
    plan.hasProbes = true;
    plan.faults = std::move(faults);
    return plan;
}

} // namespace

// Guards against a long poll into a silent store that hides the return of the store: a change confirmed right after the
// return was in force up to 4.3 s later.
TEST(ConfigurationFaults, AppliesChangesConfirmedRightAfterAnOutage)
{
    const std::vector<planned_fault> faults {
        { fault_kind::configuration_change, 0, milliseconds { 1000 }, instant },
        { fault_kind::store_away, 0, milliseconds { 1200 }, milliseconds { 8850 } },
        { fault_kind::configuration_change, 0, milliseconds { 5000 }, instant },
    };
    expectNoViolation(makePlan(faults));
}

// Guards against nodes that ask only peers of their own data centre while the store turns all of these away.
TEST(ConfigurationFaults, AppliesChangesInADataCentreThatTheStoreTurnsAway)
{
    const std::vector<planned_fault> faults {
        { fault_kind::data_centre_turned_away, lastHost, milliseconds { 1000 }, milliseconds { 13'000 } },
        { fault_kind::configuration_change, 0, milliseconds { 2000 }, instant },
    };
    expectNoViolation(makePlan(faults));
}

// The same with a shared reader, which hands on changes within its data centre only.
TEST(ConfigurationFaults, AppliesChangesInADataCentreOfASharedReaderThatTheStoreTurnsAway)
{
    fault_plan plan = makePlan({
        { fault_kind::data_centre_turned_away, lastHost, milliseconds { 1000 }, milliseconds { 13'000 } },
        { fault_kind::configuration_change, 0, milliseconds { 2000 }, instant },
    });
    plan.sharedReadingFrom = 2;
    expectNoViolation(plan);
}

} // namespace knapweedcroft::platform
