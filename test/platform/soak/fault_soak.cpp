#include "soak/soak_run.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

namespace knapweedcroft::platform {

namespace {

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t last = 3;
};

// The environment variable KNAPWEED_SOAK_SEEDS=FIRST-LAST replaces the default seeds, which CI runs.
[[nodiscard]] seed_range readSeeds()
{
    const char* text = std::getenv("KNAPWEED_SOAK_SEEDS"); // NOLINT(concurrency-mt-unsafe): one thread
    seed_range seeds;
    if (text == nullptr)
        return seeds;
    const std::string value { text };
    const std::size_t dash = value.find('-');
    seeds.first = std::stoull(value.substr(0, dash));
    seeds.last = dash == std::string::npos ? seeds.first : std::stoull(value.substr(dash + 1));
    return seeds;
}

} // namespace

static void playSeeds(fault_plan (*generatePlan)(std::uint64_t))
{
    const seed_range seeds = readSeeds();
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        soak_run run { seed, generatePlan(seed) };
        const soak_report report = run.execute();
        std::cout << "seed " << seed << ": " << report.violations.size() << " violations; " << report.summary << "\n  "
                  << report.plan << std::endl; // NOLINT(performance-avoid-endl): shows progress if a run is interrupted
        constexpr std::size_t maxShown = 10;
        for (std::size_t number = 0; number < std::min(maxShown, report.violations.size()); ++number)
            ADD_FAILURE() << "seed " << seed << ": " << report.violations[number];
    }
}

// Guards against requests that run twice, that run although the answer says "not run", that get the answer to another
// request or none at all, against retries beyond the budget, and against nodes that do not recover after faults.
TEST(FaultSoak, PromisesHoldUnderSeededFaults) { playSeeds(&generateFaultPlan); }

// Guards, under the same faults, against requests beyond the limit of an upstream, requests to an upstream that leaves,
// and a request that crashes one upstream after the other.
TEST(UpstreamSoak, NoticesAndCrashesOfUpstreamsAreHeeded) { playSeeds(&generateUpstreamPlan); }

// Guards against configuration changes that are in force too late or come back older after faults of the store.
TEST(ConfigurationSoak, ChangesAreInForceInTime) { playSeeds(&generateConfigurationPlan); }

// Guards against requests that are passed on and get no answer, or that run twice, while processes stop, reload and
// restart in overlapping series and clients keep their connections.
TEST(SignalSoak, LosesNoRequestOfOpenConnections) { playSeeds(&generateSignalPlan); }

} // namespace knapweedcroft::platform
