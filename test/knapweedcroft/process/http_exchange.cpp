#include "knapweedcroft/process/http_exchange.hpp"

#include <gtest/gtest.h>

#include <ostream>
#include <utility>

namespace knapweedcroft {

int test_exchange::status() const
{
    const http_response* response = outcome ? std::get_if<http_response>(&*outcome) : nullptr;
    return response == nullptr ? 0 : response->status;
}

std::string test_exchange::body() const
{
    const http_response* response = outcome ? std::get_if<http_response>(&*outcome) : nullptr;
    return response == nullptr ? std::string {} : response->body;
}

nlohmann::json test_exchange::json() const
{
    const nlohmann::json document = nlohmann::json::parse(body(), nullptr, false);
    return document.is_discarded() ? nlohmann::json {} : document;
}

std::string test_exchange::header(const std::string& name) const
{
    const http_response* response = outcome ? std::get_if<http_response>(&*outcome) : nullptr;
    return response == nullptr ? std::string {} : findHeader(response->headers, name).value_or("");
}

std::string test_exchange::describe() const
{
    if (!outcome)
        return "no outcome yet";
    if (const http_failure* failure = std::get_if<http_failure>(&*outcome))
        return "failure: " + failure->cause.message;
    return std::to_string(status()) + " " + header("Knapweed-Result") + " " + body().substr(0, 500);
}

std::ostream& operator<<(std::ostream& stream, const contract_fault& fault) { return stream << fault.name; }

http_exchanger::http_exchanger(event_loop& loop)
    : m_loop { loop }
    , m_client { loop, http_client_settings {} }
{
}

exchange http_exchanger::start(const http_client_request& request)
{
    exchange pending = std::make_shared<test_exchange>();
    pending->id = m_client.send(request, [pending](http_outcome outcome) { pending->outcome = std::move(outcome); });
    return pending;
}

exchange http_exchanger::send(const http_client_request& request)
{
    exchange pending = start(request);
    waitUntil([&pending] { return pending->hasEnded(); });
    return pending;
}

exchange http_exchanger::get(const std::string& address, const std::string& target)
{
    return send(makeRequest(address, http_method::get, target));
}

exchange http_exchanger::post(const std::string& address, const std::string& target, const std::string& body)
{
    return send(makeRequest(address, http_method::post, target, body));
}

bool http_exchanger::waitUntil(const std::function<bool()>& isDone, milliseconds limit)
{
    constexpr milliseconds interval { 5 };
    // Conditions outside the loop, such as a process exit, trigger no event and need polling.
    loop_timer tick { m_loop, [&tick, interval] { tick.start(interval); } };
    tick.start(interval);
    return m_loop.runUntil(isDone, limit);
}

void http_exchanger::expectFault(const std::string& address, const contract_fault& fault)
{
    http_client_request request = makeRequest(address, fault.method, fault.target, fault.body);
    request.headers = fault.headers;
    const exchange answer = send(request);
    const nlohmann::json document = answer->json();
    EXPECT_EQ(answer->status(), fault.status) << answer->describe();
    ASSERT_TRUE(document.is_object()) << answer->describe();
    EXPECT_EQ(document.value("error", ""), fault.kind) << answer->describe();
    EXPECT_NE(document.value("message", "").find(fault.remedy), std::string::npos) << answer->describe();
}

http_client_request makeRequest(
    const std::string& address, http_method method, const std::string& target, const std::string& body)
{
    http_client_request request;
    request.address = address;
    request.method = method;
    request.target = target;
    request.contentType = body.empty() ? "" : "application/json";
    request.body = body;
    request.timeout = milliseconds { 40'000 };
    return request;
}

} // namespace knapweedcroft
