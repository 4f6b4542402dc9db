#include "knapweedcroft/membership/lease_table.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Limit on tracked identities outside the retained views, such as a new incarnation whose join is not yet read.
static constexpr std::size_t maxUnknownIdentities = 64;

[[nodiscard]] static milliseconds absoluteDifference(milliseconds lhs, milliseconds rhs) noexcept
{
    return lhs < rhs ? rhs - lhs : lhs - rhs;
}

[[nodiscard]] static bool isRetained(const service_history& history, const node_identity& identity)
{
    return std::any_of(history.entries.begin(), history.entries.end(),
        [&identity](const view_entry& entry) { return entry.view.contains(identity); });
}

/** @brief Returns how many other members must withhold their grants to deny a member the majority of a view. */
[[nodiscard]] static std::size_t minBlockingGranters(std::size_t viewSize) noexcept { return (viewSize + 1) / 2; }

} // namespace internal

lease_table::lease_table(const membership_settings& settings, node_name self, incarnation_id own, time_point startedAt)
    : m_settings { settings }
    , m_self { std::move(self), own }
    , m_startedAt { startedAt }
    , m_listeningSince { startedAt }
{
}

const service_view* lease_table::currentView() const noexcept
{
    return m_history.entries.empty() ? nullptr : &m_history.current();
}

bool lease_table::isMember() const noexcept { return currentView() != nullptr && currentView()->contains(m_self); }

const lease_table::peer_state* lease_table::find(const node_identity& identity) const
{
    const auto position = m_peers.find(identity);
    return position == m_peers.end() ? nullptr : &position->second;
}

void lease_table::updateViews(const service_history& history)
{
    if (history.entries.empty())
        return;
    const bool isChanged = currentView() == nullptr || currentView()->offset != history.current().offset;
    m_history = history;
    if (isChanged)
        m_reportedSuspects.clear();
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        const bool isObsolete = !internal::isRetained(m_history, position->first)
            && m_history.current().find(position->first.node) == nullptr;
        position = isObsolete ? m_peers.erase(position) : std::next(position);
    }
}

bool lease_table::isSilent(const member& peer, time_point now) const
{
    time_point since = m_listeningSince;
    if (const peer_state* state = find(peer.identity()))
        since = std::max(since, state->lastReceivedAt);
    for (const view_entry& entry : m_history.entries) {
        if (entry.changed.identity() == peer.identity() && entry.kind != view_change_kind::refresh)
            since = std::max(since, entry.appliedAt);
    }
    return now - since >= m_settings.suspicionTime;
}

bool lease_table::isSuspect(const node_name& node, time_point now) const
{
    const member* peer = currentView() == nullptr ? nullptr : currentView()->find(node);
    return peer != nullptr && node != m_self.node && isSilent(*peer, now);
}

void lease_table::reportSuspects(time_point now)
{
    // A gap between two calls means that this process was paused and could not receive heartbeats.
    if (m_lastCheckAt && now - *m_lastCheckAt > m_settings.heartbeatInterval * 2)
        m_listeningSince = now;
    m_lastCheckAt = now;
    if (!m_isLogAvailable || !isMember())
        return;
    for (const member& peer : currentView()->members) {
        if (isSuspect(peer.node, now))
            m_reportedSuspects.emplace(peer.node, now);
    }
}

std::optional<lease_grant> lease_table::makeGrant(const member& peer, time_point now) const
{
    const peer_state* state = find(peer.identity());
    const bool isGranted = m_isGranting && isMember() && state != nullptr && state->isClockInSync
        && m_reportedSuspects.count(peer.node) == 0 && now - state->lastReceivedAt < m_settings.suspicionTime;
    if (!isGranted)
        return std::nullopt;
    return lease_grant { peer.incarnation, state->lastSequence, m_settings.leaseTime };
}

