#include "knapweedcroft/load/load_engine.hpp"

#include "knapweedcroft/load/effect_audit.hpp"
#include "knapweedcroft/load/latency_probe.hpp"
#include "knapweedcroft/net/http_server.hpp"
#include "test_shape.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace knapweedcroft {

/** @brief A node and an upstream in one server, whose answers a test can replace. */
class load_engine_test : public testing::Test {
protected:
    load_engine_test()
    {
        m_server.route(http_method::get, "/stats", [this](http_server::request_id id, const http_request&) {
            const nlohmann::json counts { { "executions", { { "book", m_effects.size() } } }, { "keys", m_effects } };
            m_server.answer(id, jsonResponse(200, counts.dump()));
        });
        m_server.route(http_method::post, "/faults", [this](http_server::request_id id, const http_request& request) {
            m_faults.push_back(nlohmann::json::parse(request.body)["slow_factor"]);
            m_server.answer(id, jsonResponse(200, "{}"));
        });
        m_server.route(http_method::post, "/call/{service}/{operation}",
            [this](http_server::request_id id, const http_request& request) {
                ++m_calls;
                m_keys.insert(findHeader(request.headers, "Idempotency-Key").value_or(""));
                m_server.answer(id, m_answer(request));
            });
        const std::string address = valueOf(m_server.listen("127.0.0.1", 0));
        m_deployment.nodes = { { "home_visits-1", "home_visits", "aarhus", 0, address, "" } };
        m_deployment.upstreams = { { "home_visits-1", "home_visits", "aarhus", 0, address, "" } };
        m_answer = [this](const http_request& request) { return wholeAnswer(request); };
    }

    [[nodiscard]] http_response wholeAnswer(const http_request& request)
    {
        const std::string token = nlohmann::json::parse(request.body)["token"];
        ++m_effects[findHeader(request.headers, "Idempotency-Key").value_or("")];
        const nlohmann::json body { { "service", "home_visits" }, { "operation", "book" }, { "echo", token },
            { "payload", std::string(300, 'x') }, { "children", { token + ".1", token + ".2" } } };
        http_response response = jsonResponse(200, body.dump());
        response.headers.emplace_back("Knapweed-Result", "answered");
        return response;
    }

    [[nodiscard]] static http_response refusal(int status)
    {
        http_response response = jsonResponse(status, "{}");
        response.headers = { { "Knapweed-Result", "refused_not_run" }, { "Knapweed-Retry-After-Ms", "5" } };
        return response;
    }

    [[nodiscard]] load_run play(client_profile profile, std::size_t bookings)
    {
        load_plan plan;
        plan.client = { profile, milliseconds { 20'000 }, milliseconds { 10'000 }, 3, milliseconds { 1 } };
        plan.phases = { load_phase { "only", milliseconds { 50 }, 1.0, { { "home_visits", "", 5.0 } } } };
        plan.settle = milliseconds {};
        for (std::size_t index = 0; index < bookings; ++index) {
            arrival next;
            next.entry = entryIndex(m_shape, "home_visits.book");
            next.data_centre = index % 2 == 0 ? "aarhus" : "odense";
            next.key = makeCallKey(time_point {}, 0, index);
            next.token = std::to_string(index);
            plan.arrivals.push_back(next);
        }
        load_engine engine { m_loop, m_clock, m_shape, m_deployment, plan, {} };
        result<load_run> run = engine.run();
        EXPECT_TRUE(hasValue(run));
        return valueOf(std::move(run));
    }

    event_loop m_loop;
    clock m_clock { system_time_source {} };
    shape m_shape = deployedShape("hyggesnak");
    deployment m_deployment;
    http_server m_server { m_loop, http_server_settings {} };
    std::function<http_response(const http_request&)> m_answer;
    std::map<std::string, std::uint64_t> m_effects;
    std::vector<double> m_faults;
    std::set<std::string> m_keys;
    std::size_t m_calls = 0;
};

TEST_F(load_engine_test, CompletesCallsAndUndoesItsFaults)
{
    const load_run run = play(client_profile::hard, 20);
    ASSERT_EQ(run.actions.size(), 20U);
    for (const action_record& record : run.actions)
        EXPECT_EQ(toString(record.end), "completed");
    EXPECT_EQ(m_keys.size(), 20U);
    EXPECT_EQ(m_faults, (std::vector<double> { 5.0, 1.0 }));
    EXPECT_TRUE(run.answerFaults.empty());
    EXPECT_EQ(run.after.front().keys.size(), 20U);
}

TEST_F(load_engine_test, RetriesWithTheSameKey)
{
    for (const client_profile profile : { client_profile::hard, client_profile::polite }) {
        m_keys.clear();
        m_calls = 0;
        m_answer = [this](const http_request& request) { return m_calls < 3 ? refusal(503) : wholeAnswer(request); };
        const load_run run = play(profile, 1);
        EXPECT_EQ(toString(run.actions.front().end), "completed");
        EXPECT_EQ(run.actions.front().attempts[static_cast<std::size_t>(attempt_end::refused_not_run)], 2U);
        EXPECT_EQ(m_keys.size(), 1U);
    }
}

TEST_F(load_engine_test, GivesUpAfterItsRetries)
{
    m_answer = [](const http_request&) { return refusal(503); };
    EXPECT_EQ(toString(play(client_profile::hard, 1).actions.front().end), "refused_not_run");
    EXPECT_EQ(m_calls, 4U);
    m_answer = [](const http_request&) { return refusal(409); };
    EXPECT_EQ(toString(play(client_profile::hard, 1).actions.front().end), "rejected");
    EXPECT_EQ(m_calls, 5U);
}

// Guards against unreported P3 violations.
TEST_F(load_engine_test, ReportsForeignAnswers)
{
    m_answer = [this](const http_request& request) {
        http_response response = wholeAnswer(request);
        response.body.replace(response.body.find("\"echo\":\""), 8, "\"echo\":\"9");
        return response;
    };
    const load_run run = play(client_profile::polite, 1);
    EXPECT_EQ(toString(run.actions.front().end), "broken_answer");
    EXPECT_EQ(run.answerFaults.size(), 1U);
}

TEST_F(load_engine_test, NeedsUpstreamsThatAnswerAtTheStart)
{
    m_deployment.upstreams.front().httpAddress = "127.0.0.1:1";
    load_plan plan;
    plan.phases = { load_phase {} };
    load_engine engine { m_loop, m_clock, m_shape, m_deployment, plan, {} };
    const result<load_run> run = engine.run();
    ASSERT_FALSE(hasValue(run));
    EXPECT_EQ(errorOf(run).kind, error_kind::connection_failed);
}

TEST_F(load_engine_test, ProbeMeasuresBothKindsOfCall)
{
    const std::string url = "http://" + m_deployment.nodes.front().httpAddress + "/call/home_visits/book";
    probe_settings settings;
    settings.direct = valueOf(parseProbeTarget(url));
    settings.through = settings.direct;
    settings.count = 5;
    settings.warmup = 1;
    settings.isKeyed = true;
    const probe_result measured = runProbe(m_loop, m_clock, settings);
    EXPECT_EQ(measured.failures, 0U);
    EXPECT_EQ(measured.direct.size(), 5U);
    EXPECT_EQ(measured.through.size(), 5U);
    EXPECT_EQ(m_keys.size(), 12U);
    for (const char* wrong : { "127.0.0.1:1/x", "http://127.0.0.1:1", "http://localhost/x" })
        EXPECT_FALSE(hasValue(parseProbeTarget(wrong))) << wrong;
}

} // namespace knapweedcroft
