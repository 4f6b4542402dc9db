#include "knapweedcroft/net/node_runtime.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/net/http_types.hpp"
#include "knapweedcroft/wire/context.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr request_handle stopHandle = UINT64_MAX; // Never used as a request id by the server.
static constexpr std::size_t maxAnswerBytes
    = std::size_t { 8 } * 1024 * 1024; // Leaves room within the 16 MiB limit of frames between nodes.
static constexpr const char* keyHeader = "Idempotency-Key";
// If this process is paused while it sends a request, the relative deadline in the request still looks valid when it
// arrives. The upstream on the same host recognises such a request by its expiry as wall time.
static constexpr const char* expiresAtHeader = "Knapweed-Expires-At-Ms";
static constexpr const char* deadlineHeader = "Knapweed-Deadline-Ms";
static constexpr const char* resultHeader = "Knapweed-Result";
static constexpr const char* notRunHeader = "Knapweed-Not-Run";
static constexpr std::string_view streams[] = { "catalogue", "membership" };

[[nodiscard]] static http_server_settings serverSettings(const node_program_settings& settings)
{
    http_server_settings server;
    server.maxBodyBytes = settings.maxBodyBytes;
    server.maxHeaderBytes = settings.maxHeaderBytes;
    server.errorHeaders.emplace_back(resultHeader, "refused_not_run");
    return server;
}

[[nodiscard]] static http_client_settings clientSettings()
{
    http_client_settings client;
    client.maxBodyBytes = maxAnswerBytes;
    return client;
}

[[nodiscard]] static log_client_settings logSettings(const node_program_settings& settings)
{
    log_client_settings log;
    log.address = settings.log;
    log.seed = hash64(settings.node.name, settings.node.seed);
    return log;
}

[[nodiscard]] static peer_hub_settings hubSettings(const node_program_settings& settings)
{
    peer_hub_settings hub;
    hub.seed = hash64(settings.node.name, settings.node.seed + 1);
    return hub;
}

[[nodiscard]] static std::optional<milliseconds> parseDeadline(const std::string& text)
{
    constexpr std::int64_t maxMilliseconds = 86'400'000;
    std::int64_t value = -1;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = read.ec == std::errc {} && read.ptr == text.data() + text.size();
    if (!isWhole || value < 0 || value > maxMilliseconds)
        return std::nullopt;
    return milliseconds { value };
}

static void addRetryAfter(http_response& response, milliseconds retryAfter)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (!(milliseconds {} < retryAfter))
        return;
    const std::int64_t whole = std::max<std::int64_t>(1, retryAfter.whole());
    const std::int64_t seconds = (whole + millisecondsPerSecond - 1) / millisecondsPerSecond;
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
    response.headers.emplace_back("Knapweed-Retry-After-Ms", std::to_string(whole));
}

struct response_builder {
    int status;

    http_response operator()(const answered& outcome) const
    {
        http_response response;
        response.status = outcome.status;
        response.contentType = outcome.contentType;
        response.body = outcome.body;
        return response;
    }

    http_response operator()(const refused_not_run& outcome) const
    {
        http_response response = errorResponse(status, toString(outcome.reason), outcome.message);
        addRetryAfter(response, outcome.retryAfter);
        return response;
    }

    http_response operator()(const failed_after_start& outcome) const
    {
        return errorResponse(status, "failed_after_start", outcome.message);
    }

    http_response operator()(const outcome_unknown& outcome) const
    {
        http_response response = errorResponse(status, "outcome_unknown", outcome.message);
        addRetryAfter(response, outcome.retryAfter);
        return response;
    }
};

[[nodiscard]] static http_response toResponse(const call_result& outcome, action_id action)
{
    http_response response = std::visit(response_builder { httpStatus(outcome) }, outcome);
    response.headers.emplace_back(resultHeader, kindName(outcome));
    response.headers.emplace_back("Knapweed-Action", toHex(action.value()));
    return response;
}

