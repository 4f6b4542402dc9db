#include "gateway_process.hpp"

#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/http/raw_client.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace knapweedcroft::platform {

namespace {

constexpr int okStatus = 200;
constexpr int notRunStatus = 503;
constexpr std::size_t clientsPerNode = 8;

// Upstream that answers each booking after its work, and records which ones it has begun.
class working_upstream {
public:
    working_upstream(event_loop& loop, std::set<std::string>& started)
        : m_loop { loop }
        , m_started { started }
        , m_server { loop, pipelined_server_limits {},
            { [this](std::uint64_t number, const opaque_request& request) { work(number, request); },
                [this](std::uint64_t number) { m_jobs.erase(number); },
                [](const parse_error& fault) {
                    return opaque_response { fault.status, {}, {} };
                } } }
        , m_address { valueOf(m_server.listen("127.0.0.1", 0)) }
    {
    }

    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    void work(std::uint64_t number, const opaque_request& request)
    {
        const std::string id = findHeader(request.headers, "X-Request-Id").value_or("");
        m_started.insert(id);
        m_jobs[number] = std::make_unique<loop_timer>(m_loop, [this, number, id] {
            m_server.answer(number, { okStatus, { { "X-Request-Id", id }, { "X-Response-Signature", "s" } }, "done" });
        });
        m_jobs[number]->start(milliseconds { std::uniform_int_distribution<std::int64_t> { 100, 2500 }(m_random) });
    }

