#include "knapweedcroft/node/upstream_monitor.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds announcementTimeout { 5000 }; // five announcement intervals of 1 s

[[nodiscard]] static upstream_chart_event eventOf(upstream_state state) noexcept
{
    switch (state) {
    case upstream_state::starting:
        return upstream_chart_event::announced_starting;
    case upstream_state::serving:
        return upstream_chart_event::announced_serving;
    case upstream_state::draining:
        return upstream_chart_event::announced_draining;
    }
    return upstream_chart_event::announced_starting;
}

} // namespace internal

upstream_monitor::upstream_monitor(const chart& lifeCycle, std::string service)
    : m_state { lifeCycle }
    , m_service { std::move(service) }
{
}

upstream_capacity upstream_monitor::capacity(bool isColdStart) const
{
    if (!m_latest)
        return {};
    return upstream_capacity { m_latest->address, isServing() ? m_latest->slots : 0, isColdStart };
}

std::optional<upstream_capacity> upstream_monitor::handleAnnouncement(const upstream_announced& event, time_point now)
{
    if (event.service != m_service)
        return std::nullopt;
    const bool isNewRun = !m_latest || m_latest->incarnation != event.incarnation;
    m_latest = event;
    m_lastAnnouncedAt = now;
    if (isNewRun)
        m_state.fire(upstream_chart_event::restarted);
    m_state.fire(internal::eventOf(event.state));
    upstream_capacity current = capacity(isNewRun);
    if (current == m_reported)
        return std::nullopt;
    m_reported = upstream_capacity { current.address, current.slots, false };
    return current;
}

std::optional<upstream_capacity> upstream_monitor::expire(time_point now)
{
    if (!m_latest || now - m_lastAnnouncedAt < internal::announcementTimeout
        || !m_state.fire(upstream_chart_event::announcements_missed))
        return std::nullopt;
    m_reported = capacity(false);
    return m_reported;
}

std::optional<time_point> upstream_monitor::nextWakeup() const
{
    if (!m_latest || m_state.state() == upstream_chart_state::silent)
        return std::nullopt;
    return m_lastAnnouncedAt + internal::announcementTimeout;
}

void upstream_monitor::handleWarmUpEnd() { m_state.fire(upstream_chart_event::warmed_up); }

bool upstream_monitor::isServing() const noexcept
{
    return m_state.state() == upstream_chart_state::warming || m_state.state() == upstream_chart_state::serving;
}

bool upstream_monitor::isDraining() const noexcept { return m_state.state() == upstream_chart_state::draining; }

std::string upstream_monitor::stateName() const { return m_state.stateName(); }

} // namespace knapweedcroft