[[nodiscard]] static http_response makeBadRequest(const error& cause)
{
    http_response response = errorResponse(400, cause);
    response.headers.emplace_back(resultHeader, "refused_not_run");
    return response;
}

[[nodiscard]] static result<upstream_state> parseUpstreamState(const std::string& name)
{
    if (name == "starting")
        return upstream_state::starting;
    if (name == "serving")
        return upstream_state::serving;
    if (name == "draining")
        return upstream_state::draining;
    return error { error_kind::invalid_value, "field \"state\" must be \"starting\", \"serving\" or \"draining\"" };
}

[[nodiscard]] static result<upstream_announced> parseAnnouncement(const std::string& body)
{
    constexpr std::int64_t maxSlots = 1'000'000;
    const result<nlohmann::json> document = parseJson(body, "announcement");
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), "announcement" };
    upstream_announced event;
    event.service = reader.string("service");
    event.address = reader.string("address");
    event.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, maxSlots));
    event.connections = static_cast<std::uint32_t>(reader.integer("connections", 1, maxSlots));
    const result<upstream_state> state = parseUpstreamState(reader.string("state"));
    event.load = reader.number("load", 0.0, 1.0, 0.0);
    event.incarnation = static_cast<std::uint64_t>(reader.integer("incarnation", 0, INT64_MAX));
    const result<host_port> address = parseHostPort(event.address);
    if (const std::optional<error> fault = reader.finishLenient())
        return *fault;
    if (!hasValue(state))
        return errorOf(state);
    if (!hasValue(address))
        return errorOf(address);
    event.state = valueOf(state);
    return event;
}

} // namespace internal

node_runtime::node_runtime(event_loop& loop, const node_program_settings& settings, const chart_set& charts,
    std::function<incarnation_id()> makeIncarnation)
    : m_loop { loop }
    , m_settings { settings }
    , m_makeIncarnation { std::move(makeIncarnation) }
    , m_clock { system_time_source {} }
    , m_server { loop, internal::serverSettings(settings) }
    , m_upstream { loop, internal::clientSettings() }
    , m_logHttp { loop, internal::clientSettings() }
    , m_log { loop, m_logHttp, internal::logSettings(settings), logHandlers() }
    , m_peers { loop, settings.node.name, charts.peerLink, internal::hubSettings(settings), peerHandlers() }
    , m_wakeupTimer { loop,
        [this] {
            m_wakeupTime.reset();
            dispatch(timer_fired {});
        } }
    , m_stopTimer { loop, [this] { checkStopped(); } }
{
    m_loop.setFaultHandler([this](const std::string& text) {
        m_metrics.count("internal_faults");
        m_logger.write(log_level::error, "internal_fault", { { "detail", text } });
    });
    addRoutes();
}

result<node_addresses> node_runtime::listen()
{
    const result<std::string> peer = m_peers.listen(m_settings.host, m_settings.peerPort);
    if (!hasValue(peer))
        return errorOf(peer);
    const result<std::string> http = m_server.listen(m_settings.host, m_settings.httpPort);
    if (!hasValue(http))
        return errorOf(http);
    m_addresses = node_addresses { valueOf(http), valueOf(peer) };
    return m_addresses;
}

void node_runtime::start(node_logic_factory makeLogic)
{
    m_makeLogic = std::move(makeLogic);
    startIncarnation();
}

void node_runtime::startIncarnation()
{
    m_incarnation = m_makeIncarnation();
    m_logic = m_makeLogic(m_incarnation, m_addresses);
    for (const std::string_view stream : internal::streams) {
        const std::string name { stream };
        m_log.follow(name, m_logic.nextOffset(name));
    }
    scheduleWakeup();
}

