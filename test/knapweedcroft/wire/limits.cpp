#include "knapweedcroft/wire/limits.hpp"

#include "knapweedcroft/wire/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>

namespace knapweedcroft {

namespace {

// Generates messages whose sizes and numbers lie within the limits, at them, and beyond them. At most one field of a
// message is large, and only in some messages, since a large one takes long to encode.
class message_generator {
public:
    message_generator()
        : m_largeField { *rc::gen::inRange(0, 36) }
    {
    }

    [[nodiscard]] std::string text() { return std::string(size(maxTextBytes), 'n'); }

    [[nodiscard]] std::string body() { return std::string(size(maxFrameBytes - 4096), '\xff'); }

    template <typename Item> [[nodiscard]] std::vector<Item> list(const std::function<Item()>& make)
    {
        const std::size_t length = size(maxListItems);
        std::vector<Item> items;
        // Equal items, since generating each one of a large list takes too long.
        if (length > 0)
            items.assign(length, make());
        return items;
    }

    [[nodiscard]] std::vector<std::string> names()
    {
        return list<std::string>([] { return std::string { "name" }; });
    }

    [[nodiscard]] http_headers headers()
    {
        constexpr std::size_t lineBytes = 5;
        return list<std::pair<std::string, std::string>>([] { return std::make_pair("a", std::string {}); }).size() > 8
            ? http_headers(maxHeadBytes / lineBytes - 1 + size(4), { "a", "" })
            : http_headers(size(8), { "A-Name", "\xff value" });
    }

    [[nodiscard]] std::int64_t number()
    {
        return *rc::gen::element<std::int64_t>(
            INT64_MIN, -maxMicroseconds - 1, -2, -1, 0, 1, UINT32_MAX, maxMicroseconds, maxOffset + 1, INT64_MAX);
    }

    [[nodiscard]] milliseconds duration() { return milliseconds::fromMicroseconds(number()); }
    [[nodiscard]] time_point time() { return time_point { duration() }; }
    [[nodiscard]] call_id id() { return call_id { static_cast<std::uint64_t>(number()) }; }
    [[nodiscard]] bool boolean() { return *rc::gen::arbitrary<bool>(); }
    [[nodiscard]] std::uint32_t count() { return *rc::gen::element<std::uint32_t>(0, 1, UINT32_MAX); }
    [[nodiscard]] int status() { return *rc::gen::element(-1, 0, 200, maxStatus, maxStatus + 1); }
    [[nodiscard]] double ratio() { return *rc::gen::element(-0.5, 0.0, 0.3, 1.0, 1.5, 1e300); }

    [[nodiscard]] upstream_load load()
    {
        upstream_load value { count(), count(), count(), duration() };
        if (boolean())
            value.rate = ratio();
        value.startDelay = duration();
        return value;
    }

    [[nodiscard]] call_result outcome()
    {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            return answered { status(), text(), body() };
        case 1:
            return refused_not_run { refusal_reason::cancelled, duration(), text() };
        case 2:
            return failed_after_start { text() };
        default:
            return outcome_unknown { duration(), text() };
        }
    }

private:
    [[nodiscard]] std::size_t size(std::size_t limit)
    {
        const bool isLarge = m_field++ == m_largeField;
        return isLarge ? *rc::gen::element(limit - 1, limit, limit + 1) : *rc::gen::element<std::size_t>(0, 1, 7);
    }

