#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/http_server.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

class http_test : public testing::Test {
protected:
    http_test()
    {
        http_server_settings settings;
        settings.maxBodyBytes = 1000;
        settings.maxHeaderBytes = 2000;
        m_server = std::make_unique<http_server>(m_loop, settings);
        m_server->route(
            http_method::post, "/echo/{name}", [this](http_server::request_id id, const http_request& request) {
                m_server->answer(id, jsonResponse(200, request.parameters[0] + ":" + request.body));
            });
        m_server->route(http_method::post, "/hold",
            [this](http_server::request_id id, const http_request&) { m_heldRequests.push_back(id); });
        m_server->setGoneHandler([this](http_server::request_id id) { m_disconnectedRequests.push_back(id); });
        m_address = valueOf(m_server->listen("127.0.0.1", 0));
    }

    [[nodiscard]] http_client_request post(const std::string& target, const std::string& body) const
    {
        http_client_request request;
        request.address = m_address;
        request.target = target;
        request.body = body;
        request.timeout = milliseconds { 10'000 };
        return request;
    }

    http_outcome exchange(const http_client_request& request)
    {
        std::optional<http_outcome> outcome;
        m_client.send(request, [&outcome](http_outcome got) { outcome = std::move(got); });
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 20'000 });
        return outcome.value_or(
            http_failure { true, error { error_kind::timed_out, "no outcome before the test's timeout" } });
    }

    event_loop m_loop;
    std::unique_ptr<http_server> m_server;
    http_client m_client { m_loop, http_client_settings {} };
    std::string m_address;
    std::vector<http_server::request_id> m_heldRequests;
    std::vector<http_server::request_id> m_disconnectedRequests;
};

TEST_F(http_test, AnswersAndReusesTheConnection)
{
    for (int round = 0; round < 3; ++round) {
        const http_outcome outcome = exchange(post("/echo/a%20b", std::to_string(round)));
        ASSERT_TRUE(std::holds_alternative<http_response>(outcome)) << std::get<http_failure>(outcome).cause.message;
        EXPECT_EQ(std::get<http_response>(outcome).body, "a b:" + std::to_string(round));
    }
}

struct http_refusal {
    const char* name;
    const char* target;
    std::size_t bodyBytes;
    std::size_t headerBytes;
    int status;
    const char* kind;
};

class http_refusal_test : public http_test, public testing::WithParamInterface<http_refusal> { };

// Guards against error responses that a client cannot parse as typed errors.
TEST_P(http_refusal_test, IsTypedJson)
{
    // The invalid request reuses a connection.
    EXPECT_TRUE(std::holds_alternative<http_response>(exchange(post("/echo/a", "b"))));
    http_client_request request = post(GetParam().target, std::string(GetParam().bodyBytes, 'x'));
    request.headers.emplace_back("X-Filler", std::string(GetParam().headerBytes, 'y'));
    const http_outcome outcome = exchange(request);
    ASSERT_TRUE(std::holds_alternative<http_response>(outcome)) << std::get<http_failure>(outcome).cause.message;
    EXPECT_EQ(std::get<http_response>(outcome).status, GetParam().status);
    EXPECT_EQ(std::get<http_response>(outcome).contentType, "application/json");
    EXPECT_NE(std::get<http_response>(outcome).body.find(GetParam().kind), std::string::npos);
    // The server still handles requests.
    EXPECT_TRUE(std::holds_alternative<http_response>(exchange(post("/echo/a", ""))));
}

INSTANTIATE_TEST_SUITE_P(Table, http_refusal_test,
    testing::Values(http_refusal { "UnknownPath", "/none", 0, 1, 404, "unknown_operation" },
        http_refusal { "BodyTooLarge", "/echo/a", 1001, 1, 413, "body_too_large" },
        http_refusal { "BodyMuchTooLarge", "/echo/a", 5'000'000, 1, 413, "body_too_large" },
        http_refusal { "HeaderTooLarge", "/echo/a", 0, 2000, 431, "header_too_large" },
        http_refusal { "HeaderMuchTooLarge", "/echo/a", 0, 500'000, 431, "header_too_large" }),
    [](const testing::TestParamInfo<http_refusal>& parameter) { return std::string { parameter.param.name }; });

// Guards against continuing work for clients that have disconnected.
TEST_F(http_test, ReportsACallerThatGoesAway)
{
    const http_client::request_id id = m_client.send(post("/hold", ""), [](const http_outcome&) {});
    ASSERT_TRUE(m_loop.runUntil([this] { return m_heldRequests.size() == 1; }, milliseconds { 10'000 }));
    EXPECT_TRUE(m_client.wasWritten(id));
    m_client.cancel(id);
    ASSERT_TRUE(m_loop.runUntil([this] { return m_disconnectedRequests.size() == 1; }, milliseconds { 10'000 }));
    EXPECT_EQ(m_disconnectedRequests, m_heldRequests);
    EXPECT_EQ(m_server->pendingCount(), 0U);
    m_server->answer(m_heldRequests[0], jsonResponse(200, "late"));
}

// Guards against a late response to a timed-out request being taken for the response to the next request.
TEST_F(http_test, NeverReusesAConnectionThatTimedOut)
{
    http_client_request request = post("/hold", "");
    request.timeout = milliseconds { 20 };
    const http_outcome outcome = exchange(request);
    ASSERT_TRUE(std::holds_alternative<http_failure>(outcome));
    EXPECT_TRUE(std::get<http_failure>(outcome).wasWritten);
    EXPECT_EQ(std::get<http_failure>(outcome).cause.kind, error_kind::timed_out);
    m_server->answer(m_heldRequests[0], jsonResponse(200, "late"));
    const http_outcome next = exchange(post("/echo/a", "b"));
    ASSERT_TRUE(std::holds_alternative<http_response>(next));
    EXPECT_EQ(std::get<http_response>(next).body, "a:b");
}

TEST_F(http_test, ReportsAFailedConnectAsNotWritten)
{
    std::string closed;
    {
        http_server other { m_loop, http_server_settings {} };
        closed = valueOf(other.listen("127.0.0.1", 0));
    }
    http_client_request request = post("/echo/a", "");
    for (const std::string& address : { closed, std::string { "nowhere" } }) {
        request.address = address;
        const http_outcome outcome = exchange(request);
        ASSERT_TRUE(std::holds_alternative<http_failure>(outcome));
        EXPECT_FALSE(std::get<http_failure>(outcome).wasWritten);
    }
}

} // namespace knapweedcroft
