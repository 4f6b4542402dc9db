#include "knapweedcroft/gateway/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Exchanges of an upstream that has ended break off within milliseconds, so one that still runs speaks against a crash.
static constexpr milliseconds recheckInterval { 20 };
static constexpr int maxChecks = 5;
static constexpr milliseconds maxRestartTime { 5000 }; // From an interruption to the start of the next process.
static constexpr std::size_t maxUnexplained = 256;

} // namespace internal

bool crash_detector::recordInterruption(const std::string& upstream, interrupted_content content, time_point now)
{
    const bool isFirst = m_pending.empty();
    if (isFirst)
        m_checks = 1;
    m_pending.push_back({ upstream, std::move(content), now });
    return isFirst;
}

void crash_detector::recordAnswer(
    const std::string& upstream, std::uint64_t digest, time_point startedAt, time_point now)
{
    m_completions.record(digest, now);
    const auto isDisproved
        = [&upstream, startedAt](const interruption& item) { return item.upstream == upstream && item.at < startedAt; };
    m_unexplained.erase(std::remove_if(m_unexplained.begin(), m_unexplained.end(), isDisproved), m_unexplained.end());
}

check_verdict crash_detector::handleCheck(bool isRefused, const std::optional<time_point>& oldestStart, time_point now)
{
    if (m_pending.empty())
        return upstream_alive {};
    const bool isRunning = oldestStart && *oldestStart < m_pending.front().at;
    if (isRefused && isRunning && m_checks < internal::maxChecks) {
        m_nextCheck = now + internal::recheckInterval;
        return check_again {};
    }
    const std::vector<interruption> checked = std::exchange(m_pending, {});
    if (!isRefused || isRunning) {
        m_unexplained.insert(m_unexplained.end(), checked.begin(), checked.end());
        if (m_unexplained.size() > internal::maxUnexplained)
            m_unexplained.erase(m_unexplained.begin(), m_unexplained.end() - internal::maxUnexplained);
        return upstream_alive {};
    }
    upstream_crash crash { checked.front().upstream, {} };
    for (const interruption& item : checked) {
        if (item.upstream == crash.upstream && !m_completions.contains(item.content.digest, now))
            crash.interrupted.push_back(item.content);
    }
    m_unexplained.clear();
    return crash;
}

std::optional<upstream_crash> crash_detector::handleReplacement(const std::string& upstream, time_point now)
{
    upstream_crash crash { upstream, {} };
    for (const interruption& item : std::exchange(m_unexplained, {})) {
        const bool isRecent = item.upstream == upstream && now - item.at <= internal::maxRestartTime;
        if (isRecent && !m_completions.contains(item.content.digest, item.at))
            crash.interrupted.push_back(item.content);
    }
    return crash.interrupted.empty() ? std::nullopt : std::optional { crash };
}

bool crash_detector::takeDueCheck(time_point now)
{
    if (!m_nextCheck || now < *m_nextCheck)
        return false;
    m_nextCheck.reset();
    ++m_checks;
    return true;
}

} // namespace knapweedcroft
