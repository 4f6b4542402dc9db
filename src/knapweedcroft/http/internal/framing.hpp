#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_FRAMING_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_FRAMING_HPP

#include "knapweedcroft/http/message.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedcroft::internal {

/**
 * @brief Finds the end of a message's header.
 * @param bytes Bytes from the start of the message.
 * @return Position after the empty line, or `npos` if it is not there yet.
 */
[[nodiscard]] std::size_t headerEnd(std::string_view bytes);

/**
 * @brief Checks what Beast's parser accepts but other receivers frame differently.
 * @param header The header with its empty line.
 * @return The fault, if any.
 */
[[nodiscard]] std::optional<parse_fault> checkHeader(std::string_view header);

/** @brief Keeps bytes from a parser until the whole header is there and has been checked. */
class header_gate {
public:
    /**
     * @brief Tells whether the parser may read.
     * @param bytes Bytes from the start of the message, until the header has been checked.
     * @param limits Bounds on the message.
     * @param fault Receives why the header is refused, if it is.
     * @return True once the header has been checked.
     */
    [[nodiscard]] bool isOpen(std::string_view bytes, const message_limits& limits, std::optional<parse_fault>& fault);

private:
    bool m_isOpen = false;
};

/**
 * @brief Copies the headers of a message of Beast.
 * @param fields The headers.
 * @return Names and values, in order.
 */
[[nodiscard]] http_headers copyHeaders(const boost::beast::http::fields& fields);

} // namespace knapweedcroft::internal

#endif