    event_loop& m_loop;
    std::set<std::string>& m_started;
    std::mt19937_64 m_random { 5 };
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> m_jobs;
    pipelined_server m_server;
    std::string m_address;
};

// Two processes of the real program of one service, with clients that book one thing after the other on connections
// that they keep.
class planned_stops_test : public testing::Test {
protected:
    void book(const gateway_process& node)
    {
        const std::string id = "r" + std::to_string(++m_lastRequest);
        const opaque_request request { "POST", "/look/" + id,
            { { "Host", "farm.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }, "b" };
        ++m_open;
        m_clients.start(
            node.clientAddress(), request, [](const opaque_response&) { return response_relation::answer; },
            [this, id, &node](const exchange_outcome& outcome) {
                --m_open;
                const opaque_response* response = std::get_if<opaque_response>(&outcome);
                const int status = response == nullptr ? 0 : response->status;
                ++m_statuses[status];
                m_lost += status != okStatus && m_started.count(id) != 0 ? 1U : 0U;
                if (m_isSending && status != 0)
                    m_loop.post([this, &node] { book(node); });
            });
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    std::set<std::string> m_started;
    working_upstream m_upstreamOne { m_loop, m_started };
    working_upstream m_upstreamTwo { m_loop, m_started };
    gateway_process m_one { m_loop, m_store, { "n1", loopbackNetwork() + "246", "shop", m_upstreamOne.address(), 64 } };
    gateway_process m_two { m_loop, m_store, { "n2", loopbackNetwork() + "247", "shop", m_upstreamTwo.address(), 64 } };
    exchange_client m_clients { m_loop, exchange_client_settings {} };
    std::map<int, std::size_t> m_statuses; // Ended requests by status; 0 without an answer.
    std::size_t m_lost = 0; // Requests that an upstream began to run and that got no answer of it.
    std::size_t m_open = 0;
    std::uint64_t m_lastRequest = 0;
    bool m_isSending = true;
};

// Upstream that never answers requests whose path ends in `-1`, and answers others with their identifier.
class unanswering_upstream {
public:
    explicit unanswering_upstream(event_loop& loop)
        : m_server { loop, pipelined_server_limits {},
            { [this](std::uint64_t number, const opaque_request& request) { work(number, request); },
                [](std::uint64_t) {},
                [](const parse_error& fault) {
                    return opaque_response { fault.status, {}, {} };
                } } }
        , m_address { valueOf(m_server.listen("127.0.0.1", 0)) }
    {
    }

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] std::size_t requestCount() const { return m_requestCount; }

private:
    void work(std::uint64_t number, const opaque_request& request)
    {
        ++m_requestCount;
        const std::string id = findHeader(request.headers, "X-Request-Id").value_or("");
        if (id.substr(id.size() - 2) != "-1")
            m_server.answer(number, { okStatus, { { "X-Request-Id", id }, { "X-Response-Signature", "s" } }, id });
    }

    std::size_t m_requestCount = 0;
    pipelined_server m_server;
    std::string m_address;
};

struct stop_case {
    const char* name;
    const char* service; // Of the stopping node; its requests are for the service `shop`.
};

[[nodiscard]] std::string nameOf(const testing::TestParamInfo<stop_case>& info) { return info.param.name; }

// A stopping process whose clients send several requests one behind the other.
class pipelined_stops_test : public testing::TestWithParam<stop_case> {
protected:
    void startAll()
    {
        m_store.append("keyed.op", { "config", makeLookConfiguration("shop", true, 1048576, "20s") });
        for (gateway_process* node : { &m_stopping, &m_other })
            ASSERT_TRUE(node->waitUntil([node] { return node->isReady(); }));
        gateway_process& beside = isOwnUpstream() ? m_stopping : m_other;
        ASSERT_TRUE(beside.waitUntil([&beside] { return beside.announceUpstream("i-1", 1); }));
        ASSERT_TRUE(m_stopping.waitUntil([this] { return m_stopping.metric("knapweed_linked_nodes") >= 2; }));
    }

    [[nodiscard]] static bool isOwnUpstream() { return std::string { GetParam().service } == "shop"; }

    [[nodiscard]] static std::string request(const std::string& id)
    {
        return "GET /look/" + id + " HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 20000\r\n\r\n";
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    unanswering_upstream m_upstream { m_loop };
    gateway_process m_stopping { m_loop, m_store,
        { "n1", loopbackNetwork() + "238", GetParam().service, isOwnUpstream() ? m_upstream.address() : "127.0.0.1:9",
            64 } };
    gateway_process m_other { m_loop, m_store,
        { "n2", loopbackNetwork() + "239", isOwnUpstream() ? "front" : "shop",
            isOwnUpstream() ? "127.0.0.1:9" : m_upstream.address(), 64 } };
};

} // namespace

// Guards against answers that are ready when a process stops and never reach their client, since the request in front
// of them on the connection is unanswered (LOST). That one gets an answer as well.
TEST_P(pipelined_stops_test, DeliverTheAnswersThatAreReady)
{
    startAll();
    raw_client pair { m_loop, m_stopping.clientAddress() };
    raw_client single { m_loop, m_stopping.clientAddress() };
    m_stopping.process().signal(SIGTERM);
    pair.send(request("a-1") + request("b-2") + request("c-1") + request("d-2"));
    single.send(request("e-1"));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_upstream.requestCount() == 5; }, milliseconds { 2000 }));
    EXPECT_TRUE(m_loop.runUntil([this] { return m_stopping.process().hasEnded(); }, milliseconds { 10'000 }));
    ASSERT_TRUE(m_loop.runUntil([&] { return pair.isClosed() && single.isClosed(); }, milliseconds { 2000 }));
    EXPECT_EQ(m_stopping.process().exitStatus(), 0);
    const std::string& received = pair.received();
    EXPECT_EQ(received.find("HTTP/1.1 502"), 0U) << received;
    EXPECT_NE(received.find("\r\n\r\nb-2"), std::string::npos) << received;
    EXPECT_NE(received.find("\r\n\r\nd-2"), std::string::npos) << received;
    EXPECT_EQ(single.received().find("HTTP/1.1 502"), 0U) << single.received();
}

INSTANTIATE_TEST_SUITE_P(Upstreams, pipelined_stops_test,
    testing::Values(stop_case { "OwnUpstream", "shop" }, stop_case { "UpstreamOfAPeer", "front" }), nameOf);

// Guards against requests that are taken late in the grace period of a planned stop, passed on and cut at its end,
// among them such as may not be repeated (LOST). Clients of the stopping node use it until it closes their connections.
TEST_F(planned_stops_test, LoseNothingThatAnUpstreamRuns)
{
    m_store.append("keyed.op", { "config", makeLookConfiguration("shop", false, 1048576) });
    for (gateway_process* node : { &m_one, &m_two }) {
        ASSERT_TRUE(node->waitUntil([node] { return node->isReady(); }));
        ASSERT_TRUE(node->announceUpstream("i-" + node->clientAddress(), 1));
    }
    ASSERT_TRUE(m_one.waitUntil([this] { return m_one.metric("knapweed_linked_nodes") >= 2; }));
    for (const gateway_process* node : { &m_one, &m_two }) {
        for (std::size_t number = 0; number < clientsPerNode; ++number)
            book(*node);
    }
    m_loop.runUntil([] { return false; }, milliseconds { 1500 });
    m_one.process().signal(SIGTERM);
    // New clients until the process ends.
    loop_timer newClients { m_loop, [this] { book(m_one); } };
    const auto isEnded = [this, &newClients] {
        if (!newClients.isRunning())
            newClients.start(milliseconds { 100 });
        return m_one.process().hasEnded();
    };
    EXPECT_TRUE(m_loop.runUntil(isEnded, milliseconds { 10'000 }));
    newClients.stop();
    EXPECT_EQ(m_one.process().exitStatus(), 0);
    m_isSending = false;
    EXPECT_TRUE(m_loop.runUntil([this] { return m_open == 0; }, milliseconds { 8000 }));
    EXPECT_EQ(m_lost, 0U);
    EXPECT_GT(m_statuses[okStatus], 4 * clientsPerNode);
    EXPECT_GT(m_statuses[notRunStatus], 0U) << "late requests were refused";
}

} // namespace knapweedcroft::platform
