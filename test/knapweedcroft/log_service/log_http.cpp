#include "knapweedcroft/log_service/log_http.hpp"

#include "knapweedcroft/process/http_exchange.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace knapweedcroft {

static const char* const streamPath = "/streams/test/records";

/** @brief Runs a log in the test process that accepts records of up to 1,000 bytes. */
class log_http_test : public testing::Test {
protected:
    log_http_test()
    {
        log_service_settings settings;
        settings.store.maxRecordBytes = 1000;
        serve(settings);
    }

    void serve(const log_service_settings& settings)
    {
        m_log = std::make_unique<log_http>(m_loop, settings);
        m_address = valueOf(m_log->start());
    }

    exchange append(const std::string& record) { return m_http.post(m_address, streamPath, record); }

    exchange read(const std::string& query) { return m_http.get(m_address, std::string { streamPath } + query); }

    exchange startRead(const std::string& query)
    {
        return m_http.start(makeRequest(m_address, http_method::get, std::string { streamPath } + query));
    }

    void setFault(const std::string& fault)
    {
        const exchange answer = m_http.post(m_address, "/faults", fault);
        ASSERT_EQ(answer->status(), 200) << answer->describe();
    }

    event_loop m_loop;
    http_exchanger m_http { m_loop };
    std::unique_ptr<log_http> m_log;
    std::string m_address;
};

class log_fault_test : public log_http_test, public testing::WithParamInterface<contract_fault> { };

// Guards against invalid requests that take effect, terminate the log or get no typed error.
TEST_P(log_fault_test, IsRefusedAndTheLogServesOn)
{
    m_http.expectFault(m_address, GetParam());
    const exchange appended = append("1");
    EXPECT_EQ(appended->json(), nlohmann::json({ { "offset", 0 } })) << appended->describe();
    EXPECT_EQ(read("?from=0")->json().value("next", -1), 1);
}

static const http_method get = http_method::get;
static const http_method post = http_method::post;

