#include "soak/notice_ledger.hpp"

#include <algorithm>

namespace knapweedcroft::platform {

void notice_ledger::recordLimit(const std::string& upstream, std::optional<double> limit, time_point now)
{
    std::vector<limit_period>& periods = m_limits[upstream];
    if (!periods.empty() && !periods.back().until)
        periods.back().until = now;
    if (limit)
        periods.push_back({ *limit, now, std::nullopt });
}

void notice_ledger::recordResponse(const std::string& node, const opaque_response& response, time_point now)
{
    const std::optional<std::string> upstream = findHeader(response.headers, "X-Response-Signature");
    if (upstream && findHeader(response.headers, "Server-Limit"))
        m_limitToldAt[node].emplace(*upstream, now);
    if (upstream && findHeader(response.headers, "Server-Leaving"))
        m_leaveToldAt[node].emplace(*upstream, now);
}

void notice_ledger::recordDisturbance(const std::string& node)
{
    m_limitToldAt.erase(node);
    m_leaveToldAt.erase(node);
}

std::optional<time_point> notice_ledger::find(
    const told_times& told, const std::string& node, const std::string& upstream)
{
    const auto ofNode = told.find(node);
    if (ofNode == told.end())
        return std::nullopt;
    const auto position = ofNode->second.find(upstream);
    return position == ofNode->second.end() ? std::nullopt : std::optional { position->second };
}

void notice_ledger::recordLeaveAcknowledged(const std::string& upstream, const std::string& node, time_point now)
{
    m_acknowledgedLeaves.emplace(upstream, acknowledged_leave { node, now });
}

void notice_ledger::setOutOfTouch(const std::string& node, bool isOutOfTouch, time_point now)
{
    const auto position = m_disturbedUntil.find(node);
    if (isOutOfTouch)
        m_disturbedUntil[node] = std::nullopt;
    else if (position != m_disturbedUntil.end() && !position->second)
        position->second = now;
}

bool notice_ledger::isInTouch(const std::string& node, time_point at) const
{
    const auto position = m_disturbedUntil.find(node);
    if (position == m_disturbedUntil.end())
        return true;
    return position->second && *position->second + m_bounds.inTouch < at;
}

void notice_ledger::checkAcknowledgedLeave(const std::string& upstream, const std::string& node, time_point sentAt)
{
    const auto leave = m_acknowledgedLeaves.find(upstream);
    if (leave == m_acknowledgedLeaves.end() || sentAt <= leave->second.at + m_bounds.acknowledgedDrain)
        return;
    if (isInTouch(node, sentAt) && isInTouch(leave->second.node, sentAt))
        m_afterLeave.push_back(upstream + ": received a request that " + node + " got "
            + std::to_string((sentAt - leave->second.at).whole()) + " ms after its leave was acknowledged");
}

void notice_ledger::recordArrival(
    const std::string& upstream, const std::string& node, time_point sentAt, time_point now)
{
    checkAcknowledgedLeave(upstream, node, sentAt);
    const std::optional<time_point> limitToldAt = find(m_limitToldAt, node, upstream);
    if (limitToldAt && *limitToldAt + m_bounds.passedOn <= now)
        m_arrivals[upstream].push_back(now);
    const std::optional<time_point> leaveToldAt = find(m_leaveToldAt, node, upstream);
    if (leaveToldAt && *leaveToldAt + m_bounds.drain < sentAt)
        m_afterLeave.push_back(upstream + ": received a request that " + node + " got "
            + std::to_string((sentAt - *leaveToldAt).whole()) + " ms after it had passed on that the upstream leaves");
}

std::size_t notice_ledger::countWindow(const arrival_times& arrivals, std::size_t first) const
{
    const time_point end = arrivals[first] + m_bounds.window;
    const auto last = std::upper_bound(arrivals.begin() + static_cast<std::ptrdiff_t>(first), arrivals.end(), end);
    return static_cast<std::size_t>(last - arrivals.begin()) - first;
}

// Returns the number of requests that the limits of an upstream allow in a window, or nothing if the upstream does not
// name a limit all the while.
std::optional<double> notice_ledger::allowance(const std::string& upstream, time_point from) const
{
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end())
        return std::nullopt;
    const time_point end = from + m_bounds.window;
    milliseconds covered;
    double allowed = 0.0;
    const time_point start = known->second.front().from + m_bounds.contact;
    for (const limit_period& period : known->second) {
        const time_point first = std::max(from, std::max(start, period.from));
        const time_point last = std::min(end, period.until.value_or(end));
        if (last <= first)
            continue;
        covered = covered + (last - first);
        constexpr double millisecondsPerSecond = 1000.0;
        allowed += period.limit * (last - first).count() / millisecondsPerSecond;
    }
    if (covered < m_bounds.window)
        return std::nullopt;
    return m_bounds.ratio * allowed + m_bounds.slack;
}

// Returns the windows that begin with an arrival; those of an upstream follow each other.
std::vector<notice_ledger::checked_window> notice_ledger::checkedWindows() const
{
    std::vector<checked_window> windows;
    for (const std::pair<const std::string, arrival_times>& item : m_arrivals) {
        for (std::size_t first = 0; first < item.second.size(); ++first) {
            if (const std::optional<double> allowed = allowance(item.first, item.second[first]))
                windows.push_back({ item.first, countWindow(item.second, first), *allowed });
        }
    }
    return windows;
}

std::size_t notice_ledger::maxCounted() const
{
    std::size_t most = 0;
    for (const checked_window& window : checkedWindows())
        most = std::max(most, window.count);
    return most;
}

std::vector<std::string> notice_ledger::violations() const
{
    std::vector<std::string> found = m_afterLeave;
    std::string reported; // Upstream whose first violation has been reported.
    for (const checked_window& window : checkedWindows()) {
        if (static_cast<double>(window.count) <= window.allowed || window.upstream == reported)
            continue;
        reported = window.upstream;
        found.push_back(window.upstream + ": named a limit and received " + std::to_string(window.count)
            + " requests in " + std::to_string(m_bounds.window.whole())
            + " ms from nodes that had passed it on; allowed " + std::to_string(window.allowed));
    }
    return found;
}

} // namespace knapweedcroft::platform
