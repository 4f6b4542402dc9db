#include "knapweedcroft/wire/codec.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <random>

namespace knapweedcroft {

namespace {

struct named_message {
    const char* name;
    peer_message message;
};

[[nodiscard]] time_point at(std::int64_t microseconds)
{
    return time_point { milliseconds::fromMicroseconds(microseconds) };
}

[[nodiscard]] call_request keyedCall()
{
    call_request call;
    call.id = call_id { UINT64_MAX };
    call.action = action_id { 7 };
    call.entry = "home_visits.book";
    call.importance = call_class::critical;
    call.deadline = milliseconds::fromMicroseconds(-1500);
    call.depth = 3;
    call.budget = 2;
    call.key = "key-\xff";
    call.role = keyed_role::holder;
    call.contentType = "text/plain";
    call.body = std::string { "\0raw\xff", 5 };
    return call;
}

[[nodiscard]] call_answer answerWith(call_result outcome)
{
    call_answer answer;
    answer.id = call_id { 9 };
    answer.outcome = std::move(outcome);
    return answer;
}

[[nodiscard]] call_answer fullAnswer()
{
    call_answer answer = answerWith(answered { 201, "application/json", "{}" });
    answer.budgetLeft = 4;
    answer.queueTime = milliseconds { 12 };
    answer.threshold = priority { call_class::high, UINT64_MAX };
    answer.thresholdValidity = milliseconds { 200 };
    answer.thresholds = { service_threshold { "quota", priority { call_class::low, 5 }, milliseconds { 150 } } };
    answer.touched = { "logbook", "quota" };
    return answer;
}

[[nodiscard]] hand_over_message handOver()
{
    return hand_over_message { 41, true, at(1'700'000'000'000'000),
        { key_record { "k1", "e", 99, milliseconds { 600'000 }, true, outcome_unknown {} },
            key_record { "k2", "e", 98, milliseconds { 1 }, false, answered { 200, "text/plain", "\x80 body" } } } };
}

[[nodiscard]] forward_request fullForward()
{
    forward_request forward;
    forward.id = call_id { UINT64_MAX };
    forward.service = "quota";
    forward.caller = "logbook";
    forward.entry = "r-1";
    forward.requestId = "id \xff";
    forward.rank = 2;
    forward.hasAlternative = true;
    forward.isRetry = true;
    forward.deadline = milliseconds::fromMicroseconds(1234);
    forward.target = milliseconds::fromMicroseconds(-5);
    forward.request = opaque_request { "POST", "/a?b=c", { { "X", "1" }, { "x", "2" } }, std::string { "\0raw", 4 } };
    return forward;
}

[[nodiscard]] forward_answer forwardedWith(forward_outcome outcome)
{
    forward_answer answer;
    answer.id = call_id { 5 };
    answer.outcome = std::move(outcome);
    answer.load = upstream_load { 9, 8, 7, milliseconds { 6 } };
    answer.isCalledByUpstreamsOnly = true;
    answer.admissionRatio = 0.25;
    answer.upstreamTime = milliseconds { 42 };
    return answer;
}

[[nodiscard]] forward_answer forwardedWithNotices()
{
    forward_answer answer = forwardedWith(opaque_response {});
    answer.load.rate = 12.5;
    answer.load.startDelay = milliseconds { 80 };
    answer.leavingUpstream = "i-1";
    return answer;
}

[[nodiscard]] std::vector<named_message> everyMessage()
{
    return { { "hello",
                 hello_message {
                     "n1", incarnation_id { 5 }, "quota", "varna-1", "127.0.0.1:1", -1, INT64_MAX / 2, true } },
        { "call", keyedCall() }, { "unkeyed call", call_request {} }, { "answer", fullAnswer() },
        { "refusal", answerWith(refused_not_run { refusal_reason::cancelled, milliseconds { 300 }, "later" }) },
        { "failure", answerWith(failed_after_start { "broken" }) },
        { "unknown outcome", answerWith(outcome_unknown { milliseconds { 5 }, "lost" }) },
        { "cancel", cancel_message { call_id { 3 } } },
        { "forward offer", forward_offer { call_id { 4 }, "visits", 70'000 } },
        { "forward grant", forward_grant { call_id { 4 } } },
        { "forward answer offer", forward_answer_offer { call_id { 4 }, 70'000 } },
        { "forward answer grant", forward_answer_grant { call_id { 4 } } }, { "ping", ping_message { 1 } },
        { "pong", pong_message { 2 } },
        { "heartbeat",
            heartbeat_message { 8, at(5), incarnation_id { 6 },
                lease_grant { incarnation_id { 7 }, 11, milliseconds { 3000 } }, { "n2", "n3" }, 12, 13,
                node_state::draining } },
        { "bare heartbeat", heartbeat_message {} }, { "state change", state_change_message { node_state::gone } },
        { "hand over", handOver() }, { "hand over ack", hand_over_ack_message { 41 } },
        { "catch up request", catch_up_request_message { 1, 2 } },
        { "catch up", catch_up_message { R"({"a":1})", "[]", { "n" }, 3, 4, 5 } },
        { "reported notices", reported_notices_message { "i-1", 0.5, true } },
        { "crash report", crash_report_message { "i-1", { 0, UINT64_MAX } } },
        { "quarantine", quarantine_message { { { UINT64_MAX, 2, milliseconds { 7 } }, { 1, 0, {} } } } },
        { "service times", service_times_message { { { "read", milliseconds { 7 } } } } },
        { "entry callers", entry_callers_message { { { "read", "visits", 7 } } } },
        { "store progress", store_progress_message { 3, 4, 5 } }, { "forward", fullForward() },
        { "forwarded", forwardedWith(opaque_response { 418, { { "A", "\xff" }, { "A", "" } }, std::string(3, '\0') }) },
        { "forward refused",
            forwardedWith(forward_refusal { refusal_reason::draining, milliseconds { 9 }, true, true }) },
        { "forward failed", forwardedWith(forward_failure { "reset" }) },
        { "forwarded with notices", forwardedWithNotices() },
        { "upstream status",
            upstream_status_message { "i-1", 1'700'000'000'000, true, milliseconds { 3 },
                upstream_load { 1, 2, 3, milliseconds { 4 } }, 12 } } };
}

[[nodiscard]] std::string frameOf(const peer_message& message) { return valueOf(encode(message)); }

[[nodiscard]] std::string makeFrame(const nlohmann::json& header, const std::string& body = {})
{
    std::string bytes;
    nlohmann::json::to_cbor(header, bytes);
    std::string frame(4, '\0');
    for (std::size_t index = 0; index < frame.size(); ++index)
        frame[index] = static_cast<char>((bytes.size() >> (8U * (3 - index))) & 0xFFU);
    return frame + bytes + body;
}

} // namespace

// Guards against fields that are lost or changed by encoding and decoding.
TEST(Codec, RoundTripKeepsEveryField)
{
    for (const named_message& item : everyMessage()) {
        const std::string frame = frameOf(item.message);
        const result<peer_message> decoded = decode(frame);
        ASSERT_TRUE(hasValue(decoded)) << item.name << ": " << errorOf(decoded).message;
        EXPECT_EQ(valueOf(decoded).index(), item.message.index()) << item.name;
        EXPECT_EQ(frameOf(valueOf(decoded)), frame) << item.name;
    }
    const result<peer_message> call = decode(frameOf(keyedCall()));
    EXPECT_EQ(std::get<call_request>(valueOf(call)).body, keyedCall().body);
    EXPECT_EQ(std::get<call_request>(valueOf(call)).key, keyedCall().key);
    EXPECT_EQ(std::get<call_request>(valueOf(call)).deadline, keyedCall().deadline);
    const result<peer_message> forward = decode(frameOf(fullForward()));
    EXPECT_EQ(std::get<forward_request>(valueOf(forward)).request, fullForward().request);
    EXPECT_EQ(std::get<forward_request>(valueOf(forward)).target, fullForward().target);
    EXPECT_EQ(std::get<forward_request>(valueOf(forward)).requestId, fullForward().requestId);
    const result<peer_message> answer = decode(frameOf(fullAnswer()));
    EXPECT_EQ(std::get<call_answer>(valueOf(answer)).outcome, fullAnswer().outcome);
    EXPECT_EQ(std::get<call_answer>(valueOf(answer)).thresholds, fullAnswer().thresholds);
    EXPECT_EQ(std::get<call_answer>(valueOf(answer)).thresholdValidity, fullAnswer().thresholdValidity);
}

// Guards against a truncated frame that is accepted as complete. Only the header is truncated here: the raw body has no
// length of its own, so that its truncation cannot be detected.
TEST(Codec, RefusesHeadersCutAtAnyByte)
{
    for (const named_message& item : everyMessage()) {
        const std::string frame = frameOf(item.message);
        const std::size_t header
            = 4 + (static_cast<unsigned char>(frame[2]) << 8U | static_cast<unsigned char>(frame[3]));
        for (std::size_t size = 0; size < header; ++size)
            EXPECT_FALSE(hasValue(decode(std::string_view { frame }.substr(0, size)))) << item.name << " at " << size;
    }
}

// Guards against fields of the wrong type or size that are converted silently.
TEST(Codec, RefusesEveryFieldOfAnotherType)
{
    const std::vector<nlohmann::json> replacements { nullptr, -5, 1.5, "x", true, nlohmann::json::array({ 1 }),
        { { "a", 1 } }, UINT64_MAX };
    for (const named_message& item : everyMessage()) {
        const std::string frame = frameOf(item.message);
        const std::size_t size = (static_cast<unsigned char>(frame[2]) << 8U) | static_cast<unsigned char>(frame[3]);
        const nlohmann::json header = nlohmann::json::from_cbor(frame.substr(4, size));
        for (const auto& field : header.items()) {
            for (const nlohmann::json& replacement : replacements) {
                nlohmann::json changed = header;
                changed[field.key()] = replacement;
                const result<peer_message> decoded = decode(makeFrame(changed, frame.substr(4 + size)));
                const bool isSameType = replacement.type() == field.value().type()
                    || (replacement.is_number_integer() && field.value().is_number_integer());
                EXPECT_FALSE(hasValue(decoded) && !isSameType) << item.name << " " << field.key() << " " << replacement;
            }
        }
    }
}

struct frame_fault {
    const char* name;
    std::string frame;
    error_kind kind;
};

TEST(Codec, RefusesFaultyFrames)
{
    const nlohmann::json names(70'000, "n");
    nlohmann::json heartbeat = nlohmann::json::from_cbor(frameOf(heartbeat_message {}).substr(4));
    heartbeat["suspects"] = names;
    const std::string deep(100'000, '\x81');
    std::string huge("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
    const std::vector<frame_fault> faults { { "empty", "", error_kind::malformed_frame },
        { "no map", makeFrame(nlohmann::json::array()), error_kind::malformed_frame },
        { "no kind", makeFrame({ { "id", 1 } }), error_kind::malformed_frame },
        { "unknown kind", makeFrame({ { "k", "shout" } }), error_kind::unknown_message },
        { "id missing", makeFrame({ { "k", "cancel" } }), error_kind::malformed_frame },
        { "body where none belongs", makeFrame({ { "k", "cancel" }, { "id", 1U } }, "x"), error_kind::malformed_frame },
        { "list too long", makeFrame(heartbeat), error_kind::malformed_frame },
        { "nested too deeply", std::string("\0\x01\x86\xa0", 4) + deep, error_kind::malformed_frame },
        { "length of a list beyond the frame", std::string("\0\0\0\x09", 4) + huge, error_kind::malformed_frame },
        { "length beyond the frame", std::string("\xff\xff\xff\xff\xa0", 5), error_kind::malformed_frame },
        { "too large", std::string(maxFrameBytes + 1, '\0'), error_kind::malformed_frame } };
    for (const frame_fault& fault : faults) {
        const result<peer_message> decoded = decode(fault.frame);
        ASSERT_FALSE(hasValue(decoded)) << fault.name;
        EXPECT_EQ(errorOf(decoded).kind, fault.kind) << fault.name;
    }
}

// Guards against malformed input from a peer that crashes the process.
TEST(Codec, SurvivesRandomBytes)
{
    constexpr std::uint64_t seed = 20240611;
    std::mt19937_64 random { seed };
    std::vector<std::string> frames;
    for (const named_message& item : everyMessage())
        frames.push_back(frameOf(item.message));
    std::size_t accepted = 0;
    for (int round = 0; round < 60'000; ++round) {
        std::string frame = frames[random() % frames.size()];
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            frame[4 + random() % (frame.size() - 4)] = static_cast<char>(random());
        const result<peer_message> decoded = decode(frame);
        if (hasValue(decoded) && !frameOf(valueOf(decoded)).empty())
            ++accepted;
    }
    EXPECT_LT(accepted, 60'000U);
}

// Guards against links that close because an upstream with thousands of slots crashed.
TEST(Codec, TransfersTheReportOfACrashOfManyRequests)
{
    crash_report_message report { "i-1", {} };
    quarantine_message suspects;
    for (std::uint64_t digest = 0; digest < 4096; ++digest) {
        report.digests.push_back(digest);
        suspects.entries.push_back({ digest, 1, {} });
    }
    const result<peer_message> reportRead = decode(frameOf(report));
    ASSERT_TRUE(hasValue(reportRead)) << errorOf(reportRead).message;
    EXPECT_EQ(std::get<crash_report_message>(valueOf(reportRead)).digests, report.digests);
    const result<peer_message> suspectsRead = decode(frameOf(suspects));
    ASSERT_TRUE(hasValue(suspectsRead)) << errorOf(suspectsRead).message;
    EXPECT_EQ(std::get<quarantine_message>(valueOf(suspectsRead)).entries, suspects.entries);
}

} // namespace knapweedcroft
