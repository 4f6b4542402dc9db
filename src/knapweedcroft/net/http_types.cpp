#include "knapweedcroft/net/http_types.hpp"

#include <nlohmann/json.hpp>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <arpa/inet.h>

#include <charconv>
#include <cstdlib>
#include <memory>
#include <new>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static bool equalsIgnoringCase(const std::string& lhs, std::string_view rhs)
{
    return lhs.size() == rhs.size() && evutil_ascii_strncasecmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

[[nodiscard]] static bool isIpAddress(const std::string& host)
{
    unsigned char storage[sizeof(in6_addr)];
    return inet_pton(AF_INET, host.c_str(), storage) == 1 || inet_pton(AF_INET6, host.c_str(), storage) == 1;
}

} // namespace internal

std::optional<std::string> findHeader(const http_headers& headers, std::string_view name)
{
    for (const std::pair<std::string, std::string>& header : headers) {
        if (internal::equalsIgnoringCase(header.first, name))
            return header.second;
    }
    return std::nullopt;
}

std::optional<std::string> findQueryParameter(const http_request& request, std::string_view name)
{
    evkeyvalq parameters {};
    if (evhttp_parse_query_str(request.query.c_str(), &parameters) != 0)
        return std::nullopt;
    const char* value = evhttp_find_header(&parameters, std::string { name }.c_str());
    std::optional<std::string> found;
    if (value != nullptr)
        found = value;
    evhttp_clear_headers(&parameters);
    return found;
}

std::string percentEncode(const std::string& text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded {
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free
    };
    if (!encoded)
        throw std::bad_alloc {};
    return encoded.get();
}

http_response jsonResponse(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.contentType = "application/json";
    response.body = std::move(body);
    return response;
}

http_response errorResponse(int status, std::string_view kind, std::string_view message)
{
    const nlohmann::json body = { { "error", kind }, { "message", message } };
    return jsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

http_response errorResponse(int status, const error& cause)
{
    return errorResponse(status, toString(cause.kind), cause.message);
}

result<host_port> parseHostPort(std::string_view text)
{
    const error fault { error_kind::invalid_value,
        "\"" + std::string { text } + "\" is not an address; write it as IP:PORT, for example 127.0.0.1:8080" };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fault;
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    host_port parsed;
    parsed.host = std::string { host };
    const std::from_chars_result read = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    const bool isWhole = read.ec == std::errc {} && read.ptr == port.data() + port.size() && !port.empty();
    if (!isWhole || !internal::isIpAddress(parsed.host))
        return fault;
    return parsed;
}

std::string formatHostPort(const host_port& address)
{
    const bool isBare = address.host.find(':') == std::string::npos;
    return (isBare ? address.host : "[" + address.host + "]") + ":" + std::to_string(address.port);
}

} // namespace knapweedcroft
