#include "knapweedcroft/gateway/request_digest.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] opaque_request request(
    const std::string& method, const std::string& host, const std::string& target, const std::string& body)
{
    return { method, target, { { "Host", host }, { "User-Agent", "client" } }, body };
}

} // namespace

TEST(RequestDigest, IsTheSameForAttemptsWithTheSameContent)
{
    const opaque_request first = request("POST", "h", "/a?b=1", "body");
    opaque_request second = first;
    second.headers.emplace_back("Traceparent", "7");
    EXPECT_EQ(digestOf("visits", first), digestOf("visits", second));
}

TEST(RequestDigest, DiffersInEachPart)
{
    const std::uint64_t digest = digestOf("visits", request("POST", "h", "/a", "body"));
    EXPECT_NE(digest, digestOf("diary", request("POST", "h", "/a", "body")));
    EXPECT_NE(digest, digestOf("visits", request("PUT", "h", "/a", "body")));
    EXPECT_NE(digest, digestOf("visits", request("POST", "i", "/a", "body")));
    EXPECT_NE(digest, digestOf("visits", request("POST", "h", "/b", "body")));
    EXPECT_NE(digest, digestOf("visits", request("POST", "h", "/a", "")));
    EXPECT_NE(digest, digestOf("visits", request("POST", "h", "/abody", "")));
}

TEST(RequestDigest, HasAFixedTextLength) { EXPECT_EQ(formatDigest(0xabc), "0000000000000abc"); }

} // namespace knapweedcroft
