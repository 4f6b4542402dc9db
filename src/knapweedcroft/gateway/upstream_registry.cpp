#include "knapweedcroft/gateway/upstream_registry.hpp"

namespace knapweedcroft {

upstream_registry::upstream_registry(const chart& upstreamChart, milliseconds silence)
    : m_state { upstreamChart }
    , m_silence { silence }
{
}

bool upstream_registry::isServing() const noexcept
{
    return m_state.state() == upstream_chart_state::warming || m_state.state() == upstream_chart_state::serving;
}

void upstream_registry::fireState(const upstream_announcement& announcement)
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
    if (announcement.warmUpLeft <= milliseconds {} && m_state.state() == upstream_chart_state::warming)
        m_state.fire(upstream_chart_event::warmed_up);
}

// An announcement may be delivered seconds late, also after its sender has ended and another one has taken its place.
bool upstream_registry::isStale(const upstream_announcement& announcement)
{
    if (!m_present)
        return false;
    const upstream_incarnation& present = m_present->incarnation;
    if (announcement.incarnation.startedAt < present.startedAt)
        return true;
    if (announcement.incarnation != present) {
        const auto former = m_former.find(announcement.incarnation.id);
        const bool tellsStart = announcement.incarnation.startedAt > 0;
        return !tellsStart && former != m_former.end() && announcement.sequence >= former->second;
    }
    if (announcement.sequence > m_present->sequence)
        return m_hasLeft;
    // Two consecutive numbers below the newest one come from a process that started again under the same identifier.
    const bool isRestart
        = present.startedAt == 0 && m_repeatedSequence && announcement.sequence == *m_repeatedSequence + 1;
    m_repeatedSequence = announcement.sequence;
    if (isRestart)
        m_present->sequence = announcement.sequence - 1;
    return !isRestart;
}

void upstream_registry::replacePresent(const upstream_announcement& announcement)
{
    constexpr std::size_t mostFormer = 64;
    if (m_present) {
        m_state.fire(upstream_chart_event::restarted);
        if (m_former.size() < mostFormer)
            m_former[m_present->incarnation.id] = m_present->sequence;
    }
    m_former.erase(announcement.incarnation.id);
    m_hasLeft = false;
}

announcement_effect upstream_registry::announce(const upstream_announcement& announcement, time_point now)
{
    if (isStale(announcement))
        return announcement_effect::stale;
    const bool isSame = m_present && m_present->incarnation == announcement.incarnation;
    const bool wasServing = isServing();
    const std::uint32_t slotsBefore = m_present ? m_present->slots : 0;
    if (!isSame)
        replacePresent(announcement);
    m_repeatedSequence.reset();
    m_present = announcement;
    m_announcedAt = now;
    fireState(announcement);
    const bool isChanged = !isSame || wasServing != isServing() || slotsBefore != announcement.slots;
    return isChanged ? announcement_effect::changed : announcement_effect::unchanged;
}

bool upstream_registry::leave(const std::string& id, time_point now)
{
    if (!m_present || m_present->incarnation.id != id || m_hasLeft)
        return false;
    m_hasLeft = true;
    m_announcedAt = now;
    const bool wasServing = isServing();
    m_state.fire(upstream_chart_event::announced_draining);
    return wasServing;
}

bool upstream_registry::assume(const upstream_announcement& announcement, time_point now)
{
    if (m_present)
        return false;
    m_present = announcement;
    m_present->sequence = -1;
    m_announcedAt = now;
    fireState(announcement);
    return true;
}

bool upstream_registry::missing(const std::string& id)
{
    if (!m_present || m_present->incarnation.id != id || !isServing())
        return false;
    m_state.fire(upstream_chart_event::announcements_missed);
    return true;
}

bool upstream_registry::poll(time_point now)
{
    if (!isServing() || now - m_announcedAt < m_silence)
        return false;
    m_state.fire(upstream_chart_event::announcements_missed);
    return true;
}

milliseconds upstream_registry::warmUpLeft(time_point now) const
{
    if (!m_present)
        return {};
    const milliseconds left = m_present->warmUpLeft - (now - m_announcedAt);
    return left < milliseconds {} ? milliseconds {} : left;
}

} // namespace knapweedcroft
