#include "knapweedcroft/http/response_parser.hpp"

#include "parser_input.hpp"

#include <gtest/gtest.h>

#include <string>

namespace knapweedcroft {

// Guards against the end of the process: Beast asserts that the last chunk is not read again before its end has come.
TEST(ResponseParser, ReadsALastChunkThatArrivesInPieces)
{
    const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& body : chunkedBodies()) {
        const std::string text = header + body;
        for (std::size_t first = header.size(); first < text.size(); ++first) {
            for (std::size_t second = first; second < text.size(); ++second) {
                response_parser parser { message_limits {}, false };
                feed(parser, { text.substr(0, first), text.substr(first, second - first), text.substr(second) });
                ASSERT_TRUE(parser.isDone()) << body << " cut at " << first << " and " << second;
            }
        }
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
