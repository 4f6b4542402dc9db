#ifndef KNAPWEEDCROFT_HTTP_RESPONSE_PARSER_HPP
#define KNAPWEEDCROFT_HTTP_RESPONSE_PARSER_HPP

#include "knapweedcroft/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace knapweedcroft {

/** @brief Parses one HTTP/1.1 response incrementally, with Boost.Beast's parser; interim responses are skipped. */
class response_parser {
public:
    /**
     * @brief Constructs a parser of one response.
     * @param limits Bounds on the response.
     * @param toHead True if the request was HEAD, whose answer has no body.
     */
    response_parser(const message_limits& limits, bool toHead);
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;
    ~response_parser();

    /** @copydoc request_parser::put */
    [[nodiscard]] std::size_t put(std::string_view bytes);

    /** @brief Reports a regular end of the connection, which completes a response without a length. */
    void putEof();

    /** @brief Tells whether the whole response has been read. */
    [[nodiscard]] bool isDone() const;

    /** @brief Returns why the response cannot be parsed, if so. */
    [[nodiscard]] const std::optional<parse_fault>& fault() const noexcept { return m_fault; }

    /** @brief Tells whether the connection may be used again. */
    [[nodiscard]] bool isKeepAlive() const;

    /** @brief Returns the idle timeout that the sender states in `Keep-Alive`, in seconds, if any. */
    [[nodiscard]] std::optional<int> keepAliveSeconds() const;

    /** @brief Takes out the response, with end-to-end headers; call once, when done. */
    [[nodiscard]] opaque_response take();

private:
    struct implementation;

    void start();

    message_limits m_limits;
    bool m_toHead;
    std::unique_ptr<implementation> m_implementation;
    std::optional<parse_fault> m_fault;
};

} // namespace knapweedcroft

#endif