heartbeat_message lease_table::makeHeartbeat(const node_name& peer, time_point now, time_point wallNow)
{
    reportSuspects(now);
    heartbeat_message heartbeat;
    heartbeat.sequence = ++m_sequence;
    heartbeat.wallTime = wallNow;
    heartbeat.incarnation = m_self.incarnation;
    while (!m_sentHeartbeats.empty() && now - m_sentHeartbeats.front().sentAt > m_settings.leaseTime)
        m_sentHeartbeats.pop_front();
    m_sentHeartbeats.push_back({ heartbeat.sequence, now, wallNow.sinceEpoch() - now.sinceEpoch() });
    const service_view* view = currentView();
    if (view == nullptr)
        return heartbeat;
    heartbeat.viewOffset = view->offset;
    for (const std::pair<const node_name, time_point>& item : m_reportedSuspects)
        heartbeat.suspects.push_back(item.first);
    if (const member* known = view->find(peer))
        heartbeat.grant = makeGrant(*known, now);
    return heartbeat;
}

void lease_table::receiveHeartbeat(
    const node_name& peer, const heartbeat_message& heartbeat, time_point now, time_point wallNow)
{
    const node_identity identity { peer, heartbeat.incarnation };
    if (peer == m_self.node)
        return;
    const bool isNew = m_peers.count(identity) == 0;
    if (isNew && m_peers.size() >= internal::maxUnknownIdentities + m_history.entries.size()
        && !m_history.entries.empty() && !internal::isRetained(m_history, identity))
        return;
    peer_state& state = m_peers[identity];
    if (!isNew && heartbeat.sequence <= state.lastSequence)
        return;
    state.lastSequence = heartbeat.sequence;
    state.lastReceivedAt = now;
    state.isClockInSync = internal::absoluteDifference(heartbeat.wallTime.sinceEpoch(), wallNow.sinceEpoch())
        <= m_settings.skewBound / 2;
    if (state.viewReports.empty() || state.viewReports.back().offset < heartbeat.viewOffset)
        state.viewReports.push_back({ heartbeat.viewOffset, now });
    if (state.viewReports.size() > m_settings.maxViews)
        state.viewReports.erase(state.viewReports.begin());
    receiveSuspects(state, heartbeat, now);
    if (heartbeat.grant && m_reportedSuspects.count(peer) == 0)
        receiveGrant(state, *heartbeat.grant, now);
}

void lease_table::receiveSuspects(peer_state& state, const heartbeat_message& heartbeat, time_point now)
{
    std::map<node_name, time_point> suspects;
    for (const node_name& suspect : heartbeat.suspects) {
        const auto known = state.suspects.find(suspect);
        const bool isRepeated = known != state.suspects.end() && state.suspectsViewOffset == heartbeat.viewOffset;
        suspects.emplace(suspect, isRepeated ? known->second : now);
    }
    state.suspects = std::move(suspects);
    state.suspectsViewOffset = heartbeat.viewOffset;
}

void lease_table::receiveGrant(peer_state& state, const lease_grant& grant, time_point now) const
{
    const auto sent = std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(),
        [&grant](const sent_heartbeat& candidate) { return candidate.sequence == grant.echoSequence; });
    if (grant.incarnation != m_self.incarnation || sent == m_sentHeartbeats.end())
        return;
    // A delayed heartbeat from a clock that is ahead looks punctual to the granter, so late answers are ignored.
    if (now - sent->sentAt > m_settings.skewBound / 2)
        return;
    const time_point until = sent->sentAt + grant.duration - m_settings.driftMargin;
    if (!state.receivedGrant || state.receivedGrant->until < until)
        state.receivedGrant = received_grant { until, sent->wallOffset };
}

