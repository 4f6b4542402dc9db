#include "knapweedcroft/http/exchange_client.hpp"

#include "../net/test_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace {

// Answers each request with the next step of a script; its text may hold several responses or part of one.
class scripted_server : public test_listener {
public:
    explicit scripted_server(event_loop& loop)
        : test_listener { loop }
    {
    }

    struct step {
        std::string text;
        bool shouldClose = false;
    };

    std::vector<step> script;
    std::size_t requests = 0;
    std::size_t connections = 0;
    std::size_t closed = 0;

    void writeToAll(const std::string& text)
    {
        for (const std::unique_ptr<connection>& item : m_connections)
            bufferevent_write(item->stream.get(), text.data(), text.size());
    }

protected:
    void accept(evutil_socket_t socket) override
    {
        ++connections;
        m_connections.push_back(std::make_unique<connection>(connection { *this, makeStream(socket) }));
        bufferevent* stream = m_connections.back()->stream.get();
        bufferevent_setcb(stream, &scripted_server::onRead, &scripted_server::onWritten, &scripted_server::onEvent,
            m_connections.back().get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

private:
    struct connection {
        scripted_server& owner;
        stream_owner stream;
        bool shouldClose = false;
    };

    static void onRead(bufferevent* stream, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        evbuffer* input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (self.owner.requests >= self.owner.script.size())
            return;
        const step& next = self.owner.script[self.owner.requests++];
        self.shouldClose = next.shouldClose;
        bufferevent_write(stream, next.text.data(), next.text.size());
    }

    static void onWritten(bufferevent*, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        if (self.shouldClose)
            self.stream.reset();
    }

    static void onEvent(bufferevent*, short, void* argument) { ++static_cast<connection*>(argument)->owner.closed; }

    std::vector<std::unique_ptr<connection>> m_connections;
};

[[nodiscard]] std::string response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class exchange_client_test : public testing::Test {
protected:
    void start(const std::string& id, exchange_client::completion_handler onDone)
    {
        const opaque_request request { "GET", "/", { { "Id", id } }, "" };
        m_client.start(
            m_server.address(), request,
            [id](const opaque_response& received) {
                const std::optional<std::string> named = findHeader(received.headers, "Id");
                if (!named)
                    return response_relation::unidentified;
                return *named == id ? response_relation::answer : response_relation::foreign;
            },
            std::move(onDone));
    }

    exchange_outcome exchange(const std::string& id)
    {
        std::optional<exchange_outcome> outcome;
        start(id, [&outcome](exchange_outcome received) { outcome = std::move(received); });
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 5000 });
        return outcome.value_or(
            exchange_failure { true, error { error_kind::timed_out, "the exchange had no outcome within 5 s" } });
    }

    [[nodiscard]] static std::string bodyOf(const exchange_outcome& outcome)
    {
        const opaque_response* received = std::get_if<opaque_response>(&outcome);
        return received == nullptr ? "failed: " + std::get<exchange_failure>(outcome).cause.message : received->body;
    }

    event_loop m_loop;
    scripted_server m_server { m_loop };
    exchange_client m_client { m_loop, exchange_client_settings {} };
};

TEST_F(exchange_client_test, ReusesAConnection)
{
    m_server.script = { { response("1", "a") }, { response("2", "b") } };
    EXPECT_EQ(bodyOf(exchange("1")), "a");
    EXPECT_EQ(bodyOf(exchange("2")), "b");
    EXPECT_EQ(m_server.connections, 1U);
}

// Guards against delivering a late response to an earlier request on a persistent connection to the wrong caller.
TEST_F(exchange_client_test, DropsTheLateAnswerToAnotherRequest)
{
    m_server.script = { { response("1", "a") }, { response("1", "again") + response("2", "b") } };
    EXPECT_EQ(bodyOf(exchange("1")), "a");
    EXPECT_EQ(bodyOf(exchange("2")), "b");
    EXPECT_EQ(m_client.counters().mismatchedResponses, 1U);
}

