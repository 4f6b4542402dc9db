#include "knapweedcroft/http/request_parser.hpp"

#include "parser_input.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace {

struct framing_case {
    const char* name;
    const char* text;
    int status; // Expected HTTP status; 0 if the request is valid.
};

// Rows with status 400 are malformed or have a framing that HTTP implementations may interpret differently, which
// allows request smuggling.
const std::vector<framing_case>& framingCases()
{
    static const std::vector<framing_case> cases {
        { "no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
        { "length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 0 },
        { "chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0 },
        { "length and coding",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400 },
        { "list of lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2, 2\r\n\r\nab", 400 },
        { "signed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", 400 },
        { "blank before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nab", 400 },
        { "folded line", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n c\r\n\r\n", 400 },
        { "chunk size not hexadecimal",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2x\r\nab\r\n0\r\n\r\n", 400 },
        { "unknown coding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two codings",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400 },
        { "header without a name", "GET /a HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n", 400 },
        { "not a request", "\x16\x03\x01\r\n\r\n", 400 },
    };
    return cases;
}

} // namespace

TEST(RequestParser, RefusesAmbiguousFraming)
{
    for (const framing_case& row : framingCases()) {
        request_parser parser { message_limits {} };
        std::string rest { row.text };
        for (std::size_t used = 1; used > 0 && !rest.empty() && !parser.fault() && !parser.isDone();) {
            used = parser.put(rest);
            rest.erase(0, used);
        }
        EXPECT_EQ(parser.fault() ? parser.fault()->status : 0, row.status) << row.name;
        EXPECT_EQ(parser.isDone(), row.status == 0) << row.name;
    }
}

// Input may arrive one byte at a time; the parser must not consume bytes of the next request.
TEST(RequestParser, TakesNoByteOfTheNextRequest)
{
    const std::string first = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string next = "GET /next HTTP/1.1\r\n";
    request_parser parser { message_limits {} };
    std::string pending;
    std::size_t consumed = 0;
    for (const char byte : first + next) {
        pending.push_back(byte);
        const std::size_t used = parser.isDone() ? 0 : parser.put(pending);
        consumed += used;
        pending.erase(0, used);
    }
    ASSERT_TRUE(parser.isDone());
    EXPECT_EQ(consumed, first.size());
    const opaque_request request = parser.take();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a?b=c");
    EXPECT_EQ(request.body, "abc");
}

// Guards against the end of the process: Beast asserts that the last chunk is not read again before its end has come.
TEST(RequestParser, ReadsALastChunkThatArrivesInPieces)
{
    expectWholeBodiesInPieces<request_parser>("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        [] { return std::make_unique<request_parser>(message_limits {}); });
}

TEST(RequestParser, BoundsHeaderAndBody)
{
    message_limits limits;
    limits.maxHeaderBytes = 60;
    limits.maxBodyBytes = 4;
    request_parser large { limits };
    static_cast<void>(large.put("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(100, 'x') + "\r\n\r\n"));
    ASSERT_TRUE(large.fault());
    EXPECT_EQ(large.fault()->status, 431);
    request_parser longBody { limits };
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde";
    static_cast<void>(longBody.put(text));
    ASSERT_TRUE(longBody.fault());
    EXPECT_EQ(longBody.fault()->status, 413);
}

// Hop-by-hop headers apply to one connection only and must not be forwarded to the upstream.
TEST(RequestParser, DropsHopByHopHeaders)
{
    request_parser parser { message_limits {} };
    const std::string text
        = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
          "X-End: 2\r\n\r\n";
    static_cast<void>(parser.put(text));
    ASSERT_TRUE(parser.isDone());
    const http_headers expected { { "Host", "h" }, { "X-End", "2" } };
    EXPECT_EQ(parser.take().headers, expected);
}

} // namespace knapweedcroft
