#ifndef KNAPWEEDCROFT_TEST_NODE_OVERLOAD_TRIAL_HPP
#define KNAPWEEDCROFT_TEST_NODE_OVERLOAD_TRIAL_HPP

#include "knapweedcroft/node/node_group.hpp"

#include <array>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Overload trigger: a service deep in the call graph slows down, demand rises and clients retry at once. */
struct overload_trigger {
    service_name slowService;
    double slowFactor = 5.0; /*!< Factor on the service time of the slow service. */
    double demandFactor = 3.0; /*!< Demand during the trigger, relative to the demand before it. */
    double load = 0.6; /*!< Share of the capacity of the slow service that is used before the trigger. */
    milliseconds durationBefore { 3000 };
    milliseconds duration { 15'000 };
    milliseconds durationAfter { 10'000 };
};

/** @brief Measurements of one run; goodput is relative to what an ideal scheduler (the oracle) completes. */
struct overload_report {
    std::array<double, 4> goodputByClass {}; /*!< Goodput by class; 1 for a class without demand. */
    std::array<std::uint64_t, 4> oracleByClass {};
    std::array<std::uint64_t, 4> successesByClass {};
    double goodput = 0.0; /*!< All classes. */
    milliseconds recovery; /*!< From the trigger's end to that of the last window with a success share below 0.95. */
    double wastedShare = 0.0; /*!< Share of executions that were for failed requests or were repeated. */
    std::uint64_t executions = 0;
    std::uint64_t inversionsAtUpstream = 0;
    std::uint64_t inversionsAtEntry = 0;
};

/**
 * @brief Runs the trigger on a group of nodes.
 * @param settings Settings of the group; the demand of its shape is scaled to the load of the trigger.
 * @param charts State charts of the nodes.
 * @return Measurements from the start of the trigger.
 */
[[nodiscard]] overload_report runOverloadTrial(
    const group_settings& settings, const overload_trigger& trigger, const chart_set& charts);

} // namespace knapweedcroft

#endif
