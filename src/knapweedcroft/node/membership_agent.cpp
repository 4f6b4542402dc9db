#include "knapweedcroft/node/membership_agent.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds snapshotTimeout { 15'000 };

} // namespace internal

membership_agent::membership_agent(member self, const membership_settings& settings, std::uint64_t seed,
    membership_state& state, lease_table& leases, log_writer& log)
    : m_self { std::move(self) }
    , m_settings { settings }
    , m_state { state }
    , m_leases { leases }
    , m_log { log }
    , m_snapshots { snapshot_schedule_settings {}, seed }
{
}

std::set<service_name> membership_agent::applyRecords(const records_read& event, time_point now, node_actions& actions)
{
    std::set<service_name> changed;
    if (event.first > m_state.nextOffset())
        m_state.handleTrim(event.first);
    m_snapshots.handleTrim(event.first);
    for (const log_record& record : event.records) {
        const membership_outcome outcome = m_state.apply(record, now);
        for (const view_change& change : outcome.changes) {
            changed.insert(change.service);
            actions.emplace_back(write_log { log_level::info, "view_changed",
                { { "service", change.service }, { "node", change.changed.node },
                    { "kind", std::string { toString(change.kind) } }, { "offset", std::to_string(change.offset) } } });
        }
        if (outcome.voided)
            actions.emplace_back(write_log { log_level::warning, "membership_record_void",
                { { "offset", std::to_string(record.offset) }, { "reason", outcome.voided->message } } });
        if (outcome.snapshotEnd)
            m_snapshots.handleSnapshot(record.offset, *outcome.snapshotEnd, record.wallTime);
        else if (!outcome.changes.empty())
            m_snapshots.addRequiredRecord(record.offset, record.wallTime);
    }
    m_isCaughtUp = m_state.nextOffset() >= event.next && !m_state.hasGap();
    m_hasReachedEnd = m_state.nextOffset() >= event.next;
    skipGapAfterTimeout(now, changed);
    if (const service_history* history = m_state.history(m_self.service))
        m_leases.updateViews(*history);
    return changed;
}

void membership_agent::skipGapAfterTimeout(time_point now, std::set<service_name>& changed)
{
    if (!m_hasReachedEnd || !m_state.hasGap()) {
        m_gapSince.reset();
        return;
    }
    if (!m_gapSince)
        m_gapSince = now;
    // Every live member appends a snapshot when the newest one has been trimmed. If none is read within the timeout, no
    // member is alive.
    if (now - *m_gapSince < internal::snapshotTimeout)
        return;
    for (const view_change& change : m_state.skipGap(now).changes)
        changed.insert(change.service);
    m_isCaughtUp = true;
}

std::set<service_name> membership_agent::installSnapshot(const std::string& snapshot, time_point now)
{
    std::set<service_name> changed;
    if (!m_state.installSnapshot(snapshot, now))
        return changed;
    for (const member& known : m_state.members())
        changed.insert(known.service);
    if (const service_history* history = m_state.history(m_self.service))
        m_leases.updateViews(*history);
    return changed;
}

void membership_agent::setMembership(bool shouldBeMember) noexcept
{
    m_shouldBeMember = shouldBeMember;
    if (!shouldBeMember)
        m_leases.stopGranting();
}

bool membership_agent::isInView() const
{
    const service_view* view = m_state.view(m_self.service);
    return view != nullptr && view->contains(m_self.identity());
}

void membership_agent::append(
    const std::string& purpose, const membership_record& record, time_point now, node_actions& actions)
{
    m_log.appendPaced(purpose, membershipStream, formatRecord(record), now, actions);
}

void membership_agent::appendDueRecords(time_point now, node_actions& actions)
{
    const bool isMember = isInView();
    if (m_shouldBeMember && !isMember)
        append("join", join_record { m_self }, now, actions);
    if (!m_shouldBeMember && isMember)
        append("leave", leave_record { m_self.node, m_self.incarnation }, now, actions);
    if (!isMember || !m_shouldBeMember)
        return;
    if (m_leases.shouldRefreshView(now))
        append("refresh", join_record { m_self }, now, actions);
    const service_view* view = m_state.view(m_self.service);
    for (const member& dead : m_leases.evictableMembers(*view, now))
        append("evict " + dead.node, evict_record { dead.node, dead.incarnation, view->offset }, now, actions);
}

void membership_agent::sendHeartbeats(const heartbeat_status& status, const std::set<node_name>& linked, time_point now,
    time_point wallNow, node_actions& actions)
{
    if (now < m_nextHeartbeat)
        return;
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    const service_view* view = m_state.view(m_self.service);
    if (view == nullptr)
        return;
    m_leases.reportSuspects(now);
    for (const member& peer : view->members) {
        if (peer.node == m_self.node || linked.count(peer.node) == 0)
            continue;
        heartbeat_message heartbeat = m_leases.makeHeartbeat(peer.node, now, wallNow);
        heartbeat.catalogueOffset = status.catalogueOffset;
        heartbeat.state = status.state;
        actions.emplace_back(send_to_peer { peer.node, std::move(heartbeat) });
    }
}

void membership_agent::maintain(const heartbeat_status& status, const std::set<node_name>& linked, time_point now,
    time_point wallNow, node_actions& actions)
{
    sendHeartbeats(status, linked, now, wallNow, actions);
    if (!m_isCaughtUp)
        return;
    appendDueRecords(now, actions);
    if (isInView() && m_snapshots.isDue(wallNow, m_state.nextOffset())) {
        m_snapshots.recordAttempt(wallNow);
        m_log.appendPaced("membership snapshot", membershipStream, m_state.snapshot(), now, actions);
    }
}

} // namespace knapweedcroft