void node_runtime::restartIncarnation()
{
    m_logger.write(log_level::info, "incarnation_renewed", { { "former", toHex(m_incarnation.value()) } });
    m_peers.reset();
    m_log.restart();
    for (const std::pair<const call_id, http_client::request_id>& item : m_upstreamRequests)
        m_upstream.cancel(item.second);
    m_upstreamRequests.clear();
    startIncarnation();
    const std::set<request_handle> leaves = m_pendingLeaves;
    for (const request_handle handle : leaves)
        dispatch(leave_requested { handle });
}

void node_runtime::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_pendingLeaves.insert(internal::stopHandle);
    dispatch(leave_requested { internal::stopHandle });
}

// --- events and actions

void node_runtime::dispatch(node_event event)
{
    m_events.push_back(std::move(event));
    if (m_isDispatching || !m_logic.handle)
        return;
    m_isDispatching = true;
    while (!m_events.empty()) {
        const node_event next = std::move(m_events.front());
        m_events.pop_front();
        m_loop.guard([&] { process(next); });
    }
    m_isDispatching = false;
    m_loop.guard([this] {
        syncLogPositions();
        scheduleWakeup();
    });
}

void node_runtime::process(const node_event& event)
{
    const message_received* message = std::get_if<message_received>(&event);
    // Only log records and state received from a peer change the stream positions.
    m_arePositionsStale |= std::holds_alternative<records_read>(event)
        || (message != nullptr && std::holds_alternative<catch_up_message>(message->message));
    const node_actions actions = m_logic.handle(event, m_clock.now(), m_clock.wallNow());
    for (const node_action& action : actions)
        m_loop.guard([&] { std::visit([this](const auto& item) { perform(item); }, action); });
}

void node_runtime::scheduleWakeup()
{
    // Prevents wake-ups that are always overdue from occupying the loop.
    constexpr milliseconds minWakeupDelay = milliseconds::fromMicroseconds(200);
    const std::optional<time_point> wanted = m_logic.nextWakeup();
    // A timer that fires too early costs one unnecessary wake-up, which is cheaper than restarting it for each call.
    const bool isEarlyEnough = m_wakeupTime && (!wanted || *m_wakeupTime <= *wanted);
    if (isEarlyEnough || !wanted)
        return;
    m_wakeupTime = wanted;
    const milliseconds delay = *wanted - m_clock.now();
    m_wakeupTimer.start(std::max(delay, minWakeupDelay));
}

void node_runtime::syncLogPositions()
{
    if (!m_arePositionsStale)
        return;
    m_arePositionsStale = false;
    for (const std::string_view stream : internal::streams) {
        const std::string name { stream };
        m_log.advance(name, m_logic.nextOffset(name));
    }
}

void node_runtime::perform(const answer_caller& action)
{
    const auto position = m_callers.find(action.handle);
    if (position == m_callers.end())
        return;
    const std::string kind { kindName(action.outcome) };
    m_metrics.count("calls_" + kind);
    m_metrics.record("call_" + kind, m_clock.now() - position->second.arrivedAt);
    m_callers.erase(position);
    m_server.answer(action.handle, internal::toResponse(action.outcome, action.action));
}

void node_runtime::perform(const send_to_peer& action) { m_peers.send(action); }

void node_runtime::perform(const open_link& action) { m_peers.open(action); }

void node_runtime::perform(const replace_link& action) { m_peers.replace(action); }

void node_runtime::perform(const close_link& action) { m_peers.close(action); }

