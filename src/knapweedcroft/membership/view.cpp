#include "knapweedcroft/membership/view.hpp"

#include <algorithm>

namespace knapweedcroft {

const member* service_view::find(const node_name& node) const noexcept
{
    const auto position = std::lower_bound(members.begin(), members.end(), node,
        [](const member& candidate, const node_name& name) { return candidate.node < name; });
    return position != members.end() && position->node == node ? &*position : nullptr;
}

bool service_view::contains(const node_identity& identity) const noexcept
{
    const member* found = find(identity.node);
    return found != nullptr && found->incarnation == identity.incarnation;
}

std::string_view toString(view_change_kind kind) noexcept
{
    switch (kind) {
    case view_change_kind::join:
        return "join";
    case view_change_kind::new_incarnation:
        return "new_incarnation";
    case view_change_kind::refresh:
        return "refresh";
    case view_change_kind::leave:
        return "leave";
    case view_change_kind::evict:
        return "evict";
    }
    return "unknown";
}

} // namespace knapweedcroft
