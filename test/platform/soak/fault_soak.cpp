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

// KNAPWEED_SOAK_SEEDS=FIRST-LAST plays other seeds than those of CI.
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

// A request that runs twice, one that ran and is called "not run", an answer that goes to another request, a request
// without an answer, repeats beyond the budget, and a node that does not come back after faults.
TEST(FaultSoak, PromisesHoldUnderSeededFaults)
{
    const seed_range seeds = readSeeds();
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        soak_run run { seed };
        const soak_report report = run.play();
        std::cout << "seed " << seed << ": " << report.violations.size() << " violations; " << report.summary << "\n  "
                  << report.plan << std::endl; // NOLINT(performance-avoid-endl): a run may be watched or ended by hand
        constexpr std::size_t mostShown = 10;
        for (std::size_t number = 0; number < std::min(mostShown, report.violations.size()); ++number)
            ADD_FAILURE() << "seed " << seed << ": " << report.violations[number];
    }
}

} // namespace knapweedcroft::platform
