#include "knapweedcroft/gateway/catch_up_requester.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

// News of a newer version usually precedes this node's own answer from the store by a few milliseconds.
static constexpr milliseconds newsDelay { 100 };
// Time to wait for an answer, and interval of the requests while the store is unavailable.
static constexpr milliseconds requestInterval { 500 };

[[nodiscard]] static bool isBehind(const known_versions& known, const known_versions& other)
{
    return known.catalogue < other.catalogue || known.directory < other.directory;
}

} // namespace internal

catch_up_requester::catch_up_requester(std::uint64_t seed)
    : m_random { seed }
{
}

void catch_up_requester::recordPeerVersions(const node_name& peer, const known_versions& versions, time_point now)
{
    m_peerVersions[peer] = versions;
    if (!m_dueAt)
        m_dueAt = now + internal::newsDelay;
}

void catch_up_requester::recordAnswer(const node_name& peer)
{
    if (m_pending && m_pending->peer == peer)
        m_pending.reset();
}

void catch_up_requester::removePeer(const node_name& peer)
{
    recordAnswer(peer);
    m_peerVersions.erase(peer);
}

void catch_up_requester::setStoreAvailable(bool isAvailable, time_point now)
{
    m_isPolling = !isAvailable;
    if (m_isPolling)
        m_dueAt = now;
}

std::vector<catch_up_candidate> catch_up_requester::selectable(
    const known_versions& known, const std::vector<catch_up_candidate>& candidates) const
{
    const bool isAnyUseful = m_isPolling || known.directory < 0;
    std::vector<catch_up_candidate> selected;
    bool hasLocal = false;
    for (const catch_up_candidate& candidate : candidates) {
        const auto versions = m_peerVersions.find(candidate.node);
        const bool isAhead = versions != m_peerVersions.end() && internal::isBehind(known, versions->second);
        if (!isAhead && !isAnyUseful)
            continue;
        selected.push_back(candidate);
        hasLocal = hasLocal || candidate.isLocal;
    }
    const auto isRemote = [](const catch_up_candidate& candidate) { return !candidate.isLocal; };
    if (hasLocal)
        selected.erase(std::remove_if(selected.begin(), selected.end(), isRemote), selected.end());
    return selected;
}

std::optional<node_name> catch_up_requester::next(
    const known_versions& known, const std::vector<catch_up_candidate>& candidates, time_point now)
{
    if (!m_dueAt || now < *m_dueAt)
        return std::nullopt;
    if (m_pending && now < m_pending->expiresAt) {
        m_dueAt = m_pending->expiresAt;
        return std::nullopt;
    }
    const std::optional<pending_request> unanswered = m_pending;
    m_pending.reset();
    m_dueAt.reset();
    std::vector<catch_up_candidate> selected = selectable(known, candidates);
    if (m_isPolling || !selected.empty())
        m_dueAt = now + internal::requestInterval;
    if (selected.empty())
        return std::nullopt;
    if (unanswered && selected.size() > 1)
        selected.erase(std::remove_if(selected.begin(), selected.end(),
                           [&unanswered](const catch_up_candidate& item) { return item.node == unanswered->peer; }),
            selected.end());
    const node_name chosen = selected[m_random() % selected.size()].node;
    m_pending = pending_request { chosen, *m_dueAt };
    return chosen;
}

} // namespace knapweedcroft
