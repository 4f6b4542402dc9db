#ifndef KNAPWEEDCROFT_HTTP_MESSAGE_HPP
#define KNAPWEEDCROFT_HTTP_MESSAGE_HPP

#include "knapweedcroft/net/http_types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief A complete HTTP/1.1 request whose method, target and body are forwarded as they are. */
struct opaque_request {
    std::string method;
    std::string target; /*!< Path and query, as received. */
    http_headers headers; /*!< End-to-end headers only. */
    std::string body; /*!< Without transfer coding. */

    friend bool operator==(const opaque_request& lhs, const opaque_request& rhs)
    {
        return lhs.method == rhs.method && lhs.target == rhs.target && lhs.headers == rhs.headers
            && lhs.body == rhs.body;
    }
};

/** @brief A complete HTTP/1.1 response. */
struct opaque_response {
    int status = 200;
    http_headers headers; /*!< End-to-end headers only. */
    std::string body; /*!< Without transfer coding. */

    friend bool operator==(const opaque_response& lhs, const opaque_response& rhs)
    {
        return lhs.status == rhs.status && lhs.headers == rhs.headers && lhs.body == rhs.body;
    }
};

/** @brief Bounds on what is read of one message. */
struct message_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;
};

/** @brief Why a message could not be parsed. */
struct parse_fault {
    int status = 400; /*!< HTTP status for the sender of a request. */
    std::string message;
};

/**
 * @brief Removes the headers that concern one connection only, including those that `Connection` names.
 * @param headers The headers of a received message.
 * @return The end-to-end headers, in order.
 */
[[nodiscard]] http_headers withoutHopByHop(const http_headers& headers);

/**
 * @brief Removes all headers of a name; names are compared without regard to case.
 * @param headers The headers.
 * @param name The name.
 */
void removeHeader(http_headers& headers, std::string_view name);

/**
 * @brief Tells whether a comma-separated header value contains a token, without regard to case.
 * @param value The value.
 * @param token The token.
 * @return True if so.
 */
[[nodiscard]] bool hasToken(std::string_view value, std::string_view token);

/**
 * @brief Returns the text of a request.
 * @param request The request.
 * @return The head and the body, with a length and without a `Connection` header.
 */
[[nodiscard]] std::string serialize(const opaque_request& request);

/**
 * @brief Returns the text of a response.
 * @param response The response.
 * @param toMethod Method of the request; the body of an answer to HEAD is left out.
 * @param closes Adds `Connection: close`.
 * @return The head and the body, with a length.
 */
[[nodiscard]] std::string serialize(const opaque_response& response, std::string_view toMethod, bool closes);

} // namespace knapweedcroft

#endif
