#include "knapweedcroft/http/response_parser.hpp"

#include "knapweedcroft/http/internal/framing.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <charconv>
#include <limits>

namespace knapweedcroft {

namespace http = boost::beast::http;

namespace internal {

static constexpr unsigned firstInterimStatus = 100;
static constexpr unsigned switchingProtocols = 101;
static constexpr unsigned firstFinalStatus = 200;
static constexpr unsigned lastFinalStatus = 599;

// Status codes outside 100 to 599 are invalid (RFC 9110, section 15). No request asks to switch protocols, and what
// follows such a response is no HTTP.
[[nodiscard]] static bool isValidStatus(unsigned status)
{
    return firstInterimStatus <= status && status <= lastFinalStatus && status != switchingProtocols;
}

} // namespace internal

struct response_parser::implementation {
    http::response_parser<http::string_body> parser;
    internal::header_validator headerValidator;
};

response_parser::response_parser(const message_limits& limits, bool isHeadResponse)
    : m_limits { limits }
    , m_isHeadResponse { isHeadResponse }
{
    // The length in a response to HEAD is that of a body which is not sent.
    if (isHeadResponse)
        m_limits.maxBodyBytes = std::numeric_limits<std::size_t>::max();
    reset();
}

response_parser::~response_parser() = default;

void response_parser::reset()
{
    m_implementation = std::make_unique<implementation>();
    m_implementation->parser.eager(true);
    m_implementation->parser.skip(m_isHeadResponse);
    m_implementation->parser.body_limit(m_limits.maxBodyBytes);
    m_implementation->parser.header_limit(std::numeric_limits<std::uint32_t>::max());
}

std::size_t response_parser::put(std::string_view bytes)
{
    if (!m_implementation->headerValidator.validate(bytes, m_limits, m_fault)) {
        m_isTooLarge = m_fault
            && (m_fault->status == internal::headerFieldsTooLarge || m_fault->status == internal::contentTooLarge);
        return 0;
    }
    if (!internal::canParse(m_implementation->parser, bytes.size()))
        return 0;
    boost::system::error_code parseResult;
    const std::size_t consumed
        = m_implementation->parser.put(boost::asio::buffer(bytes.data(), bytes.size()), parseResult);
    if (parseResult && parseResult != http::error::need_more) {
        m_fault = parse_error { 502, "not a valid HTTP/1.1 response: " + parseResult.message() };
        m_isTooLarge = parseResult == http::error::body_limit;
        return consumed;
    }
    const unsigned status = m_implementation->parser.get().result_int();
    if (m_implementation->parser.is_header_done() && !internal::isValidStatus(status)) {
        m_fault = parse_error { 502, "the response has the invalid status code " + std::to_string(status) };
        return consumed;
    }
    if (isDone() && status < internal::firstFinalStatus) {
        m_interimBytes += consumed;
        m_isTooLarge = m_interimBytes > m_limits.maxHeaderBytes;
        reset();
    } else if (!isDone()) {
        m_isTooLarge = internal::exceedsLimit(bytes.size() - consumed, m_limits);
    }
    if (m_isTooLarge)
        m_fault = parse_error { 502, "the response has more bytes beside its body than the header limit allows" };
    return consumed;
}

void response_parser::putEof()
{
    if (!m_implementation->parser.got_some()) {
        m_fault = parse_error { 502, "connection closed before a response" };
        return;
    }
    boost::system::error_code parseResult;
    m_implementation->parser.put_eof(parseResult);
    if (parseResult)
        m_fault = parse_error { 502, "connection closed before the response was complete" };
}

bool response_parser::isDone() const { return m_implementation->parser.is_done(); }

std::size_t response_parser::bodySize() const { return m_implementation->parser.get().body().size(); }

bool response_parser::isKeepAlive() const
{
    return m_implementation->parser.keep_alive() && !m_implementation->parser.need_eof();
}

std::optional<int> response_parser::keepAliveSeconds() const
{
    const boost::beast::string_view value = m_implementation->parser.get()[http::field::keep_alive];
    constexpr std::string_view key = "timeout=";
    const std::string_view text { value.data(), value.size() };
    const std::size_t position = text.find(key);
    if (position == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char* first = text.data() + position + key.size();
    const std::from_chars_result read = std::from_chars(first, text.data() + text.size(), seconds);
    return read.ec == std::errc {} ? std::optional<int> { seconds } : std::nullopt;
}

opaque_response response_parser::take()
{
    http::response<http::string_body> message = m_implementation->parser.release();
    opaque_response response;
    response.status = static_cast<int>(message.result_int());
    response.headers = withoutHopByHop(internal::copyHeaders(message));
    response.body = std::move(message.body());
    return response;
}

} // namespace knapweedcroft
