#include "knapweedcroft/load/trace.hpp"

#include "knapweedcroft/load/arrivals.hpp"
#include "knapweedcroft/load/call_key.hpp"
#include "test_shape.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace knapweedcroft {

// Guards against recorded traces that no longer fit their shape, the format or the generator.
TEST(Trace, RecordedTracesAreValidAndAsGenerated)
{
    for (const std::string name : { "hyggesnak", "sinya_mreja" }) {
        const result<trace> recorded = readTrace(projectFile("traces/" + name + ".json"));
        ASSERT_TRUE(hasValue(recorded)) << errorOf(recorded).message;
        const shape on = deployedShape(name);
        EXPECT_FALSE(checkTrace(valueOf(recorded), on));
        const result<trace> made = makeTrace(on, { 2025, milliseconds { 10'000 }, 400 });
        ASSERT_TRUE(hasValue(made));
        EXPECT_EQ(valueOf(made), valueOf(recorded));
        EXPECT_EQ(valueOf(parseTrace(formatTrace(valueOf(made)), "trace")), valueOf(made));
    }
}

TEST(Trace, RepeatsKeepTokenAndKey)
{
    const shape on = deployedShape("sinya_mreja");
    const result<trace> recorded = readTrace(projectFile("traces/sinya_mreja.json"));
    key_reissuer reissuer;
    std::map<std::string, std::pair<std::string, std::string>> seen;
    std::size_t repeats = 0;
    std::int64_t now = 1'900'000'000'000;
    for (const arrival& item : replayArrivals(on, valueOf(recorded))) {
        if (!item.key)
            continue;
        const std::string reissued = reissuer.reissue(*item.key, time_point { milliseconds { ++now } });
        const auto position = seen.emplace(*item.key, std::pair { item.token, reissued });
        repeats += position.second ? 0 : 1;
        EXPECT_EQ(position.first->second, (std::pair { item.token, reissued }));
    }
    EXPECT_GT(repeats, 0U);
}

TEST(CallKey, KeepsTheRandomPartAndReplacesTheTime)
{
    const std::string key = makeCallKey(time_point { milliseconds { 0x0123'4567'89ab } }, 0xffff'ffff, 0);
    EXPECT_EQ(key, "01234567-89ab-7fff-8000-000000000000");
    EXPECT_TRUE(isCallKey(key));
    key_reissuer reissuer;
    EXPECT_EQ(reissuer.reissue(key, time_point { milliseconds { 1 } }), "00000000-0001-7fff-8000-000000000000");
    EXPECT_EQ(reissuer.reissue(key, time_point { milliseconds { 2 } }), "00000000-0001-7fff-8000-000000000000");
    for (const char* other : { "", "01234567-89ab-4fff-8000-000000000000", "01234567-89ab-7fff-c000-000000000000",
             "01234567-89AB-7fff-8000-000000000000", "01234567-89ab-7fff-8000-0000000000000" })
        EXPECT_FALSE(isCallKey(other)) << other;
}

struct trace_fault {
    const char* name;
    const char* calls; /*!< Text in place of the list of calls. */
    error_kind kind;
    const char* part; /*!< Part of the message that names the place or the remedy. */
};

class trace_fault_test : public testing::TestWithParam<trace_fault> { };

// Guards against replaying a damaged trace.
TEST_P(trace_fault_test, IsReported)
{
    const std::string text
        = std::string { "{\"format\":\"knapweed-trace/1\",\n\"shape\":\"s\",\n\"calls\":" } + GetParam().calls + "}";
    const result<trace> parsed = parseTrace(text, "t.json");
    ASSERT_FALSE(hasValue(parsed));
    EXPECT_EQ(errorOf(parsed).kind, GetParam().kind);
    EXPECT_NE(errorOf(parsed).message.find(GetParam().part), std::string::npos) << errorOf(parsed).message;
}

#define KNAPWEED_CALL(FIELDS) "{\"entry\":\"a.b\",\"data_centre\":\"d\",\"body_bytes\":1," FIELDS "}"
#define KNAPWEED_KEY "\"key\":\"01234567-89ab-7fff-8000-000000000000\""

INSTANTIATE_TEST_SUITE_P(Table, trace_fault_test,
    testing::Values(trace_fault { "Syntax", "[\n{\"at_ms\":}]", error_kind::malformed_json, "line 4" },
        trace_fault { "CutShort", "[", error_kind::malformed_json, "line 3" },
        trace_fault { "NoCalls", "[]", error_kind::invalid_trace, "make the trace again" },
        trace_fault { "NotAList", "{}", error_kind::invalid_trace, "list" },
        trace_fault { "MissingTime", "[" KNAPWEED_CALL("\"expect\":\"answered\"") "]", error_kind::missing_field,
            "call 1: field \"at_ms\" is missing; add it" },
        trace_fault { "WrongType", "[" KNAPWEED_CALL("\"at_ms\":\"1\",\"expect\":\"answered\"") "]",
            error_kind::wrong_type, "call 1" },
        trace_fault { "NegativeTime", "[" KNAPWEED_CALL("\"at_ms\":-1,\"expect\":\"answered\"") "]",
            error_kind::out_of_range, "call 1" },
        trace_fault { "UnknownField", "[" KNAPWEED_CALL("\"at_ms\":1,\"x\":1,\"expect\":\"answered\"") "]",
            error_kind::unknown_field, "\"x\"" },
        trace_fault { "Key", "[" KNAPWEED_CALL("\"at_ms\":1,\"key\":\"k\",\"expect\":\"answered\"") "]",
            error_kind::invalid_trace, "UUID of version 7" },
        trace_fault { "Expectation", "[" KNAPWEED_CALL("\"at_ms\":1,\"expect\":\"maybe\"") "]",
            error_kind::invalid_trace, "use \"answered\"" },
        trace_fault { "Order",
            "[" KNAPWEED_CALL("\"at_ms\":2,\"expect\":\"answered\"") "," KNAPWEED_CALL(
                "\"at_ms\":1,\"expect\":\"answered\"") "]",
            error_kind::invalid_trace, "call 2: is earlier" },
        trace_fault { "KeyOfOtherCall",
            "[" KNAPWEED_CALL("\"at_ms\":1," KNAPWEED_KEY
                              ",\"expect\":\"answered\"") ",{\"entry\":\"a.c\",\"data_centre\":\"d\",\"body_bytes\":1,"
                                                          "\"at_ms\":1," KNAPWEED_KEY ",\"expect\":\"answered\"}]",
            error_kind::invalid_trace, "call 2: repeats the key of call 1" }),
    [](const testing::TestParamInfo<trace_fault>& parameter) { return std::string { parameter.param.name }; });

TEST(Trace, IsCheckedAgainstTheShape)
{
    const shape on = deployedShape("hyggesnak");
    const trace_call good { 0, "home_visits.book", "aarhus", std::nullopt, 1, expected_answer::refused_not_run };
    EXPECT_FALSE(checkTrace({ "hyggesnak", { good } }, on));
    trace_call unknownEntry = good;
    unknownEntry.entry = "home_visits.cancel";
    trace_call unknownPlace = good;
    unknownPlace.data_centre = "varna_a";
    trace_call keyless = good;
    keyless.expect = expected_answer::answered;
    for (const trace_call& call : { unknownEntry, unknownPlace, keyless }) {
        const std::optional<error> found = checkTrace({ "hyggesnak", { good, call } }, on);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->kind, error_kind::invalid_trace);
        EXPECT_NE(found->message.find("call 2"), std::string::npos);
    }
}

} // namespace knapweedcroft