    int m_largeField;
    int m_field = 0;
};

using message_factory = std::function<peer_message(message_generator&)>;

[[nodiscard]] forward_request makeForward(message_generator& make)
{
    forward_request message;
    message.id = make.id();
    message.service = make.text();
    message.caller = make.text();
    message.entry = make.text();
    message.requestId = make.text();
    message.rank = make.count();
    message.isRetry = make.boolean();
    message.deadline = make.duration();
    message.target = make.duration();
    message.request = opaque_request { make.text(), make.text(), make.headers(), make.body() };
    return message;
}

[[nodiscard]] forward_answer makeForwardAnswer(message_generator& make, forward_outcome outcome)
{
    forward_answer message;
    message.id = make.id();
    message.outcome = std::move(outcome);
    message.load = make.load();
    message.admissionRatio = make.ratio();
    message.upstreamTime = make.duration();
    message.leavingUpstream = make.text();
    return message;
}

[[nodiscard]] call_request makeCall(message_generator& make)
{
    call_request message;
    message.id = make.id();
    message.entry = make.text();
    message.deadline = make.duration();
    message.depth = make.count();
    message.budget = make.count();
    message.key = make.text();
    message.role = keyed_role::delegate;
    message.contentType = make.text();
    message.body = make.body();
    return message;
}

[[nodiscard]] call_answer makeCallAnswer(message_generator& make)
{
    call_answer message;
    message.id = make.id();
    message.outcome = make.outcome();
    message.budgetLeft = make.count();
    message.queueTime = make.duration();
    message.threshold = priority { call_class::low, UINT64_MAX };
    message.thresholdValidity = make.duration();
    message.thresholds = make.list<service_threshold>([&make] {
        return service_threshold { "quota", priority { call_class::high, 1 }, make.duration() };
    });
    message.touched = make.names();
    return message;
}

[[nodiscard]] heartbeat_message makeHeartbeat(message_generator& make)
{
    heartbeat_message message;
    message.wallTime = make.time();
    message.grant = lease_grant { incarnation_id { UINT64_MAX }, 1, make.duration() };
    message.suspects = make.names();
    message.viewOffset = make.number();
    message.catalogueOffset = make.number();
    return message;
}

[[nodiscard]] hand_over_message makeHandOver(message_generator& make)
{
    hand_over_message message { make.number(), make.boolean(), make.time(), make.list<key_record>([] {
                                   return key_record { "k", "e", 1, {}, true, failed_after_start {} };
                               }) };
    message.records.push_back(
        { make.text(), make.text(), UINT64_MAX, make.duration(), make.boolean(), make.outcome() });
    return message;
}

[[nodiscard]] hello_message makeHello(message_generator& make)
{
    return hello_message { "n" + make.text(), incarnation_id { UINT64_MAX }, make.text(), make.text(), make.text(),
        make.number(), make.number(), make.boolean() };
}

[[nodiscard]] upstream_status_message makeStatus(message_generator& make)
{
    return upstream_status_message { make.text(), make.number(), make.boolean(), make.duration(), make.load(),
        make.number(), make.boolean() };
}

// One factory for each kind; the variant has as many, so that a new kind cannot be left out.
[[nodiscard]] std::vector<message_factory> everyKind()
{
    return { makeHello, makeCall, makeCallAnswer, makeHeartbeat, makeHandOver, makeForward, makeStatus,
        [](message_generator& make) { return cancel_message { make.id() }; },
        [](message_generator& make) { return ping_message { make.id().value() }; },
        [](message_generator& make) { return pong_message { make.id().value() }; },
        [](message_generator&) { return state_change_message { node_state::gone }; },
        [](message_generator& make) { return hand_over_ack_message { make.number() }; },
        [](message_generator& make) {
            return catch_up_request_message { make.number(), make.number() };
        },
        [](message_generator& make) {
            return catch_up_message { make.body(), make.text(), make.names(), UINT64_MAX, make.number(),
                make.number() };
        },
        [](message_generator& make) {
            return store_progress_message { UINT64_MAX, make.number(), make.number() };
        },
        [](message_generator& make) {
            return makeForwardAnswer(make, opaque_response { make.status(), make.headers(), make.body() });
        },
        [](message_generator& make) {
            return entry_callers_message { make.list<entry_caller_count>([&make] {
                return entry_caller_count { "read", "visits", make.count() };
            }) };
        },
        [](message_generator& make) {
            return service_times_message { make.list<entry_service_time>([&make] {
                return entry_service_time { "read", make.duration() };
            }) };
        },
        [](message_generator& make) {
            return reported_notices_message { make.text(), make.ratio(), make.boolean(), make.number() };
        },
        [](message_generator& make) {
            return crash_report_message { make.text(), make.list<std::uint64_t>([] { return UINT64_MAX; }) };
        },
        [](message_generator& make) {
            return quarantine_message { make.list<quarantine_entry>([&make] {
                return quarantine_entry { UINT64_MAX, make.count(), make.duration() };
            }) };
        },
        [](message_generator& make) {
            return forward_offer { make.id(), make.text(), UINT64_MAX };
        },
        [](message_generator& make) { return forward_grant { make.id() }; },
        [](message_generator& make) {
            return forward_answer_offer { make.id(), UINT64_MAX };
        },
        [](message_generator& make) { return forward_answer_grant { make.id() }; } };
}

} // namespace

