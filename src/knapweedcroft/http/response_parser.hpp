#ifndef KNAPWEEDCROFT_HTTP_RESPONSE_PARSER_HPP
#define KNAPWEEDCROFT_HTTP_RESPONSE_PARSER_HPP

#include "knapweedcroft/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace knapweedcroft {

/** @brief Incremental parser for one HTTP/1.1 response, based on Boost.Beast; skips interim (1xx) responses. */
class response_parser {
public:
    /**
     * @brief Constructs a parser for one response.
     * @param limits Size limits of the response. The header limit also holds for all interim responses together and for
     * a chunk header or trailer.
     * @param isHeadResponse True if the request was HEAD, whose response has no body.
     */
    response_parser(const message_limits& limits, bool isHeadResponse);
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;
    ~response_parser();

    /** @copydoc request_parser::put */
    [[nodiscard]] std::size_t put(std::string_view bytes);

    /** @brief Signals an orderly end of the connection, which completes a response without a length. */
    void putEof();

    /** @brief Returns whether the response is complete. */
    [[nodiscard]] bool isDone() const;

    /** @brief Returns the error, if the response is invalid. */
    [[nodiscard]] const std::optional<parse_error>& fault() const noexcept { return m_fault; }

    /** @brief Returns whether the error is that a size limit is exceeded. */
    [[nodiscard]] bool isTooLarge() const noexcept { return m_isTooLarge; }

    /** @brief Returns the number of body bytes received so far. */
    [[nodiscard]] std::size_t bodySize() const;

    /** @brief Returns whether the connection may be reused. */
    [[nodiscard]] bool isKeepAlive() const;

    /** @brief Returns the idle timeout in seconds that the server advertises in `Keep-Alive`, if any. */
    [[nodiscard]] std::optional<int> keepAliveSeconds() const;

    /** @brief Moves out the response with its end-to-end headers; call once, after `isDone`. */
    [[nodiscard]] opaque_response take();

private:
    struct implementation;

    void reset();

    message_limits m_limits;
    bool m_isHeadResponse;
    std::size_t m_interimBytes = 0; /*!< Size of the interim responses so far. */
    std::unique_ptr<implementation> m_implementation;
    std::optional<parse_error> m_fault;
    bool m_isTooLarge = false;
};

} // namespace knapweedcroft

#endif