std::optional<time_point> lease_table::heldUntil(const service_view& view, time_point now, time_point wallNow) const
{
    if (!isMember() || view.offset != currentView()->offset)
        return std::nullopt;
    const bool isReplacement
        = std::any_of(m_history.entries.begin(), m_history.entries.end(), [this](const view_entry& entry) {
              const member* known = entry.view.find(m_self.node);
              return known != nullptr && known->incarnation != m_self.incarnation;
          });
    if (isReplacement && now < m_startedAt + m_settings.leaseTime)
        return std::nullopt;
    const std::size_t needed = view.members.size() / 2;
    if (needed == 0)
        return now + m_settings.leaseTime;
    const milliseconds wallOffset = wallNow.sinceEpoch() - now.sinceEpoch();
    std::vector<time_point> endTimes;
    for (const member& peer : view.members) {
        const peer_state* state = peer.node == m_self.node ? nullptr : find(peer.identity());
        if (state == nullptr || !state->receivedGrant || state->receivedGrant->until <= now)
            continue;
        if (internal::absoluteDifference(state->receivedGrant->wallOffset, wallOffset) <= m_settings.skewBound / 4)
            endTimes.push_back(state->receivedGrant->until);
    }
    if (endTimes.size() < needed)
        return std::nullopt;
    std::sort(endTimes.begin(), endTimes.end(), std::greater<time_point> {});
    return endTimes[needed - 1];
}

std::optional<time_point> lease_table::viewReportedAt(const node_identity& identity, std::int64_t viewOffset) const
{
    const peer_state* state = find(identity);
    if (state == nullptr)
        return std::nullopt;
    const auto report = std::find_if(state->viewReports.begin(), state->viewReports.end(),
        [viewOffset](const view_report& candidate) { return candidate.offset >= viewOffset; });
    return report == state->viewReports.end() ? std::nullopt : std::make_optional(report->firstReceivedAt);
}