INSTANTIATE_TEST_SUITE_P(Table, log_fault_test,
    testing::Values(
        contract_fault { "AppendMalformed", post, streamPath, {}, "{\"a\":", 400, "invalid_value", "correct it" },
        contract_fault { "AppendEmpty", post, streamPath, {}, "", 400, "invalid_value", "correct it" },
        contract_fault { "AppendNotUtf8", post, streamPath, {}, "\"\xff\"", 400, "invalid_value", "correct it" },
        contract_fault { "AppendStreamName", post, "/streams/a.b/records", {}, "1", 400, "invalid_value", "letters" },
        contract_fault { "AppendTooLarge", post, streamPath, {}, std::string(1001, '1'), 413, "body_too_large",
            "at most 1000 bytes" },
        contract_fault { "AppendMuchTooLarge", post, streamPath, {}, std::string(2'000'000, '1'), 413, "body_too_large",
            "send at most" },
        contract_fault { "HeaderTooLarge", post, streamPath, { { "X-Filler", std::string(20'000, 'x') } }, "1", 431,
            "header_too_large", "send at most 16384" },
        contract_fault { "ReadFromNegative", get, "/streams/test/records?from=-1", {}, "", 400, "out_of_range",
            "\"from\" must be an integer from 0" },
        contract_fault { "ReadFromText", get, "/streams/test/records?from=1x", {}, "", 400, "out_of_range",
            "\"from\" must be an integer from 0" },
        contract_fault { "ReadLimit", get, "/streams/test/records?limit=10001", {}, "", 400, "out_of_range",
            "\"limit\" must be an integer from 0 to 10000" },
        contract_fault { "ReadWait", get, "/streams/test/records?wait_ms=60001", {}, "", 400, "out_of_range",
            "\"wait_ms\" must be an integer from 0 to 60000" },
        contract_fault { "ReadStreamName", get, "/streams/a%20b/records", {}, "", 400, "invalid_value", "letters" },
        contract_fault {
            "RecordsMethod", http_method::put, streamPath, {}, "1", 405, "unknown_operation", "use another one" },
        contract_fault { "UnknownPath", post, "/stream/test", {}, "1", 404, "unknown_operation", "documentation" },
        contract_fault { "FaultsMalformed", post, "/faults", {}, "{", 400, "malformed_json", "JSON parser" },
        contract_fault { "FaultsNoMode", post, "/faults", {}, "{}", 400, "missing_field", "add it" },
        contract_fault { "FaultsMode", post, "/faults", {}, R"({"mode":"loud"})", 400, "invalid_value",
            "must be none, down, slow or lose_answer" },
        contract_fault { "FaultsDelay", post, "/faults", {}, R"({"mode":"slow","delay_ms":-1})", 400, "out_of_range",
            "must be from 0" },
        contract_fault { "FaultsCount", post, "/faults", {}, R"({"mode":"down","count":"2"})", 400, "wrong_type",
            "must be an integer" },
        contract_fault { "FaultsUnknown", post, "/faults", {}, R"({"mode":"down","cuont":2})", 400, "unknown_field",
            "correct its name" },
        contract_fault { "TrimMalformed", post, "/trim", {}, "", 400, "malformed_json", "JSON parser" },
        contract_fault { "TrimNoStream", post, "/trim", {}, R"({"before":1})", 400, "missing_field", "add it" },
        contract_fault { "TrimNotObject", post, "/trim", {}, "[]", 400, "wrong_type", "must be a JSON object" },
        contract_fault { "TrimNegative", post, "/trim", {}, R"({"stream":"test","before":-1})", 400, "out_of_range",
            "must be from 0" }),
    [](const testing::TestParamInfo<contract_fault>& parameter) { return std::string { parameter.param.name }; });

// Guards against gaps between offsets, and against pages that exceed the limit.
TEST_F(log_http_test, AppendsAndReads)
{
    for (int number = 0; number < 3; ++number)
        EXPECT_EQ(append(nlohmann::json({ { "n", number } }).dump())->json().value("offset", -1), number);
    const nlohmann::json page = read("?from=1&limit=1")->json();
    EXPECT_EQ(page.at("first"), 0);
    EXPECT_EQ(page.at("next"), 3);
    ASSERT_EQ(page.at("records").size(), 1U);
    EXPECT_EQ(page.at("records")[0].at("offset"), 1);
    EXPECT_EQ(page.at("records")[0].at("record").at("n"), 1);
    EXPECT_GT(page.at("records")[0].at("time_ms").get<std::int64_t>(), 0);
    EXPECT_TRUE(read("?from=3")->json().at("records").empty());
    EXPECT_EQ(m_http.get(m_address, "/streams/other/records")->json().at("next"), 0);
}

// Guards against long polls that are not answered, or are answered because of a record of another stream.
TEST_F(log_http_test, HoldsALongPollUntilItsRecordComes)
{
    const exchange reader = startRead("?from=1&wait_ms=60000");
    EXPECT_EQ(read("?from=0&wait_ms=1")->json().at("records").size(), 0U);
    append("1");
    m_http.post(m_address, "/streams/other/records", "1");
    EXPECT_FALSE(reader->hasEnded());
    append("2");
    ASSERT_TRUE(m_http.waitUntil([&] { return reader->hasEnded(); }));
    EXPECT_EQ(reader->json().at("records").at(0).at("record"), 2);
}

// Guards against trimmed records that a reader cannot distinguish from the end of the stream.
TEST_F(log_http_test, AnswersTrimmedOffsetsWith410)
{
    for (int number = 0; number < 3; ++number)
        append("1");
    EXPECT_EQ(m_http.post(m_address, "/trim", R"({"stream":"test","before":2})")->status(), 200);
    const exchange gone = read("?from=1&wait_ms=60000");
    EXPECT_EQ(gone->status(), 410);
    EXPECT_EQ(gone->json(), nlohmann::json({ { "first", 2 }, { "next", 3 } }));
    EXPECT_EQ(read("?from=2")->json().at("records").size(), 1U);
    EXPECT_EQ(append("1")->json().value("offset", -1), 3);
}

// Guards against appends above the rate limit, which the platform's log has too.
TEST_F(log_http_test, ThrottlesAppends)
{
    log_service_settings settings;
    settings.store.maxAppendsPerSecond = 1;
    serve(settings);
    std::vector<exchange> answers(20);
    for (exchange& answer : answers)
        answer = m_http.start(makeRequest(m_address, http_method::post, streamPath, "1"));
    const auto hasEnded = [](const exchange& answer) { return answer->hasEnded(); };
    ASSERT_TRUE(m_http.waitUntil([&] { return std::all_of(answers.begin(), answers.end(), hasEnded); }));
    const auto isThrottled = [](const exchange& answer) { return answer->status() == 429; };
    const auto first = std::find_if(answers.begin(), answers.end(), isThrottled);
    ASSERT_NE(first, answers.end());
    EXPECT_EQ((*first)->json().value("error", ""), "too_many_appends");
    EXPECT_NE((*first)->json().value("message", "").find("append again later"), std::string::npos);
    EXPECT_EQ((*first)->header("Retry-After"), "1");
    EXPECT_GT(std::stoi((*first)->header("Knapweed-Retry-After-Ms")), 0);
    const std::int64_t throttled = std::count_if(answers.begin(), answers.end(), isThrottled);
    EXPECT_EQ(read("")->json().value("next", std::int64_t { -1 }), 20 - throttled);
}

// Guards against appends that take effect while the log is down, and against reads that are not answered.
TEST_F(log_http_test, IsDownForAsManyRequestsAsAsked)
{
    const exchange reader = startRead("?from=0&wait_ms=60000");
    EXPECT_EQ(read("?from=0")->status(), 200);
    setFault(R"({"mode":"down","count":2})");
    ASSERT_TRUE(m_http.waitUntil([&] { return reader->hasEnded(); }));
    EXPECT_EQ(reader->status(), 503);
    for (const exchange& answer : { append("1"), read("?from=0") }) {
        EXPECT_EQ(answer->status(), 503);
        EXPECT_EQ(answer->json().value("error", ""), "log_unavailable");
        EXPECT_NE(answer->json().value("message", "").find("try again later"), std::string::npos);
    }
    EXPECT_EQ(append("1")->json().value("offset", -1), 0);
}

// Guards against a slow log that answers before the append takes effect, or discards an append whose sender has
// disconnected.
TEST_F(log_http_test, IsSlow)
{
    setFault(R"({"mode":"slow","delay_ms":50,"count":2})");
    const exchange slow = m_http.start(makeRequest(m_address, http_method::post, streamPath, "1"));
    const exchange given = m_http.start(makeRequest(m_address, http_method::post, streamPath, "2"));
    const auto countOfRecords = [this] { return read("")->json().value("next", -1); };
    ASSERT_TRUE(m_http.waitUntil([&] { return slow->hasEnded(); }));
    m_http.cancel(given);
    EXPECT_EQ(slow->json().value("offset", -1), 0);
    std::int64_t tries = 0;
    while (countOfRecords() < 2 && ++tries < 10'000) { }
    EXPECT_EQ(countOfRecords(), 2);
}

// Guards against an injected answer loss in which the append has no effect or is answered after all.
TEST_F(log_http_test, LosesAnswers)
{
    setFault(R"({"mode":"lose_answer","count":1})");
    const exchange lost = m_http.start(makeRequest(m_address, http_method::post, streamPath, "1"));
    ASSERT_TRUE(m_http.waitUntil([this] { return read("")->json().value("next", -1) == 1; }));
    EXPECT_EQ(append("2")->json().value("offset", -1), 1);
    EXPECT_FALSE(lost->hasEnded());
}

} // namespace knapweedcroft
