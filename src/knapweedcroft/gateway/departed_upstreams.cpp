#include "knapweedcroft/gateway/departed_upstreams.hpp"

#include <algorithm>

namespace knapweedcroft {

void departed_upstreams::insert(const upstream_incarnation& upstream)
{
    const bool isKnown = m_latestStarts.count(upstream.id) != 0;
    std::int64_t& latestStart = m_latestStarts[upstream.id];
    latestStart = std::max(latestStart, upstream.startedAt);
    if (isKnown)
        return;
    m_order.push_back(upstream.id);
    if (m_order.size() > maxSize) {
        m_latestStarts.erase(m_order.front());
        m_order.pop_front();
    }
}

bool departed_upstreams::contains(const upstream_incarnation& upstream) const
{
    const auto position = m_latestStarts.find(upstream.id);
    return position != m_latestStarts.end() && upstream.startedAt <= position->second;
}

} // namespace knapweedcroft
