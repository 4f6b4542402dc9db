#include "knapweedcroft/retry/sub_call_history.hpp"

namespace knapweedcroft {

sub_call_kind sub_call_history::record(
    std::string_view entry, const std::optional<std::string>& key, std::uint64_t bodyHash)
{
    if (m_count >= m_maxSubCalls)
        return sub_call_limit_reached {};
    ++m_count;
    for (sub_call_record& earlier : m_records) {
        const bool hasSameInput = key ? earlier.key == key : !earlier.key && earlier.bodyHash == bodyHash;
        if (hasSameInput && earlier.entry == entry)
            return repeated_sub_call { ++earlier.repeats };
    }
    m_records.push_back({ std::string { entry }, key, bodyHash, 0 });
    return first_sub_call {};
}

} // namespace knapweedcroft
