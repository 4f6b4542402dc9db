#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_FRAMING_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_FRAMING_HPP

#include "knapweedcroft/http/message.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedcroft::internal {

/** @brief HTTP status for a header section, chunk header or trailer above the limit. */
inline constexpr int headerFieldsTooLarge = 431;

/** @brief HTTP status for a body above the limit. */
inline constexpr int contentTooLarge = 413;

/**
 * @brief Finds the end of a message's header section.
 * @param bytes Bytes from the start of the message.
 * @return Position after the empty line, or `npos` if it has not arrived yet.
 */
[[nodiscard]] std::size_t findHeaderEnd(std::string_view bytes);

/**
 * @brief Rejects framing that Beast's parser accepts but other HTTP implementations may interpret differently, and a
 * `Content-Length` above the limit.
 * @param header Header section, including its empty line.
 * @param limits Size limits of the message.
 * @return The error, or nothing if the framing is unambiguous.
 */
[[nodiscard]] std::optional<parse_error> validateHeader(std::string_view header, const message_limits& limits);

/** @brief Withholds input from a parser until the complete header section has been received and validated. */
class header_validator {
public:
    /**
     * @brief Validates the header section unless that has succeeded before.
     * @param bytes Bytes from the start of the message; not used once the header is valid.
     * @param limits Size limits of the message.
     * @param fault Receives the error if the header is invalid or too large.
     * @return True once the header is valid, so that the parser may read the bytes.
     */
    [[nodiscard]] bool validate(
        std::string_view bytes, const message_limits& limits, std::optional<parse_error>& fault);

private:
    bool m_isValid = false;
};

/**
 * @brief Checks bytes that the parser has left unread.
 * @param unreadBytes Bytes of an incomplete message that the parser needs more of: of a chunk header or trailer, for
 * which Beast's parser has no limit.
 * @param limits Size limits of the message.
 * @return Whether the message is to be refused.
 */
[[nodiscard]] inline bool exceedsLimit(std::size_t unreadBytes, const message_limits& limits)
{
    return unreadBytes > limits.maxHeaderBytes;
}

/**
 * @brief Checks whether bytes may be passed to Beast's parser.
 *
 * The end of a chunked body, its last chunk and the empty line, has five bytes or more. Once Beast has read the size of
 * the last chunk it asserts that it is called with as many, so fewer bytes wait until more of them have arrived.
 * @param parser Beast's parser.
 * @param size Number of bytes that are not consumed yet.
 */
template <typename Parser> [[nodiscard]] bool canParse(const Parser& parser, std::size_t size)
{
    constexpr std::size_t minChunkedEnd = 5;
    return !parser.is_header_done() || !parser.chunked() || size >= minChunkedEnd;
}

/** @brief Converts Beast's header fields to names and values, in order. */
[[nodiscard]] http_headers copyHeaders(const boost::beast::http::fields& fields);

} // namespace knapweedcroft::internal

#endif
