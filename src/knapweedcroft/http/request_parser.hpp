#ifndef KNAPWEEDCROFT_HTTP_REQUEST_PARSER_HPP
#define KNAPWEEDCROFT_HTTP_REQUEST_PARSER_HPP

#include "knapweedcroft/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace knapweedcroft {

/**
 * @brief Parses one HTTP/1.1 request incrementally, with Boost.Beast's parser.
 *
 * Refuses requests whose end two receivers could see in different places: a length together with a transfer coding,
 * several lengths, folded header lines, blanks before a colon and chunk sizes that are not hexadecimal.
 */
class request_parser {
public:
    /**
     * @brief Constructs a parser of one request.
     * @param limits Bounds on the request.
     */
    explicit request_parser(const message_limits& limits);
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;
    ~request_parser();

    /**
     * @brief Reads bytes; header bytes are used only once the whole header is there.
     * @param bytes All bytes that have been received and not used yet.
     * @return The number of bytes used.
     */
    [[nodiscard]] std::size_t put(std::string_view bytes);

    /** @brief Tells whether the header has been read. */
    [[nodiscard]] bool isHeaderDone() const;

    /** @brief Tells whether the whole request has been read. */
    [[nodiscard]] bool isDone() const;

    /** @brief Returns why the request cannot be parsed, if so. */
    [[nodiscard]] const std::optional<parse_fault>& fault() const noexcept { return m_fault; }

    /** @brief Tells whether the sender waits for `100 Continue` before it sends the body. */
    [[nodiscard]] bool expectsContinue() const;

    /** @brief Tells whether the connection may stay open after the answer. */
    [[nodiscard]] bool isKeepAlive() const;

    /** @brief Takes out the request, with end-to-end headers; call once, when done. */
    [[nodiscard]] opaque_request take();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
    std::optional<parse_fault> m_fault;
};

} // namespace knapweedcroft

#endif
