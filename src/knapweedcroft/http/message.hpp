#ifndef KNAPWEEDCROFT_HTTP_MESSAGE_HPP
#define KNAPWEEDCROFT_HTTP_MESSAGE_HPP

#include "knapweedcroft/net/http_types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Complete HTTP/1.1 request whose method, target and body are forwarded unchanged. */
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

/** @brief Complete HTTP/1.1 response. */
struct opaque_response {
    int status = 200;
    http_headers headers; /*!< End-to-end headers only. */
    std::string body; /*!< Without transfer coding. */

    friend bool operator==(const opaque_response& lhs, const opaque_response& rhs)
    {
        return lhs.status == rhs.status && lhs.headers == rhs.headers && lhs.body == rhs.body;
    }
};

/** @brief Size limits of a received message. */
struct message_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;
};

/** @brief Reason why a message could not be parsed. */
struct parse_error {
    int status = 400; /*!< HTTP status to answer an invalid request with. */
    std::string message;
};

/**
 * @brief Drops hop-by-hop headers, including those listed in `Connection`.
 * @return The end-to-end headers, in order.
 */
[[nodiscard]] http_headers withoutHopByHop(const http_headers& headers);

/** @brief Removes all headers with a name, ignoring case. */
void removeHeader(http_headers& headers, std::string_view name);

/** @brief Checks whether a comma-separated header value contains a token, ignoring case. */
[[nodiscard]] bool hasToken(std::string_view value, std::string_view token);

/**
 * @brief Serializes a request without its body.
 * @return Request line and headers. `Content-Length` is set from the body, except that GET, HEAD and DELETE without a
 * body have none. No `Connection` header is added.
 */
[[nodiscard]] std::string serializeHead(const opaque_request& request);

/**
 * @brief Serializes a response without its body.
 * @param response The response.
 * @param requestMethod Method of the request; a response to HEAD is written without its body.
 * @param shouldClose Whether to add `Connection: close`.
 * @return Status line and headers, with a `Content-Length` where the status allows a body.
 */
[[nodiscard]] std::string serializeHead(
    const opaque_response& response, std::string_view requestMethod, bool shouldClose);

/** @brief Returns whether a response to a request of a method is written with its body. */
[[nodiscard]] bool hasBody(const opaque_response& response, std::string_view requestMethod);

} // namespace knapweedcroft

#endif
