#include "knapweedcroft/load/percentiles.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedcroft {

percentiles::percentiles(std::vector<milliseconds> samples)
    : m_sorted { std::move(samples) }
{
    std::sort(m_sorted.begin(), m_sorted.end());
}

milliseconds percentiles::at(double share) const noexcept
{
    if (m_sorted.empty())
        return milliseconds {};
    const double rank = std::ceil(share * static_cast<double>(m_sorted.size()));
    const std::size_t index = rank < 1.0 ? 0 : static_cast<std::size_t>(rank) - 1;
    return m_sorted[std::min(index, m_sorted.size() - 1)];
}

} // namespace knapweedcroft
