#include "messages.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

const char* const configuration = R"({"Version":"0000001c","Routes":[
 {"Name":"r-1","Host":"a.example","PathPrefix":"/p/","Kind":"unsafe","Timeout":"800ms","TargetLatency":"1.5s",
  "Priority":0,"Service":"visits","MaxAttempts":2,"Comment":"new fields are ignored"},
 {"Name":"r-2","Host":"b.example","PathPrefix":"/q/","Kind":"safe","Timeout":"5000ms","TargetLatency":"1200ms",
  "Priority":2,"TrafficSplit":[{"Service":"visits","Weight":90},{"Service":"diary","Weight":10}],"MaxAttempts":3}],
 "Services":[{"Name":"visits","HealthPath":"/health"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";

const char* const heartbeat = R"({"Service":"visits","Address":"10.1.0.1:80","Zone":"z1","Version":"v1","Slots":81,
 "State":"ready","Sequence":4,"ColdRemaining":"1500ms","born":1781299333000})";

// Replaces the first occurrence of a part, which must exist.
[[nodiscard]] std::string replaced(std::string text, const std::string& part, const std::string& replacement)
{
    const std::size_t position = text.find(part);
    EXPECT_NE(position, std::string::npos) << part;
    return text.replace(position, part.size(), replacement);
}

struct replacement_case {
    const char* part;
    const char* replacement;
};

} // namespace

