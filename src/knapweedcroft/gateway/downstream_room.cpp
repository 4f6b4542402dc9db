#include "knapweedcroft/gateway/downstream_room.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double roomSmoothingTime = 40.0; // In ms.
static constexpr milliseconds roomValidity { 700 }; // Without calls for longer, nothing is known of the room.

} // namespace internal

void downstream_room::update(const std::string& entry, double share, time_point now)
{
    entry_room& room = m_entries[entry];
    const double weight = 1.0 - std::exp(-(now - room.at).count() / internal::roomSmoothingTime);
    // Answers that come together are averaged as well, since they come from several upstreams.
    constexpr double leastWeight = 0.1;
    room.share += std::max(leastWeight, std::min(1.0, weight)) * (share - room.share);
    room.at = now;
}

double downstream_room::least(time_point now) const
{
    double share = 1.0;
    for (const std::pair<const std::string, entry_room>& item : m_entries) {
        if (now - item.second.at <= internal::roomValidity)
            share = std::min(share, item.second.share);
    }
    return share;
}

} // namespace knapweedcroft