// Guards against a refusal that the server repeats on a kept connection: the request that runs there meanwhile would be
// reported as not run, or run at a second server (REFUSED, TWICE).
TEST_F(exchange_client_test, DropsARepeatedRefusal)
{
    const std::string unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    const std::string named = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    for (const std::string& repeated : { named, unnamed }) {
        m_server.script.push_back({ named });
        m_server.script.push_back({ repeated });
        ASSERT_TRUE(std::holds_alternative<opaque_response>(exchange("1")));
        const std::uint64_t dropped = m_client.counters().mismatchedResponses;
        std::optional<exchange_outcome> outcome;
        start("2", [&outcome](exchange_outcome received) { outcome = std::move(received); });
        m_loop.runUntil([&] { return m_client.counters().mismatchedResponses > dropped; }, milliseconds { 5000 });
        EXPECT_FALSE(outcome.has_value()) << repeated;
        m_server.writeToAll(response("2", "b"));
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 5000 });
        ASSERT_TRUE(outcome.has_value());
        EXPECT_EQ(bodyOf(*outcome), "b") << repeated;
    }
}

// A server that names no requests still gets each of them, on a connection of its own.
TEST_F(exchange_client_test, TakesAnUnnamedResponseOfANewConnection)
{
    const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    m_server.script = { { unnamed + "a" }, { unnamed + "b" } };
    EXPECT_EQ(bodyOf(exchange("1")), "a");
    EXPECT_EQ(bodyOf(exchange("2")), "b");
    EXPECT_EQ(m_server.connections, 2U);
}

// Data after a complete response belongs to no request; a reused connection could match it to the next one.
TEST_F(exchange_client_test, ClosesAConnectionWithSurplusBytes)
{
    m_server.script = { { response("1", "a") + "surplus" }, { response("2", "b") } };
    EXPECT_EQ(bodyOf(exchange("1")), "a");
    EXPECT_EQ(bodyOf(exchange("2")), "b");
    EXPECT_EQ(m_server.connections, 2U);
}

TEST_F(exchange_client_test, ClosesAnIdleConnectionThatCarriesBytes)
{
    m_server.script = { { response("1", "a") }, { response("2", "b") } };
    EXPECT_EQ(bodyOf(exchange("1")), "a");
    m_server.writeToAll(response("1", "late"));
    m_loop.runUntil([this] { return m_client.counters().unsolicitedData == 1; }, milliseconds { 5000 });
    EXPECT_EQ(bodyOf(exchange("2")), "b");
    EXPECT_EQ(m_server.connections, 2U);
}

// A response without a length is complete only if the server closes the connection in an orderly way.
TEST_F(exchange_client_test, CompletesAnAnswerThatEndsWithItsConnection)
{
    m_server.script = { { "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", true } };
    EXPECT_EQ(bodyOf(exchange("1")), "whole");
}

struct malformed_response {
    const char* name;
    const char* text;
};

