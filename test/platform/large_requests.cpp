#include "gateway_process.hpp"

#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr std::size_t memoryMiB = 64;
constexpr std::size_t bytesPerMiB = std::size_t { 1024 } * 1024;
constexpr int okStatus = 200;
constexpr int notRunStatus = 503;

// One process of the real program beside an upstream that reads whole requests and answers them at once.
class large_requests_test : public testing::Test {
protected:
    large_requests_test()
    {
        m_upstreamAddress = valueOf(m_upstream.listen("127.0.0.1", 0));
        m_store.append("keyed.op", { "config", makeLookConfiguration("shop", false, 64 * bytesPerMiB) });
        m_node = std::make_unique<gateway_process>(m_loop, m_store,
            gateway_process_settings { "n1", loopbackNetwork() + "243", "shop", m_upstreamAddress, memoryMiB });
    }

    // Sends bookings with bodies of a size at the same time, and returns the number of answers by status.
    std::map<int, std::size_t> send(std::size_t count, std::size_t bodyBytes)
    {
        std::map<int, std::size_t> statuses;
        std::size_t ended = 0;
        for (std::size_t number = 0; number < count; ++number) {
            const std::string id = "r" + std::to_string(++m_lastRequest);
            const opaque_request request { "POST", "/look/" + id,
                { { "Host", "farm.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } },
                std::string(bodyBytes, 'b') };
            m_clients.start(
                m_node->clientAddress(), request, [](const opaque_response&) { return response_relation::answer; },
                [&](const exchange_outcome& outcome) {
                    const opaque_response* response = std::get_if<opaque_response>(&outcome);
                    ++statuses[response == nullptr ? 0 : response->status];
                    ++ended;
                });
        }
        const auto isDone = [&] {
            m_maxResidentBytes = std::max(m_maxResidentBytes, m_node->process().residentBytes());
            return ended == count;
        };
        m_loop.runUntil(isDone, milliseconds { 20'000 });
        return statuses;
    }

    void answer(std::uint64_t number, const opaque_request& request)
    {
        m_receivedBytes += request.body.size();
        m_received.emplace_back(number, findHeader(request.headers, "X-Request-Id").value_or(""));
        if (m_received.size() < m_answeredTogether)
            return;
        if (m_answerDelay == milliseconds {})
            answerReceived();
        else
            m_answerTimer.start(m_answerDelay);
    }

    void answerReceived()
    {
        for (const std::pair<std::uint64_t, std::string>& item : std::exchange(m_received, {}))
            m_upstream.answer(item.first,
                { okStatus, { { "X-Request-Id", item.second }, { "X-Response-Signature", "s" } }, m_answerBody });
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    pipelined_server m_upstream { m_loop,
        { { std::size_t { 16 } * 1024, 64 * bytesPerMiB }, milliseconds { 10'000 }, milliseconds { 10'000 }, 256,
            1024 * bytesPerMiB },
        { [this](std::uint64_t number, const opaque_request& request) { answer(number, request); },
            [](std::uint64_t) {},
            [](const parse_error& fault) {
                return opaque_response { fault.status, {}, {} };
            } } };
    exchange_client m_clients { m_loop, exchange_client_settings {} };
    std::string m_upstreamAddress;
    std::unique_ptr<gateway_process> m_node;
    std::string m_answerBody;
    milliseconds m_answerDelay;
    loop_timer m_answerTimer { m_loop, [this] { answerReceived(); } };
    std::size_t m_answeredTogether = 1; // Requests that must have arrived before they are answered.
    std::vector<std::pair<std::uint64_t, std::string>> m_received;
    std::size_t m_receivedBytes = 0;
    std::size_t m_maxResidentBytes = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

// Guards against a node that is killed for its memory, and loses the requests in flight, because of one large request
// within the limits (LOST).
TEST_F(large_requests_test, KeepTheProcessWithinItsMemory)
{
    ASSERT_TRUE(m_node->waitUntil([this] { return m_node->isReady(); }));
    ASSERT_TRUE(m_node->announceUpstream("i-1", 1));
    EXPECT_EQ(send(1, 30 * bytesPerMiB), (std::map<int, std::size_t> { { okStatus, 1 } }));
    EXPECT_EQ(m_receivedBytes, 30 * bytesPerMiB);
    EXPECT_LT(m_maxResidentBytes, memoryMiB * bytesPerMiB);
}

// Guards against requests that pause the responses which alone can free their memory, until all of them end with the
// timeout, or without an answer when the process stops (LOST).
TEST_F(large_requests_test, DoNotPauseTheirOwnResponses)
{
    constexpr std::size_t count = 3;
    m_answeredTogether = count;
    m_answerDelay = milliseconds { 300 };
    m_answerBody.assign(bytesPerMiB, 'a');
    ASSERT_TRUE(m_node->waitUntil([this] { return m_node->isReady(); }));
    ASSERT_TRUE(m_node->announceUpstream("i-1", 1));
    for (int round = 0; round < 3; ++round)
        EXPECT_EQ(send(count, 4 * bytesPerMiB), (std::map<int, std::size_t> { { okStatus, count } })) << round;
    EXPECT_LT(m_maxResidentBytes, memoryMiB * bytesPerMiB);
}

// Guards against the same by many requests at once; those without room are refused as not run.
TEST_F(large_requests_test, AreRefusedWithoutRoom)
{
    ASSERT_TRUE(m_node->waitUntil([this] { return m_node->isReady(); }));
    ASSERT_TRUE(m_node->announceUpstream("i-1", 1));
    std::map<int, std::size_t> statuses = send(12, 6 * bytesPerMiB);
    EXPECT_GT(statuses[okStatus], 0U);
    EXPECT_EQ(statuses[okStatus] + statuses[notRunStatus], 12U);
    EXPECT_EQ(m_receivedBytes, statuses[okStatus] * 6 * bytesPerMiB);
    EXPECT_LT(m_maxResidentBytes, memoryMiB * bytesPerMiB);
}

} // namespace knapweedcroft::platform
