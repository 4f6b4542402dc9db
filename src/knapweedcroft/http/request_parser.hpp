#ifndef KNAPWEEDCROFT_HTTP_REQUEST_PARSER_HPP
#define KNAPWEEDCROFT_HTTP_REQUEST_PARSER_HPP

#include "knapweedcroft/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace knapweedcroft {

/**
 * @brief Incremental parser for one HTTP/1.1 request, based on Boost.Beast.
 *
 * Rejects ambiguous framing, which allows request smuggling: `Content-Length` together with `Transfer-Encoding`,
 * several lengths, folded header lines, whitespace before a colon and chunk sizes that are not hexadecimal.
 */
class request_parser {
public:
    /**
     * @brief Constructs a parser for one request.
     * @param limits Size limits of the request.
     */
    explicit request_parser(const message_limits& limits);
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;
    ~request_parser();

    /**
     * @brief Parses input; header bytes are consumed only once the complete header section has arrived.
     * @param bytes All bytes received and not consumed yet.
     * @return Number of bytes consumed.
     */
    [[nodiscard]] std::size_t put(std::string_view bytes);

    /** @brief Returns whether the header section has been parsed. */
    [[nodiscard]] bool isHeaderDone() const;

    /** @brief Returns whether the request is complete. */
    [[nodiscard]] bool isDone() const;

    /** @brief Returns the error, if the request is invalid. */
    [[nodiscard]] const std::optional<parse_error>& fault() const noexcept { return m_fault; }

    /** @brief Returns whether the client waits for `100 Continue` before it sends the body. */
    [[nodiscard]] bool isContinueExpected() const;

    /** @brief Returns the number of body bytes received so far. */
    [[nodiscard]] std::size_t bodySize() const;

    /** @brief Returns whether the connection may stay open after the response. */
    [[nodiscard]] bool isKeepAlive() const;

    /** @brief Moves out the request with its end-to-end headers; call once, after `isDone`. */
    [[nodiscard]] opaque_request take();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
    std::optional<parse_error> m_fault;
};

} // namespace knapweedcroft

#endif
