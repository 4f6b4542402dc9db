#include "knapweedcroft/load/call_key.hpp"

#include "knapweedcroft/core/ids.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t timestampDigits = 12;
static constexpr std::size_t firstTimestampPart = 8;
static constexpr std::size_t randomPartStart = 14; // Position of the version digit, behind the time of issue.

[[nodiscard]] static std::string timestampText(time_point issued)
{
    const std::string digits = toHex(static_cast<std::uint64_t>(issued.sinceEpoch().whole()));
    const std::string timestamp = digits.substr(digits.size() - timestampDigits);
    return timestamp.substr(0, firstTimestampPart) + "-" + timestamp.substr(firstTimestampPart) + "-";
}

} // namespace internal

std::string makeCallKey(time_point issued, std::uint64_t high, std::uint64_t low)
{
    constexpr std::uint64_t versionBits = 0x7000;
    constexpr std::uint64_t versionMask = 0x0fff;
    constexpr std::uint64_t variantBits = 0x8000'0000'0000'0000;
    constexpr std::uint64_t variantMask = 0x3fff'ffff'ffff'ffff;
    const std::string first = toHex(versionBits | (high & versionMask)).substr(12);
    const std::string second = toHex(variantBits | (low & variantMask));
    return internal::timestampText(issued) + first + "-" + second.substr(0, 4) + "-" + second.substr(4);
}

bool isCallKey(std::string_view text) noexcept
{
    static constexpr std::string_view pattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
    if (text.size() != pattern.size())
        return false;
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        const bool isHex = std::string_view { "0123456789abcdef" }.find(text[index]) != std::string_view::npos;
        const bool isVariant = std::string_view { "89ab" }.find(text[index]) != std::string_view::npos;
        const bool isExact = text[index] == pattern[index];
        const bool matches = pattern[index] == 'x' ? isHex : pattern[index] == 'v' ? isVariant : isExact;
        if (!matches)
            return false;
    }
    return true;
}

const std::string& key_reissuer::reissue(const std::string& recorded, time_point wallNow)
{
    const auto position = m_reissued.find(recorded);
    if (position != m_reissued.end())
        return position->second;
    std::string stamped = internal::timestampText(wallNow) + recorded.substr(internal::randomPartStart);
    return m_reissued.emplace(recorded, std::move(stamped)).first->second;
}

} // namespace knapweedcroft
