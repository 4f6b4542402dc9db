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

/**
 * @brief Copies the headers of a message of Beast.
 * @param fields The headers.
 * @return Names and values, in order.
 */
[[nodiscard]] http_headers copyHeaders(const boost::beast::http::fields& fields);

} // namespace knapweedcroft::internal

#endif
