#include "knapweedcroft/idempotency/key.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t minKeyLength = 8;
static constexpr std::size_t maxKeyLength = 128;
static constexpr std::size_t uuidLength = 36;
static constexpr std::size_t versionPosition = 14;
static constexpr std::size_t variantPosition = 19;

[[nodiscard]] static bool isUuidCharacterAt(std::string_view text, std::size_t index) noexcept
{
    if (index == 8 || index == 13 || index == 18 || index == 23)
        return text[index] == '-';
    return std::string_view { "0123456789abcdefABCDEF" }.find(text[index]) != std::string_view::npos;
}

/** @brief Checks for a possibly empty sequence of sub-call suffixes such as ".1", which extend the caller's key. */
[[nodiscard]] static bool isSubCallSuffix(std::string_view text) noexcept
{
    return text.empty()
        || (text.front() == '.' && text.back() != '.' && text.find("..") == std::string_view::npos
            && text.find_first_not_of(".0123456789") == std::string_view::npos);
}

[[nodiscard]] static bool isUuidV7(std::string_view text) noexcept
{
    if (text.size() != uuidLength || text[versionPosition] != '7')
        return false;
    if (std::string_view { "89abAB" }.find(text[variantPosition]) == std::string_view::npos)
        return false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (!isUuidCharacterAt(text, index))
            return false;
    }
    return true;
}

} // namespace internal

std::optional<time_point> issueTime(std::string_view text) noexcept
{
    // A sub-call's key extends its caller's key, and no sub-call runs before that key was issued.
    if (text.size() < internal::uuidLength || !internal::isUuidV7(text.substr(0, internal::uuidLength))
        || !internal::isSubCallSuffix(text.substr(internal::uuidLength)))
        return std::nullopt;
    // The first 48 bits are Unix time in milliseconds: 8 hexadecimal digits, a dash and 4 digits.
    std::int64_t high = 0;
    std::int64_t low = 0;
    std::from_chars(text.data(), text.data() + 8, high, 16);
    std::from_chars(text.data() + 9, text.data() + 13, low, 16);
    return time_point { milliseconds { high * 0x10000 + low } };
}

result<idempotency_key> parseKey(const std::optional<std::string>& header)
{
    if (!header || header->empty())
        return error { error_kind::missing_idempotency_key,
            "the call is not idempotent; send the header Idempotency-Key with a new UUIDv7 for each action and repeat "
            "it unchanged when you retry" };
    const bool isVisible = std::all_of(
        header->begin(), header->end(), [](char character) { return character > ' ' && character <= '~'; });
    if (!isVisible || header->size() < internal::minKeyLength || header->size() > internal::maxKeyLength)
        return error { error_kind::malformed_idempotency_key,
            "the header Idempotency-Key must be a UUIDv7 or 8 to 128 visible ASCII characters; send such a key" };
    return idempotency_key { *header, issueTime(*header) };
}

} // namespace knapweedcroft
