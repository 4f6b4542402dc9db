#include "knapweedcroft/gateway/downstream_admission_ratio.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double smoothingTimeMs = 40.0;
static constexpr milliseconds validity { 700 }; // A ratio without newer answers expires after this time.

} // namespace internal

void downstream_admission_ratio::update(const std::string& entry, double ratio, time_point now)
{
    entry_ratio& entryRatio = m_entries[entry];
    const double weight = 1.0 - std::exp(-(now - entryRatio.at).count() / internal::smoothingTimeMs);
    // Simultaneous answers come from several upstreams, so each gets a minimum weight.
    constexpr double minWeight = 0.1;
    entryRatio.ratio += std::max(minWeight, std::min(1.0, weight)) * (ratio - entryRatio.ratio);
    entryRatio.at = now;
}

double downstream_admission_ratio::minimum(time_point now) const
{
    double ratio = 1.0;
    for (const std::pair<const std::string, entry_ratio>& item : m_entries) {
        if (now - item.second.at <= internal::validity)
            ratio = std::min(ratio, item.second.ratio);
    }
    return ratio;
}

} // namespace knapweedcroft
