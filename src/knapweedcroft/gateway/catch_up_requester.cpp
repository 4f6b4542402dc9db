#include "knapweedcroft/gateway/catch_up_requester.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

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

// Returns the candidates inside or outside the data centre of this node, or all of them if there are no such ones.
[[nodiscard]] static std::vector<catch_up_candidate> withLocality(
    std::vector<catch_up_candidate> candidates, bool isLocal)
{
    const auto firstOther = std::partition(candidates.begin(), candidates.end(),
        [isLocal](const catch_up_candidate& candidate) { return candidate.isLocal == isLocal; });
    if (firstOther != candidates.begin())
        candidates.erase(firstOther, candidates.end());
    return candidates;
}

[[nodiscard]] static std::vector<catch_up_candidate> without(
    const std::vector<catch_up_candidate>& candidates, const node_name& node)
{
    std::vector<catch_up_candidate> others;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(others),
        [&node](const catch_up_candidate& candidate) { return candidate.node != node; });
    return others;
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
    if (!m_pending || m_pending->peer != peer)
        return;
    m_pending.reset();
    // What the peer reported before is in its answer, or belongs to an earlier era of the store.
    m_peerVersions.erase(peer);
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
    std::vector<catch_up_candidate> ahead;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(ahead),
        [this, &known](const catch_up_candidate& candidate) {
            const auto versions = m_peerVersions.find(candidate.node);
            return versions != m_peerVersions.end() && internal::isBehind(known, versions->second);
        });
    if (!ahead.empty())
        return internal::withLocality(std::move(ahead), true);
    if (!m_isPolling && known.directory >= 0)
        return {};
    // The store may turn away a whole data centre, whose nodes then know no more than this one.
    return internal::withLocality(candidates, !m_wasLocalAsked);
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
    std::vector<catch_up_candidate> selected;
    if (unanswered)
        selected = selectable(known, internal::without(candidates, unanswered->peer));
    if (selected.empty())
        selected = selectable(known, candidates);
    if (m_isPolling || !selected.empty())
        m_dueAt = now + internal::requestInterval;
    if (selected.empty())
        return std::nullopt;
    const catch_up_candidate& chosen = selected[m_random() % selected.size()];
    m_wasLocalAsked = chosen.isLocal;
    m_pending = pending_request { chosen.node, *m_dueAt };
    return chosen.node;
}

} // namespace knapweedcroft
