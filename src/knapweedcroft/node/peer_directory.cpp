#include "knapweedcroft/node/peer_directory.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

peer_directory::peer_directory(node_name self, service_name ownService, router& targets)
    : m_self { std::move(self) }
    , m_ownService { std::move(ownService) }
    , m_router { targets }
{
    m_usedServices.insert(m_ownService);
}

void peer_directory::requestLink(const member& peer, node_actions& actions)
{
    if (peer.node == m_self || !m_requestedLinks.insert(peer.node).second)
        return;
    actions.emplace_back(open_link { peer.node, peer.peerAddress });
}

void peer_directory::closeLink(const node_name& peer, node_actions& actions)
{
    if (m_requestedLinks.erase(peer) > 0)
        actions.emplace_back(close_link { peer });
}

void peer_directory::updateAvailability(const node_name& peer)
{
    if (peer == m_self) {
        m_router.setAvailable(peer, m_isLocalServing);
        return;
    }
    const auto position = m_members.find(peer);
    if (position == m_members.end())
        return;
    m_router.setAvailable(peer, isLinked(peer) && position->second.state == node_state::serving);
}

void peer_directory::setMembers(
    const service_name& service, const std::vector<member>& members, time_point now, node_actions& actions)
{
    std::vector<node_name> removed;
    for (const auto& item : m_members) {
        const bool isMember = std::any_of(
            members.begin(), members.end(), [&](const member& candidate) { return candidate.node == item.first; });
        if (item.second.description.service == service && !isMember)
            removed.push_back(item.first);
    }
    for (const node_name& name : removed) {
        m_members.erase(name);
        m_router.removeMember(name);
        // A member that left may still be answering calls, so an open link stays until the peer closes it.
        if (!isLinked(name))
            closeLink(name, actions);
    }
    for (const member& current : members) {
        const auto known = m_members.find(current.node);
        const bool isNewRun = known != m_members.end() && known->second.description.incarnation != current.incarnation;
        if (isNewRun)
            closeLink(current.node, actions);
        if (known == m_members.end() || isNewRun)
            m_members.insert_or_assign(current.node, entry { current, node_state::serving });
        m_router.setMember(member_info { current.node, service, current.data_centre, current.node == m_self }, now);
        if (m_usedServices.count(service) > 0)
            requestLink(current, actions);
        updateAvailability(current.node);
    }
}

void peer_directory::openLinks(const service_name& service, node_actions& actions)
{
    if (!m_usedServices.insert(service).second)
        return;
    for (const auto& item : m_members) {
        if (item.second.description.service == service)
            requestLink(item.second.description, actions);
    }
}

void peer_directory::handleLinkOpened(const node_name& peer)
{
    m_linked.insert(peer);
    const auto position = m_members.find(peer);
    if (position != m_members.end())
        position->second.state = node_state::serving;
    updateAvailability(peer);
}

void peer_directory::handleLinkClosed(const node_name& peer, node_actions& actions)
{
    m_linked.erase(peer);
    if (m_members.count(peer) == 0)
        closeLink(peer, actions);
    updateAvailability(peer);
}

void peer_directory::setState(const node_name& peer, node_state state)
{
    const auto position = m_members.find(peer);
    if (position != m_members.end())
        position->second.state = state;
    updateAvailability(peer);
}

void peer_directory::setLocalServing(bool isServing)
{
    m_isLocalServing = isServing;
    updateAvailability(m_self);
}

} // namespace knapweedcroft
