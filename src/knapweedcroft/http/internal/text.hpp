#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_TEXT_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_TEXT_HPP

#include <event2/util.h>

#include <string_view>

namespace knapweedcroft::internal {

/** @brief Compares two header names, ignoring ASCII case. */
[[nodiscard]] inline bool isSameName(std::string_view lhs, std::string_view rhs)
{
    return lhs.size() == rhs.size() && evutil_ascii_strncasecmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

/** @brief Strips leading and trailing spaces and tabs. */
[[nodiscard]] inline std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace knapweedcroft::internal

#endif
