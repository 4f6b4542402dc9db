#include "knapweedcroft/upstream_service/upstream_model.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace knapweedcroft {

[[nodiscard]] static time_point atTime(std::int64_t count) { return time_point { milliseconds { count } }; }

static constexpr const char* settingsText = R"({"name":"u","service":"home_visits","slots":2,"operations":{
    "book":{"service_time_ms":10,"effect":true,"response_bytes":3},
    "deep":{"service_time_ms":10,"effect":true,"calls":[[{"service":"r","operation":"a"},{"service":"r","operation":"b"}],
        [{"service":"r","operation":"c","keyed":true}]]},
    "retry":{"service_time_ms":10,"attempts":3,"calls":[[{"service":"r","operation":"a"}]]},
    "early":{"service_time_ms":10,"work_before":0.5,"effect":true,"calls":[[{"service":"r","operation":"a"}]]}}})";

/** @brief Drives a model and formats its actions as words, such as `200`, `503not_run`, `send:a.1` and `abandon`. */
class upstream_model_test : public testing::Test {
protected:
    [[nodiscard]] static upstream_settings settings(const std::string& extra = "")
    {
        std::string text = settingsText;
        text.insert(1, extra);
        return valueOf(readUpstreamSettings(nlohmann::json::parse(text), "settings"));
    }

    [[nodiscard]] std::string words(const upstream_actions& actions)
    {
        std::string text;
        for (const upstream_action& action : actions)
            text += (text.empty() ? "" : " ") + std::visit([this](const auto& value) { return word(value); }, action);
        return text;
    }

    [[nodiscard]] std::string word(const answer_upstream_call& action)
    {
        m_body = nlohmann::json::parse(action.body);
        return std::to_string(action.status) + (action.isNotRun ? "not_run" : "");
    }

    [[nodiscard]] std::string word(const withhold_answer&) { return "withheld"; }

    [[nodiscard]] std::string word(const send_sub_call& action)
    {
        m_sent.push_back(action);
        const std::string token = nlohmann::json::parse(action.body).at("token").get<std::string>();
        return "send:" + token + (action.key.empty() ? "" : "/" + action.key);
    }

    [[nodiscard]] std::string word(const abandon_sub_call&) { return "abandon"; }

    [[nodiscard]] std::string arrive(request_handle handle, const std::string& operation, std::int64_t now,
        std::optional<std::int64_t> deadline = {})
    {
        upstream_call call { handle, operation, "context", call_id { handle }, "key", std::nullopt, "t" };
        if (deadline)
            call.deadline = milliseconds { *deadline };
        return words(m_model.callArrived(call, atTime(now)));
    }

    /** @brief Ends the sub-call attempt with index `index` in the order of sending. */
    [[nodiscard]] std::string endSubCall(std::size_t index, const std::string& how, std::int64_t now)
    {
        const std::string token = nlohmann::json::parse(m_sent.at(index).body).at("token").get<std::string>();
        const sub_call_result outcome { how == "ok" || how == "foreign", how != "not_run",
            how == "foreign" ? "other" : token };
        return words(m_model.subCallEnded(m_sent.at(index).id, outcome, atTime(now)));
    }

    [[nodiscard]] std::string runUntil(std::int64_t now) { return words(m_model.timeReached(atTime(now))); }

    upstream_model m_model { settings(), atTime(0) };
    std::vector<send_sub_call> m_sent;
    nlohmann::json m_body;
};

// Guards against answers that cannot be matched to their calls, and against wrong counts of effects.
TEST_F(upstream_model_test, AnswersWithEchoAndCountsEffects)
{
    EXPECT_EQ(arrive(1, "book", 0), "");
    EXPECT_EQ(m_model.nextWakeup(), atTime(10));
    EXPECT_EQ(runUntil(9), "");
    EXPECT_EQ(m_model.stats().effects.count("book"), 0U);
    EXPECT_EQ(runUntil(10), "200");
    EXPECT_EQ(m_body,
        nlohmann::json::parse(
            R"({"service":"home_visits","operation":"book","echo":"t","payload":"xxx","children":[]})"));
    EXPECT_EQ(m_model.stats().executions.at("book"), 1U);
    EXPECT_EQ(m_model.stats().effects.at("book"), 1U);
    EXPECT_EQ(m_model.stats().keys.at("key"), 1U);
    EXPECT_EQ(m_model.inFlight(), 0U);
    EXPECT_FALSE(m_model.nextWakeup());
}

// Guards against more running calls than slots, and against refused calls that are counted as executions.
TEST_F(upstream_model_test, ShedsWithoutFreeSlot)
{
    EXPECT_EQ(arrive(1, "book", 0), "");
    EXPECT_EQ(arrive(2, "book", 0), "");
    EXPECT_EQ(arrive(3, "book", 0), "503not_run");
    EXPECT_EQ(m_model.stats().shed, 1U);
    EXPECT_EQ(m_model.stats().executions.at("book"), 2U);
    EXPECT_EQ(runUntil(10), "200 200");
    EXPECT_EQ(arrive(4, "book", 10), "");
    EXPECT_EQ(arrive(5, "none", 10), "404");
}

