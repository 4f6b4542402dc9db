#include "keyed_calls_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iostream>

namespace knapweedcroft {

namespace {

constexpr int runsPerPlan = 5; // for each of the 100 plans of each of the four properties

[[nodiscard]] rc::Gen<model_fault> anyFault()
{
    return rc::gen::apply(
        [](int kind, std::int64_t at, std::size_t host, std::size_t distance, std::int64_t duration) {
            return model_fault { static_cast<model_fault_kind>(kind), at, host, (host + distance) % 4, duration };
        },
        rc::gen::inRange(0, static_cast<int>(model_fault_kind::leave) + 1),
        rc::gen::inRange<std::int64_t>(2000, 21'000), rc::gen::inRange<std::size_t>(0, keyed_calls_model::hostCount),
        rc::gen::inRange<std::size_t>(1, 4),
        rc::gen::weightedOneOf<std::int64_t>(
            { { 3, rc::gen::inRange<std::int64_t>(100, 8000) }, { 1, rc::gen::inRange<std::int64_t>(8000, 30'000) } }));
}

[[nodiscard]] model_plan anyPlan(const disabled_mechanisms& disabled)
{
    model_plan plan;
    plan.members = *rc::gen::inRange<std::size_t>(3, 6);
    const std::size_t count = *rc::gen::inRange<std::size_t>(0, 9);
    plan.faults = *rc::gen::container<std::vector<model_fault>>(count, anyFault());
    plan.seed = *rc::gen::arbitrary<std::uint64_t>();
    plan.disabled = disabled;
    return plan;
}

void checkRuns(model_plan plan)
{
    for (int run = 0; run < runsPerPlan; ++run) {
        ++plan.seed;
        keyed_calls_model model { plan };
        const std::string violations = model.run();
        RC_ASSERT(violations == std::string {});
    }
}

} // namespace

// Guards against keys that take effect twice, repeats that get different answers, and calls that ran but were reported
// as refused and not run.
RC_GTEST_PROP(keyed_calls, HoldUnderFaultsFirstPart, ()) { checkRuns(anyPlan({})); }
RC_GTEST_PROP(keyed_calls, HoldUnderFaultsSecondPart, ()) { checkRuns(anyPlan({})); }
RC_GTEST_PROP(keyed_calls, HoldUnderFaultsThirdPart, ()) { checkRuns(anyPlan({})); }
RC_GTEST_PROP(keyed_calls, HoldUnderFaultsFourthPart, ()) { checkRuns(anyPlan({})); }

struct mechanism_case {
    const char* name;
    disabled_mechanisms disabled;
    model_fault_kind fault; /*!< Injected in each plan; the fault that the mechanism protects against. */
    std::int64_t duration;
    std::int64_t firstKeyAt = 4000;
};

class keyed_calls_switch_test : public testing::TestWithParam<mechanism_case> { };

// Verifies that the model detects a violation when a mechanism is disabled, and none when the same plan runs with it.
TEST_P(keyed_calls_switch_test, ViolationIsFound)
{
    constexpr int maxRuns = 400;
    std::mt19937_64 random { 7 };
    const auto draw = [&random](std::uint64_t bound) { return static_cast<std::int64_t>(random() % bound); };
    for (int run = 0; run < maxRuns; ++run) {
        model_plan plan;
        plan.seed = random();
        plan.members = 3 + random() % 3;
        plan.disabled = GetParam().disabled;
        plan.firstKeyAt = GetParam().firstKeyAt;
        plan.length = plan.firstKeyAt + 3000;
        plan.keyInterval = 50;
        plan.attempts = 8;
        plan.retrySpan = 36'000;
        const std::int64_t at = 4000 + draw(2000);
        plan.faults.push_back({ GetParam().fault, at, random() % 3, 0, GetParam().duration + draw(4000) });
        if (GetParam().fault == model_fault_kind::leave)
            plan.faults.push_back({ model_fault_kind::join, at + draw(2000), 5, 0, 0 });
        keyed_calls_model model { plan };
        if (!model.run().empty()) {
            RecordProperty("runs_until_violation", run + 1);
            plan.disabled = {};
            EXPECT_EQ(keyed_calls_model { plan }.run(), "");
            return;
        }
    }
    FAIL() << "no violation in " << maxRuns << " runs";
}

INSTANTIATE_TEST_SUITE_P(mechanisms, keyed_calls_switch_test,
    testing::Values(mechanism_case { "leases", { true }, model_fault_kind::isolate, 18'000, 14'000 },
        mechanism_case { "takeover", { false, true }, model_fault_kind::kill, 9000 },
        mechanism_case { "hand_over", { false, false, true }, model_fault_kind::leave, 9000 },
        mechanism_case { "deadline", { false, false, false, true }, model_fault_kind::pause, 22'000 },
        mechanism_case {
            "deadline_from_receipt", { false, false, false, false, true }, model_fault_kind::pause, 22'000 },
        mechanism_case {
            "delegate_lease", { false, false, false, false, false, true }, model_fault_kind::pause, 22'000 }),
    [](const testing::TestParamInfo<mechanism_case>& tested) { return std::string { tested.param.name }; });

struct availability_case {
    const char* name;
    std::size_t members;
    std::vector<model_fault> faults;
    std::int64_t limit; /*!< Maximum time from the fault to the last refusal, in virtual ms. */
};

class keyed_calls_availability_test : public testing::TestWithParam<availability_case> { };

// Guards against keys that are refused after the crash of their holder for longer than section 8 of the design permits,
// or after a second crash for longer than twice that time. Prints the counts.
TEST_P(keyed_calls_availability_test, KeysAreServedAgain)
{
    constexpr std::int64_t faultAt = 8000;
    std::int64_t lastRefused = 0;
    std::int64_t lastUnknown = 0;
    int refused = 0;
    int unknown = 0;
    int timedUnknown = 0;
    int all = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        model_plan plan;
        plan.seed = seed;
        plan.members = GetParam().members;
        plan.length = 50'000;
        plan.firstKeyAt = faultAt;
        plan.keyInterval = 20;
        plan.attempts = 1;
        plan.retrySpan = 2000;
        plan.areClocksSkewed = false;
        plan.areRandomFaultsOff = true;
        plan.faults = GetParam().faults;
        keyed_calls_model model { plan };
        EXPECT_EQ(model.run(), "");
        for (const model_attempt& attempt : model.attempts()) {
            ++all;
            const bool isRefused = attempt.outcome && std::holds_alternative<refused_not_run>(*attempt.outcome);
            const bool isUnknown = !attempt.outcome || std::holds_alternative<outcome_unknown>(*attempt.outcome);
            const bool hasTimestamp = model.keys()[attempt.key].hasTimestamp;
            refused += isRefused ? 1 : 0;
            unknown += isUnknown ? 1 : 0;
            timedUnknown += isUnknown && hasTimestamp ? 1 : 0;
            if (isRefused)
                lastRefused = std::max(lastRefused, attempt.at - faultAt);
            if (isUnknown && hasTimestamp)
                lastUnknown = std::max(lastUnknown, attempt.at - faultAt);
        }
    }
    std::cout << GetParam().name << ": of " << all << " keys " << refused << " refused, last after " << lastRefused
              << " ms; " << unknown << " unknown, " << timedUnknown << " of them timed, last after " << lastUnknown
              << " ms\n";
    EXPECT_LE(lastRefused, GetParam().limit);
}

[[nodiscard]] static model_fault killAt(std::int64_t at, std::size_t host, std::int64_t restart)
{
    return { model_fault_kind::kill, at, host, 0, restart };
}

INSTANTIATE_TEST_SUITE_P(faults, keyed_calls_availability_test,
    testing::Values(availability_case { "kill_of_3", 3, { killAt(8000, 1, 90'000) }, 6000 },
        availability_case { "kill_of_4", 4, { killAt(8000, 1, 90'000) }, 6000 },
        availability_case { "kill_of_5", 5, { killAt(8000, 1, 90'000) }, 6000 },
        availability_case { "kill_and_restart_of_3", 3, { killAt(8000, 1, 1000) }, 6000 },
        availability_case { "kill_and_restart_of_5", 5, { killAt(8000, 1, 1000) }, 6000 },
        availability_case { "two_of_5_at_once", 5, { killAt(8000, 1, 90'000), killAt(8000, 2, 90'000) }, 6000 },
        availability_case { "two_of_4_at_once", 4, { killAt(8000, 1, 90'000), killAt(8000, 2, 90'000) }, 12'000 },
        availability_case {
            "second_of_3_before_eviction_is_read", 3, { killAt(8000, 1, 90'000), killAt(11'200, 2, 90'000) }, 12'000 },
        availability_case {
            "second_of_3_while_suspected", 3, { killAt(8000, 1, 90'000), killAt(12'500, 2, 90'000) }, 12'000 },
        availability_case {
            "all_of_3_restarted", 3, { killAt(8000, 0, 1000), killAt(8000, 1, 1000), killAt(8000, 2, 1000) }, 12'000 }),
    [](const testing::TestParamInfo<availability_case>& tested) { return std::string { tested.param.name }; });

} // namespace knapweedcroft
