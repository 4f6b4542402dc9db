#include "knapweedcroft/net/log_client.hpp"

#include "knapweedcroft/net/http_server.hpp"
#include "test_servers.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace knapweedcroft {

class log_client_test : public testing::Test {
protected:
    [[nodiscard]] std::unique_ptr<log_client> makeClient(const std::string& address)
    {
        log_client_settings settings;
        settings.address = address;
        settings.initialBackoff = milliseconds { 5 };
        settings.maxBackoff = milliseconds { 10 };
        log_client_handlers handlers;
        handlers.recordsRead = [this](records_read event) { m_read.push_back(std::move(event)); };
        handlers.appendFinished = [this](append_finished event) { m_finished = event; };
        handlers.availabilityChanged = [this](bool isAvailable) { m_availabilityChanges.push_back(isAvailable); };
        return std::make_unique<log_client>(m_loop, m_http, settings, handlers);
    }

    [[nodiscard]] append_outcome append(const std::string& address)
    {
        const std::unique_ptr<log_client> client = makeClient(address);
        client->append(append_record { 7, "catalogue", "{}" });
        m_loop.runUntil([this] { return m_finished.has_value(); }, milliseconds { 20'000 });
        EXPECT_TRUE(m_finished.has_value());
        return m_finished ? m_finished->outcome : append_outcome::unknown;
    }

    event_loop m_loop;
    http_client m_http { m_loop, http_client_settings {} };
    std::vector<records_read> m_read;
    std::vector<bool> m_availabilityChanges;
    std::optional<append_finished> m_finished;
};

struct append_case {
    const char* name;
    const char* answer;
    append_outcome outcome;
};

class append_case_test : public log_client_test, public testing::WithParamInterface<append_case> { };

// Guards against a record that is reported as refused although the log may have stored it, and is then appended twice.
TEST_P(append_case_test, HasTheOutcomeThatTheLogStated)
{
    test_raw_server server { m_loop, { { GetParam().answer, true } } };
    EXPECT_EQ(append(server.address()), GetParam().outcome);
    EXPECT_EQ(m_finished->handle, 7U);
    EXPECT_EQ(server.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table, append_case_test,
    testing::Values(append_case { "Accepted", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":3}",
                        append_outcome::accepted },
        append_case { "Rejected", "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", append_outcome::refused },
        append_case { "Unavailable", "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", append_outcome::refused },
        append_case { "Fault", "HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n", append_outcome::unknown },
        append_case { "Gateway", "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", append_outcome::unknown },
        append_case { "AnswerLost", "", append_outcome::unknown },
        append_case { "AnswerCutShort", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{", append_outcome::unknown }),
    [](const testing::TestParamInfo<append_case>& parameter) { return std::string { parameter.param.name }; });

TEST_F(log_client_test, ReportsAnAppendThatReachedNoLogAsRefused)
{
    std::string closed;
    {
        http_server other { m_loop, http_server_settings {} };
        closed = valueOf(other.listen("127.0.0.1", 0));
    }
    EXPECT_EQ(append(closed), append_outcome::refused);
}

// Guards against a reader that stops after a trim or an outage, or that delivers records twice.
TEST_F(log_client_test, ReadsOnAfterATrimAndAnOutage)
{
    const std::vector<http_response> answers { jsonResponse(410, R"({"first":5,"next":7})"),
        jsonResponse(200,
            R"({"first":5,"next":7,"records":[{"offset":5,"time_ms":1,"record":{"a":1}},)"
            R"({"offset":6,"time_ms":2,"record":{"a":2}}]})"),
        jsonResponse(500, "{}"), jsonResponse(200, "no JSON"),
        jsonResponse(200,
            R"({"first":5,"next":8,"records":[{"offset":6,"time_ms":2,"record":{"a":2}},)"
            R"({"offset":7,"time_ms":3,"record":{"a":3}}]})") };
    std::vector<std::string> positions;
    http_server server { m_loop, http_server_settings {} };
    server.route(
        http_method::get, "/streams/catalogue/records", [&](http_server::request_id id, const http_request& request) {
            positions.push_back(findQueryParameter(request, "from").value_or(""));
            if (positions.size() <= answers.size())
                server.answer(id, answers[positions.size() - 1]);
        });
    const std::unique_ptr<log_client> client = makeClient(valueOf(server.listen("127.0.0.1", 0)));
    client->follow("catalogue", 2);
    ASSERT_TRUE(m_loop.runUntil([&] { return positions.size() > answers.size(); }, milliseconds { 20'000 }));
    EXPECT_EQ(positions, (std::vector<std::string> { "2", "5", "7", "7", "7", "8" }));
    EXPECT_EQ(m_availabilityChanges, (std::vector<bool> { true, false, true }));
    ASSERT_EQ(m_read.size(), 3U);
    EXPECT_EQ(m_read[0].first, 5);
    EXPECT_TRUE(m_read[0].records.empty());
    ASSERT_EQ(m_read[1].records.size(), 2U);
    EXPECT_EQ(m_read[1].records[1].payload, R"({"a":2})");
    ASSERT_EQ(m_read[2].records.size(), 1U);
    EXPECT_EQ(m_read[2].records[0].offset, 7);
}

} // namespace knapweedcroft
