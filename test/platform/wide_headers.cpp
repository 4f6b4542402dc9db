#include "gateway_process.hpp"

#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr int okStatus = 200;
constexpr std::size_t bookingCount = 10;
constexpr std::size_t lineCount = 3000; // Five bytes each; a header section may have 16 KiB.

[[nodiscard]] http_headers manyLines() { return http_headers(lineCount, { "a", "" }); }

[[nodiscard]] std::size_t countLines(const http_headers& headers)
{
    return static_cast<std::size_t>(
        std::count(headers.begin(), headers.end(), std::pair<std::string, std::string> { "a", "" }));
}

// Two processes of the real program: the clients of one send requests that the upstream of the other runs, so that all
// of them share a link.
class wide_headers_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_store.append("keyed.op", { "config", makeLookConfiguration("shop", false, 1048576) });
        for (gateway_process* node : { &m_front, &m_shop })
            ASSERT_TRUE(node->waitUntil([node] { return node->isReady(); }));
        ASSERT_TRUE(m_shop.waitUntil([this] { return m_shop.announceUpstream("i-1", 1); }));
        ASSERT_TRUE(m_front.waitUntil([this] { return m_front.metric("knapweed_linked_nodes") >= 2; }));
        for (std::size_t number = 0; number < bookingCount; ++number)
            send("book-" + std::to_string(number), {});
        ASSERT_TRUE(m_loop.runUntil([this] { return m_begun == bookingCount; }, milliseconds { 5000 }));
    }

    void send(const std::string& id, const http_headers& extra)
    {
        opaque_request request { "POST", "/look/" + id,
            { { "Host", "farm.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }, "b" };
        request.headers.insert(request.headers.end(), extra.begin(), extra.end());
        m_clients.start(
            m_front.clientAddress(), request, [](const opaque_response&) { return response_relation::answer; },
            [this, id](const exchange_outcome& outcome) {
                const opaque_response* response = std::get_if<opaque_response>(&outcome);
                m_answers[id] = response == nullptr ? opaque_response { 0, {}, {} } : *response;
            });
    }

    void work(std::uint64_t number, const opaque_request& request)
    {
        const std::string id = findHeader(request.headers, "X-Request-Id").value_or("");
        http_headers headers { { "X-Request-Id", id }, { "X-Response-Signature", "s" } };
        if (id == "wide-answer") {
            const http_headers lines = manyLines();
            headers.insert(headers.end(), lines.begin(), lines.end());
        }
        if (id.rfind("book-", 0) != 0) {
            m_upstream.answer(number, { okStatus, headers, std::to_string(countLines(request.headers)) });
            return;
        }
        ++m_begun;
        m_jobs.push_back(std::make_unique<loop_timer>(m_loop, [this, number, headers] {
            m_upstream.answer(number, { okStatus, headers, "booked" });
        }));
        m_jobs.back()->start(milliseconds { 1500 });
    }

    void expectAllAnswered(const std::string& wideId)
    {
        ASSERT_TRUE(m_loop.runUntil([this] { return m_answers.size() == bookingCount + 1; }, milliseconds { 10'000 }));
        for (const std::pair<const std::string, opaque_response>& answer : m_answers)
            EXPECT_EQ(answer.second.status, okStatus) << answer.first;
        EXPECT_EQ(m_answers[wideId].status, okStatus);
        EXPECT_EQ(m_front.metric("knapweed_links_ended_calls"), 0.0);
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    std::vector<std::unique_ptr<loop_timer>> m_jobs;
    std::size_t m_begun = 0;
    pipelined_server m_upstream { m_loop, pipelined_server_limits {},
        { [this](std::uint64_t number, const opaque_request& request) { work(number, request); }, [](std::uint64_t) {},
            [](const parse_error& fault) {
                return opaque_response { fault.status, {}, {} };
            } } };
    std::string m_upstreamAddress { valueOf(m_upstream.listen("127.0.0.1", 0)) };
    gateway_process m_front { m_loop, m_store, { "n1", loopbackNetwork() + "244", "front", "127.0.0.1:9", 64 } };
    gateway_process m_shop { m_loop, m_store, { "n2", loopbackNetwork() + "245", "shop", m_upstreamAddress, 64 } };
    exchange_client m_clients { m_loop, exchange_client_settings {} };
    std::map<std::string, opaque_response> m_answers;
};

} // namespace

// Guards against a request with many header lines, within the limit on their bytes, that ends a link with all bookings
// on it (LOST around a planned stop).
TEST_F(wide_headers_test, OfARequestLeaveOtherRequestsAlone)
{
    m_front.process().signal(SIGTERM);
    send("wide-request", manyLines());
    expectAllAnswered("wide-request");
    EXPECT_EQ(m_answers["wide-request"].body, std::to_string(lineCount));
}

// Guards against the same for the header lines of an answer.
TEST_F(wide_headers_test, OfAnAnswerLeaveOtherRequestsAlone)
{
    m_front.process().signal(SIGTERM);
    send("wide-answer", {});
    expectAllAnswered("wide-answer");
    EXPECT_EQ(countLines(m_answers["wide-answer"].headers), lineCount);
}

} // namespace knapweedcroft::platform
