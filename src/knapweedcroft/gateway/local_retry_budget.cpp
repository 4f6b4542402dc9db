#include "knapweedcroft/gateway/local_retry_budget.hpp"

namespace knapweedcroft {

namespace internal {

// Requests reach the upstream later than they are counted here, so a window at the upstream may still contain requests
// that the window here has already dropped.
static constexpr double safetyFactor = 0.8;

static void removeBefore(std::deque<time_point>& times, time_point start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace internal

// Returns the usage of a service within the window.
local_retry_budget::service_usage& local_retry_budget::usageWithin(const service_name& service, time_point now)
{
    service_usage& used = m_usageByService[service];
    internal::removeBefore(used.firstAttempts, now - m_settings.window);
    internal::removeBefore(used.retries, now - m_settings.window - m_settings.window / 10);
    return used;
}

void local_retry_budget::recordFirstAttempt(const service_name& service, time_point now)
{
    usageWithin(service, now).firstAttempts.push_back(now);
}

void local_retry_budget::recordInheritedRetry(const service_name& service, time_point now)
{
    usageWithin(service, now).retries.push_back(now);
}

bool local_retry_budget::spend(const service_name& service, time_point now)
{
    service_usage& used = usageWithin(service, now);
    const double slackShare = m_settings.slack / static_cast<double>(m_nodeCount);
    const double maxRetries
        = (m_settings.ratio * static_cast<double>(used.firstAttempts.size()) + slackShare) * internal::safetyFactor;
    if (static_cast<double>(used.retries.size() + 1) > maxRetries)
        return false;
    used.retries.push_back(now);
    return true;
}

} // namespace knapweedcroft
