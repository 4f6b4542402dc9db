#include "knapweedcroft/http/internal/framing.hpp"

#include "knapweedcroft/http/internal/text.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace knapweedcroft::internal {

struct framing_fields {
    std::size_t contentLengths = 0;
    std::size_t contentLength = 0; // The largest value if it is out of range.
    std::size_t transferEncodings = 0;
    bool isLastChunked = true;
};

[[nodiscard]] static bool isDecimal(std::string_view value)
{
    return !value.empty() && value.find_first_not_of("0123456789") == std::string_view::npos;
}

[[nodiscard]] static std::optional<parse_error> validateLine(std::string_view line, framing_fields& framing)
{
    if (line.front() == ' ' || line.front() == '\t')
        return parse_error { 400, "a header line is folded; send it on one line" };
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return parse_error { 400, "a header line has no name; send \"name: value\"" };
    const std::string_view name = line.substr(0, colon);
    if (name.back() == ' ' || name.back() == '\t')
        return parse_error { 400, "a header name ends with a blank; remove it" };
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (isSameName(name, "Content-Length")) {
        ++framing.contentLengths;
        if (!isDecimal(value))
            return parse_error { 400, "Content-Length is not one decimal number; send the body's size in bytes" };
        const std::from_chars_result read
            = std::from_chars(value.data(), value.data() + value.size(), framing.contentLength);
        if (read.ec != std::errc {})
            framing.contentLength = std::numeric_limits<std::size_t>::max();
    }
    if (isSameName(name, "Transfer-Encoding")) {
        ++framing.transferEncodings;
        framing.isLastChunked = isSameName(value, "chunked");
    }
    return std::nullopt;
}

std::size_t findHeaderEnd(std::string_view bytes)
{
    constexpr std::string_view emptyLine = "\r\n\r\n";
    const std::size_t position = bytes.find(emptyLine);
    return position == std::string_view::npos ? position : position + emptyLine.size();
}

std::optional<parse_error> validateHeader(std::string_view header, const message_limits& limits)
{
    framing_fields framing;
    std::size_t start = header.find("\r\n") + 2;
    while (start < header.size()) {
        const std::size_t end = header.find("\r\n", start);
        if (end == start)
            break;
        std::optional<parse_error> fault = validateLine(header.substr(start, end - start), framing);
        if (fault)
            return fault;
        start = end + 2;
    }
    if (framing.contentLengths > 1)
        return parse_error { 400, "Content-Length is sent more than once; send it once" };
    if (framing.contentLengths > 0 && framing.transferEncodings > 0)
        return parse_error { 400, "Content-Length and Transfer-Encoding are sent together; send one of them" };
    // Beast's parser reserves memory for the announced length before it checks the limit.
    if (framing.contentLength > limits.maxBodyBytes)
        return parse_error { contentTooLarge, "the body exceeds the limit in bytes; send less" };
    if (framing.transferEncodings > 1 || !framing.isLastChunked)
        return parse_error { 400, "the transfer coding is not supported; send the body with a length or in chunks" };
    return std::nullopt;
}

bool header_validator::validate(std::string_view bytes, const message_limits& limits, std::optional<parse_error>& fault)
{
    if (m_isValid)
        return true;
    const std::size_t end = findHeaderEnd(bytes);
    if (std::min(end, bytes.size()) > limits.maxHeaderBytes) {
        fault = parse_error { headerFieldsTooLarge, "the header exceeds the limit in bytes; send less" };
        return false;
    }
    if (end == std::string_view::npos)
        return false;
    fault = validateHeader(bytes.substr(0, end), limits);
    m_isValid = !fault;
    return m_isValid;
}

http_headers copyHeaders(const boost::beast::http::fields& fields)
{
    http_headers headers;
    for (const boost::beast::http::fields::value_type& field : fields)
        headers.emplace_back(std::string { field.name_string() }, std::string { field.value() });
    return headers;
}

} // namespace knapweedcroft::internal
