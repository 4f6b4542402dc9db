#include "knapweedcroft/upstream_service/upstream_http.hpp"

#include "knapweedcroft/process/http_exchange.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

/** @brief Runs an upstream without a node in the test process. */
class upstream_http_test : public testing::Test {
protected:
    upstream_http_test()
    {
        const nlohmann::json document = { { "name", "u" }, { "service", "home_visits" }, { "slots", 2 },
            { "operations",
                { { "book", { { "service_time_ms", 0 }, { "effect", true } } },
                    { "hold", { { "service_time_ms", 600'000 }, { "effect", true } } } } } };
        const result<upstream_settings> settings = readUpstreamSettings(document, "test");
        m_upstream = std::make_unique<upstream_http>(m_loop, valueOf(settings), [this] { m_isStopped = true; });
        m_address = valueOf(m_upstream->start());
    }

    [[nodiscard]] http_client_request call(const std::string& operation, std::uint64_t id) const
    {
        http_client_request request
            = makeRequest(m_address, http_method::post, "/op/" + operation, R"({"token":"t1"})");
        request.headers.emplace_back("Knapweed-Context",
            "v1;node=0000000000000001;action=0000000000000002;call=" + toHex(id) + ";class=0;deadline=1000;depth=0");
        request.headers.emplace_back("Idempotency-Key", "key-" + std::to_string(id));
        return request;
    }

    exchange cancelCall(std::uint64_t id)
    {
        http_client_request request = makeRequest(m_address, http_method::post, "/cancel");
        request.headers.emplace_back("Knapweed-Call", toHex(id));
        return m_http.send(request);
    }

    nlohmann::json stats() { return m_http.get(m_address, "/stats")->json(); }

    event_loop m_loop;
    http_exchanger m_http { m_loop };
    std::unique_ptr<upstream_http> m_upstream;
    std::string m_address;
    bool m_isStopped = false;
};

class upstream_http_fault_test : public upstream_http_test, public testing::WithParamInterface<contract_fault> { };

// Guards against invalid requests that run, terminate the upstream or get no typed error.
TEST_P(upstream_http_fault_test, IsRefusedAndTheUpstreamServesOn)
{
    m_http.expectFault(m_address, GetParam());
    EXPECT_TRUE(stats().at("executions").empty());
    const exchange answer = m_http.send(call("book", 1));
    EXPECT_EQ(answer->status(), 200) << answer->describe();
    EXPECT_EQ(answer->json().value("echo", ""), "t1");
}

static const http_method post = http_method::post;

INSTANTIATE_TEST_SUITE_P(Table, upstream_http_fault_test,
    testing::Values(
        contract_fault { "UnknownOperation", post, "/op/bok", {}, "{}", 404, "unknown_operation", "check the path" },
        contract_fault { "DeadlineText", post, "/op/book", { { "Knapweed-Deadline-Ms", "soon" } }, "{}", 400,
            "invalid_value", "must be an integer" },
        contract_fault { "DeadlineFraction", post, "/op/book", { { "Knapweed-Deadline-Ms", "1.5" } }, "{}", 400,
            "invalid_value", "must be an integer" },
        contract_fault { "ExpiryText", post, "/op/book", { { "Knapweed-Expires-At-Ms", "soon" } }, "{}", 400,
            "invalid_value", "must be an integer" },
        contract_fault { "CancelWithoutCall", post, "/cancel", {}, "", 400, "invalid_value", "16 hexadecimal digits" },
        contract_fault { "CancelMalformed", post, "/cancel", { { "Knapweed-Call", "12" } }, "", 400, "invalid_value",
            "16 hexadecimal digits" },
        contract_fault { "FaultsMalformed", post, "/faults", {}, "slow", 400, "malformed_json", "JSON parser" },
        contract_fault {
            "FaultsUnknown", post, "/faults", {}, R"({"slow":2})", 400, "unknown_field", "correct its name" },
        contract_fault {
            "FaultsFactor", post, "/faults", {}, R"({"slow_factor":0})", 400, "out_of_range", "must be from 0.01" },
        contract_fault { "FaultsMute", post, "/faults", {}, R"({"mute":1})", 400, "wrong_type", "true or false" },
        contract_fault {
            "FaultsLoad", post, "/faults", {}, R"({"lie_load":2})", 400, "out_of_range", "must be from 0" },
        contract_fault {
            "WrongMethod", http_method::get, "/op/book", {}, "", 405, "unknown_operation", "use another one" },
        contract_fault { "UnknownPath", post, "/operation/book", {}, "{}", 404, "unknown_operation", "documentation" },
        contract_fault { "BodyTooLarge", post, "/op/book", {}, std::string(std::size_t { 17 } * 1024 * 1024, 'x'), 413,
            "body_too_large", "send at most 16777216" },
        contract_fault { "HeaderTooLarge", post, "/op/book", { { "X-Filler", std::string(20'000, 'x') } }, "{}", 431,
            "header_too_large", "send at most 16384" }),
    [](const testing::TestParamInfo<contract_fault>& parameter) { return std::string { parameter.param.name }; });

// A node that was paused sends a call late: the remaining time in its header is still positive, but the expiry in
// wall-clock time has passed. Guards against an upstream that runs such a call.
TEST_F(upstream_http_test, RefusesACallThatExpiredBeforeItArrived)
{
    http_client_request late = call("book", 1);
    late.headers.emplace_back("Knapweed-Deadline-Ms", "1000");
    late.headers.emplace_back("Knapweed-Expires-At-Ms", "1700000000000");
    const exchange answer = m_http.send(late);
    EXPECT_EQ(answer->status(), 503) << answer->describe();
    EXPECT_TRUE(stats().at("executions").empty());
    EXPECT_TRUE(stats().at("keys").empty());
}

// Guards against wrong counts of executions and effects, on which the at-most-once tests rely.
TEST_F(upstream_http_test, CountsExecutionsEffectsAndKeys)
{
    for (const std::uint64_t id : { 1U, 2U, 2U })
        EXPECT_EQ(m_http.send(call("book", id))->status(), 200);
    const nlohmann::json counted = stats();
    EXPECT_EQ(counted.at("executions"), nlohmann::json({ { "book", 3 } }));
    EXPECT_EQ(counted.at("effects"), nlohmann::json({ { "book", 3 } }));
    EXPECT_EQ(counted.at("keys"), nlohmann::json({ { "key-1", 1 }, { "key-2", 2 } }));
}

// Guards against a body of unexpected form that terminates the process. The body is the caller's and is not validated.
TEST_F(upstream_http_test, TakesAnyBody)
{
    for (const std::string& body : { std::string { "{" }, std::string { "[1]" }, std::string { R"({"token":1})" },
             std::string { "\xff\x00", 2 }, std::string(500'000, '[') }) {
        http_client_request request = call("book", 1);
        request.body = body;
        EXPECT_EQ(m_http.send(request)->status(), 200);
    }
}

// Guards against cancelled calls that continue, and against a cancellation that ends another call.
TEST_F(upstream_http_test, CancelsOneCall)
{
    const exchange first = m_http.start(call("hold", 1));
    const exchange second = m_http.start(call("hold", 2));
    ASSERT_TRUE(m_http.waitUntil([this] { return stats().at("executions").value("hold", 0) == 2; }));
    EXPECT_EQ(m_http.send(call("book", 3))->header("Knapweed-Not-Run"), "1");
    EXPECT_EQ(cancelCall(3)->json(), nlohmann::json({ { "cancelled", false } }));
    EXPECT_EQ(cancelCall(1)->json(), nlohmann::json({ { "cancelled", true } }));
    ASSERT_TRUE(m_http.waitUntil([&] { return first->hasEnded(); }));
    EXPECT_EQ(first->status(), 500);
    EXPECT_EQ(first->header("Knapweed-Not-Run"), "");
    EXPECT_FALSE(second->hasEnded());
    EXPECT_EQ(m_http.send(call("book", 4))->status(), 200);
    EXPECT_EQ(stats().at("cancelled"), 1);
}

// Guards against a mute upstream that answers, or whose calls take no effect.
TEST_F(upstream_http_test, TakesEffectWhileMute)
{
    EXPECT_EQ(m_http.post(m_address, "/faults", R"({"mute":true})")->status(), 200);
    const exchange mute = m_http.start(call("book", 1));
    ASSERT_TRUE(m_http.waitUntil([this] { return stats().at("effects").value("book", 0) == 1; }));
    EXPECT_FALSE(mute->hasEnded());
    EXPECT_EQ(m_http.post(m_address, "/faults", "{}")->status(), 200);
    EXPECT_EQ(m_http.send(call("book", 2))->status(), 200);
}

// Guards against a planned stop that interrupts a running call, and against a stop request without an answer.
TEST_F(upstream_http_test, StopsAfterItsCalls)
{
    const exchange held = m_http.start(call("hold", 1));
    ASSERT_TRUE(m_http.waitUntil([this] { return stats().at("executions").value("hold", 0) == 1; }));
    const exchange stopped = m_http.start(makeRequest(m_address, http_method::post, "/stop"));
    EXPECT_EQ(m_http.send(call("book", 2))->status(), 200);
    EXPECT_FALSE(m_isStopped);
    EXPECT_EQ(cancelCall(1)->status(), 200);
    ASSERT_TRUE(m_http.waitUntil([&] { return stopped->hasEnded(); }));
    EXPECT_TRUE(m_isStopped);
    EXPECT_TRUE(held->hasEnded());
    EXPECT_EQ(stopped->json().at("cut"), 0);
    EXPECT_EQ(stopped->json().at("effects"), nlohmann::json({ { "book", 1 } }));
}

} // namespace knapweedcroft
