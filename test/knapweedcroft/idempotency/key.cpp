#include "knapweedcroft/idempotency/key.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(IdempotencyKey, ReadsTimeOfIssue)
{
    // Example of RFC 9562, appendix A.6.
    const result<idempotency_key> key = parseKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(hasValue(key));
    EXPECT_EQ(valueOf(key).issuedAt, time_point { milliseconds { 1'645'557'742'000 } });
}

// Guards against sub-calls that get an unknown outcome after a view change because their keys have no timestamp.
TEST(IdempotencyKey, SubCallKeyHasTimeOfItsCaller)
{
    const std::string caller = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    EXPECT_EQ(issueTime(caller + ".1"), issueTime(caller));
    EXPECT_EQ(issueTime(caller + ".2.10"), issueTime(caller));
    for (const char* suffix : { ".", "1", ".a", ".1.", "..1" })
        EXPECT_FALSE(issueTime(caller + suffix)) << suffix;
}

TEST(IdempotencyKey, OpaqueKeyHasNoTime)
{
    for (const char* text : { "booking-17", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "017F22E279B07CC398C4DC0C0C07398F",
             "017F22E2-79B0-7CC3-58C4-DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398G" }) {
        const result<idempotency_key> key = parseKey(text);
        ASSERT_TRUE(hasValue(key));
        EXPECT_FALSE(valueOf(key).issuedAt) << text;
    }
}

TEST(IdempotencyKey, RefusesMissingAndMalformed)
{
    EXPECT_EQ(errorOf(parseKey(std::nullopt)).kind, error_kind::missing_idempotency_key);
    EXPECT_EQ(errorOf(parseKey("")).kind, error_kind::missing_idempotency_key);
    for (const std::string& text : { std::string { "1234567" }, std::string(129, 'a'), std::string { "with blank" },
             std::string { "caf\xc3\xa9-17" } })
        EXPECT_EQ(errorOf(parseKey(text)).kind, error_kind::malformed_idempotency_key) << text;
}

} // namespace knapweedcroft
