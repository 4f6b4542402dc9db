#include "knapweedcroft/gateway/link_plan.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace knapweedcroft {

namespace internal {

struct remote_target {
    std::uint64_t weight = 0; /*!< Rendezvous weight; the greatest ones are selected. */
    const link_target* target = nullptr;
};

struct service_targets {
    std::size_t localCount = 0;
    std::vector<remote_target> remote;
};

static void selectRemote(service_targets& targets, const link_plan_settings& settings, std::set<node_name>& selected)
{
    std::sort(targets.remote.begin(), targets.remote.end(),
        [](const remote_target& lhs, const remote_target& rhs) { return lhs.weight > rhs.weight; });
    const std::size_t missing
        = settings.minNodesPerService > targets.localCount ? settings.minNodesPerService - targets.localCount : 0;
    const std::size_t wanted = std::max(missing, settings.minRemoteNodesPerService);
    std::size_t reachable = 0;
    for (const remote_target& item : targets.remote) {
        if (reachable >= wanted)
            return;
        selected.insert(item.target->node);
        reachable += item.target->isUnreachable ? 0U : 1U;
    }
}

} // namespace internal

std::set<node_name> planLinks(const node_name& self, const std::string& localDataCentre,
    const std::vector<link_target>& targets, const link_plan_settings& settings)
{
    std::set<node_name> selected;
    std::map<service_name, internal::service_targets> services;
    const std::uint64_t seed = hash64(self);
    for (const link_target& target : targets) {
        if (target.data_centre == localDataCentre) {
            selected.insert(target.node);
            if (target.isServing && !target.isUnreachable)
                ++services[target.service].localCount;
        } else if (target.isServing) {
            services[target.service].remote.push_back({ hash64(target.node, seed), &target });
        }
    }
    for (std::pair<const service_name, internal::service_targets>& item : services)
        internal::selectRemote(item.second, settings, selected);
    return selected;
}

} // namespace knapweedcroft
