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

/** @brief Method of an HTTP request. */
enum class http_method : std::uint8_t { get, post, put, remove };

/** @brief Name and value of each header, in order. */
using http_headers = std::vector<std::pair<std::string, std::string>>;

/**
 * @brief Finds a header; names are compared without regard to case.
 * @param headers The headers.
 * @param name Name of the header.
 * @return The first value, or nothing.
 */
[[nodiscard]] std::optional<std::string> findHeader(const http_headers& headers, std::string_view name);

/** @brief A complete request as a server read it. */
struct http_request {
    http_method method = http_method::get;
    std::string path; /*!< Percent-encoded path. */
    std::string query; /*!< Text after `?`; empty if there is none. */
    std::vector<std::string> parameters; /*!< Decoded values of the `{...}` segments of the route, in order. */
    http_headers headers;
    std::string body;
};

/** @brief An answer, as sent by a server and read by a client. */
struct http_response {
    int status = 200;
    http_headers headers; /*!< Without length, date and connection headers when sent. */
    std::string contentType;
    std::string body;
};

/**
 * @brief Returns the decoded value of a query parameter.
 * @param request The request.
 * @param name Name of the parameter.
 * @return The first value, or nothing.
 */
[[nodiscard]] std::optional<std::string> findQueryParameter(const http_request& request, std::string_view name);

/**
 * @brief Makes a JSON answer.
 * @param status HTTP status.
 * @param body JSON text.
 * @return The answer.
 */
[[nodiscard]] http_response jsonResponse(int status, std::string body);

/**
 * @brief Makes the JSON answer for an error: `{"error":kind,"message":message}`.
 * @param status HTTP status.
 * @param kind Stable name of the kind.
 * @param message Names the remedy.
 * @return The answer.
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
 * @brief Parses `host:port`; the host is an IPv4 address or an IPv6 address in brackets.
 * @param text The text.
 * @return The parts, or an error of kind `invalid_value`.
 */
[[nodiscard]] result<host_port> parseHostPort(std::string_view text);

/**
 * @brief Formats an address so that `parseHostPort` reads it again: an IPv6 address is put in brackets.
 * @param address The address.
 * @return `host:port`.
 */
[[nodiscard]] std::string formatHostPort(const host_port& address);

} // namespace knapweedcroft

#endif