// Guards against steps that overlap, and against keys and tokens of sub-calls that are not unique.
TEST_F(upstream_model_test, RunsStepsInTurn)
{
    EXPECT_EQ(arrive(1, "deep", 0), "send:t.1 send:t.2");
    EXPECT_EQ(endSubCall(1, "ok", 5), "");
    EXPECT_EQ(endSubCall(0, "ok", 6), "send:t.3/key.3");
    EXPECT_EQ(m_sent[2].context, "context");
    EXPECT_EQ(endSubCall(2, "ok", 7), "");
    EXPECT_EQ(runUntil(17), "200");
    EXPECT_EQ(m_body.at("children"), nlohmann::json({ "t.1", "t.2", "t.3" }));
}

struct failure_case {
    const char* name;
    const char* operation;
    std::vector<const char*> endings; /*!< How the sub-calls end, in the order in which they were sent. */
    const char* words; /*!< Actions of the last ending. */
    std::uint64_t executions;
};

class upstream_failure_test : public upstream_model_test, public testing::WithParamInterface<failure_case> { };

// Guards against "not run" answers to calls of which a part has run (P4), and against wrong counts of executions.
TEST_P(upstream_failure_test, TellsWhetherAnythingRan)
{
    (void)arrive(1, GetParam().operation, 0);
    std::string last;
    for (std::size_t index = 0; index < GetParam().endings.size(); ++index)
        last = endSubCall(index, GetParam().endings[index], 1);
    EXPECT_EQ(last, GetParam().words);
    const std::map<std::string, std::uint64_t>& executions = m_model.stats().executions;
    const auto counted = executions.find(GetParam().operation);
    EXPECT_EQ(counted == executions.end() ? 0U : counted->second, GetParam().executions);
    EXPECT_EQ(m_model.stats().subCalls, GetParam().endings.size());
    EXPECT_EQ(m_model.inFlight(), 0U);
    EXPECT_TRUE(m_model.stats().effects.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, upstream_failure_test,
    testing::Values(failure_case { "AllRefused", "deep", { "not_run", "not_run" }, "503not_run", 0 },
        failure_case { "OneRan", "deep", { "not_run", "ok" }, "500", 1 },
        failure_case { "OneFailed", "deep", { "failed", "not_run" }, "500", 1 },
        failure_case { "SecondStepRefused", "deep", { "ok", "ok", "not_run" }, "500", 1 },
        failure_case { "ForeignAnswer", "deep", { "foreign", "ok" }, "500", 1 },
        failure_case { "RepeatsRefused", "retry", { "not_run", "not_run", "not_run" }, "503not_run", 0 },
        failure_case { "RepeatsFailed", "retry", { "not_run", "failed", "not_run" }, "500", 1 }),
    [](const testing::TestParamInfo<failure_case>& parameter) { return std::string { parameter.param.name }; });

// Guards against a retry that is sent or counted under another key or token.
TEST_F(upstream_model_test, RepeatsFailedSubCall)
{
    EXPECT_EQ(arrive(1, "retry", 0), "send:t.1");
    EXPECT_EQ(endSubCall(0, "failed", 1), "send:t.1");
    EXPECT_EQ(endSubCall(1, "ok", 2), "");
    EXPECT_EQ(runUntil(12), "200");
}

// Guards against work that is missing from the counters because its call was answered as not run.
TEST_F(upstream_model_test, CountsUnwoundWork)
{
    EXPECT_EQ(arrive(1, "early", 0), "");
    EXPECT_EQ(runUntil(5), "send:t.1");
    EXPECT_EQ(endSubCall(0, "not_run", 6), "503not_run");
    EXPECT_EQ(m_model.stats().executions.at("early"), 1U);
    EXPECT_EQ(m_model.stats().unwound.at("early"), 1U);
}

// Guards against work after the deadline, and against sub-calls that continue after the end of their call.
TEST_F(upstream_model_test, GivesUpAtDeadline)
{
    EXPECT_EQ(arrive(1, "book", 0, 0), "503not_run");
    EXPECT_EQ(arrive(2, "deep", 0, 8), "send:t.1 send:t.2");
    EXPECT_EQ(endSubCall(0, "ok", 1), "");
    EXPECT_EQ(runUntil(8), "abandon 500");
    EXPECT_EQ(endSubCall(1, "ok", 9), "");
    EXPECT_EQ(arrive(3, "book", 10, 9), "");
    EXPECT_EQ(runUntil(19), "500");
    EXPECT_EQ(arrive(4, "book", 20, 10), "");
    EXPECT_EQ(runUntil(30), "200");
    EXPECT_EQ(m_model.stats().expired, 3U);
    EXPECT_EQ(m_model.inFlight(), 0U);
}

// Guards against a cancelled call that still occupies its slot or takes effect.
TEST_F(upstream_model_test, FreesSlotOnCancel)
{
    EXPECT_EQ(arrive(1, "book", 0), "");
    EXPECT_EQ(arrive(2, "deep", 0), "send:t.1 send:t.2");
    EXPECT_EQ(words(m_model.cancelArrived(call_id { 1 })), "500");
    EXPECT_EQ(words(m_model.cancelArrived(call_id { 2 })), "abandon abandon 500");
    EXPECT_EQ(words(m_model.cancelArrived(call_id { 2 })), "");
    EXPECT_EQ(m_model.inFlight(), 0U);
    EXPECT_EQ(runUntil(100), "");
    EXPECT_EQ(m_model.stats().cancelled, 2U);
    EXPECT_TRUE(m_model.stats().effects.empty());
}

// Guards against injected faults without the requested effect.
TEST_F(upstream_model_test, ShowsFaults)
{
    upstream_faults faults;
    faults.slowFactor = 5.0;
    m_model.setFaults(faults);
    EXPECT_EQ(arrive(1, "book", 0), "");
    EXPECT_EQ(runUntil(49), "");
    faults.isMute = true;
    faults.lieLoad = 0.25;
    m_model.setFaults(faults);
    EXPECT_EQ(runUntil(50), "withheld");
    EXPECT_EQ(m_model.stats().effects.at("book"), 1U);
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(60)).load, 0.25);
}

