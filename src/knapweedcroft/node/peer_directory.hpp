#ifndef KNAPWEEDCROFT_NODE_PEER_DIRECTORY_HPP
#define KNAPWEEDCROFT_NODE_PEER_DIRECTORY_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/membership/records.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/routing/router.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Tracks the members of all services, the links to them, and which of them accept calls. */
class peer_directory {
public:
    /**
     * @brief Constructs an empty directory.
     * @param self Name of this node.
     * @param ownService Service of the upstream of this host.
     * @param targets Router to update with members and their availability.
     */
    peer_directory(node_name self, service_name ownService, router& targets);

    /**
     * @brief Sets the members of a service.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void setMembers(
        const service_name& service, const std::vector<member>& members, time_point now, node_actions& actions);

    /**
     * @brief Opens links to the current and future members of a service; repeated calls have no effect.
     * @param actions Receives the resulting actions.
     */
    void openLinks(const service_name& service, node_actions& actions);

    /** @brief Handles the opening of a link, and resets the peer's state to serving. */
    void handleLinkOpened(const node_name& peer);

    /**
     * @brief Handles the closing of a link.
     * @param actions Receives the resulting actions.
     */
    void handleLinkClosed(const node_name& peer, node_actions& actions);

    /** @brief Sets the state that a peer reported. */
    void setState(const node_name& peer, node_state state);

    /** @brief Sets whether the upstream of this host accepts calls. */
    void setLocalServing(bool isServing);

    /** @brief Returns the peers with an open link. */
    [[nodiscard]] const std::set<node_name>& linkedPeers() const noexcept { return m_linked; }

    /** @brief Returns whether a link to a peer is open. */
    [[nodiscard]] bool isLinked(const node_name& peer) const { return m_linked.count(peer) > 0; }

private:
    struct entry {
        member description;
        node_state state = node_state::serving;
    };

    void requestLink(const member& peer, node_actions& actions);
    void closeLink(const node_name& peer, node_actions& actions);
    void updateAvailability(const node_name& peer);

    node_name m_self;
    service_name m_ownService;
    router& m_router;
    std::map<node_name, entry> m_members;
    std::set<service_name> m_usedServices;
    std::set<node_name> m_requestedLinks;
    std::set<node_name> m_linked;
    bool m_isLocalServing = false;
};

} // namespace knapweedcroft

#endif
