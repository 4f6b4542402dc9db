#include "knapweedcroft/core/duration_text.hpp"

#include <charconv>

namespace knapweedcroft {

std::optional<milliseconds> parseDuration(std::string_view text) noexcept
{
    constexpr double millisecondsPerSecond = 1000.0;
    constexpr double maxMilliseconds = 10.0 * 365.0 * 86'400.0 * millisecondsPerSecond;
    if (text.empty() || text.back() != 's')
        return std::nullopt;
    text.remove_suffix(1);
    double unit = millisecondsPerSecond;
    if (!text.empty() && text.back() == 'm') {
        text.remove_suffix(1);
        unit = 1.0;
    }
    double value = 0.0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isFullyParsed = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
    if (!isFullyParsed || !(value >= 0.0) || value * unit > maxMilliseconds)
        return std::nullopt;
    return milliseconds::fromFraction(value * unit);
}

} // namespace knapweedcroft
