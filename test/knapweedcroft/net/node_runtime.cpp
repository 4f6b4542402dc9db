#include "knapweedcroft/net/node_runtime.hpp"

#include "test_hub.hpp"
#include "test_servers.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace knapweedcroft {

class node_runtime_test : public testing::Test {
protected:
    // Starts a runtime whose logic passes each event to `handle`.
    void start(const std::function<node_actions(const node_event&)>& handle)
    {
        node_program_settings settings;
        settings.node.name = "n1";
        settings.node.service = "s";
        settings.log = m_log.address();
        m_runtime = std::make_unique<node_runtime>(
            m_loop, settings, testCharts(), [this] { return incarnation_id { ++m_incarnations }; });
        m_addresses = valueOf(m_runtime->listen());
        m_runtime->start([handle](incarnation_id, const node_addresses&) {
            node_logic logic;
            logic.handle = [handle](const node_event& event, time_point, time_point) { return handle(event); };
            logic.nextWakeup = [] { return std::optional<time_point> {}; };
            logic.nextOffset = [](const std::string&) { return std::int64_t { 0 }; };
            return logic;
        });
    }

    http_outcome call()
    {
        http_client_request request;
        request.address = m_addresses.http;
        request.target = "/call/s/a";
        request.body = "b";
        request.timeout = milliseconds { 10'000 };
        std::optional<http_outcome> outcome;
        m_client.send(request, [&outcome](http_outcome got) { outcome = std::move(got); });
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, testTimeout);
        return outcome.value_or(
            http_failure { true, error { error_kind::timed_out, "no outcome before the test's timeout" } });
    }

    event_loop m_loop;
    test_raw_server m_log { m_loop, {} };
    http_client m_client { m_loop, http_client_settings {} };
    std::uint64_t m_incarnations = 0;
    std::unique_ptr<node_runtime> m_runtime;
    node_addresses m_addresses;
};

// Guards against forwarding a truncated upstream response to the caller.
TEST_F(node_runtime_test, NeverForwardsAnAnswerThatWasCutShort)
{
    test_raw_server upstream { m_loop, { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true } } };
    request_handle caller = 0;
    std::size_t answers = 0;
    start([&](const node_event& event) {
        node_actions actions;
        if (const call_arrived* arrived = std::get_if<call_arrived>(&event)) {
            caller = arrived->handle;
            dispatch_call dispatch;
            dispatch.id = call_id { 1 };
            dispatch.address = upstream.address();
            dispatch.operation = arrived->operation;
            dispatch.deadline = clock { system_time_source {} }.now() + milliseconds { 10'000 };
            dispatch.body = arrived->body;
            actions.emplace_back(dispatch);
        } else if (const upstream_failed* failed = std::get_if<upstream_failed>(&event)) {
            EXPECT_TRUE(failed->wasWritten);
            actions.emplace_back(answer_caller { caller, action_id { 2 }, outcome_unknown { {}, "lost" } });
        } else if (std::holds_alternative<upstream_answered>(event)) {
            ++answers;
        }
        return actions;
    });
    const http_outcome outcome = call();
    ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
    EXPECT_EQ(std::get<http_response>(outcome).status, 504);
    EXPECT_EQ(std::get<http_response>(outcome).body.find("part"), std::string::npos);
    EXPECT_EQ(answers, 0U);
    EXPECT_EQ(upstream.requests().size(), 1U);
}

// Guards against a node that was paused and sends a call after its deadline, when another node may already own the key.
TEST_F(node_runtime_test, DoesNotSendACallAfterItsDeadline)
{
    test_raw_server upstream { m_loop, { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true } } };
    request_handle caller = 0;
    start([&](const node_event& event) {
        node_actions actions;
        if (const call_arrived* arrived = std::get_if<call_arrived>(&event)) {
            caller = arrived->handle;
            dispatch_call dispatch;
            dispatch.id = call_id { 1 };
            dispatch.address = upstream.address();
            dispatch.operation = arrived->operation;
            dispatch.deadline = clock { system_time_source {} }.now() - milliseconds { 1 };
            actions.emplace_back(dispatch);
        } else if (const upstream_failed* failed = std::get_if<upstream_failed>(&event)) {
            EXPECT_FALSE(failed->wasWritten);
            actions.emplace_back(answer_caller { caller, action_id { 2 }, refused_not_run {} });
        }
        return actions;
    });
    const http_outcome outcome = call();
    ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
    EXPECT_EQ(std::get<http_response>(outcome).status, 503);
    EXPECT_TRUE(upstream.requests().empty());
}

// Guards against a node that continues under its old incarnation, which peers and the log reject.
TEST_F(node_runtime_test, ComesBackWithANewIncarnation)
{
    start([](const node_event& event) {
        node_actions actions;
        if (const call_arrived* arrived = std::get_if<call_arrived>(&event)) {
            actions.emplace_back(
                answer_caller { arrived->handle, action_id { 1 }, answered { 200, "text/plain", "x" } });
            actions.emplace_back(renew_incarnation {});
        }
        return actions;
    });
    hub_fixture peer { m_loop, "n2", 77 };
    peer.hub().open(open_link { "n1", m_addresses.peer });
    ASSERT_TRUE(m_loop.runUntil([&peer] { return peer.count<link_opened>() == 1; }, testTimeout));
    EXPECT_EQ(peer.last<link_opened>().hello.incarnation, incarnation_id { 1 });
    EXPECT_TRUE(std::holds_alternative<http_response>(call()));
    ASSERT_TRUE(m_loop.runUntil([&peer] { return peer.count<link_opened>() == 2; }, testTimeout));
    EXPECT_EQ(peer.last<link_opened>().hello.incarnation, incarnation_id { 2 });
    EXPECT_EQ(m_incarnations, 2U);
    EXPECT_TRUE(std::holds_alternative<http_response>(call()));
}

} // namespace knapweedcroft