/** @brief Returns when the grants of a former member end; a node stops granting before it appends its leave record. */
std::optional<time_point> lease_table::grantsEndByLeave(const node_name& granter) const
{
    if (m_history.current().find(granter) != nullptr)
        return std::nullopt;
    for (auto entry = m_history.entries.rbegin(); entry != m_history.entries.rend(); ++entry) {
        if (entry->changed.node == granter && entry->kind == view_change_kind::leave)
            return entry->appliedAt + m_settings.leaseTime;
        if (entry->changed.node == granter)
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<time_point> lease_table::suspectedAt(
    const node_identity& reporter, std::int64_t viewOffset, const node_name& suspect) const
{
    const peer_state* state = find(reporter);
    if (state == nullptr || state->suspectsViewOffset != viewOffset)
        return std::nullopt;
    const auto reported = state->suspects.find(suspect);
    return reported == state->suspects.end() ? std::nullopt : std::make_optional(reported->second);
}

std::optional<time_point> lease_table::grantsEndBySuspicion(
    const node_name& granter, const member& suspect, const service_view& view) const
{
    // A report follows the last heartbeat between the reporter and the suspect by at least the suspicion time.
    const milliseconds remainingLease = std::max(m_settings.leaseTime - m_settings.suspicionTime, milliseconds {});
    if (const std::optional<time_point> refusedAt = suspectedAt(suspect.identity(), view.offset, granter))
        return *refusedAt + remainingLease;
    const member* current = m_history.current().find(granter);
    if (current == nullptr)
        return grantsEndByLeave(granter);
    if (granter == m_self.node) {
        const auto reported = m_reportedSuspects.find(suspect.node);
        return reported == m_reportedSuspects.end() ? std::nullopt
                                                    : std::make_optional(reported->second + remainingLease);
    }
    const std::optional<time_point> reported
        = suspectedAt(current->identity(), m_history.current().offset, suspect.node);
    return reported ? std::make_optional(*reported + remainingLease) : std::nullopt;
}

std::optional<time_point> lease_table::grantsEndByView(const node_name& granter, const view_entry& removal) const
{
    const member* current = m_history.current().find(granter);
    if (current == nullptr)
        return grantsEndByLeave(granter);
    const std::optional<time_point> readAt
        = granter == m_self.node ? removal.appliedAt : viewReportedAt(current->identity(), removal.view.offset);
    return readAt ? std::make_optional(*readAt + m_settings.leaseTime) : std::nullopt;
}

/**
 * @brief Returns when an incarnation had provably lost the majority in each view that it may have used.
 * @param viewCount Number of retained views to check, starting with the oldest.
 * @param grantsEndOf Returns when the grants of a granter to the incarnation end, or nothing if unknown.
 */
template <typename GrantsEndOf>
std::optional<time_point> lease_table::fencedAt(
    const node_identity& identity, std::size_t viewCount, GrantsEndOf grantsEndOf) const
{
    const peer_state* state = find(identity);
    const std::int64_t reported
        = state == nullptr || state->viewReports.empty() ? -1 : state->viewReports.back().offset;
    std::optional<time_point> fenced;
    for (std::size_t index = 0; index < viewCount; ++index) {
        const service_view& view = m_history.entries[index].view;
        if (view.offset < reported || !view.contains(identity))
            continue;
        time_points endTimes;
        for (const member& granter : view.members) {
            // A sole member needs no grants; only a restart under the same name shows that it has ended.
            const bool isGranter = granter.node != identity.node || view.members.size() == 1;
            const std::optional<time_point> end = isGranter ? grantsEndOf(granter.node, view) : std::nullopt;
            if (end)
                endTimes.push_back(*end);
        }
        const std::size_t needed = internal::minBlockingGranters(view.members.size());
        if (endTimes.size() < needed)
            return std::nullopt;
        std::sort(endTimes.begin(), endTimes.end());
        fenced = std::max(fenced.value_or(endTimes[needed - 1]), endTimes[needed - 1]);
    }
    return fenced;
}

std::vector<member> lease_table::evictableMembers(const service_view& view, time_point now) const
{
    std::vector<member> evictable;
    if (!isMember() || view.offset != currentView()->offset)
        return evictable;
    for (const member& suspect : currentView()->members) {
        if (m_reportedSuspects.count(suspect.node) == 0)
            continue;
        const std::optional<time_point> fenced = fencedAt(suspect.identity(), m_history.entries.size(),
            [this, &suspect](const node_name& granter, const service_view& used) {
                return grantsEndBySuspicion(granter, suspect, used);
            });
        if (fenced && *fenced <= now)
            evictable.push_back(suspect);
    }
    return evictable;
}

bool lease_table::shouldRefreshView(time_point now) const
{
    return isMember() && m_isLogAvailable
        && std::any_of(m_reportedSuspects.begin(), m_reportedSuspects.end(),
            [this, now](const std::pair<const node_name, time_point>& reported) {
                const member* suspect = currentView()->find(reported.first);
                const peer_state* state = suspect == nullptr ? nullptr : find(suspect->identity());
                return state != nullptr && state->lastReceivedAt > reported.second
                    && now - state->lastReceivedAt < m_settings.suspicionTime;
            });
}

std::optional<time_point> lease_table::stoppedAt(
    const node_identity& identity, std::int64_t viewOffset, time_point now) const
{
    std::optional<time_point> stopped = viewReportedAt(identity, viewOffset);
    const auto keepEarliest = [&stopped](std::optional<time_point> candidate) {
        if (candidate && (!stopped || *candidate < *stopped))
            stopped = candidate;
    };
    for (std::size_t index = 1; index < m_history.entries.size(); ++index) {
        const view_entry& entry = m_history.entries[index];
        const bool isRemoval = m_history.entries[index - 1].view.contains(identity) && !entry.view.contains(identity);
        if (!isRemoval)
            continue;
        if (entry.kind != view_change_kind::new_incarnation) {
            // An evicted node's leases had already ended; a leaving node stopped before it appended its record.
            keepEarliest(entry.appliedAt);
            continue;
        }
        keepEarliest(fencedAt(identity, index,
            [this, &entry](const node_name& granter, const service_view&) { return grantsEndByView(granter, entry); }));
    }
    if (stopped && *stopped <= now)
        return stopped;
    return std::nullopt;
}

} // namespace knapweedcroft
