#include "knapweedcroft/core/priority.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace knapweedcroft {

std::string_view toString(call_class value) noexcept
{
    switch (value) {
    case call_class::critical:
        return "critical";
    case call_class::high:
        return "high";
    case call_class::normal:
        return "normal";
    case call_class::low:
        return "low";
    }
    return "low";
}

std::optional<call_class> parseCallClass(std::string_view name) noexcept
{
    for (const call_class value : { call_class::critical, call_class::high, call_class::normal, call_class::low }) {
        if (toString(value) == name)
            return value;
    }
    return std::nullopt;
}

priority priority::relaxedBy(double factor) const noexcept
{
    constexpr double rankCount = 18446744073709551616.0; // 2^64
    constexpr double classCount = 4.0;
    constexpr double minPosition = 1.0 / 1024.0; // Position 0 would never relax, since 0 * factor is 0.
    if (factor <= 1.0)
        return *this;
    const double position
        = std::max(minPosition, static_cast<double>(m_class) + static_cast<double>(m_rank) / rankCount);
    const double relaxed = position * factor;
    if (relaxed >= classCount)
        return priority { call_class::low, std::numeric_limits<std::uint64_t>::max() };
    const double classIndex = std::floor(relaxed);
    // Rounding the rank to a double is harmless: the error is far smaller than the distance between the ranks of the
    // actions of one second.
    return priority { static_cast<call_class>(classIndex),
        static_cast<std::uint64_t>((relaxed - classIndex) * rankCount) };
}

} // namespace knapweedcroft
