#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_PLAN_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_PLAN_HPP

#include "knapweedcroft/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft::platform {

/** @brief What goes wrong. */
enum class fault_kind : unsigned char {
    node_kill, /*!< SIGKILL, and a new process later. */
    node_freeze, /*!< SIGSTOP, and SIGCONT later. */
    node_stop, /*!< SIGTERM, and a new process after its end. */
    kill_all, /*!< All nodes at once. */
    links_silent, /*!< No byte reaches the node over links that others opened, nor back. */
    links_one_way, /*!< As above, but bytes towards the node pass. */
    links_reset,
    links_slow,
    store_refusing, /*!< For one node, like the other faults of the store. */
    store_silent,
    store_slow,
    store_answers_lost,
    store_forgets, /*!< The history of all topics is deleted. */
    upstream_crash, /*!< And a new incarnation later. */
    upstream_slow,
    upstream_answers_lost,
    configuration_change
};

/** @brief Returns the name of a kind. */
[[nodiscard]] std::string_view toString(fault_kind kind);

/** @brief One fault of a plan. */
struct planned_fault {
    fault_kind kind = fault_kind::node_kill;
    std::size_t host = 0;
    milliseconds start; /*!< From the start of the load. */
    milliseconds duration;
};

/** @brief Time for which the load runs. */
constexpr milliseconds soakTime { 6000 };

/**
 * @brief Draws the faults of a run, in series and overlapping; all end before the load does.
 * @param seed One seed gives one plan.
 * @param hosts Number of hosts.
 * @return The faults in the order of their start.
 */
[[nodiscard]] std::vector<planned_fault> drawPlan(std::uint64_t seed, std::size_t hosts);

/** @brief Describes a plan in one line. */
[[nodiscard]] std::string describe(const std::vector<planned_fault>& plan);

} // namespace knapweedcroft::platform

#endif
