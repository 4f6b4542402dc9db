#include "gateway_process.hpp"

#include <cstdlib>
#include <optional>
#include <utility>

namespace knapweedcroft::platform {

namespace internal {

static constexpr milliseconds callTimeout { 5000 };
static constexpr int okStatus = 200;

} // namespace internal

gateway_process::gateway_process(event_loop& loop, const fake_store& store, gateway_process_settings settings)
    : m_loop { loop }
    , m_settings { std::move(settings) }
    , m_client { loop, http_client_settings {} }
{
    const std::string& ip = m_settings.ip;
    const nlohmann::json document
        = { { "node", { { "name", m_settings.name }, { "data_centre", "north" }, { "service", m_settings.service } } },
              { "listen",
                  { { "clients", ip + ":7001" }, { "readiness", ip + ":7002" }, { "announcements", ip + ":7003" },
                      { "peers", ip + ":7004" }, { "metrics", ip + ":7005" } } },
              { "upstream", { { "address", m_settings.upstreamAddress } } },
              { "store", { { "address", store.address() } } }, { "memory_mb", m_settings.memoryMiB },
              { "charts", std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts" } };
    m_process = std::make_unique<test_process>(m_folder, m_settings.name, "knapweed-gateway",
        std::vector<std::string> { "--settings", m_folder.write(m_settings.name + ".json", document.dump()) });
}

// A failure is returned as a response with status 0.
http_response gateway_process::send(const http_client_request& request)
{
    std::optional<http_outcome> outcome;
    m_client.send(request, [&outcome](http_outcome received) { outcome = std::move(received); });
    m_loop.runUntil([&outcome] { return outcome.has_value(); }, internal::callTimeout);
    const http_response* response = outcome ? std::get_if<http_response>(&*outcome) : nullptr;
    if (response != nullptr)
        return *response;
    http_response failure;
    failure.status = 0;
    return failure;
}

bool gateway_process::isReady()
{
    http_client_request request;
    request.address = m_settings.ip + ":7002";
    request.method = http_method::get;
    request.target = "/knapweedcroft/ready";
    return send(request).status == internal::okStatus;
}

bool gateway_process::announceUpstream(const std::string& id, std::int64_t sequence, std::size_t slots)
{
    http_client_request request;
    request.address = m_settings.ip + ":7003";
    request.method = http_method::put;
    request.target = "/knapweedcroft/instances/" + id;
    request.contentType = "application/json";
    request.body = nlohmann::json {
        { "Service", m_settings.service }, { "Address", m_settings.upstreamAddress }, { "Zone", "north" },
        { "Version", "v1" }, { "Slots", slots }, { "State", "ready" }, { "ColdRemaining", "0ms" },
        { "Sequence", sequence }
    }.dump();
    return send(request).status == internal::okStatus;
}

double gateway_process::metric(const std::string& name)
{
    http_client_request request;
    request.address = m_settings.ip + ":7005";
    request.method = http_method::get;
    request.target = "/metrics";
    const std::string text = "\n" + send(request).body;
    const std::string key = "\n" + name + " ";
    const std::size_t position = text.find(key);
    return position == std::string::npos ? -1.0 : std::strtod(text.c_str() + position + key.size(), nullptr);
}

bool gateway_process::waitUntil(const std::function<bool()>& isDone)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        if (isDone())
            return true;
        m_loop.runUntil([] { return false; }, milliseconds { 50 });
    }
    return false;
}

std::string makeLookConfiguration(
    const std::string& service, bool isIdempotent, std::size_t maxBodyBytes, const std::string& timeout)
{
    const nlohmann::json document = { { "Version", "00000001" },
        { "Routes",
            { { { "Name", "look" }, { "Host", "farm.example" }, { "PathPrefix", "/look/" }, { "Service", service },
                { "Kind", isIdempotent ? "safe" : "unsafe" }, { "MaxAttempts", 1 }, { "Timeout", timeout },
                { "TargetLatency", timeout }, { "Priority", 1 } } } },
        { "Services", nlohmann::json::array() },
        { "Limits",
            { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", maxBodyBytes }, { "HeaderTimeout", "5s" },
                { "IdleTimeout", "30s" } } } };
    return document.dump();
}

} // namespace knapweedcroft::platform
