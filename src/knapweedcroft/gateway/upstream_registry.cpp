#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxFormerUpstreams = 64; // Bounds the memory for replaced upstreams of this host.
// Each copy of the directory holds these for each node. Announcements are late by seconds, and fewer upstreams than
// this follow each other in that time.
static constexpr std::size_t maxDepartures = 8;

} // namespace internal

upstream_registry::upstream_registry(
    const chart& upstreamChart, milliseconds silenceTimeout, departed_upstreams& departed)
    : m_state { upstreamChart }
    , m_silenceTimeout { silenceTimeout }
    , m_departed { departed }
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

void upstream_registry::recordDeparture(const upstream_incarnation& upstream)
{
    m_departed.insert(upstream);
    upstream_incarnation latest = upstream;
    const auto isSameId = [&upstream](const upstream_incarnation& item) { return item.id == upstream.id; };
    const auto known = std::find_if(m_departures.begin(), m_departures.end(), isSameId);
    if (known != m_departures.end()) {
        latest.startedAt = std::max(latest.startedAt, known->startedAt);
        m_departures.erase(known);
    }
    m_departures.push_back(std::move(latest));
    if (m_departures.size() > internal::maxDepartures)
        m_departures.erase(m_departures.begin());
}

bool upstream_registry::restoreDepartures(const std::vector<upstream_incarnation>& departures, time_point now)
{
    const std::vector<upstream_incarnation> ownDepartures = std::move(m_departures);
    m_departures.clear();
    for (const upstream_incarnation& upstream : departures)
        recordDeparture(upstream);
    for (const upstream_incarnation& upstream : ownDepartures)
        recordDeparture(upstream);
    return m_current && isServing() && m_departed.contains(m_current->incarnation)
        && leave(m_current->incarnation.id, now);
}

// Announcements may arrive seconds late, even after the sender has ended and another upstream has replaced it.
bool upstream_registry::isStale(const upstream_announcement& announcement)
{
    const bool isCurrent = m_current && m_current->incarnation == announcement.incarnation;
    const bool isDraining = isCurrent && !m_hasLeft && announcement.state == upstream_state::draining;
    if (m_departed.contains(announcement.incarnation) && !isDraining)
        return true;
    if (!m_current)
        return false;
    const upstream_incarnation& present = m_current->incarnation;
    if (announcement.incarnation.startedAt < present.startedAt)
        return true;
    if (!isCurrent) {
        // Without start times the order is unknown. A former upstream that still announces itself while the present one
        // is silent was replaced by a late announcement.
        // A process that has started since does not know the former ones; one that leaves takes no other one's place.
        const bool isFormer = m_formerUpstreams.count(announcement.incarnation.id) != 0;
        const bool isLeavingBesideAnother = isServing() && announcement.state == upstream_state::draining;
        return announcement.incarnation.startedAt == 0 && (isFormer || isLeavingBesideAnother)
            && m_state.state() != upstream_chart_state::silent;
    }
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
            m_formerUpstreams[former.id] = former.startedAt;
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
    if (isLeaving())
        recordDeparture(announcement.incarnation);
    const bool isChanged = !isSame || wasServing != isServing() || slotsBefore != announcement.slots;
    return isChanged ? announcement_result::changed : announcement_result::unchanged;
}

bool upstream_registry::leave(const std::string& id, time_point now, std::optional<std::int64_t> startedAt)
{
    const bool isCurrent = m_current && m_current->incarnation.id == id
        && startedAt.value_or(INT64_MAX) >= m_current->incarnation.startedAt;
    if (!isCurrent) {
        const auto former = m_formerUpstreams.find(id);
        const std::int64_t knownStart = former == m_formerUpstreams.end() ? INT64_MAX : former->second;
        recordDeparture({ id, startedAt.value_or(knownStart) });
        return false;
    }
    if (m_hasLeft)
        return false;
    m_hasLeft = true;
    m_announcedAt = now;
    recordDeparture(m_current->incarnation);
    const bool wasServing = isServing();
    m_state.fire(upstream_chart_event::announced_draining);
    return wasServing;
}

bool upstream_registry::restore(const upstream_announcement& announcement, time_point now)
{
    if (m_current || m_departed.contains(announcement.incarnation))
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
