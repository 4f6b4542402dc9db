#include "knapweedcroft/http/response_parser.hpp"

#include "parser_input.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace knapweedcroft {

// Guards against the end of the process: Beast asserts that the last chunk is not read again before its end has come.
TEST(ResponseParser, ReadsALastChunkThatArrivesInPieces)
{
    expectWholeBodiesInPieces<response_parser>("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        [] { return std::make_unique<response_parser>(message_limits {}, false); });
}

// Guards against a backend in trouble whose response has no valid status code: passed on, it would reach the client as
// an answer, and taken for an interim response, it would keep the client waiting until its deadline.
TEST(ResponseParser, RefusesInvalidStatusCodes)
{
    for (const char* code : { "000", "001", "099", "101", "600", "999" }) {
        response_parser parser { message_limits {}, false };
        feed(parser, { std::string { "HTTP/1.1 " } + code + " Reason\r\nContent-Length: 2\r\n\r\n", "ab" });
        EXPECT_TRUE(parser.fault()) << code;
        EXPECT_FALSE(parser.isTooLarge()) << code;
    }
    for (const char* code : { "200", "299", "404", "418", "500", "599" }) {
        response_parser parser { message_limits {}, false };
        feed(parser,
            { std::string { "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 " } + code
                + " Reason\r\nContent-Length: 2\r\n\r\nab" });
        ASSERT_TRUE(parser.isDone()) << code;
        EXPECT_EQ(parser.take().status, std::stoi(code));
    }
}

// An end of the connection before the end of the last chunk leaves the response incomplete.
TEST(ResponseParser, FailsOnALastChunkThatIsCutShort)
{
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (std::size_t missing = 1; missing <= 5; ++missing) {
        response_parser parser { message_limits {}, false };
        feed(parser, { text.substr(0, text.size() - missing) });
        parser.putEof();
        EXPECT_TRUE(parser.fault() || !parser.isDone()) << missing;
    }
}

} // namespace knapweedcroft
