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

/** @brief The peers of a node: which are members, which links are wanted and up, and who takes new work. */
class peer_directory {
public:
    /**
     * @brief Constructs an empty directory.
     * @param self Name of this node.
     * @param ownService Service of the upstream of this host.
     * @param targets Router that is told of members and their availability.
     */
    peer_directory(node_name self, service_name ownService, router& targets);

    /**
     * @brief Sets the members of a service.
     * @param service The service.
     * @param members Its members.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void setMembers(
        const service_name& service, const std::vector<member>& members, time_point now, node_actions& actions);

    /**
     * @brief Opens links to the members of a service, once.
     * @param service The service.
     * @param actions Receives what is to be done.
     */
    void use(const service_name& service, node_actions& actions);

    /**
     * @brief Takes notice of an open link.
     * @param peer The peer.
     */
    void linkOpened(const node_name& peer);

    /**
     * @brief Takes notice of a closed link.
     * @param peer The peer.
     * @param actions Receives what is to be done.
     */
    void handleLinkClosed(const node_name& peer, node_actions& actions);

    /**
     * @brief Takes notice of a peer's state.
     * @param peer The peer.
     * @param state Its state.
     */
    void setState(const node_name& peer, node_state state);

    /**
     * @brief Sets whether the upstream of this host takes calls.
     * @param isServing True if it does.
     */
    void setSelfServing(bool isServing);

    /** @brief Returns the peers with an open link. */
    [[nodiscard]] const std::set<node_name>& linked() const noexcept { return m_linked; }

    /**
     * @brief Tells whether a link to a peer is open.
     * @param peer The peer.
     * @return True if it is.
     */
    [[nodiscard]] bool isLinked(const node_name& peer) const { return m_linked.count(peer) > 0; }

private:
    struct entry {
        member description;
        node_state state = node_state::serving;
    };

    void want(const member& peer, node_actions& actions);
    void dropLink(const node_name& peer, node_actions& actions);
    void updateAvailability(const node_name& peer);

    node_name m_self;
    service_name m_ownService;
    router& m_router;
    std::map<node_name, entry> m_members;
    std::set<service_name> m_used;
    std::set<node_name> m_wanted;
    std::set<node_name> m_linked;
    bool m_isSelfServing = false;
};

} // namespace knapweedcroft

#endif