// Guards against delivering a truncated or malformed response as a complete one.
TEST_F(exchange_client_test, FailsOnBrokenAnswers)
{
    const std::vector<malformed_response> rows { { "cut off", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" },
        { "cut off in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc" },
        { "not a response", "garbage\r\n\r\n" }, { "nothing", "" },
        { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc" } };
    for (const malformed_response& row : rows) {
        m_server.script.push_back({ row.text, true });
        if (m_server.script.back().text.empty())
            m_server.script.back().text = "\r\n";
        const exchange_outcome outcome = exchange("1");
        ASSERT_TRUE(std::holds_alternative<exchange_failure>(outcome)) << row.name;
        EXPECT_TRUE(std::get<exchange_failure>(outcome).wasWritten) << row.name;
    }
    EXPECT_EQ(m_server.requests, rows.size());
}

// Guards against delivering a 200 with an empty or short body because the server stopped within its response.
TEST_F(exchange_client_test, FailsOnEveryCutOfAnAnswer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n";
    // The last one has no length, so it may end anywhere after its head.
    const std::vector<std::string> responses { head + "Content-Length: 5\r\n\r\nabcde",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", head + "\r\n" };
    for (const std::string& whole : responses) {
        for (std::size_t length = 1; length < whole.size(); ++length) {
            m_server.script.push_back({ whole.substr(0, length), true });
            EXPECT_TRUE(std::holds_alternative<exchange_failure>(exchange("1"))) << whole.substr(0, length);
        }
        m_server.script.push_back({ whole, true });
        EXPECT_TRUE(std::holds_alternative<opaque_response>(exchange("1"))) << whole;
    }
}

// Guards against an exchange that stays open until its deadline because no memory can be reserved for the length that a
// server announces.
// Guards against a client that waits for its deadline although the exchange has failed, or gets an invalid status code.
TEST_F(exchange_client_test, FailsAtOnceOnAnInvalidStatusCode)
{
    for (const char* code : { "000", "099", "101", "600", "999" }) {
        m_server.script.push_back(
            { std::string { "HTTP/1.1 " } + code + " Reason\r\nId: 1\r\nContent-Length: 2\r\n\r\nab" });
        const exchange_outcome outcome = exchange("1");
        const exchange_failure* failure = std::get_if<exchange_failure>(&outcome);
        ASSERT_NE(failure, nullptr) << code;
        EXPECT_EQ(failure->cause.kind, error_kind::connection_failed) << code;
        EXPECT_TRUE(failure->wasWritten) << code;
    }
    EXPECT_EQ(m_server.connections, 5U) << "a connection with such a response is not used again";
}

TEST_F(exchange_client_test, FailsOnALengthAboveTheLimit)
{
    m_server.script = { { "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\nabc" } };
    const exchange_outcome outcome = exchange("1");
    ASSERT_TRUE(std::holds_alternative<exchange_failure>(outcome));
    EXPECT_EQ(std::get<exchange_failure>(outcome).cause.kind, error_kind::connection_failed);
}

TEST_F(exchange_client_test, TakesTheAnswerToHeadWithALengthAboveTheLimit)
{
    m_server.script = { { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" } };
    std::optional<exchange_outcome> outcome;
    m_client.start(
        m_server.address(), opaque_request { "HEAD", "/", {}, "" },
        [](const opaque_response&) { return response_relation::answer; },
        [&outcome](exchange_outcome received) { outcome = std::move(received); });
    ASSERT_TRUE(m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 5000 }));
    EXPECT_TRUE(std::holds_alternative<opaque_response>(*outcome));
}

// A request may be reported as not executed only if none of its bytes were written.
TEST_F(exchange_client_test, TellsThatNothingWasWrittenWithoutAConnection)
{
    std::string address;
    {
        scripted_server stoppedServer { m_loop };
        address = stoppedServer.address();
    }
    std::optional<exchange_outcome> outcome;
    m_client.start(
        address, opaque_request { "GET", "/", {}, "" },
        [](const opaque_response&) { return response_relation::answer; },
        [&outcome](exchange_outcome received) { outcome = std::move(received); });
    ASSERT_TRUE(m_loop.runUntil([&outcome] { return outcome.has_value(); }, milliseconds { 5000 }));
    ASSERT_TRUE(std::holds_alternative<exchange_failure>(*outcome));
    EXPECT_FALSE(std::get<exchange_failure>(*outcome).wasWritten);
}

// The upstream learns of a cancelled exchange only by the close of its connection.
TEST_F(exchange_client_test, ClosesTheConnectionOfACancelledExchange)
{
    const std::uint64_t exchange = m_client.start(
        m_server.address(), opaque_request { "GET", "/", {}, "" },
        [](const opaque_response&) { return response_relation::answer; },
        [](const exchange_outcome&) { FAIL() << "completion handler called after the exchange was cancelled"; });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_server.connections == 1; }, milliseconds { 5000 }));
    m_client.cancel(exchange);
    EXPECT_TRUE(m_loop.runUntil([this] { return m_server.closed == 1; }, milliseconds { 5000 }));
}

struct endless_response {
    const char* name;
    std::string head;
    std::string repeated;
};

// Guards against a process that runs out of memory, or reads until the deadline of a request, because a server sends
// bytes without end.
TEST_F(exchange_client_test, ClosesConnectionsOfEndlessResponses)
{
    const std::string filler(std::size_t { 16 } * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_response> rows { { "bytes that are no response", "", filler },
        { "status line", "HTTP/1.1 200 ", filler }, { "header lines", "HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n" },
        { "empty lines", "\r\n", std::string(1024, '\n') },
        { "interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "responses to other requests", response("other", ""), response("other", "") },
        { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", filler },
        { "body with a length above the limit", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", filler },
        { "chunks", chunked, "4000\r\n" + filler + "\r\n" }, { "chunk size", chunked, "0" },
        { "chunk extension", chunked + "4;", filler }, { "trailer", chunked + "0\r\n", "A: " + filler + "\r\n" } };
    exchange_client_settings settings;
    settings.limits.maxBodyBytes = std::size_t { 1024 } * 1024;
    for (const endless_response& row : rows) {
        endless_server server { m_loop, row.head, row.repeated };
        exchange_client client { m_loop, settings };
        std::optional<exchange_outcome> outcome;
        client.start(
            server.address(), opaque_request { "GET", "/", {}, "" },
            [](const opaque_response& received) {
                return findHeader(received.headers, "Id") ? response_relation::foreign : response_relation::answer;
            },
            [&outcome](exchange_outcome received) { outcome = std::move(received); });
        EXPECT_TRUE(m_loop.runUntil([&server] { return server.closed == 1; }, milliseconds { 5000 })) << row.name;
        EXPECT_TRUE(outcome && std::holds_alternative<exchange_failure>(*outcome)) << row.name;
        EXPECT_EQ(client.bufferedBytes(), 0U) << row.name;
    }
}

// Guards against endless responses that stay below the limit of one response but together exceed the memory.
TEST_F(exchange_client_test, LimitsTheBytesOfAllResponsesTogether)
{
    constexpr std::size_t count = 8;
    exchange_client_settings settings;
    settings.maxBufferedBytes = std::size_t { 2 } * 1024 * 1024;
    exchange_client client { m_loop, settings };
    endless_server server { m_loop, "HTTP/1.1 200 OK\r\n\r\n", std::string(std::size_t { 16 } * 1024, 'x') };
    std::size_t failures = 0;
    std::size_t maxBufferedBytes = 0;
    for (std::size_t number = 0; number < count; ++number) {
        client.start(
            server.address(), opaque_request { "GET", "/", {}, "" },
            [](const opaque_response&) { return response_relation::answer; },
            [&failures](const exchange_outcome& outcome) {
                failures += std::holds_alternative<exchange_failure>(outcome) ? 1U : 0U;
            });
    }
    std::optional<exchange_outcome> proper;
    m_server.script = { { response("1", std::string(std::size_t { 64 } * 1024, 'y')) } };
    client.start(
        m_server.address(), opaque_request { "GET", "/", { { "Id", "1" } }, "" },
        [](const opaque_response&) { return response_relation::answer; },
        [&proper](exchange_outcome received) { proper = std::move(received); });
    EXPECT_TRUE(m_loop.runUntil(
        [&] {
            maxBufferedBytes = std::max(maxBufferedBytes, client.bufferedBytes());
            return failures == count && proper.has_value();
        },
        milliseconds { 10'000 }));
    EXPECT_LE(maxBufferedBytes, settings.maxBufferedBytes);
    EXPECT_EQ(client.counters().oversizedResponses, count);
    ASSERT_TRUE(proper);
    EXPECT_TRUE(std::holds_alternative<opaque_response>(*proper));
}

// Guards against paused responses that read on a little at each resumption, until one is broken off for the limit of
// all.
TEST_F(exchange_client_test, KeepsResponsesPausedWhenReadingIsResumedOften)
{
    constexpr std::size_t count = 8;
    const std::string body(std::size_t { 1024 } * 1024, 'x');
    exchange_client_settings settings;
    settings.maxBufferedBytes = 4 * body.size();
    exchange_client client { m_loop, settings };
    m_server.script.assign(count, { response("1", body) });
    std::size_t successes = 0;
    std::size_t failures = 0;
    for (std::size_t number = 0; number < count; ++number) {
        client.start(
            m_server.address(), opaque_request { "GET", "/", {}, "" },
            [](const opaque_response&) { return response_relation::answer; },
            [&](const exchange_outcome& outcome) {
                ++(std::holds_alternative<opaque_response>(outcome) ? successes : failures);
            });
    }
    EXPECT_TRUE(m_loop.runUntil(
        [&] {
            client.setPaused(false);
            return successes + failures == count;
        },
        milliseconds { 10'000 }));
    EXPECT_EQ(failures, 0U);
}

} // namespace knapweedcroft
