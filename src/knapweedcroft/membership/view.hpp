#ifndef KNAPWEEDCROFT_MEMBERSHIP_VIEW_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_VIEW_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Identifies one incarnation of a node. */
struct node_identity {
    node_name node;
    incarnation_id incarnation;

    friend bool operator==(const node_identity& lhs, const node_identity& rhs)
    {
        return lhs.node == rhs.node && lhs.incarnation == rhs.incarnation;
    }
    friend bool operator!=(const node_identity& lhs, const node_identity& rhs) { return !(lhs == rhs); }
    friend bool operator<(const node_identity& lhs, const node_identity& rhs)
    {
        return lhs.node != rhs.node ? lhs.node < rhs.node : lhs.incarnation < rhs.incarnation;
    }
};

/** @brief A node that belongs to a service. */
struct member {
    node_name node;
    incarnation_id incarnation;
    service_name service;
    std::string data_centre;
    std::string peerAddress; /*!< `host:port` at which the node accepts links from peers. */

    [[nodiscard]] node_identity identity() const { return { node, incarnation }; }

    friend bool operator==(const member& lhs, const member& rhs)
    {
        return lhs.node == rhs.node && lhs.incarnation == rhs.incarnation && lhs.service == rhs.service
            && lhs.data_centre == rhs.data_centre && lhs.peerAddress == rhs.peerAddress;
    }
};

/** @brief Members of a service as of one record of the membership log. */
struct service_view {
    service_name service;
    std::int64_t offset = -1; /*!< Offset of the record that created this view. */
    std::vector<member> members; /*!< Ordered by node name. */

    /** @brief Returns the member with the given name, or null. */
    [[nodiscard]] const member* find(const node_name& node) const noexcept;

    /** @brief Checks whether the given incarnation of a node is a member. */
    [[nodiscard]] bool contains(const node_identity& identity) const noexcept;

    friend bool operator==(const service_view& lhs, const service_view& rhs)
    {
        return lhs.service == rhs.service && lhs.offset == rhs.offset && lhs.members == rhs.members;
    }
};

/** @brief How a view differs from the previous one. */
enum class view_change_kind : std::uint8_t {
    join, /*!< A node joined. */
    new_incarnation, /*!< A member was restarted under the same name and keeps its share of the keys. */
    refresh, /*!< The members are unchanged; records that name the previous view are void. */
    leave,
    evict
};

/** @brief Returns the name of a kind of change in snake_case, as stored in snapshots. */
[[nodiscard]] std::string_view toString(view_change_kind kind) noexcept;

/** @brief A view and the change that created it. */
struct view_entry {
    service_view view;
    view_change_kind kind = view_change_kind::join;
    member changed; /*!< The member that joined, left, was evicted, was restarted or renewed the view. */
    time_point wallTime; /*!< Wall time at which the log accepted the record. */
    time_point appliedAt; /*!< Monotonic time at which this node applied the record; not included in snapshots. */
};

/** @brief Retained views of a service, oldest first; never empty. */
struct service_history {
    bool isFromGenesis = false; /*!< The oldest retained view is the first that the service ever had. */
    std::vector<view_entry> entries;

    /** @brief Returns the current view. */
    [[nodiscard]] const service_view& current() const { return entries.back().view; }
};

} // namespace knapweedcroft

#endif
