#ifndef KNAPWEEDCROFT_TEST_HTTP_PARSER_INPUT_HPP
#define KNAPWEEDCROFT_TEST_HTTP_PARSER_INPUT_HPP

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Chunked bodies that end with a last chunk: empty ones, with a chunk before it, with an extension or a
 * trailer.
 */
inline const std::vector<std::string>& chunkedBodies()
{
    static const std::vector<std::string> bodies { "0\r\n\r\n", "000\r\n\r\n", "0;a=b\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n",
        "2\r\nab\r\n0\r\n\r\n", "1\r\na\r\n1\r\nb\r\n0\r\n\r\n" };
    return bodies;
}

/** @brief Passes packets to a parser as the server and the client do: until it takes no more of what has arrived. */
template <typename Parser> void feed(Parser& parser, const std::vector<std::string>& packets)
{
    std::string pending;
    for (const std::string& packet : packets) {
        pending += packet;
        for (std::size_t used = 1; used > 0 && !pending.empty() && !parser.fault() && !parser.isDone();) {
            used = parser.put(pending);
            pending.erase(0, used);
        }
    }
}

/**
 * @brief Expects a parser to complete each of the chunked bodies in three pieces, whichever they are.
 * @param header Header section of the message.
 * @param makeParser Returns a new parser.
 */
template <typename Parser>
void expectWholeBodiesInPieces(const std::string& header, const std::function<std::unique_ptr<Parser>()>& makeParser)
{
    for (const std::string& body : chunkedBodies()) {
        const std::string text = header + body;
        for (std::size_t first = header.size(); first < text.size(); ++first) {
            for (std::size_t second = first; second < text.size(); ++second) {
                const std::unique_ptr<Parser> parser = makeParser();
                feed(*parser, { text.substr(0, first), text.substr(first, second - first), text.substr(second) });
                ASSERT_TRUE(parser->isDone()) << body << " cut at " << first << " and " << second;
            }
        }
    }
}

} // namespace knapweedcroft

#endif
