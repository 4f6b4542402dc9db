#include "knapweedcroft/http/message.hpp"

#include "knapweedcroft/http/internal/text.hpp"

#include <ostream> // Needed by Beast's header, which does not include it.

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace knapweedcroft {

namespace internal {

static constexpr std::array<std::string_view, 9> hopByHopNames = { "connection", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

[[nodiscard]] static bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
        [name](std::string_view candidate) { return isSameName(candidate, name); });
}

static void appendHeader(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

[[nodiscard]] static bool isContentLength(const std::string& name) { return isSameName(name, "Content-Length"); }

[[nodiscard]] static bool hasNoBody(int status) { return status < 200 || status == 204 || status == 304; }

} // namespace internal

bool hasToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (internal::isSameName(internal::trimmed(value.substr(0, comma)), token))
            return true;
        value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
    }
    return false;
}

void removeHeader(http_headers& headers, std::string_view name)
{
    const auto end = std::remove_if(headers.begin(), headers.end(),
        [name](const std::pair<std::string, std::string>& header) { return internal::isSameName(header.first, name); });
    headers.erase(end, headers.end());
}

http_headers withoutHopByHop(const http_headers& headers)
{
    std::string connectionTokens;
    for (const std::pair<std::string, std::string>& header : headers) {
        if (internal::isSameName(header.first, "Connection"))
            connectionTokens.append(connectionTokens.empty() ? "" : ",").append(header.second);
    }
    http_headers kept;
    for (const std::pair<std::string, std::string>& header : headers) {
        if (!internal::isHopByHop(header.first) && !hasToken(connectionTokens, header.first))
            kept.push_back(header);
    }
    return kept;
}

std::string serializeHead(const opaque_request& request)
{
    std::string text;
    text.reserve(512);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const std::pair<std::string, std::string>& header : request.headers) {
        if (!internal::isContentLength(header.first))
            internal::appendHeader(text, header.first, header.second);
    }
    const bool isUsuallyBodyless = request.method == "GET" || request.method == "HEAD" || request.method == "DELETE";
    if (!request.body.empty() || !isUsuallyBodyless)
        internal::appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    text.append("\r\n");
    return text;
}

bool hasBody(const opaque_response& response, std::string_view requestMethod)
{
    return requestMethod != "HEAD" && !internal::hasNoBody(response.status);
}

std::string serializeHead(const opaque_response& response, std::string_view requestMethod, bool shouldClose)
{
    const bool isHead = requestMethod == "HEAD";
    const boost::beast::string_view reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(response.status)));
    std::string text;
    text.reserve(512);
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const std::pair<std::string, std::string>& header : response.headers) {
        // A response to HEAD keeps the Content-Length of the body that is not sent.
        if (isHead || !internal::isContentLength(header.first))
            internal::appendHeader(text, header.first, header.second);
    }
    if (shouldClose)
        internal::appendHeader(text, "Connection", "close");
    if (hasBody(response, requestMethod))
        internal::appendHeader(text, "Content-Length", std::to_string(response.body.size()));
    text.append("\r\n");
    return text;
}

} // namespace knapweedcroft