void node_runtime::perform(const dispatch_call& action)
{
    // The process may have been paused since the decision, so the remaining time is computed again.
    const milliseconds remaining = action.deadline - m_clock.now();
    if (remaining <= milliseconds {}) {
        const error cause { error_kind::timed_out, "the deadline passed before the call was sent" };
        dispatch(upstream_failed { action.id, false, cause });
        return;
    }
    m_metrics.count("upstream_calls");
    call_context context = action.context;
    context.deadline = remaining;
    const time_point expiry = m_clock.wallNow() + remaining;
    http_client_request request;
    request.address = action.address;
    request.target = "/op/" + percentEncode(action.operation);
    request.headers.emplace_back(std::string { contextHeader }, formatContext(context));
    request.headers.emplace_back(internal::deadlineHeader, std::to_string(remaining.whole()));
    request.headers.emplace_back(internal::expiresAtHeader, std::to_string(expiry.sinceEpoch().whole()));
    if (action.key)
        request.headers.emplace_back(internal::keyHeader, *action.key);
    request.contentType = action.contentType;
    request.body = action.body;
    request.timeout = remaining;
    const call_id id = action.id;
    m_upstreamRequests[id]
        = m_upstream.send(request, [this, id](http_outcome outcome) { onUpstreamOutcome(id, std::move(outcome)); });
}

void node_runtime::onUpstreamOutcome(call_id id, http_outcome outcome)
{
    constexpr int serviceUnavailable = 503;
    m_upstreamRequests.erase(id);
    if (const http_failure* failure = std::get_if<http_failure>(&outcome)) {
        m_metrics.count("upstream_failures");
        dispatch(upstream_failed { id, failure->wasWritten, failure->cause });
        return;
    }
    http_response& response = std::get<http_response>(outcome);
    upstream_answered event;
    event.id = id;
    event.status = response.status;
    event.isNotRun
        = response.status == serviceUnavailable && findHeader(response.headers, internal::notRunHeader) == "1";
    event.contentType = std::move(response.contentType);
    event.body = std::move(response.body);
    dispatch(std::move(event));
}

void node_runtime::perform(const cancel_dispatch& action)
{
    constexpr milliseconds cancelTimeout { 1000 };
    const auto position = m_upstreamRequests.find(action.id);
    if (position != m_upstreamRequests.end()) {
        m_upstream.cancel(position->second);
        m_upstreamRequests.erase(position);
    }
    m_metrics.count("upstream_cancels");
    http_client_request request;
    request.address = action.address;
    request.target = "/cancel";
    request.headers.emplace_back("Knapweed-Call", toHex(action.id.value()));
    request.timeout = cancelTimeout;
    m_upstream.send(request, [](const http_outcome&) {});
}

void node_runtime::perform(const append_record& action) { m_log.append(action); }

void node_runtime::perform(const answer_leave& action)
{
    constexpr milliseconds stopTimeout { 2000 };
    m_pendingLeaves.erase(action.handle);
    if (action.handle != internal::stopHandle) {
        m_server.answer(action.handle, jsonResponse(200, R"({"left":true})"));
        return;
    }
    m_stopDeadline = m_clock.now() + stopTimeout;
    m_peers.shutDown();
    m_stopTimer.start(milliseconds { 100 });
}

void node_runtime::perform(const renew_incarnation&)
{
    m_loop.post([this] { restartIncarnation(); });
}

void node_runtime::checkStopped()
{
    const bool isDone = m_peers.linkCount() == 0 && m_callers.empty();
    if (!isDone && m_clock.now() < m_stopDeadline) {
        m_stopTimer.start(milliseconds { 20 });
        return;
    }
    m_logger.write(log_level::info, "stopped", {});
    m_loop.stop();
}

void node_runtime::perform(const write_log& action)
{
    if (isAuditEvent(action.event))
        m_audit.write(action);
    else
        m_logger.write(action);
}

// --- inputs

