#ifndef KNAPWEEDCROFT_NET_HTTP_TYPES_HPP
#define KNAPWEEDCROFT_NET_HTTP_TYPES_HPP

#include "knapweedcroft/core/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedcroft {

enum class http_method : std::uint8_t { get, post, put, remove };

/** @brief Name and value of each header, in the order received or to be sent. */
using http_headers = std::vector<std::pair<std::string, std::string>>;

/** @brief Returns the first value of a header, if any; names are case-insensitive. */
[[nodiscard]] std::optional<std::string> findHeader(const http_headers& headers, std::string_view name);

/** @brief A complete request received by a server. */
struct http_request {
    http_method method = http_method::get;
    std::string path; /*!< Percent-encoded. */
    std::string query; /*!< Text after `?`; empty if there is none. */
    std::vector<std::string> parameters; /*!< Decoded values of the route's `{...}` segments, in order. */
    http_headers headers;
    std::string body;
};

/** @brief A response sent by a server or received by a client. */
struct http_response {
    int status = 200;
    http_headers headers; /*!< When sent, without length, date and connection headers. */
    std::string contentType;
    std::string body;
};

/** @brief Returns the first decoded value of a query parameter, if any. */
[[nodiscard]] std::optional<std::string> findQueryParameter(const http_request& request, std::string_view name);

/** @brief Percent-encodes text for a path segment or the query of a target; throws `std::bad_alloc` without memory. */
[[nodiscard]] std::string percentEncode(const std::string& text);

/** @brief Creates a response with JSON text as its body. */
[[nodiscard]] http_response jsonResponse(int status, std::string body);

/**
 * @brief Creates the JSON response for an error: `{"error":kind,"message":message}`.
 * @param status HTTP status.
 * @param kind Stable, machine-readable name of the error kind.
 * @param message Description for humans, including the remedy.
 */
[[nodiscard]] http_response errorResponse(int status, std::string_view kind, std::string_view message);

/** @copydoc errorResponse(int, std::string_view, std::string_view) */
[[nodiscard]] http_response errorResponse(int status, const error& cause);

/** @brief An IP address and a port. */
struct host_port {
    std::string host;
    std::uint16_t port = 0;
};

/**
 * @brief Parses `host:port`, where the host is an IPv4 address or an IPv6 address in brackets.
 * @return The address, or an error of kind `invalid_value`.
 */
[[nodiscard]] result<host_port> parseHostPort(std::string_view text);

/** @brief Formats an address as `host:port`, the inverse of `parseHostPort`; an IPv6 address is put in brackets. */
[[nodiscard]] std::string formatHostPort(const host_port& address);

} // namespace knapweedcroft

#endif
