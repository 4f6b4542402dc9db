#include "knapweedcroft/gateway/retry_allowance.hpp"

namespace knapweedcroft {

namespace internal {

// Requests reach the upstream later than they are counted here, so a window there may begin with some that this
// window has already dropped.
static constexpr double usedShare = 0.8;

static void dropBefore(std::deque<time_point>& times, time_point start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace internal

void retry_allowance::expire(usage& used, time_point now) const
{
    internal::dropBefore(used.firsts, now - m_settings.window);
    internal::dropBefore(used.repeats, now - m_settings.window - m_settings.window / 10);
}

void retry_allowance::noteFirst(const service_name& service, time_point now)
{
    usage& used = m_usage[service];
    expire(used, now);
    used.firsts.push_back(now);
}

bool retry_allowance::spend(const service_name& service, time_point now)
{
    usage& used = m_usage[service];
    expire(used, now);
    const double part = m_settings.slack / static_cast<double>(m_nodes);
    const double most = (m_settings.ratio * static_cast<double>(used.firsts.size()) + part) * internal::usedShare;
    if (static_cast<double>(used.repeats.size() + 1) > most)
        return false;
    used.repeats.push_back(now);
    return true;
}

} // namespace knapweedcroft
