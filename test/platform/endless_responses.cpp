#include "gateway_process.hpp"

#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr std::size_t memoryMiB = 64;
constexpr std::size_t bytesPerMiB = std::size_t { 1024 } * 1024;
constexpr std::size_t requestCount = 24;
constexpr milliseconds testTimeout { 20'000 };
constexpr int okStatus = 200;

struct endless_shape {
    const char* name;
    std::string head;
    std::string repeated;
};

// One process of the real program beside an upstream whose responses do not end.
class endless_responses_test : public testing::TestWithParam<endless_shape> {
protected:
    event_loop m_loop;
    fake_store m_store { m_loop };
    endless_server m_upstream { m_loop, GetParam().head, GetParam().repeated };
    exchange_client m_clients { m_loop, exchange_client_settings {} };
    gateway_process m_node { m_loop, m_store,
        { "n1", loopbackNetwork() + "240", "shop", m_upstream.address(), memoryMiB } };
};

} // namespace

// Guards against a node that is killed for its memory, with the requests of all its clients, because an upstream sends
// bytes without end: a body, a header, interim responses, or nothing that is a response.
TEST_P(endless_responses_test, KeepTheProcessWithinItsMemory)
{
    m_store.append("keyed.op", { "config", makeLookConfiguration("shop", true, 1048576) });
    ASSERT_TRUE(m_node.waitUntil([this] { return m_node.isReady(); }));
    ASSERT_TRUE(m_node.waitUntil([this] { return m_node.announceUpstream("i-1", 1, requestCount); }));
    std::size_t failures = 0;
    std::size_t maxResidentBytes = 0;
    for (std::size_t number = 0; number < requestCount; ++number) {
        const std::string id = "r" + std::to_string(number);
        const opaque_request request { "GET", "/look/" + id,
            { { "Host", "farm.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }, "" };
        m_clients.start(
            m_node.clientAddress(), request, [](const opaque_response&) { return response_relation::answer; },
            [&failures](const exchange_outcome& outcome) {
                const opaque_response* response = std::get_if<opaque_response>(&outcome);
                failures += response != nullptr && response->status != okStatus ? 1U : 0U;
            });
    }
    const auto isDone = [&] {
        maxResidentBytes = std::max(maxResidentBytes, m_node.process().residentBytes());
        return failures == requestCount;
    };
    EXPECT_TRUE(m_loop.runUntil(isDone, testTimeout)) << failures << " requests were answered with a failure";
    EXPECT_LT(maxResidentBytes, memoryMiB * bytesPerMiB);
    EXPECT_TRUE(m_node.isReady());
}

INSTANTIATE_TEST_SUITE_P(Shapes, endless_responses_test,
    testing::Values(endless_shape { "Body", "HTTP/1.1 200 OK\r\n\r\n", std::string(std::size_t { 64 } * 1024, 'x') },
        endless_shape { "Header", "HTTP/1.1 200 OK\r\n", "A: " + std::string(std::size_t { 64 } * 1024, 'x') + "\r\n" },
        endless_shape { "StatusLine", "HTTP/1.1 200 ", std::string(std::size_t { 64 } * 1024, 'x') },
        endless_shape { "InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        endless_shape { "NoResponse", "", std::string(std::size_t { 64 } * 1024, '\0') }),
    [](const testing::TestParamInfo<endless_shape>& shape) { return std::string { shape.param.name }; });

} // namespace knapweedcroft::platform
