#ifndef KNAPWEEDCROFT_GATEWAY_LINK_PLAN_HPP
#define KNAPWEEDCROFT_GATEWAY_LINK_PLAN_HPP

#include "knapweedcroft/core/fwd.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Number of links that a node opens. */
struct link_plan_settings {
    std::size_t minNodesPerService = 8; /*!< Linked nodes of each service, in all data centres. */
    std::size_t minRemoteNodesPerService = 2; /*!< Linked nodes of each service in other data centres. */

    friend bool operator==(const link_plan_settings& lhs, const link_plan_settings& rhs)
    {
        return lhs.minNodesPerService == rhs.minNodesPerService
            && lhs.minRemoteNodesPerService == rhs.minRemoteNodesPerService;
    }
};

/** @brief Node to which a link can be opened. */
struct link_target {
    node_name node;
    std::string data_centre;
    service_name service;
    bool isServing = false; /*!< Its upstream accepts requests, as far as is known. */
    bool isUnreachable = false; /*!< A link to it could not be opened recently. */
};

/**
 * @brief Selects the nodes to which a node opens links.
 *
 * With a link between any two nodes, the traffic of the links themselves grows with the square of the fleet, and most
 * of it crosses data centres. A node is therefore linked with all nodes of its data centre, and in other data centres
 * with a few serving nodes of each service, selected by rendezvous hashing so that the nodes of a service are used
 * evenly and few links change when nodes come and go. An unreachable node stays selected and is replaced in addition.
 *
 * @param self Name of the node that opens the links.
 * @param localDataCentre Data centre of that node.
 * @param targets All other nodes.
 * @return The selected nodes.
 */
[[nodiscard]] std::set<node_name> planLinks(const node_name& self, const std::string& localDataCentre,
    const std::vector<link_target>& targets, const link_plan_settings& settings);

} // namespace knapweedcroft

#endif
