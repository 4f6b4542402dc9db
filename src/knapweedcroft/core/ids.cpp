#include "knapweedcroft/core/ids.hpp"

#include <charconv>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t hexDigitCount = 16;

} // namespace internal

std::string toHex(std::uint64_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(internal::hexDigitCount, '0');
    for (std::size_t index = internal::hexDigitCount; index > 0; --index) {
        text[index - 1] = digits[value & 0xFU];
        value >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> parseHex(std::string_view text) noexcept
{
    if (text.size() != internal::hexDigitCount || text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

} // namespace knapweedcroft