// Guards against a message that a node sends and its peer refuses, which costs the call, or the link with all calls.
TEST(WireLimits, EveryMessageThatIsEncodedCanBeDecoded)
{
    const std::vector<message_factory> kinds = everyKind();
    ASSERT_EQ(kinds.size(), std::variant_size_v<peer_message>);
    const bool isHolding = rc::check("an encoded message is decoded, and encoded again to the same bytes", [&kinds] {
        for (const message_factory& makeMessage : kinds) {
            message_generator generator;
            const peer_message message = makeMessage(generator);
            const result<std::string> frame = encode(message);
            if (!hasValue(frame))
                continue;
            const result<peer_message> decoded = decode(valueOf(frame));
            if (!hasValue(decoded))
                RC_FAIL(std::string { kindOf(message) } + ": " + errorOf(decoded).message);
            const result<std::string> again = encode(valueOf(decoded));
            RC_ASSERT(hasValue(again) && valueOf(again) == valueOf(frame));
        }
    });
    EXPECT_TRUE(isHolding);
}

// Guards against a limit on header lines, which neither the parsers of requests nor those of responses have.
TEST(WireLimits, TransferTheLinesThatAParserAccepts)
{
    forward_request request;
    request.request.headers.assign(4096, { "a", "" });
    const result<peer_message> requestRead = decode(valueOf(encode(request)));
    ASSERT_TRUE(hasValue(requestRead)) << errorOf(requestRead).message;
    EXPECT_EQ(std::get<forward_request>(valueOf(requestRead)).request.headers, request.request.headers);
    forward_answer answer;
    answer.outcome = opaque_response { 200, request.request.headers, {} };
    const result<peer_message> answerRead = decode(valueOf(encode(answer)));
    ASSERT_TRUE(hasValue(answerRead)) << errorOf(answerRead).message;
    const forward_answer& read = std::get<forward_answer>(valueOf(answerRead));
    EXPECT_EQ(std::get<opaque_response>(read.outcome).headers, request.request.headers);
}

// Guards against sizes that are accepted although a frame cannot hold them.
TEST(WireLimits, RefuseWhatIsBeyondThem)
{
    forward_request request;
    request.request.headers.assign(maxHeadBytes / 5 + 1, { "a", "" });
    EXPECT_FALSE(hasValue(encode(request)));
    request.request.headers.clear();
    request.request.body.assign(maxFrameBytes, 'b');
    EXPECT_FALSE(hasValue(encode(request)));
    heartbeat_message heartbeat;
    heartbeat.suspects.assign(maxListItems + 1, "n");
    EXPECT_FALSE(hasValue(encode(heartbeat)));
    heartbeat.suspects = { std::string(maxTextBytes + 1, 'n') };
    EXPECT_FALSE(hasValue(encode(heartbeat)));
    forward_answer answer;
    answer.outcome = opaque_response { -1, {}, {} };
    EXPECT_FALSE(hasValue(encode(answer)));
}

// Guards against measurements that are lost, or that earlier versions refuse, when there are many entries and callers.
TEST(WireLimits, SplitLongReports)
{
    entry_callers_message callers;
    service_times_message times;
    for (std::uint32_t number = 0; number < 2 * maxItemsPerReport + 1; ++number) {
        callers.counts.push_back({ "e" + std::to_string(number), "visits", number });
        times.times.push_back({ "e" + std::to_string(number), {} });
    }
    entry_callers_message joined;
    for (const peer_message& part : splitReport(callers)) {
        const std::vector<entry_caller_count>& counts = std::get<entry_callers_message>(part).counts;
        EXPECT_LE(counts.size(), maxItemsPerReport);
        joined.counts.insert(joined.counts.end(), counts.begin(), counts.end());
    }
    EXPECT_EQ(joined.counts, callers.counts);
    EXPECT_EQ(splitReport(times).size(), 3U);
    callers.counts.resize(maxItemsPerReport);
    EXPECT_TRUE(splitReport(callers).empty());
}

} // namespace knapweedcroft
