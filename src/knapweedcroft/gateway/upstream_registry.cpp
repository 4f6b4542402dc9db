#include "knapweedcroft/gateway/upstream_registry.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxFormerUpstreams = 64; // Bounds the memory for upstreams of this host that have left.

} // namespace internal

upstream_registry::upstream_registry(const chart& upstreamChart, milliseconds silenceTimeout)
    : m_state { upstreamChart }
    , m_silenceTimeout { silenceTimeout }
{
}

bool upstream_registry::isServing() const noexcept
{
    return m_state.state() == upstream_chart_state::warming || m_state.state() == upstream_chart_state::serving;
}

void upstream_registry::applyAnnouncedState(const upstream_announcement& announcement)
{
    switch (announcement.state) {
    case upstream_state::starting:
        m_state.fire(upstream_chart_event::announced_starting);
        return;
    case upstream_state::draining:
        m_state.fire(upstream_chart_event::announced_draining);
        return;
    case upstream_state::serving:
        break;
    }
    if (!isServing())
        m_state.fire(upstream_chart_event::announced_serving);
    if (announcement.remainingWarmUp <= milliseconds {} && m_state.state() == upstream_chart_state::warming)
        m_state.fire(upstream_chart_event::warmed_up);
}

bool upstream_registry::hasDeparted(const upstream_incarnation& upstream) const
{
    const auto position = m_departed.find(upstream.id);
    return position != m_departed.end() && upstream.startedAt <= position->second;
}

void upstream_registry::recordDeparture(const upstream_incarnation& upstream)
{
    if (m_departed.size() < internal::maxFormerUpstreams)
        m_departed[upstream.id] = upstream.startedAt;
}

// Announcements may arrive seconds late, even after the sender has ended and another upstream has replaced it.
bool upstream_registry::isStale(const upstream_announcement& announcement)
{
    if (hasDeparted(announcement.incarnation))
        return true;
    if (!m_current)
        return false;
    const upstream_incarnation& present = m_current->incarnation;
    if (announcement.incarnation.startedAt < present.startedAt)
        return true;
    if (announcement.incarnation != present) {
        // Without start times the order is unknown. A former upstream that still announces itself while the present one
        // is silent was replaced by a late announcement.
        const bool isFormer = m_formerUpstreams.count(announcement.incarnation.id) != 0;
        return announcement.incarnation.startedAt == 0 && isFormer && m_state.state() != upstream_chart_state::silent;
    }
    if (m_hasLeft || (isLeaving() && announcement.state != upstream_state::draining))
        return true;
    if (announcement.sequence > m_current->sequence)
        return false;
    // Two consecutive sequence numbers not above the newest one indicate a restart under the same identifier.
    const bool isRestart = present.startedAt == 0 && m_restartCandidateSequence
        && announcement.sequence == *m_restartCandidateSequence + 1;
    m_restartCandidateSequence = announcement.sequence;
    if (isRestart)
        m_current->sequence = announcement.sequence - 1;
    return !isRestart;
}

void upstream_registry::replaceCurrent(const upstream_announcement& announcement)
{
    if (m_current) {
        const upstream_incarnation& former = m_current->incarnation;
        if (m_formerUpstreams.size() < internal::maxFormerUpstreams)
            m_formerUpstreams.insert(former.id);
        if (isLeaving())
            recordDeparture(former);
        m_state.fire(upstream_chart_event::restarted);
    }
    m_formerUpstreams.erase(announcement.incarnation.id);
    m_hasLeft = false;
}

announcement_result upstream_registry::announce(const upstream_announcement& announcement, time_point now)
{
    if (isStale(announcement))
        return announcement_result::stale;
    const bool isSame = m_current && m_current->incarnation == announcement.incarnation;
    const bool wasServing = isServing();
    const std::uint32_t slotsBefore = m_current ? m_current->slots : 0;
    if (!isSame)
        replaceCurrent(announcement);
    m_restartCandidateSequence.reset();
    m_current = announcement;
    m_announcedAt = now;
    applyAnnouncedState(announcement);
    const bool isChanged = !isSame || wasServing != isServing() || slotsBefore != announcement.slots;
    return isChanged ? announcement_result::changed : announcement_result::unchanged;
}

bool upstream_registry::leave(const std::string& id, time_point now, std::optional<std::int64_t> startedAt)
{
    const bool isCurrent = m_current && m_current->incarnation.id == id
        && startedAt.value_or(INT64_MAX) >= m_current->incarnation.startedAt;
    if (!isCurrent) {
        recordDeparture({ id, startedAt.value_or(INT64_MAX) });
        return false;
    }
    if (m_hasLeft)
        return false;
    m_hasLeft = true;
    m_announcedAt = now;
    const bool wasServing = isServing();
    m_state.fire(upstream_chart_event::announced_draining);
    return wasServing;
}

bool upstream_registry::restore(const upstream_announcement& announcement, time_point now)
{
    if (m_current || hasDeparted(announcement.incarnation))
        return false;
    m_current = announcement;
    m_current->sequence = -1;
    m_announcedAt = now;
    applyAnnouncedState(announcement);
    return true;
}

bool upstream_registry::markUnreachable(const std::string& id)
{
    if (!m_current || m_current->incarnation.id != id || !isServing())
        return false;
    m_state.fire(upstream_chart_event::announcements_missed);
    return true;
}

bool upstream_registry::poll(time_point now)
{
    if (!isServing() || now - m_announcedAt < m_silenceTimeout)
        return false;
    m_state.fire(upstream_chart_event::announcements_missed);
    return true;
}

milliseconds upstream_registry::remainingWarmUp(time_point now) const
{
    if (!m_current)
        return {};
    const milliseconds left = m_current->remainingWarmUp - (now - m_announcedAt);
    return left < milliseconds {} ? milliseconds {} : left;
}

} // namespace knapweedcroft