TEST(PlatformMessages, DecodesTheConfiguration)
{
    const result<entry_table> decoded = decodeConfiguration(configuration);
    ASSERT_TRUE(hasValue(decoded)) << errorOf(decoded).message;
    const entry_table& table = valueOf(decoded);
    EXPECT_EQ(table.version(), 0x1c);
    ASSERT_EQ(table.entries().size(), 2U);
    const forward_entry& unsafeEntry = table.entries()[0];
    EXPECT_FALSE(unsafeEntry.isIdempotent);
    EXPECT_EQ(unsafeEntry.timeout, milliseconds { 800 });
    EXPECT_EQ(unsafeEntry.targetLatency, milliseconds { 1500 });
    EXPECT_EQ(unsafeEntry.maxAttempts, 2U);
    EXPECT_EQ(unsafeEntry.services, (std::vector<weighted_service> { { "visits", 1 } }));
    EXPECT_TRUE(table.entries()[1].isIdempotent);
    EXPECT_EQ(table.entries()[1].services, (std::vector<weighted_service> { { "visits", 90 }, { "diary", 10 } }));
    EXPECT_EQ(table.limits().idleTime, milliseconds { 15'000 });
    EXPECT_EQ(table.limits().maxBodyBytes, 67'108'864U);
}

TEST(PlatformMessages, RefusesAMalformedConfiguration)
{
    for (const replacement_case& row : std::vector<replacement_case> { { "\"0000001c\"", "7" },
             { "\"0000001c\"", "\"xyz\"" }, { "\"800ms\"", "800" }, { "\"Kind\":\"unsafe\"", "\"Sort\":\"unsafe\"" },
             { "\"3000ms\"", "\"-1ms\"" }, { "\"Weight\":90", "\"Weight\":\"much\"" } })
        EXPECT_FALSE(hasValue(decodeConfiguration(replaced(configuration, row.part, row.replacement))))
            << row.replacement;
}

TEST(PlatformMessages, DecodesAHeartbeat)
{
    const result<upstream_announcement> decoded = decodeHeartbeat("i-1", heartbeat);
    ASSERT_TRUE(hasValue(decoded)) << errorOf(decoded).message;
    const upstream_announcement& announcement = valueOf(decoded);
    EXPECT_EQ(announcement.incarnation, (upstream_incarnation { "i-1", 1781299333000 }));
    EXPECT_EQ(announcement.state, upstream_state::serving);
    EXPECT_EQ(announcement.slots, 81U);
    EXPECT_EQ(announcement.remainingWarmUp, milliseconds { 1500 });
    EXPECT_EQ(announcement.sequence, 4);
}

// The control address accepts requests from any sender, so a malformed heartbeat must not register a backend.
TEST(PlatformMessages, RefusesForeignHeartbeats)
{
    for (const replacement_case& row :
        std::vector<replacement_case> { { "\"ready\"", "\"dancing\"" }, { "\"Slots\":81", "\"Slots\":\"81\"" },
            { "\"Slots\":81", "\"Slots\":-1" }, { "\"Sequence\":4,", "" }, { "1781299333000", "1781299333000.5" },
            { "1781299333000", "\"1781299333000\"" }, { "\"1500ms\"", "\"soon\"" }, { "{", "" } })
        EXPECT_FALSE(hasValue(decodeHeartbeat("i-1", replaced(heartbeat, row.part, row.replacement))))
            << row.replacement;
    EXPECT_FALSE(hasValue(decodeHeartbeat("i-1", "\xff\x00garbage")));
    EXPECT_TRUE(hasValue(decodeHeartbeat("i-1", replaced(heartbeat, ",\"born\":1781299333000", ""))));
}

// A client must not be able to forge the platform's headers towards the backend.
TEST(PlatformMessages, SetsItsOwnHeaders)
{
    opaque_request request { "POST", "/p/1?x=y",
        { { "Host", "a.example" }, { "X-Request-Id", "r1" }, { "X-Deadline-Ms", "5000" },
            { "x-caller-service", "forged" }, { "X-Expect-Instance", "forged" }, { "X-Other", "kept" } },
        "body" };
    const std::variant<client_request, opaque_response> read = readRequest(7, request);
    ASSERT_TRUE(std::holds_alternative<client_request>(read));
    const client_request& event = std::get<client_request>(read);
    EXPECT_EQ(event.host, "a.example");
    EXPECT_EQ(event.requestId, "r1");
    EXPECT_EQ(event.deadline, milliseconds { 5000 });
    start_exchange action;
    action.upstream = "i-1";
    action.caller = "planning";
    action.requestId = event.requestId;
    action.deadline = milliseconds::fromMicroseconds(123'900);
    action.request = event.request;
    const opaque_request sent = makeBackendRequest(action);
    const http_headers expected { { "Host", "a.example" }, { "X-Other", "kept" }, { "X-Request-Id", "r1" },
        { "X-Deadline-Ms", "123" }, { "X-Caller-Service", "planning" }, { "X-Expect-Instance", "i-1" } };
    EXPECT_EQ(sent.headers, expected);
    EXPECT_EQ(sent.target, "/p/1?x=y");
    EXPECT_EQ(sent.body, "body");
}

TEST(PlatformMessages, RefusesRequestsWithoutHostIdOrReadableDeadline)
{
    const http_headers validHeaders { { "Host", "a" }, { "X-Request-Id", "r" }, { "X-Deadline-Ms", "5" } };
    for (std::size_t missing = 0; missing < 2; ++missing) {
        http_headers headers = validHeaders;
        headers.erase(headers.begin() + static_cast<std::ptrdiff_t>(missing));
        EXPECT_TRUE(std::holds_alternative<opaque_response>(readRequest(1, { "GET", "/", headers, "" })));
    }
    for (const char* deadline : { "soon", "-1", "1.5", "" }) {
        http_headers headers = validHeaders;
        headers[2].second = deadline;
        EXPECT_TRUE(std::holds_alternative<opaque_response>(readRequest(1, { "GET", "/", headers, "" }))) << deadline;
    }
}

TEST(PlatformMessages, TellsWhichResponsesDidNotRun)
{
    EXPECT_FALSE(readBackendResponse({ 503, {}, "" }).isNotRun);
    EXPECT_FALSE(readBackendResponse({ 500, {}, "" }).isNotRun);
    EXPECT_TRUE(readBackendResponse({ 503, { { "x-not-executed", "1" } }, "" }).isNotRun);
    const upstream_response other = readBackendResponse({ 421, {}, "" });
    EXPECT_TRUE(other.isNotRun);
    EXPECT_TRUE(other.isMisdirected);
}

// Guards against a success that the backend has not given (MIXED).
TEST(PlatformMessages, TellsASuccessWithoutASignature)
{
    EXPECT_TRUE(readBackendResponse({ 200, {}, "" }).isUnverified);
    EXPECT_TRUE(readBackendResponse({ 204, {}, "" }).isUnverified);
    EXPECT_FALSE(readBackendResponse({ 200, { { "x-response-signature", "s" } }, "" }).isUnverified);
    EXPECT_FALSE(readBackendResponse({ 500, {}, "" }).isUnverified);
}

// Guards against a response that names no request and is taken for the answer to the present one.
TEST(PlatformMessages, TellsToWhichRequestAResponseBelongs)
{
    EXPECT_EQ(relate("r1", { 200, { { "X-Request-Id", "r1" } }, "" }), response_relation::answer);
    EXPECT_EQ(relate("r1", { 200, { { "X-Request-Id", "r2" } }, "" }), response_relation::foreign);
    EXPECT_EQ(relate("r1", { 200, {}, "" }), response_relation::unidentified);
}

TEST(PlatformMessages, ReadsTheLimitThatABackendNames)
{
    const auto noticesWith = [](const std::string& limit) {
        return readBackendResponse({ 200, { { "server-limit", limit } }, "" }).notices;
    };
    EXPECT_EQ(readBackendResponse({ 200, {}, "" }).notices, upstream_notices {});
    EXPECT_EQ(noticesWith("12.3"), (upstream_notices { 12.3, false, false }));
    EXPECT_EQ(noticesWith("0"), (upstream_notices { 0.0, false, false }));
    for (const char* invalid : { "", "-1", "nan", "inf", "12,3", "1e3", "12 per second" })
        EXPECT_EQ(noticesWith(invalid), (upstream_notices { std::nullopt, true, false })) << invalid;
}

TEST(PlatformMessages, ReadsThatABackendLeaves)
{
    EXPECT_TRUE(readBackendResponse({ 200, { { "server-leaving", "1" } }, "" }).notices.isLeaving);
    EXPECT_FALSE(readBackendResponse({ 200, { { "Server-Leaving", "0" } }, "" }).notices.isLeaving);
    EXPECT_FALSE(readBackendResponse({ 200, {}, "" }).notices.isLeaving);
}

TEST(PlatformMessages, DecodesRecordsAsTheyWereEncoded)
{
    const std::vector<keyed_record> records { { "a", "value" }, { "b", "" }, { "c", std::string { "\0\xff", 2 } } };
    std::string body = std::string(15, '\0') + "\x05";
    body.replace(0, 8, std::string(7, '\0') + "\x09");
    for (const keyed_record& record : records)
        body += encodeRecord(record);
    const result<record_batch> decoded = decodeRecordBatch(body);
    ASSERT_TRUE(hasValue(decoded));
    EXPECT_EQ(valueOf(decoded).endOffset, 9);
    EXPECT_EQ(valueOf(decoded).firstOffset, 5);
    EXPECT_EQ(valueOf(decoded).records, records);
    // A truncated body must not decode as a complete batch: no prefix may yield all records.
    for (std::size_t length = 0; length < body.size(); ++length) {
        const result<record_batch> truncated = decodeRecordBatch(std::string_view { body }.substr(0, length));
        const std::size_t decodedCount = hasValue(truncated) ? valueOf(truncated).records.size() : 0;
        EXPECT_LT(decodedCount, records.size());
    }
    EXPECT_FALSE(hasValue(decodeRecordBatch(body.substr(0, body.size() - 1))));
}

// Guards against a reader that stops at a record of another writer which has no proper key.
TEST(PlatformMessages, LeavesOutRecordsWithoutAKey)
{
    std::string body = std::string(15, '\0') + "\x05";
    body += encodeRecord({ "a", "value" });
    body += std::string(4, '\0'); // A record of no bytes.
    body += std::string { "\0\0\0\x02\x05x", 6 }; // A key that is longer than its record.
    body += encodeRecord({ "b", "value" });
    const result<record_batch> decoded = decodeRecordBatch(body);
    ASSERT_TRUE(hasValue(decoded));
    EXPECT_EQ(valueOf(decoded).records, (std::vector<keyed_record> { { "a", "value" }, { "b", "value" } }));
    EXPECT_EQ(valueOf(decoded).count, 4U);
}

// Guards against a node that never becomes ready because of one item in the snapshot.
TEST(PlatformMessages, LeavesOutMalformedItemsOfAPage)
{
    const result<snapshot_page> page = decodeSnapshotPage(
        R"({"items":[{"Key":7,"Value":"YWI="},{"Key":"a","Value":7},"x",{"Key":"b","Value":"YWI="}],"EndOffset":6})");
    ASSERT_TRUE(hasValue(page));
    EXPECT_EQ(valueOf(page).records, (std::vector<keyed_record> { { "b", "ab" } }));
}

TEST(PlatformMessages, DecodesAPageOfNewestRecords)
{
    const result<snapshot_page> page
        = decodeSnapshotPage(R"({"items":[{"Key":"config","Value":"YWI=","Offset":4}],"More":true,"EndOffset":6})");
    ASSERT_TRUE(hasValue(page));
    EXPECT_TRUE(valueOf(page).hasMore);
    EXPECT_EQ(valueOf(page).endOffset, 6);
    EXPECT_EQ(valueOf(page).records, (std::vector<keyed_record> { { "config", "ab" } }));
    EXPECT_FALSE(hasValue(decodeSnapshotPage(R"({"items":7})")));
}

} // namespace knapweedcroft::platform
