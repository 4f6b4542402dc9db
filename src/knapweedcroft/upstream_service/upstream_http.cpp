#include "knapweedcroft/upstream_service/upstream_http.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/settings/command_line.hpp"
#include "knapweedcroft/wire/context.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds announceInterval { 1000 };
static constexpr milliseconds subCallTimeout { 600'000 }; // for calls without a deadline
static constexpr milliseconds freezeDelay { 20 }; // lets the answer to /faults be written first
static constexpr milliseconds drainCheckInterval { 20 };
static constexpr milliseconds connectionIdleTimeout { 660'000 };
static constexpr std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;

[[nodiscard]] static http_server_settings serverSettings()
{
    http_server_settings settings;
    settings.maxBodyBytes = maxBodyBytes;
    settings.idleTime = connectionIdleTimeout;
    return settings;
}

[[nodiscard]] static std::string_view stateName(upstream_state state) noexcept
{
    switch (state) {
    case upstream_state::starting:
        return "starting";
    case upstream_state::serving:
        return "serving";
    case upstream_state::draining:
        return "draining";
    }
    return "serving";
}

[[nodiscard]] static std::string stringField(const std::string& text, const std::string& field)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return {};
    const auto position = document.find(field);
    return position == document.end() || !position->is_string() ? std::string {} : position->get<std::string>();
}

// The context is opaque to an upstream, except for the call identifier that a cancellation refers to.
[[nodiscard]] static std::optional<call_id> parseCallId(std::string_view context) noexcept
{
    constexpr std::string_view mark = ";call=";
    constexpr std::size_t digits = 16;
    const std::size_t position = context.find(mark);
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> value = parseHex(context.substr(position + mark.size(), digits));
    return value ? std::optional<call_id> { call_id { *value } } : std::nullopt;
}

[[nodiscard]] static std::string formatAnnouncement(const upstream_announced& announcement)
{
    const nlohmann::json body
        = { { "service", announcement.service }, { "address", announcement.address }, { "slots", announcement.slots },
              { "connections", announcement.connections }, { "state", stateName(announcement.state) },
              { "load", announcement.load }, { "incarnation", announcement.incarnation } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// A sub-call certainly did not run only if the answer says so or if no part of the request was sent.
[[nodiscard]] static sub_call_result toResult(const http_outcome& outcome)
{
    sub_call_result ended;
    if (const http_failure* failure = std::get_if<http_failure>(&outcome)) {
        ended.hasRun = failure->wasWritten;
        return ended;
    }
    const http_response& response = std::get<http_response>(outcome);
    constexpr int firstRedirect = 300;
    ended.isSuccess = response.status < firstRedirect;
    ended.hasRun = findHeader(response.headers, "Knapweed-Result") != "refused_not_run";
    ended.echo = stringField(response.body, "echo");
    return ended;
}

} // namespace internal

upstream_http::upstream_http(event_loop& loop, const upstream_settings& settings, std::function<void()> onStopped)
    : m_settings { settings }
    , m_onStopped { std::move(onStopped) }
    , m_clock { system_time_source {} }
    , m_model { settings, m_clock.now() }
    , m_server { loop, internal::serverSettings() }
    , m_client { loop, http_client_settings {} }
    , m_workTimer { loop,
        [this] {
            perform(m_model.timeReached(m_clock.now()));
            startTimer();
        } }
    , m_announceTimer { loop, [this] { announce(); } }
    , m_freezeTimer { loop,
        [this] { std::this_thread::sleep_for(std::chrono::microseconds { m_freeze.microseconds() }); } }
    , m_drainTimer { loop, [this] { waitForCalls(); } }
    , m_incarnation { static_cast<std::uint64_t>(m_clock.wallNow().sinceEpoch().microseconds()) }
{
    addRoutes();
}

void upstream_http::addRoutes()
{
    using id_type = request_id;
    m_server.route(http_method::post, "/op/{operation}",
        [this](id_type id, const http_request& request) { handleCall(id, request); });
    m_server.route(
        http_method::post, "/cancel", [this](id_type id, const http_request& request) { handleCancel(id, request); });
    m_server.route(
        http_method::post, "/faults", [this](id_type id, const http_request& request) { handleFaults(id, request); });
    m_server.route(http_method::post, "/stop", [this](id_type id, const http_request&) { handleStop(id); });
    m_server.route(http_method::get, "/stats", [this](id_type id, const http_request&) {
        m_server.answer(id, jsonResponse(200, m_model.stats().toJson().dump()));
    });
}

result<std::string> upstream_http::start()
{
    result<std::string> address = m_server.listen(m_settings.host, m_settings.port);
    if (!hasValue(address))
        return address;
    m_address = valueOf(address);
    announce();
    return address;
}

void upstream_http::handleCall(request_id id, const http_request& request)
{
    constexpr std::int64_t maxDeadlineMs = 86'400'000;
    constexpr std::int64_t maxExpiryMs = 253'402'300'800'000; // ms since the epoch at the end of the year 9999
    upstream_call call;
    call.handle = id;
    call.operation = request.parameters.at(0);
    call.context = findHeader(request.headers, contextHeader).value_or("");
    call.call = internal::parseCallId(call.context);
    call.key = findHeader(request.headers, "Idempotency-Key").value_or("");
    if (const std::optional<std::string> text = findHeader(request.headers, "Knapweed-Deadline-Ms")) {
        const std::optional<std::int64_t> remaining = parseInteger(*text, -maxDeadlineMs, maxDeadlineMs);
        if (!remaining) {
            m_server.answer(id, errorResponse(400, "invalid_value", "Knapweed-Deadline-Ms must be an integer"));
            return;
        }
        call.deadline = milliseconds { *remaining };
    }
    if (const std::optional<std::string> text = findHeader(request.headers, "Knapweed-Expires-At-Ms")) {
        const std::optional<std::int64_t> expiry = parseInteger(*text, 0, maxExpiryMs);
        if (!expiry) {
            m_server.answer(id, errorResponse(400, "invalid_value", "Knapweed-Expires-At-Ms must be an integer"));
            return;
        }
        const milliseconds remaining = time_point { milliseconds { *expiry } } - m_clock.wallNow();
        call.deadline = call.deadline ? std::min(*call.deadline, remaining) : remaining;
    }
    call.token = internal::stringField(request.body, "token");
    perform(m_model.callArrived(call, m_clock.now()));
    startTimer();
}

void upstream_http::handleCancel(request_id id, const http_request& request)
{
    const std::optional<std::uint64_t> call = parseHex(findHeader(request.headers, "Knapweed-Call").value_or(""));
    if (!call) {
        m_server.answer(id, errorResponse(400, "invalid_value", "Knapweed-Call must be 16 hexadecimal digits"));
        return;
    }
    const upstream_actions actions = m_model.cancelArrived(call_id { *call });
    m_server.answer(id, jsonResponse(200, nlohmann::json { { "cancelled", !actions.empty() } }.dump()));
    perform(actions);
    startTimer();
}

void upstream_http::handleFaults(request_id id, const http_request& request)
{
    const result<nlohmann::json> document = parseJson(request.body, "faults");
    const result<upstream_faults> faults
        = hasValue(document) ? readUpstreamFaults(valueOf(document)) : result<upstream_faults> { errorOf(document) };
    if (!hasValue(faults)) {
        m_server.answer(id, errorResponse(400, errorOf(faults)));
        return;
    }
    m_model.setFaults(valueOf(faults));
    m_freeze = valueOf(faults).freeze;
    if (m_freeze > milliseconds {})
        m_freezeTimer.start(internal::freezeDelay);
    m_server.answer(id, jsonResponse(200, "{}"));
}

void upstream_http::handleStop(request_id id)
{
    m_stopRequests.push_back(id);
    beginStop();
}

void upstream_http::perform(const upstream_actions& actions)
{
    for (const upstream_action& action : actions)
        std::visit([this](const auto& value) { perform(value); }, action);
}

void upstream_http::perform(const answer_upstream_call& action)
{
    http_response response = jsonResponse(action.status, action.body);
    if (action.isNotRun)
        response.headers.emplace_back("Knapweed-Not-Run", "1");
    m_server.answer(action.handle, response);
}

void upstream_http::perform(const send_sub_call& action)
{
    http_client_request request;
    request.address = m_settings.node;
    request.target = "/call/" + action.service + "/" + action.operation;
    if (!action.context.empty())
        request.headers.emplace_back(std::string { contextHeader }, action.context);
    if (!action.key.empty())
        request.headers.emplace_back("Idempotency-Key", action.key);
    request.contentType = "application/json";
    request.body = action.body;
    request.timeout = internal::subCallTimeout;
    const sub_call_id id = action.id;
    m_subCalls[id] = m_client.send(request, [this, id](const http_outcome& outcome) { subCallEnded(id, outcome); });
}

void upstream_http::perform(const abandon_sub_call& action)
{
    const auto position = m_subCalls.find(action.id);
    if (position == m_subCalls.end())
        return;
    m_client.cancel(position->second);
    m_subCalls.erase(position);
}

void upstream_http::subCallEnded(sub_call_id id, const http_outcome& outcome)
{
    m_subCalls.erase(id);
    perform(m_model.subCallEnded(id, internal::toResult(outcome), m_clock.now()));
    startTimer();
}

void upstream_http::startTimer()
{
    const std::optional<time_point> next = m_model.nextWakeup();
    if (next)
        m_workTimer.start(*next - m_clock.now());
    else
        m_workTimer.stop();
}

void upstream_http::announce()
{
    if (m_settings.node.empty() || m_isStopped)
        return;
    http_client_request request;
    request.address = m_settings.node;
    request.target = "/knapweed/v1/announce";
    request.contentType = "application/json";
    request.body = internal::formatAnnouncement(m_model.announce(m_address, m_incarnation, m_clock.now()));
    request.timeout = internal::announceInterval;
    m_client.send(request, [](const http_outcome&) {});
    m_announceTimer.start(internal::announceInterval);
}

void upstream_http::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_model.leaveStarted(m_clock.now());
    m_stopDeadline = m_clock.now() + m_settings.leaveTimeout;
    if (m_settings.node.empty()) {
        waitForCalls();
        return;
    }
    http_client_request request;
    request.address = m_settings.node;
    request.target = "/knapweed/v1/leave";
    request.contentType = "application/json";
    request.body = "{}";
    request.timeout = m_settings.leaveTimeout;
    m_client.send(request, [this](const http_outcome& outcome) { handleLeaveAnswer(outcome); });
}

void upstream_http::handleLeaveAnswer(const http_outcome& outcome)
{
    const http_response* response = std::get_if<http_response>(&outcome);
    if (response != nullptr && response->status == 200)
        finishStop();
    else
        waitForCalls();
}

// Without an answer of the node to the leave, the upstream itself waits until its calls have ended.
void upstream_http::waitForCalls()
{
    if (m_model.inFlight() == 0 || m_clock.now() >= m_stopDeadline)
        finishStop();
    else
        m_drainTimer.start(internal::drainCheckInterval);
}

void upstream_http::finishStop()
{
    m_isStopped = true;
    m_announceTimer.stop();
    m_model.stopped();
    for (const request_id id : m_stopRequests)
        m_server.answer(id, jsonResponse(200, m_model.stats().toJson().dump()));
    m_onStopped();
}

} // namespace knapweedcroft
