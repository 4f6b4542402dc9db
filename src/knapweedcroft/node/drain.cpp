#include "knapweedcroft/node/drain.hpp"

namespace knapweedcroft {

namespace internal {

// While the log is unavailable, the node cannot leave the view. Calls with its keys are then refused until the other
// members evict it.
static constexpr milliseconds leaveTimeout { 5000 };
static constexpr milliseconds handOverTimeout { 5000 };

} // namespace internal

drain_process::drain_process(const chart& lifeCycle) noexcept
    : m_state { lifeCycle }
{
}

void drain_process::begin(time_point now)
{
    if (m_state.fire(drain_event::leave_requested))
        m_stateTimeoutAt = now + internal::leaveTimeout;
}

void drain_process::request(request_handle handle, time_point now)
{
    m_requests.push_back(handle);
    begin(now);
}

bool drain_process::step(const drain_conditions& conditions, time_point now)
{
    switch (m_state.state()) {
    case drain_state::serving:
    case drain_state::done:
        return false;
    case drain_state::leaving:
        if (!conditions.isInView) {
            m_stateTimeoutAt = now + internal::handOverTimeout;
            return m_state.fire(drain_event::view_read);
        }
        return now >= m_stateTimeoutAt && m_state.fire(drain_event::log_unavailable);
    case drain_state::handing_over:
        if (!conditions.hasPendingHandOvers)
            return m_state.fire(drain_event::handed_over);
        return now >= m_stateTimeoutAt && m_state.fire(drain_event::hand_over_failed);
    case drain_state::waiting:
        return conditions.isIdle && m_state.fire(drain_event::calls_ended);
    }
    return false;
}

void drain_process::advance(const drain_conditions& conditions, time_point now, node_actions& actions)
{
    while (step(conditions, now)) { }
    if (!isDone())
        return;
    for (const request_handle handle : m_requests)
        actions.emplace_back(answer_leave { handle });
    m_requests.clear();
}

std::optional<time_point> drain_process::nextWakeup() const
{
    if (m_state.state() == drain_state::leaving || m_state.state() == drain_state::handing_over)
        return m_stateTimeoutAt;
    return std::nullopt;
}

} // namespace knapweedcroft
