#include "knapweedcroft/http/request_parser.hpp"

#include "knapweedcroft/http/internal/framing.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <limits>

namespace knapweedcroft {

namespace http = boost::beast::http;

struct request_parser::implementation {
    http::request_parser<http::string_body> parser;
    message_limits limits;
    internal::header_validator headerValidator;
};

request_parser::request_parser(const message_limits& limits)
    : m_implementation { std::make_unique<implementation>() }
{
    m_implementation->limits = limits;
    m_implementation->parser.eager(true);
    m_implementation->parser.body_limit(limits.maxBodyBytes);
    // header_validator enforces the header limit, since Beast's error does not tell which status to answer.
    m_implementation->parser.header_limit(std::numeric_limits<std::uint32_t>::max());
}

request_parser::~request_parser() = default;

std::size_t request_parser::put(std::string_view bytes)
{
    implementation& self = *m_implementation;
    if (!self.headerValidator.validate(bytes, self.limits, m_fault))
        return 0;
    if (!internal::canParse(self.parser, bytes.size()))
        return 0;
    boost::system::error_code parseResult;
    const std::size_t consumed = self.parser.put(boost::asio::buffer(bytes.data(), bytes.size()), parseResult);
    if (parseResult == http::error::body_limit)
        m_fault = parse_error { internal::contentTooLarge, "the body exceeds the limit in bytes; send less" };
    else if (parseResult && parseResult != http::error::need_more)
        m_fault = parse_error { 400, "not a valid HTTP/1.1 request: " + parseResult.message() };
    else if (!isDone() && internal::exceedsLimit(bytes.size() - consumed, self.limits))
        m_fault = parse_error { internal::headerFieldsTooLarge,
            "a chunk header or trailer exceeds the limit in bytes; send less" };
    return consumed;
}

bool request_parser::isHeaderDone() const { return m_implementation->parser.is_header_done(); }

bool request_parser::isDone() const { return m_implementation->parser.is_done(); }

bool request_parser::isContinueExpected() const
{
    const boost::beast::string_view value = m_implementation->parser.get()[http::field::expect];
    return isHeaderDone() && hasToken({ value.data(), value.size() }, "100-continue");
}

std::size_t request_parser::bodySize() const { return m_implementation->parser.get().body().size(); }

bool request_parser::isKeepAlive() const { return m_implementation->parser.keep_alive(); }

opaque_request request_parser::take()
{
    http::request<http::string_body> message = m_implementation->parser.release();
    opaque_request request;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    request.headers = withoutHopByHop(internal::copyHeaders(message));
    removeHeader(request.headers, "Expect");
    request.body = std::move(message.body());
    return request;
}

} // namespace knapweedcroft
