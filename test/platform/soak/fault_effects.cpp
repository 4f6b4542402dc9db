#include "soak/fault_effects.hpp"

#include <algorithm>
#include <array>

namespace knapweedcroft::platform {

bool isKill(fault_kind kind)
{
    return kind == fault_kind::node_kill || kind == fault_kind::kill_all || kind == fault_kind::kill_some;
}

bool isNodeFault(fault_kind kind)
{
    return isKill(kind) || kind == fault_kind::node_freeze || kind == fault_kind::node_stop;
}

std::optional<relay_mode> linkMode(fault_kind kind)
{
    switch (kind) {
    case fault_kind::links_silent:
        return relay_mode::stalled;
    case fault_kind::links_one_way:
        return relay_mode::answers_stalled;
    case fault_kind::links_reset:
        return relay_mode::resetting;
    case fault_kind::links_slow:
        return relay_mode::slow;
    default:
        return std::nullopt;
    }
}

std::optional<relay_mode> storeMode(fault_kind kind)
{
    switch (kind) {
    case fault_kind::store_refusing:
    case fault_kind::store_away_refusing:
    case fault_kind::data_centre_turned_away:
        return relay_mode::resetting;
    case fault_kind::store_silent:
        return relay_mode::stalled;
    case fault_kind::store_slow:
        return relay_mode::slow;
    case fault_kind::store_answers_lost:
        return relay_mode::answers_stalled;
    case fault_kind::store_away:
        return relay_mode::silenced;
    default:
        return std::nullopt;
    }
}

bool disturbsNode(fault_kind kind)
{
    constexpr std::array<fault_kind, 4> storeFaults { fault_kind::store_refusing, fault_kind::store_silent,
        fault_kind::store_slow, fault_kind::store_answers_lost };
    return linkMode(kind) || std::find(storeFaults.begin(), storeFaults.end(), kind) != storeFaults.end();
}

} // namespace knapweedcroft::platform
