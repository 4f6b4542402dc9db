#include "knapweedcroft/gateway/recent_completions.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds validity { 1000 };

} // namespace internal

void recent_completions::record(std::uint64_t digest, time_point now)
{
    m_latest[digest] = now;
    m_order.emplace_back(now, digest);
    while (m_order.front().first + internal::validity < now) {
        const std::pair<time_point, std::uint64_t> earliest = m_order.front();
        m_order.pop_front();
        const auto position = m_latest.find(earliest.second);
        if (position != m_latest.end() && position->second == earliest.first)
            m_latest.erase(position);
    }
}

bool recent_completions::contains(std::uint64_t digest, time_point now) const
{
    const auto position = m_latest.find(digest);
    return position != m_latest.end() && now - position->second <= internal::validity;
}

} // namespace knapweedcroft
