#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_SELECTOR_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_SELECTOR_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Upstream that a request can be sent to. */
struct upstream_candidate {
    node_name node;
    std::string data_centre;
    upstream_load load; /*!< Last reported load. */
    milliseconds remainingWarmUp; /*!< Remaining time of the slow phase after a start. */
    milliseconds loadAge; /*!< Time since the load was reported. */
};

/** @brief Requirements of a request. */
struct selection_request {
    std::string entry;
    milliseconds target; /*!< Time left until the answer is late. */
};

/**
 * @brief Selects the upstream of each request.
 *
 * Traffic between data centres is expensive, so requests stay in the local data centre unless its upstream is nearly
 * full or predicted to use up a large part of the target latency. A remote upstream must have free slots and, unless
 * the local one is nearly full, be predicted to be clearly faster.
 */
class upstream_selector {
public:
    /**
     * @brief Constructs an object without measurements.
     * @param seed Seed of the random selection.
     */
    upstream_selector(std::string localDataCentre, std::uint64_t seed);

    /**
     * @brief Selects one of the candidates.
     * @param candidates Upstreams that accept requests; may be empty.
     * @return Index of the selected candidate, or nothing if there are no candidates.
     */
    [[nodiscard]] std::optional<std::size_t> choose(
        const std::vector<upstream_candidate>& candidates, const selection_request& request, time_point now);

    /** @brief Records that a request was sent to a node. */
    void recordSent(const node_name& node);

    /**
     * @brief Records that a request sent to a node has ended.
     * @param upstreamTime Service time at the upstream; nothing if it is not known.
     */
    void recordEnd(
        const node_name& node, const std::string& entry, std::optional<milliseconds> upstreamTime, time_point now);

    /** @brief Records the service time that a node has measured at its upstream. */
    void recordReportedServiceTime(const node_name& node, const entry_service_time& reported, time_point now);

    /** @brief Records that a request failed at an upstream or was shed by it. */
    void recordFailure(const node_name& node, time_point now);

    /**
     * @brief Discards the service times and failures of a node whose upstream was replaced; outstanding requests are
     * kept.
     */
    void resetMeasurements(const node_name& node);

    /** @brief Returns the predicted time until a candidate answers a request of an entry. */
    [[nodiscard]] milliseconds predictLatency(
        const upstream_candidate& candidate, const std::string& entry, time_point now) const;

private:
    struct service_time_estimate {
        double mean = 0.0; /*!< Moving average in ms. */
        time_point at;
    };

    struct node_measurements {
        std::uint32_t outstanding = 0;
        double failures = 0.0; /*!< Recent failures; decays exponentially. */
        time_point failedAt;
        std::map<std::string, service_time_estimate> byEntry;
    };

    [[nodiscard]] double expectedServiceTime(
        const node_measurements* measured, const std::string& entry, time_point now) const;
    [[nodiscard]] std::optional<std::size_t> pickWeighted(
        const std::vector<upstream_candidate>& candidates, const std::string& entry, bool isLocal, time_point now);
    [[nodiscard]] double usedSlots(const upstream_candidate& candidate) const;
    [[nodiscard]] double occupancy(const upstream_candidate& candidate) const;
    [[nodiscard]] double decayedFailures(const node_measurements* measured, time_point now) const;
    [[nodiscard]] const node_measurements* find(const node_name& node) const;

    std::string m_localDataCentre;
    std::mt19937_64 m_random;
    std::map<node_name, node_measurements> m_measurements;
    std::map<std::string, double> m_entryMeansMs; /*!< Moving average of the service time per entry, over all nodes. */
};

} // namespace knapweedcroft

#endif