// Guards against a cold start that has no effect or does not end.
TEST_F(upstream_model_test, StartsCold)
{
    m_model = upstream_model { settings(R"("cold_start_ms":1000,)"), atTime(0) };
    EXPECT_EQ(arrive(1, "book", 0), "");
    EXPECT_EQ(m_model.nextWakeup(), atTime(50));
    EXPECT_EQ(runUntil(50), "200");
    EXPECT_EQ(arrive(2, "book", 500), "");
    EXPECT_EQ(m_model.nextWakeup(), atTime(530));
    EXPECT_EQ(runUntil(530), "200");
    EXPECT_EQ(arrive(3, "book", 1000), "");
    EXPECT_EQ(m_model.nextWakeup(), atTime(1010));
}

// Guards against a reported load without the set lag, and against an announcement without the draining state.
TEST_F(upstream_model_test, ReportsLaggingLoad)
{
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(0)).load, 0.0);
    EXPECT_EQ(arrive(1, "book", 500), "");
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(1000)).load, 0.0);
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(3000)).load, 0.0);
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(4000)).load, 0.5);
    m_model.leaveStarted(atTime(4000));
    EXPECT_EQ(m_model.announce("a:1", 7, atTime(5000)).state, upstream_state::draining);
}

// Guards against late or interrupted calls of a planned stop that are not counted (P6, P7).
TEST_F(upstream_model_test, CountsCallsAfterLeaveAndCutCalls)
{
    m_model.leaveStarted(atTime(0));
    EXPECT_EQ(arrive(1, "book", 2000), "");
    EXPECT_EQ(m_model.stats().afterLeave, 0U);
    EXPECT_EQ(arrive(2, "book", 2001), "");
    EXPECT_EQ(m_model.stats().afterLeave, 1U);
    m_model.stopped();
    EXPECT_EQ(m_model.stats().cut, 2U);
}

// Guards against invalid settings that are accepted, and against settings that are misread.
TEST(UpstreamSettings, AreChecked)
{
    const char* faulty[] = { R"({"name":"u","service":"s"})", R"({"name":"u","service":"s","operations":{}})",
        R"({"name":"u","service":"s","operations":{"a":{"spread":2}}})",
        R"({"name":"u","service":"s","operations":{"a":{"calls":[{"service":"s","operation":"o"}]}}})",
        R"({"name":"u","service":"s","operations":{"a":{"calls":[[{"service":"s"}]]}}})",
        R"({"name":"u","service":"s","operations":{"a":{"attempts":0}}})",
        R"({"name":"u","service":"s","slots":0,"operations":{"a":{}}})",
        R"({"name":"u","service":"s","slot":1,"operations":{"a":{}}})" };
    for (const char* text : faulty)
        EXPECT_FALSE(hasValue(readUpstreamSettings(nlohmann::json::parse(text), "settings"))) << text;
    for (const char* text : { "[]", R"({"slow_factor":0})", R"({"lie_load":2})", R"({"mute":1})", R"({"x":1})" })
        EXPECT_FALSE(hasValue(readUpstreamFaults(nlohmann::json::parse(text)))) << text;
    EXPECT_FALSE(valueOf(readUpstreamFaults(nlohmann::json::parse(R"({"lie_load":null})"))).lieLoad);
}

} // namespace knapweedcroft
