#include "knapweedcroft/load/client_request.hpp"

#include <algorithm>

namespace knapweedcroft {

std::string_view toString(attempt_end value) noexcept
{
    switch (value) {
    case attempt_end::completed:
        return "completed";
    case attempt_end::refused_not_run:
        return "refused_not_run";
    case attempt_end::rejected:
        return "rejected";
    case attempt_end::failed_answer:
        return "failed_answer";
    case attempt_end::failed_after_start:
        return "failed_after_start";
    case attempt_end::outcome_unknown:
        return "outcome_unknown";
    case attempt_end::timed_out:
        return "timed_out";
    case attempt_end::connection_failed:
        return "connection_failed";
    case attempt_end::broken_answer:
        return "broken_answer";
    case attempt_end::unclassified:
        return "unclassified";
    }
    return "unclassified";
}

client_step client_request::attempt(time_point now)
{
    const milliseconds left = m_start + m_settings.patience - now;
    if (left <= milliseconds {})
        return request_ended { m_lastEnd };
    ++m_attempts;
    return send_attempt { std::min(left, m_settings.attemptTimeout) };
}

client_step client_request::handleAttemptEnd(attempt_end end, std::optional<milliseconds> retryAfter, time_point now)
{
    ++m_counts[static_cast<std::size_t>(end)];
    m_lastEnd = end;
    if (!isRetryable(end, retryAfter.has_value()) || m_attempts > m_settings.retries)
        return request_ended { end };
    const milliseconds wait = retryDelay(retryAfter);
    if (now + wait >= m_start + m_settings.patience)
        return request_ended { end };
    if (wait > milliseconds {})
        return wait_to_retry { now + wait };
    return attempt(now);
}

bool client_request::isRetryable(attempt_end end, bool hasRetryAfter) const noexcept
{
    if (end == attempt_end::completed || end == attempt_end::rejected)
        return false;
    if (m_settings.profile == client_profile::hard || hasRetryAfter)
        return true;
    return end == attempt_end::timed_out || end == attempt_end::connection_failed;
}

milliseconds client_request::retryDelay(std::optional<milliseconds> retryAfter) const noexcept
{
    if (m_settings.profile == client_profile::hard)
        return milliseconds {};
    constexpr std::uint32_t maxDoublings = 10;
    const std::uint32_t doublings = std::min(m_attempts - 1, maxDoublings);
    return retryAfter.value_or(m_settings.initialBackoff * (std::int64_t { 1 } << doublings));
}

} // namespace knapweedcroft
