#ifndef KNAPWEEDCROFT_WIRE_CONTEXT_HPP
#define KNAPWEEDCROFT_WIRE_CONTEXT_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Name of the HTTP header that identifies the calls of one action. */
inline constexpr std::string_view contextHeader = "Knapweed-Context";

/** @brief Context of a call; an upstream copies it into the calls that it makes while serving this call. */
struct call_context {
    incarnation_id node; /*!< Incarnation that dispatched the call. */
    action_id action;
    call_id call; /*!< Identifier of the call, unique within that incarnation. */
    call_class importance = call_class::low;
    milliseconds deadline; /*!< Time remaining when the call was dispatched. */
    std::uint32_t depth = 0; /*!< Depth of the call in the call graph of its action. */

    friend bool operator==(const call_context& lhs, const call_context& rhs)
    {
        return lhs.node == rhs.node && lhs.action == rhs.action && lhs.call == rhs.call
            && lhs.importance == rhs.importance && lhs.deadline == rhs.deadline && lhs.depth == rhs.depth;
    }
};

/**
 * @brief Formats a context as a header value.
 * @param context The context; its deadline is written in whole milliseconds, at least 0.
 */
[[nodiscard]] std::string formatContext(const call_context& context);

/**
 * @brief Parses the value of a context header.
 * @return The context, or an error of kind `malformed_context`.
 */
[[nodiscard]] result<call_context> parseContext(std::string_view text);

} // namespace knapweedcroft

#endif
