#ifndef KNAPWEEDCROFT_GATEWAY_PLACEMENT_HPP
#define KNAPWEEDCROFT_GATEWAY_PLACEMENT_HPP

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

/** @brief An upstream that may get a request. */
struct placement_candidate {
    node_name node;
    std::string data_centre;
    upstream_load load; /*!< Newest load that is known. */
    milliseconds warmUpLeft; /*!< Time for which it stays slow after its start. */
    milliseconds loadAge; /*!< Time since the load was told. */
};

/** @brief What a request needs. */
struct placement_request {
    std::string entry;
    milliseconds target; /*!< Time remaining until the answer is late. */
};

/**
 * @brief Chooses the upstream that gets a request.
 *
 * Bytes between data centres are dear, so the upstream of the own data centre gets the request as long as it is
 * predicted to answer within the target latency. Otherwise the upstream with the least predicted time gets it.
 */
class placement {
public:
    /**
     * @brief Constructs a placement without measurements.
     * @param ownDataCentre Data centre of this node.
     * @param seed Seed of the choice among equal upstreams.
     */
    placement(std::string ownDataCentre, std::uint64_t seed);

    /**
     * @brief Chooses among candidates.
     * @param candidates Upstreams that take requests; may be empty.
     * @param request The request.
     * @param now Present time.
     * @return Position of the chosen candidate, or nothing if there is none.
     */
    [[nodiscard]] std::optional<std::size_t> choose(
        const std::vector<placement_candidate>& candidates, const placement_request& request, time_point now);

    /**
     * @brief Takes note that a request was sent to a node.
     * @param node The node.
     */
    void sent(const node_name& node);

    /**
     * @brief Takes note that a request has ended.
     * @param node The node.
     * @param entry Entry of the request.
     * @param upstreamTime Time for which the upstream worked on it; nothing if that is not known.
     * @param now Present time.
     */
    void ended(
        const node_name& node, const std::string& entry, std::optional<milliseconds> upstreamTime, time_point now);

    /**
     * @brief Takes note that a request failed at an upstream, or was refused by it.
     * @param node The node.
     * @param now Present time.
     */
    void failed(const node_name& node, time_point now);

    /**
     * @brief Forgets what was measured of a node; its upstream is another one.
     * @param node The node.
     */
    void forget(const node_name& node);

    /**
     * @brief Returns the predicted time until a candidate would answer.
     * @param candidate The candidate.
     * @param entry Entry of the request.
     * @param now Present time.
     */
    [[nodiscard]] milliseconds predict(
        const placement_candidate& candidate, const std::string& entry, time_point now) const;

private:
    struct measured_time {
        double mean = 0.0; /*!< In ms. */
        time_point at;
    };

    struct node_measurements {
        std::uint32_t outstanding = 0;
        double failures = 0.0; /*!< Recent failures; decays. */
        time_point failedAt;
        std::map<std::string, measured_time> byEntry;
    };

    [[nodiscard]] double expectedTime(
        const node_measurements* measured, const std::string& entry, time_point now) const;
    [[nodiscard]] std::optional<std::size_t> pick(
        const std::vector<placement_candidate>& candidates, const std::string& entry, bool isOwn, time_point now);
    [[nodiscard]] double inUse(const placement_candidate& candidate) const;
    [[nodiscard]] double occupancy(const placement_candidate& candidate) const;
    [[nodiscard]] double recentFailures(const node_measurements* measured, time_point now) const;
    [[nodiscard]] const node_measurements* find(const node_name& node) const;

    std::string m_ownDataCentre;
    std::mt19937_64 m_random;
    std::map<node_name, node_measurements> m_nodes;
    std::map<std::string, double> m_entryMeans; /*!< In ms, over all nodes. */
};

} // namespace knapweedcroft

#endif
