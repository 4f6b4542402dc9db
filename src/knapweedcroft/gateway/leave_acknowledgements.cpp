#include "knapweedcroft/gateway/leave_acknowledgements.hpp"

#include <algorithm>
#include <iterator>

namespace knapweedcroft {

namespace internal {

// Upstreams wait for one second.
static constexpr milliseconds maxWait { 900 };

} // namespace internal

bool leave_acknowledgements::await(const std::string& upstream, time_point now)
{
    if (m_leaves.size() >= maxAcknowledged && m_leaves.count(upstream) == 0)
        m_leaves.erase(m_leaves.begin());
    announced_leave& leave = m_leaves[upstream];
    if (!leave.isAwaited) {
        leave.isAwaited = true;
        leave.since = now;
    }
    return m_acknowledged.contains(upstream);
}

void leave_acknowledgements::recordStored()
{
    for (std::pair<const std::string, announced_leave>& item : m_leaves)
        item.second.isStored = true;
}

std::optional<std::string> leave_acknowledgements::unacknowledged() const
{
    return m_leaves.empty() ? std::nullopt : std::optional { m_leaves.begin()->first };
}

std::vector<leave_verdict> leave_acknowledgements::takeVerdicts(time_point now)
{
    std::vector<leave_verdict> verdicts;
    for (auto position = m_leaves.begin(); position != m_leaves.end();) {
        announced_leave& leave = position->second;
        const milliseconds waited = now - leave.since;
        const bool isRecorded = m_acknowledged.contains(position->first) || leave.isStored;
        if (!leave.isAwaited || (!isRecorded && waited < internal::maxWait)) {
            ++position;
            continue;
        }
        leave.isAwaited = false;
        verdicts.push_back({ position->first, isRecorded });
        if (isRecorded)
            m_acknowledged.insert(position->first);
        position = isRecorded ? m_leaves.erase(position) : std::next(position);
    }
    return verdicts;
}

std::optional<time_point> leave_acknowledgements::nextWakeup() const
{
    std::optional<time_point> next;
    for (const std::pair<const std::string, announced_leave>& item : m_leaves) {
        const announced_leave& leave = item.second;
        if (!leave.isAwaited)
            continue;
        const time_point due = leave.since + internal::maxWait;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace knapweedcroft
