#include "fake_store.hpp"

#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/test_servers.hpp"
#include "knapweedcroft/process/test_process.hpp"

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

// One process of the real program beside an upstream whose responses do not end.
class endless_responses_test : public testing::Test {
protected:
    endless_responses_test()
    {
        const nlohmann::json settings = { { "node",
                                              { { "name", "n1" }, { "data_centre", "north" }, { "service", "shop" } } },
            { "listen",
                { { "clients", m_ip + ":7001" }, { "readiness", m_ip + ":7002" }, { "announcements", m_ip + ":7003" },
                    { "peers", m_ip + ":7004" } } },
            { "upstream", { { "address", m_upstream.address() } } }, { "store", { { "address", m_store.address() } } },
            { "memory_mb", memoryMiB }, { "charts", std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts" } };
        const nlohmann::json configuration = { { "Version", "00000001" },
            { "Routes",
                { { { "Name", "look" }, { "Host", "farm.example" }, { "PathPrefix", "/look/" }, { "Service", "shop" },
                    { "Kind", "safe" }, { "MaxAttempts", 1 }, { "Timeout", "4s" }, { "TargetLatency", "4s" },
                    { "Priority", 1 } } } },
            { "Services", nlohmann::json::array() },
            { "Limits",
                { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 1048576 }, { "HeaderTimeout", "5s" },
                    { "IdleTimeout", "30s" } } } };
        m_store.append("keyed.op", { "config", configuration.dump() });
        m_process = std::make_unique<test_process>(m_folder, "n1", "knapweed-gateway",
            std::vector<std::string> { "--settings", m_folder.write("n1.json", settings.dump()) });
    }

    [[nodiscard]] int statusOf(const http_client_request& request)
    {
        std::optional<http_outcome> outcome;
        m_client.send(request, [&outcome](http_outcome received) { outcome = std::move(received); });
        m_loop.runUntil([&outcome] { return outcome.has_value(); }, testTimeout);
        const http_response* response = outcome ? std::get_if<http_response>(&*outcome) : nullptr;
        return response == nullptr ? 0 : response->status;
    }

    [[nodiscard]] bool isReady()
    {
        http_client_request request;
        request.address = m_ip + ":7002";
        request.method = http_method::get;
        request.target = "/knapweedcroft/ready";
        return statusOf(request) == okStatus;
    }

    [[nodiscard]] bool announceUpstream()
    {
        http_client_request request;
        request.address = m_ip + ":7003";
        request.method = http_method::put;
        request.target = "/knapweedcroft/instances/i-1";
        request.contentType = "application/json";
        request.body = nlohmann::json {
            { "Service", "shop" }, { "Address", m_upstream.address() }, { "Zone", "north" }, { "Version", "v1" },
            { "Slots", requestCount }, { "State", "ready" }, { "ColdRemaining", "0ms" }, { "Sequence", 1 }
        }.dump();
        return statusOf(request) == okStatus;
    }

    bool waitUntil(const std::function<bool()>& isDone)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            if (isDone())
                return true;
            m_loop.runUntil([] { return false; }, milliseconds { 50 });
        }
        return false;
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    endless_server m_upstream { m_loop, "HTTP/1.1 200 OK\r\n\r\n", std::string(std::size_t { 64 } * 1024, 'x') };
    http_client m_client { m_loop, http_client_settings {} };
    exchange_client m_clients { m_loop, exchange_client_settings {} };
    test_folder m_folder;
    std::string m_ip { loopbackNetwork() + "240" };
    std::unique_ptr<test_process> m_process;
};

} // namespace

// Guards against a node that is killed for its memory because an upstream sends bodies without end.
TEST_F(endless_responses_test, KeepTheProcessWithinItsMemory)
{
    ASSERT_TRUE(waitUntil([this] { return isReady(); }));
    ASSERT_TRUE(waitUntil([this] { return announceUpstream(); }));
    std::size_t failures = 0;
    std::size_t maxResidentBytes = 0;
    for (std::size_t number = 0; number < requestCount; ++number) {
        const std::string id = "r" + std::to_string(number);
        const opaque_request request { "GET", "/look/" + id,
            { { "Host", "farm.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }, "" };
        m_clients.start(
            m_ip + ":7001", request, [](const opaque_response&) { return true; },
            [&failures](const exchange_outcome& outcome) {
                const opaque_response* response = std::get_if<opaque_response>(&outcome);
                failures += response != nullptr && response->status != okStatus ? 1U : 0U;
            });
    }
    const auto isDone = [&] {
        maxResidentBytes = std::max(maxResidentBytes, m_process->residentBytes());
        return failures == requestCount;
    };
    EXPECT_TRUE(m_loop.runUntil(isDone, testTimeout)) << failures << " requests were answered with a failure";
    EXPECT_LT(maxResidentBytes, memoryMiB * bytesPerMiB);
    EXPECT_TRUE(isReady());
}

} // namespace knapweedcroft::platform
