#include "knapweedcroft/net/node_runtime.hpp"

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/log_service/log_http.hpp"
#include "knapweedcroft/node/node_core.hpp"
#include "knapweedcroft/process/http_exchange.hpp"
#include "knapweedcroft/upstream_service/upstream_http.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

static const char* const announcePath = "/knapweed/v1/announce";
static const char* const statePath = "/knapweed/v1/state";
static const char* const catalogueRecords = "/streams/catalogue/records";

/** @brief Runs a log service, a node and its upstream in the test process; the catalogue has a keyed entry (`book`) and
 * an idempotent entry (`list`).
 */
class node_http_test : public testing::Test {
protected:
    node_http_test()
        : m_log { m_loop, log_service_settings {} }
        , m_charts { valueOf(loadCharts(KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts")) }
    {
        m_logAddress = valueOf(m_log.start());
        appendEntry("book", false);
        appendEntry("list", true);
        startNode();
        startUpstream();
    }

    void appendEntry(const std::string& operation, bool isIdempotent)
    {
        const std::string name = "home_visits." + operation;
        const nlohmann::json entry = { { "name", name }, { "service", "home_visits" }, { "operation", operation },
            { "owner", "hyggesnak" }, { "class", "critical" }, { "idempotent", isIdempotent },
            { "deadline_ms", 30'000 }, { "max_body_bytes", 1000 } };
        const nlohmann::json record = { { "type", "change" }, { "change_id", operation }, { "operator", "anna" },
            { "base_version", -1 }, { "name", name }, { "entry", entry } };
        ASSERT_EQ(m_http.post(m_logAddress, catalogueRecords, record.dump())->status(), 200);
    }

    void startNode()
    {
        const nlohmann::json document
            = { { "name", "n1" }, { "service", "home_visits" }, { "data_centre", "a" }, { "log", m_logAddress },
                  { "charts", "unused" }, { "log_level", "error" }, { "limits", { { "max_body_bytes", 100'000 } } } };
        const node_program_settings settings = valueOf(readNodeSettings(document, "test"));
        std::uint64_t runs = 0;
        m_runtime = std::make_unique<node_runtime>(
            m_loop, settings, m_charts, [runs]() mutable { return incarnation_id { ++runs }; });
        m_address = valueOf(m_runtime->listen()).http;
        m_runtime->start([this, settings](incarnation_id incarnation, const node_addresses& bound) {
            const clock time { system_time_source {} };
            const std::shared_ptr<node_core> core = std::make_shared<node_core>(
                settings.node, m_charts, incarnation, bound.peer, time.now(), time.wallNow());
            node_logic logic;
            logic.handle = [core](const node_event& event, time_point now, time_point wallNow) {
                return core->handle(event, now, wallNow);
            };
            logic.nextWakeup = [core] { return core->nextWakeup(); };
            logic.nextOffset = [core](const std::string& stream) { return core->nextOffset(stream); };
            logic.describe = [core] { return core->describe(); };
            return logic;
        });
    }

    void startUpstream()
    {
        const nlohmann::json document
            = { { "name", "u1" }, { "service", "home_visits" }, { "slots", 8 }, { "node", m_address },
                  { "operations",
                      { { "book", { { "service_time_ms", 0 }, { "effect", true } } },
                          { "list", { { "service_time_ms", 0 } } } } } };
        m_upstream = std::make_unique<upstream_http>(
            m_loop, valueOf(readUpstreamSettings(document, "test")), [this] { m_isStopped = true; });
        (void)valueOf(m_upstream->start());
    }

    /** @brief Waits until the node accepts keyed calls and has read the catalogue. */
    [[nodiscard]] bool awaitReady()
    {
        return m_http.waitUntil([this] {
            const nlohmann::json state = m_http.get(m_address, statePath)->json();
            return state.value("in_view", false) && state.value("holds_lease", false)
                && state.value("upstream", "") != "absent" && state.value("catalogue_offset", 0) >= 2;
        });
    }

    [[nodiscard]] http_client_request call(const std::string& operation, const std::string& key) const
    {
        http_client_request request
            = makeRequest(m_address, http_method::post, "/call/home_visits/" + operation, R"({"token":"t1"})");
        if (!key.empty())
            request.headers.emplace_back("Idempotency-Key", key);
        return request;
    }

    /** @brief Repeats a call until its status is not 503, which a node may return shortly after its start. */
    exchange callUntilAnswered(const std::string& operation, const std::string& key)
    {
        exchange answer;
        const auto isAnswered = [&] {
            if (answer && answer->status() != 503)
                return true;
            answer = m_http.send(call(operation, key));
            if (answer->status() == 503)
                m_http.pause();
            return answer->status() != 503;
        };
        m_http.waitUntil(isAnswered);
        EXPECT_EQ(answer->status(), 200) << answer->describe();
        return answer;
    }

    [[nodiscard]] nlohmann::json stats() const { return m_upstream->stats().toJson(); }

    event_loop m_loop;
    http_exchanger m_http { m_loop };
    log_http m_log;
    chart_set m_charts;
    std::unique_ptr<node_runtime> m_runtime;
    std::unique_ptr<upstream_http> m_upstream;
    std::string m_logAddress;
    std::string m_address;
    bool m_isStopped = false;
};

class node_fault_test : public node_http_test, public testing::WithParamInterface<contract_fault> { };

// Guards against invalid requests that are executed, terminate the node or get no typed error.
TEST_P(node_fault_test, IsRefusedAndTheNodeServesOn)
{
    ASSERT_TRUE(awaitReady());
    m_http.expectFault(m_address, GetParam());
    EXPECT_TRUE(stats().at("executions").empty());
    const exchange answer = callUntilAnswered("book", "key-after");
    EXPECT_EQ(answer->json().value("echo", ""), "t1");
    EXPECT_EQ(stats().at("effects"), nlohmann::json({ { "book", 1 } }));
}

static const http_method get = http_method::get;
static const http_method post = http_method::post;
static const char* const bookPath = "/call/home_visits/book";
static const char* const listPath = "/call/home_visits/list";

[[nodiscard]] static contract_fault contextCase(const char* name, const std::string& value)
{
    return { name, post, listPath, { { "Knapweed-Context", value } }, "{}", 400, "bad_request", "copy it unchanged" };
}

[[nodiscard]] static contract_fault announceCase(
    const char* name, const std::string& patch, const std::string& kind, const std::string& remedy)
{
    nlohmann::json document = { { "service", "home_visits" }, { "address", "127.0.0.1:9" }, { "slots", 4 },
        { "connections", 10 }, { "state", "serving" }, { "load", 0.5 }, { "incarnation", 7 } };
    document.merge_patch(nlohmann::json::parse(patch));
    return { name, post, announcePath, {}, document.dump(), 400, kind, remedy };
}

INSTANTIATE_TEST_SUITE_P(Call, node_fault_test,
    testing::Values(contract_fault { "UnknownService", post, "/call/home_visit/book", {}, "{}", 404, "unknown_entry",
                        "apply an entry with knapweedctl" },
        contract_fault {
            "UnknownOperation", post, "/call/home_visits/bok", {}, "{}", 404, "unknown_entry", "check the path" },
        contract_fault {
            "EncodedName", post, "/call/home_visits/%00%ff%2f", {}, "{}", 404, "unknown_entry", "check the path" },
        contract_fault {
            "MissingKey", post, bookPath, {}, "{}", 400, "bad_request", "send the header Idempotency-Key" },
        contract_fault { "EmptyKey", post, bookPath, { { "Idempotency-Key", "" } }, "{}", 400, "bad_request",
            "send the header Idempotency-Key" },
        contract_fault { "ShortKey", post, bookPath, { { "Idempotency-Key", "1234567" } }, "{}", 400, "bad_request",
            "8 to 128 visible ASCII characters" },
        contract_fault { "LongKey", post, bookPath, { { "Idempotency-Key", std::string(129, 'k') } }, "{}", 400,
            "bad_request", "8 to 128 visible ASCII characters" },
        contract_fault { "KeyNotAscii", post, bookPath, { { "Idempotency-Key", "key-\xc3\xa6\xc3\xb8" } }, "{}", 400,
            "bad_request", "8 to 128 visible ASCII characters" },
        contract_fault { "KeyAhead", post, bookPath, { { "Idempotency-Key", "ffffffff-ffff-7000-8000-000000000000" } },
            "{}", 400, "bad_request", "clock" },
        contract_fault { "BodyOverEntry", post, bookPath, { { "Idempotency-Key", "key-body" } }, std::string(1001, ' '),
            413, "body_too_large", "send at most 1000 bytes" },
        contract_fault { "BodyOverServer", post, bookPath, { { "Idempotency-Key", "key-body" } },
            std::string(1'000'000, ' '), 413, "body_too_large", "send at most 100000 bytes" },
        contract_fault { "HeaderTooLarge", post, listPath, { { "X-Filler", std::string(20'000, 'x') } }, "{}", 431,
            "header_too_large", "send at most 16384" },
        contract_fault { "DeadlineText", post, listPath, { { "Knapweed-Deadline-Ms", "1s" } }, "{}", 400,
            "invalid_value", "must be an integer from 0 to 86400000" },
        contract_fault { "DeadlineNegative", post, listPath, { { "Knapweed-Deadline-Ms", "-1" } }, "{}", 400,
            "invalid_value", "must be an integer from 0 to 86400000" },
        contextCase("ContextEmpty", " "), contextCase("ContextText", "hello"),
        contextCase("ContextVersion",
            "v2;node=0000000000000001;action=0000000000000002;call=0000000000000003;class=0;deadline=1;depth=0"),
        contextCase(
            "ContextField", "v1;node=0000000000000001;action=2;call=0000000000000003;class=0;deadline=1;depth=0"),
        contextCase("ContextClass",
            "v1;node=0000000000000001;action=0000000000000002;call=0000000000000003;class=9;deadline=1;depth=0"),
        contextCase("ContextTail",
            "v1;node=0000000000000001;action=0000000000000002;call=0000000000000003;class=0;deadline=1;depth=0;x=1"),
        contract_fault { "ContextOfEndedCall", post, listPath,
            { { "Knapweed-Context",
                "v1;node=0000000000000001;action=0000000000000002;call=0000000000000003;class=0;deadline=1;depth=0" } },
            "{}", 503, "parent_ended", "do not call on behalf of ended calls" },
        contract_fault { "ContextTooDeep", post, listPath,
            { { "Knapweed-Context",
                "v1;node=00000000000000ff;action=0000000000000002;call=0000000000000003;class=0;deadline=1000;"
                "depth=4294967295" } },
            "{}", 503, "depth_limit", "shorten it" },
        contract_fault { "CallMethod", get, bookPath, {}, "", 405, "unknown_operation", "use another one" },
        contract_fault {
            "CallWithoutOperation", post, "/call/home_visits", {}, "{}", 404, "unknown_operation", "documentation" },
        contract_fault { "UnknownPath", post, "/", {}, "{}", 404, "unknown_operation", "documentation" },
        contract_fault { "StateMethod", post, statePath, {}, "{}", 405, "unknown_operation", "use another one" },
        contract_fault {
            "LeaveMethod", get, "/knapweed/v1/leave", {}, "", 405, "unknown_operation", "use another one" }),
    [](const testing::TestParamInfo<contract_fault>& parameter) { return std::string { parameter.param.name }; });

INSTANTIATE_TEST_SUITE_P(Announce, node_fault_test,
    testing::Values(contract_fault { "Empty", post, announcePath, {}, "", 400, "malformed_json", "JSON parser" },
        contract_fault { "Malformed", post, announcePath, {}, "{\"service\":", 400, "malformed_json", "JSON parser" },
        contract_fault {
            "Nested", post, announcePath, {}, std::string(90'000, '['), 400, "malformed_json", "make it flatter" },
        contract_fault { "NotAnObject", post, announcePath, {}, "[]", 400, "wrong_type", "must be a JSON object" },
        announceCase("OtherService", R"({"service":"call_diary"})", "unknown_service",
            "announce to the node beside the upstream"),
        announceCase("NoService", R"({"service":null})", "missing_field", "add it"),
        announceCase("AddressName", R"({"address":"localhost:1"})", "invalid_value", "localhost:1"),
        announceCase("Slots", R"({"slots":0})", "out_of_range", "must be from 1"),
        announceCase("Connections", R"({"connections":"1"})", "wrong_type", "must be an integer"),
        announceCase("State", R"({"state":"well"})", "invalid_value", "\"starting\", \"serving\" or \"draining\""),
        announceCase("Load", R"({"load":1.5})", "out_of_range", "must be from 0"),
        announceCase("Incarnation", R"({"incarnation":-1})", "out_of_range", "must be from 0"),
        contract_fault { "Method", get, announcePath, {}, "", 405, "unknown_operation", "use another one" }),
    [](const testing::TestParamInfo<contract_fault>& parameter) { return std::string { parameter.param.name }; });

// Guards against refusals that a caller cannot distinguish from failures.
TEST_F(node_http_test, NamesTheKindOfEachResult)
{
    ASSERT_TRUE(awaitReady());
    const exchange answered = callUntilAnswered("list", "");
    EXPECT_EQ(answered->header("Knapweed-Result"), "answered");
    EXPECT_EQ(answered->header("Knapweed-Action").size(), 16U);
    EXPECT_EQ(answered->header("Content-Type"), "application/json");
    const exchange refused = m_http.send(call("book", ""));
    EXPECT_EQ(refused->header("Knapweed-Result"), "refused_not_run");
    // The HTTP server itself rejects this request, before it reaches the node's logic.
    http_client_request large = call("book", "key-large");
    large.body = std::string(1'000'000, ' ');
    EXPECT_EQ(m_http.send(large)->header("Knapweed-Result"), "refused_not_run");
}

// Guards against executing a repeated key twice, and against answering a key with the response to another request.
TEST_F(node_http_test, RunsAKeyOnce)
{
    ASSERT_TRUE(awaitReady());
    const exchange first = callUntilAnswered("book", "key-once");
    const exchange repeat = m_http.send(call("book", "key-once"));
    EXPECT_EQ(repeat->status(), 200) << repeat->describe();
    EXPECT_EQ(repeat->body(), first->body());
    http_client_request other = call("book", "key-once");
    other.body = R"({"token":"t2"})";
    const exchange conflict = m_http.send(other);
    EXPECT_EQ(conflict->status(), 409) << conflict->describe();
    EXPECT_EQ(conflict->json().value("error", ""), "key_conflict");
    EXPECT_NE(conflict->json().value("message", "").find("new"), std::string::npos) << conflict->describe();
    EXPECT_EQ(stats().at("keys"), nlohmann::json({ { "key-once", 1 } }));
}

// Guards against missing parts of the operator interface that knapweedctl and the documentation rely on.
TEST_F(node_http_test, ShowsHealthStateAndMetrics)
{
    ASSERT_TRUE(awaitReady());
    (void)callUntilAnswered("list", "");
    const nlohmann::json health = m_http.get(m_address, "/knapweed/v1/health")->json();
    EXPECT_EQ(health, nlohmann::json({ { "status", "serving" }, { "name", "n1" }, { "service", "home_visits" } }));
    const nlohmann::json state = m_http.get(m_address, statePath)->json();
    EXPECT_EQ(state.at("catalogue_offset"), 2);
    EXPECT_EQ(state.at("versions"), nlohmann::json({ { "home_visits.book", 0 }, { "home_visits.list", 1 } }));
    const exchange counted = m_http.get(m_address, "/knapweed/v1/metrics");
    EXPECT_EQ(counted->status(), 200);
    EXPECT_NE(counted->body().find("calls_answered"), std::string::npos) << counted->body();
}

// Guards against a malformed record that terminates or blocks every node that reads it.
TEST_F(node_http_test, PassesOverMalformedRecords)
{
    ASSERT_TRUE(awaitReady());
    std::string nested(200'000, '[');
    nested += std::string(200'000, ']');
    const std::vector<std::string> records { "1", "null", "[]", "{}", R"({"type":"change"})", R"({"type":1})",
        R"({"type":"snapshot","up_to":9,"versions":[1]})", R"({"type":"join","node":""})",
        R"({"type":"evict","node":"n1","incarnation":"x","view_offset":-5})", nested };
    for (const char* stream : { catalogueRecords, "/streams/membership/records" }) {
        for (const std::string& record : records)
            ASSERT_EQ(m_http.post(m_logAddress, stream, record)->status(), 200);
    }
    ASSERT_TRUE(m_http.waitUntil([this] {
        const nlohmann::json state = m_http.get(m_address, statePath)->json();
        return state.value("catalogue_offset", 0) >= 12 && state.value("membership_offset", 0) >= 11;
    }));
    EXPECT_EQ(callUntilAnswered("book", "key-after")->json().value("echo", ""), "t1");
}

// Guards against answering a leave request while a call still runs, and against a node that rejects the next upstream
// after a leave.
TEST_F(node_http_test, AnswersALeaveAndServesTheNextUpstream)
{
    ASSERT_TRUE(awaitReady());
    (void)callUntilAnswered("book", "key-first");
    m_upstream->beginStop();
    ASSERT_TRUE(m_http.waitUntil([this] { return m_isStopped; }));
    EXPECT_EQ(stats().at("cut"), 0);
    const exchange refused = m_http.send(call("book", "key-second"));
    EXPECT_EQ(refused->status(), 503) << refused->describe();
    EXPECT_EQ(refused->header("Knapweed-Result"), "refused_not_run");
    startUpstream();
    EXPECT_EQ(callUntilAnswered("list", "")->json().value("echo", ""), "t1");
}

} // namespace knapweedcroft