void node_runtime::addRoutes()
{
    using request_id = http_server::request_id;
    m_server.route(http_method::post, "/call/{service}/{operation}",
        [this](request_id id, const http_request& request) { onCall(id, request); });
    m_server.route(http_method::post, "/knapweed/v1/announce",
        [this](request_id id, const http_request& request) { onAnnounce(id, request); });
    m_server.route(http_method::post, "/knapweed/v1/leave", [this](request_id id, const http_request&) {
        m_pendingLeaves.insert(id);
        dispatch(leave_requested { id });
    });
    m_server.route(http_method::get, "/knapweed/v1/health", [this](request_id id, const http_request&) {
        const nlohmann::json body = { { "status", m_isStopping ? "stopping" : "serving" },
            { "name", m_settings.node.name }, { "service", m_settings.node.service } };
        m_server.answer(id, jsonResponse(200, body.dump()));
    });
    m_server.route(http_method::get, "/knapweed/v1/state", [this](request_id id, const http_request&) {
        const nlohmann::json body = m_logic.describe ? m_logic.describe() : nlohmann::json::object();
        m_server.answer(id, jsonResponse(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    });
    m_server.route(http_method::get, "/knapweed/v1/metrics", [this](request_id id, const http_request&) {
        m_server.answer(id, jsonResponse(200, m_metrics.describe().dump()));
    });
    m_server.setGoneHandler([this](request_id id) {
        m_pendingLeaves.erase(id);
        if (m_callers.erase(id) == 0)
            return;
        m_metrics.count("callers_gone");
        dispatch(caller_gone { id });
    });
}

void node_runtime::onCall(http_server::request_id id, const http_request& request)
{
    call_arrived event;
    event.handle = id;
    event.service = request.parameters[0];
    event.operation = request.parameters[1];
    event.context = findHeader(request.headers, contextHeader);
    event.key = findHeader(request.headers, internal::keyHeader);
    if (const std::optional<std::string> text = findHeader(request.headers, internal::deadlineHeader)) {
        event.deadline = internal::parseDeadline(*text);
        if (!event.deadline) {
            m_server.answer(id,
                internal::makeBadRequest(error { error_kind::invalid_value,
                    "the header Knapweed-Deadline-Ms must be an integer from 0 to 86400000" }));
            return;
        }
    }
    event.contentType = findHeader(request.headers, "Content-Type").value_or("");
    event.body = request.body;
    m_callers.emplace(id, pending_caller { m_clock.now() });
    dispatch(std::move(event));
}

void node_runtime::onAnnounce(http_server::request_id id, const http_request& request)
{
    const result<upstream_announced> event = internal::parseAnnouncement(request.body);
    if (!hasValue(event)) {
        m_server.answer(id, errorResponse(400, errorOf(event)));
        return;
    }
    if (valueOf(event).service != m_settings.node.service) {
        m_server.answer(id,
            errorResponse(400,
                error { error_kind::unknown_service,
                    "this node serves \"" + m_settings.node.service
                        + "\"; announce to the node beside the upstream" }));
        return;
    }
    dispatch(valueOf(event));
    m_server.answer(id, jsonResponse(200, R"({"announced":true})"));
}

hello_message node_runtime::makeHello() const
{
    hello_message hello;
    hello.node = m_settings.node.name;
    hello.incarnation = m_incarnation;
    hello.service = m_settings.node.service;
    hello.data_centre = m_settings.node.data_centre;
    hello.peerAddress = m_addresses.peer;
    if (m_logic.nextOffset) {
        hello.catalogueOffset = m_logic.nextOffset("catalogue");
        hello.viewOffset = m_logic.nextOffset("membership");
    }
    return hello;
}

peer_hub_handlers node_runtime::peerHandlers()
{
    peer_hub_handlers handlers;
    handlers.makeHello = [this] { return makeHello(); };
    handlers.deliver = [this](node_event event) { dispatch(std::move(event)); };
    handlers.log = [this](const write_log& line) { m_logger.write(line); };
    return handlers;
}

log_client_handlers node_runtime::logHandlers()
{
    log_client_handlers handlers;
    handlers.recordsRead = [this](records_read event) { dispatch(std::move(event)); };
    handlers.appendFinished = [this](append_finished event) { dispatch(event); };
    handlers.availabilityChanged = [this](bool isAvailable) {
        m_logger.write(log_level::info, isAvailable ? "log_available" : "log_unavailable", {});
        dispatch(log_availability_changed { isAvailable });
    };
    return handlers;
}

} // namespace knapweedcroft
