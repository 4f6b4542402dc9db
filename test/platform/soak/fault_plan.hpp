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

/** @brief Kind of an injected fault. */
enum class fault_kind : unsigned char {
    node_kill, /*!< SIGKILL; a new process starts when the fault ends. */
    node_freeze, /*!< SIGSTOP; SIGCONT when the fault ends. */
    node_stop, /*!< SIGTERM; a new process starts after the exit. */
    kill_all, /*!< SIGKILL of all nodes at once. */
    links_silent, /*!< No bytes pass in either direction on the links that other nodes opened. */
    links_one_way, /*!< As `links_silent`, but bytes to the node pass. */
    links_reset,
    links_slow,
    store_refusing, /*!< Affects one node, as do the next three store faults. */
    store_silent,
    store_slow,
    store_answers_lost,
    store_forgets, /*!< The history of all topics is deleted. */
    upstream_crash, /*!< A new incarnation starts when the fault ends. */
    upstream_slow,
    upstream_answers_lost,
    configuration_change,
    store_older_copy /*!< The store comes back from a copy of a second ago, with a new era. */
};

[[nodiscard]] std::string_view toString(fault_kind kind);

/** @brief A scheduled fault. */
struct planned_fault {
    fault_kind kind = fault_kind::node_kill;
    std::size_t host = 0;
    milliseconds start; /*!< Relative to the start of the load. */
    milliseconds duration;
};

/** @brief Time for which clients send requests. */
constexpr milliseconds loadDuration { 6000 };

/**
 * @brief Generates a random sequence of faults, which may overlap and all end before the load does.
 * @param seed Determines the plan.
 * @param hosts Number of hosts.
 * @return The faults, ordered by start time.
 */
[[nodiscard]] std::vector<planned_fault> generateFaultPlan(std::uint64_t seed, std::size_t hosts);

/** @brief Returns a one-line description of a plan. */
[[nodiscard]] std::string describe(const std::vector<planned_fault>& plan);

} // namespace knapweedcroft::platform

#endif
