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
    configuration_change, /*!< A series of versions; written once the store is back if it is away. */
    store_older_copy, /*!< The store comes back from a copy of a second ago, with a new era. */
    store_away, /*!< For all nodes; bytes on open connections are lost, and these connections stay silent for good. */
    store_away_refusing, /*!< For all nodes; connections are reset. */
    data_centre_turned_away, /*!< The store resets the connections of all nodes of the host's data centre. */
    connections_silenced, /*!< All open connections to the store fall silent for good; new ones work. */
    kill_some, /*!< SIGKILL of every second node. */
    node_reload, /*!< The settings file changes, and SIGHUP reports it. */
    upstream_limited, /*!< The upstream names a limit on its rate of requests in its answers. */
    /** @brief The upstream says in its answers only that it leaves; a new incarnation starts when the fault ends. */
    upstream_leaving,
    /** @brief The upstream announces that it leaves and goes on serving; a new incarnation starts when the fault ends.
     */
    upstream_left,
    poison_requests /*!< A request content that crashes upstreams is sent again and again. */
};

[[nodiscard]] std::string_view toString(fault_kind kind);

/** @brief A scheduled fault. */
struct planned_fault {
    fault_kind kind = fault_kind::node_kill;
    std::size_t host = 0;
    milliseconds start; /*!< Relative to the start of the load. */
    milliseconds duration;

    friend bool operator==(const planned_fault& lhs, const planned_fault& rhs)
    {
        return lhs.kind == rhs.kind && lhs.host == rhs.host && lhs.start == rhs.start && lhs.duration == rhs.duration;
    }
};

/** @brief Size of a run and its faults. */
struct fault_plan {
    std::size_t hosts = 4;
    /** @brief Nodes of a data centre that share the reading of the store; by default the two that a data centre has, so
     * that the faults also hit the hand-over between readers. */
    std::size_t sharedReadingFrom = 2;
    milliseconds loadDuration { 6000 }; /*!< Time for which clients send requests; all faults end before. */
    double upstreamRateLimit
        = 12.5; /*!< Requests per second that a limited upstream names; the load offers some 100. */
    bool hasProbes = false; /*!< Clients also send requests for routes that only one version has. */
    std::vector<planned_fault> faults; /*!< Ordered by start time. */
};

/** @brief Generates a random sequence of faults of all kinds, which may overlap, on four hosts. */
[[nodiscard]] fault_plan generateFaultPlan(std::uint64_t seed);

/** @brief Adds upstreams that name a limit, leave or crash on a request to the faults of `generateFaultPlan`. */
[[nodiscard]] fault_plan generateUpstreamPlan(std::uint64_t seed);

/**
 * @brief Generates faults of the store and of nodes with series of configuration changes during and right after them.
 *
 * Every tenth seed has 100 hosts.
 */
[[nodiscard]] fault_plan generateConfigurationPlan(std::uint64_t seed);

/**
 * @brief Generates series of stops, reloads, kills and configuration changes that overlap on few hosts.
 *
 * Clients keep using the connections of a stopping node until its process has ended. Every tenth seed has 60 hosts.
 */
[[nodiscard]] fault_plan generateSignalPlan(std::uint64_t seed);

/** @brief Returns a one-line description of a plan. */
[[nodiscard]] std::string describe(const fault_plan& plan);

} // namespace knapweedcroft::platform

#endif
