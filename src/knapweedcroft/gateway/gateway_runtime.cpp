#include "knapweedcroft/gateway/gateway_runtime.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds tickInterval { 100 };
static constexpr milliseconds minStall { 150 }; // Shorter delays of a tick are normal scheduling jitter.
// Data that arrived during a stall is read within this time after it.
static constexpr milliseconds stallBacklogTime { 200 };
// An upstream on the same host accepts or refuses a connection at once, unless it is stopped or very busy.
static constexpr milliseconds reachabilityTimeout { 100 };
static constexpr std::size_t bytesPerMiB = std::size_t { 1024 } * 1024;

[[nodiscard]] static peer_hub_settings makeHubSettings(const gateway_settings& settings)
{
    peer_hub_settings hub;
    hub.seed = hash64(settings.node, settings.seed + 1);
    return hub;
}

// A response that is passed on exists up to four times for a moment: as received, as serialized and in the buffers of
// the sender. So one response may take an eighth of the memory, and all that are being received a quarter.
[[nodiscard]] static exchange_client_settings makeExchangeSettings(std::size_t memoryMiB)
{
    exchange_client_settings settings;
    settings.limits.maxBodyBytes = std::min(settings.limits.maxBodyBytes, memoryMiB * bytesPerMiB / 8);
    settings.maxBufferedBytes = memoryMiB * bytesPerMiB / 4;
    return settings;
}

[[nodiscard]] static pipelined_server_limits makeServerLimits(std::size_t memoryMiB)
{
    pipelined_server_limits limits;
    limits.maxBufferedBytes = memoryMiB * bytesPerMiB / 2;
    limits.maxKeptBodyBytes = maxForwardedBytes;
    return limits;
}

[[nodiscard]] static opaque_response makeResponse(
    int status, std::string_view kind, std::string_view message, milliseconds retryAfter)
{
    const http_response error = errorResponse(status, kind, message);
    opaque_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", error.contentType);
    if (milliseconds {} < retryAfter) {
        std::ostringstream seconds;
        seconds.precision(3);
        seconds << std::fixed << retryAfter.count() / 1000.0;
        response.headers.emplace_back("Retry-After", seconds.str());
    }
    response.body = error.body;
    return response;
}

static void appendMetrics(const nlohmann::json& value, const std::string& prefix, std::string& text)
{
    for (const auto& item : value.items()) {
        const std::string name = prefix + "_" + item.key();
        if (item.value().is_object())
            appendMetrics(item.value(), name, text);
        else if (item.value().is_boolean())
            text.append(name).append(item.value().get<bool>() ? " 1\n" : " 0\n");
        else if (item.value().is_number())
            text.append(name).append(" ").append(item.value().dump()).append("\n");
    }
}

} // namespace internal

gateway_runtime::gateway_runtime(event_loop& loop, const gateway_program_settings& settings, const chart_set& charts,
    protocol_adapter boundary, incarnation_id incarnation)
    : m_loop { loop }
    , m_settings { settings }
    , m_boundary { std::move(boundary) }
    , m_clock { system_time_source {} }
    , m_log { "gateway" }
    , m_requestLog { "requests" }
    , m_core { settings.gateway, charts.upstream, formatHostPort(settings.announcedPeers.value_or(settings.peers)),
        incarnation }
    , m_server { loop, internal::makeServerLimits(settings.memoryMiB),
        { [this](std::uint64_t number, opaque_request request) { onRequest(number, std::move(request)); },
            [this](std::uint64_t number) {
                m_arrivalTimes.erase(number);
                handle(client_disconnected { number });
            },
            [](const parse_error& fault) {
                constexpr int overloaded = 503;
                const std::string_view kind = fault.status == overloaded ? "overloaded" : "invalid_request";
                return internal::makeResponse(fault.status, kind, fault.message, {});
            } } }
    , m_upstream { loop, internal::makeExchangeSettings(settings.memoryMiB) }
    , m_upstreamCheck { loop, internal::reachabilityTimeout,
        [this](bool isRefused) { handle(upstream_checked { isRefused }); } }
    , m_hub { loop, settings.gateway.node, charts.peerLink, internal::makeHubSettings(settings.gateway),
        { [this] { return m_core.makeHello(); }, [this](node_event event) { onPeerEvent(std::move(event)); },
            [this](const write_log& line) { m_log.write(line); },
            [this](const node_name& peer, bool isSuspected) {
                handle(link_suspected { peer, isSuspected });
            } } }
    , m_answerRoom { settings.memoryMiB * internal::bytesPerMiB / 4 }
    , m_metricsServer { loop, http_server_settings {} }
    , m_wakeup { loop, [this] { handle(timer_fired {}); } }
    , m_tickTimer { loop, [this] { tick(); } }
    , m_lastTick { m_clock.now() }
{
    m_tickTimer.start(internal::tickInterval);
}

result<std::string> gateway_runtime::listen()
{
    result<std::string> peers = m_hub.listen(m_settings.peers.host, m_settings.peers.port);
    if (!hasValue(peers))
        return peers;
    if (m_settings.metrics) {
        m_metricsServer.route(http_method::get, "/metrics", [this](std::uint64_t id, const http_request&) {
            http_response response;
            response.contentType = "text/plain; charset=utf-8";
            response.body = formatMetrics();
            m_metricsServer.answer(id, response);
        });
        result<std::string> metrics = m_metricsServer.listen(m_settings.metrics->host, m_settings.metrics->port);
        if (!hasValue(metrics))
            return metrics;
    }
    return m_server.listen(m_settings.clients.host, m_settings.clients.port);
}

void gateway_runtime::handle(gateway_event event)
{
    gateway_actions actions = m_core.handle(std::move(event), m_clock.now(), m_clock.wallNow());
    for (gateway_action& action : actions)
        perform(action);
    scheduleWakeup();
}

// Clients and links may read slowly, and what they have not read is held here. So large responses of the upstream wait
// at the upstream while a quarter of the memory is held. Half of that is kept for responses: only they free the memory
// of their requests, so they must not wait for it.
void gateway_runtime::limitResponses()
{
    const std::size_t limit = m_settings.memoryMiB * internal::bytesPerMiB / 4;
    const std::size_t waitingBytes = m_hub.waitingAnswerBytes();
    m_upstream.setPaused(
        m_server.responseBytes() + waitingBytes > limit / 2 && m_server.bufferedBytes() + waitingBytes > limit);
}

void gateway_runtime::grantAnswers()
{
    if (m_answerRoom.waitingCount() == 0)
        return;
    for (const answer_grant& grant : m_answerRoom.takeGrants(m_server.responseBytes(), m_clock.now()))
        m_hub.send(send_to_peer { grant.node, forward_answer_grant { grant.call } });
}

void gateway_runtime::onAnswerOffer(const node_name& peer, const forward_answer_offer& offer)
{
    // An answer that is no longer awaited would wait at the peer until the link closes.
    if (!m_hub.isPending(peer, offer.id)) {
        m_hub.send(send_to_peer { peer, cancel_message { offer.id } });
        return;
    }
    m_answerRoom.offer(peer, offer.id, offer.bytes, m_clock.now());
    grantAnswers();
}

void gateway_runtime::scheduleWakeup()
{
    if (const std::optional<time_point> next = m_core.nextWakeup())
        m_wakeup.start(*next - m_clock.now());
}

// Requests read right after a stall of this process may have waited in socket buffers for as long as the stall, so
// their remaining time is reduced by its duration.
milliseconds gateway_runtime::stallCompensation() const
{
    const time_point now = m_clock.now();
    const milliseconds gap = now - m_lastTick - internal::tickInterval;
    if (gap > internal::minStall)
        return gap;
    return now < m_stallCompensationEnd ? m_stallDuration : milliseconds {};
}

void gateway_runtime::tick()
{
    const time_point now = m_clock.now();
    const milliseconds gap = now - m_lastTick - internal::tickInterval;
    if (gap > internal::minStall) {
        m_stallDuration = gap;
        m_stallCompensationEnd = now + internal::stallBacklogTime;
        m_log.write(log_level::warning, "process_stalled", { { "for_ms", std::to_string(gap.whole()) } });
    }
    m_lastTick = now;
    m_tickTimer.start(internal::tickInterval);
    limitResponses();
    grantAnswers();
    if (m_isStopping)
        checkStop();
}

void gateway_runtime::onPeerEvent(node_event event)
{
    if (message_received* received = std::get_if<message_received>(&event)) {
        if (forward_request* request = std::get_if<forward_request>(&received->message)) {
            const milliseconds allowance = stallCompensation();
            request->deadline = request->deadline - allowance;
            request->target = request->target - allowance;
        }
        if (const forward_answer_offer* offer = std::get_if<forward_answer_offer>(&received->message)) {
            onAnswerOffer(received->peer, *offer);
            return;
        }
        if (const forward_answer* answer = std::get_if<forward_answer>(&received->message))
            m_answerRoom.remove(received->peer, answer->id);
        handle(std::move(*received));
        grantAnswers();
    } else if (link_opened* opened = std::get_if<link_opened>(&event)) {
        handle(std::move(*opened));
    } else if (link_closed* closed = std::get_if<link_closed>(&event)) {
        m_answerRoom.remove(closed->peer);
        handle(std::move(*closed));
    } else if (calls_lost* lost = std::get_if<calls_lost>(&event)) {
        for (const call_id call : lost->lost)
            m_answerRoom.remove(lost->peer, call);
        handle(std::move(*lost));
    }
}

void gateway_runtime::onRequest(std::uint64_t number, opaque_request request)
{
    std::variant<client_request, opaque_response> read = m_boundary.readRequest(number, std::move(request));
    if (const opaque_response* refusal = std::get_if<opaque_response>(&read)) {
        m_server.answer(number, *refusal);
        return;
    }
    client_request& event = std::get<client_request>(read);
    if (event.deadline)
        event.deadline = *event.deadline - stallCompensation();
    m_arrivalTimes.emplace(number, m_clock.now());
    handle(std::move(event));
}

void gateway_runtime::perform(gateway_action& action)
{
    std::visit([this](auto& typed) { perform(typed); }, action);
}

void gateway_runtime::perform(answer_client& action)
{
    const auto position = m_arrivalTimes.find(action.handle);
    if (position != m_arrivalTimes.end()) {
        const bool isOwn = std::holds_alternative<local_answer>(action.answer);
        m_metrics.record(isOwn ? "own_answer_latency" : "answer_latency", m_clock.now() - position->second);
        m_arrivalTimes.erase(position);
    }
    if (opaque_response* response = std::get_if<opaque_response>(&action.answer)) {
        m_server.answer(action.handle, std::move(*response));
        limitResponses();
        return;
    }
    const local_answer& own = std::get<local_answer>(action.answer);
    m_metrics.count("own_answers_" + own.kind);
    m_server.answer(action.handle, internal::makeResponse(own.status, own.kind, own.message, own.retryAfter));
}

void gateway_runtime::perform(start_exchange& action)
{
    const std::uint64_t id = action.id;
    const std::string address = action.address;
    const std::string requestId = action.requestId;
    const std::uint64_t exchange = m_upstream.start(
        address, m_boundary.makeUpstreamRequest(std::move(action)),
        [this, requestId](const opaque_response& response) { return m_boundary.relate(requestId, response); },
        [this, id](exchange_outcome outcome) {
            m_exchangeIds.erase(id);
            exchange_ended event;
            event.id = id;
            if (opaque_response* response = std::get_if<opaque_response>(&outcome))
                event.outcome = m_boundary.readUpstreamResponse(std::move(*response));
            else
                event.outcome = std::get<exchange_failure>(outcome);
            handle(std::move(event));
        });
    m_exchangeIds.emplace(id, exchange);
}

void gateway_runtime::perform(cancel_exchange& action)
{
    const auto position = m_exchangeIds.find(action.id);
    if (position == m_exchangeIds.end())
        return;
    m_upstream.cancel(position->second);
    m_exchangeIds.erase(position);
}

void gateway_runtime::perform(check_upstream& action) { m_upstreamCheck.start(action.address); }

void gateway_runtime::perform(publish_record& action) { m_boundary.publish(action.record); }

void gateway_runtime::perform(withdraw_record&) { m_boundary.withdraw(); }

void gateway_runtime::perform(settle_leave& action) { m_boundary.answerLeave(action.verdict); }

void gateway_runtime::perform(set_store_read_mode& action) { m_boundary.setStoreReadMode(action.mode); }

void gateway_runtime::perform(reread_store& action) { m_boundary.rereadStore(action.era); }

void gateway_runtime::perform(apply_limits& action)
{
    pipelined_server_limits limits = internal::makeServerLimits(m_settings.memoryMiB);
    limits.message.maxHeaderBytes = action.limits.maxHeaderBytes;
    limits.message.maxBodyBytes = action.limits.maxBodyBytes;
    limits.headerTime = action.limits.headerTime;
    limits.idleTime = action.limits.idleTime;
    m_server.setLimits(limits);
}

void gateway_runtime::perform(send_to_peer& action)
{
    m_hub.send(action);
    const forward_answer* answer = std::get_if<forward_answer>(&action.message);
    const opaque_response* response = answer == nullptr ? nullptr : std::get_if<opaque_response>(&answer->outcome);
    if (response != nullptr && response->body.size() > maxUnofferedBytes)
        limitResponses();
    if (const cancel_message* cancel = std::get_if<cancel_message>(&action.message))
        m_answerRoom.remove(action.peer, cancel->id);
}

void gateway_runtime::perform(open_link& action) { m_hub.open(action); }

void gateway_runtime::perform(close_link& action) { m_hub.close(action); }

void gateway_runtime::perform(write_log& action)
{
    const bool isAboutRequest = std::any_of(action.fields.begin(), action.fields.end(),
        [](const std::pair<std::string, std::string>& field) { return field.first == "request"; });
    (isAboutRequest ? m_requestLog : m_log).write(action);
}

void gateway_runtime::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopStart = m_clock.now();
    m_stopSchedule = makeStopSchedule(m_settings.grace);
    m_server.startDraining();
    handle(stop_requested { m_stopSchedule.lastStart });
}

void gateway_runtime::giveUp(const std::vector<std::uint64_t>& requests)
{
    if (!requests.empty())
        m_log.write(log_level::warning, "requests_given_up", { { "count", std::to_string(requests.size()) } });
    handle(requests_given_up { requests });
}

void gateway_runtime::checkStop()
{
    const milliseconds elapsed = m_clock.now() - m_stopStart;
    const bool isOutOfRotation = m_stopSchedule.idleClose <= elapsed;
    if (isOutOfRotation)
        m_server.closeIdle();
    if (m_stopSchedule.lastAnswer <= elapsed)
        giveUp(m_server.pendingRequests());
    else if (m_stopSchedule.lastStart <= elapsed)
        giveUp(m_server.blockingRequests());
    const bool isDone
        = isOutOfRotation && m_core.isIdle() && m_server.connectionCount() == 0 && m_hub.unwrittenBytes() == 0;
    if (!isDone && elapsed < m_stopSchedule.end)
        return;
    m_log.write(log_level::info, "stopped", { { "unanswered", std::to_string(m_server.pendingCount()) } });
    m_loop.stop();
}

void gateway_runtime::reload(const gateway_program_settings& settings)
{
    m_settings.grace = settings.grace;
    m_settings.gateway.retries = settings.gateway.retries;
    m_log.write(log_level::info, "settings_reloaded",
        { { "retry_ratio", std::to_string(settings.gateway.retries.ratio) },
            { "retry_slack", std::to_string(settings.gateway.retries.slack) } });
    handle(retry_settings_changed { settings.gateway.retries });
}

std::string gateway_runtime::formatMetrics() const
{
    nlohmann::json values = m_core.describe();
    values["client"] = { { "connections", m_server.connectionCount() }, { "pending", m_server.pendingCount() },
        { "held_bytes", m_server.bufferedBytes() }, { "held_response_bytes", m_server.responseBytes() },
        { "granted_answer_bytes", m_answerRoom.grantedBytes() }, { "waiting_answers", m_answerRoom.waitingCount() } };
    values["exchanges"] = { { "connections_opened", m_upstream.counters().openedConnections },
        { "foreign_responses", m_upstream.counters().mismatchedResponses },
        { "surplus_bytes", m_upstream.counters().unsolicitedData },
        { "oversized_responses", m_upstream.counters().oversizedResponses },
        { "held_bytes", m_upstream.bufferedBytes() } };
    nlohmann::json sent = nlohmann::json::object();
    for (const std::pair<const std::string_view, sent_message_counts>& item : m_hub.sentByKind())
        sent[std::string { item.first }] = { { "messages", item.second.messages }, { "bytes", item.second.bytes },
            { "remote_bytes", item.second.remoteBytes } };
    values["sent_to_peers"] = std::move(sent);
    const link_fault_counts& faults = m_hub.faults();
    values["links"] = { { "ended", faults.endedLinks }, { "ended_calls", faults.endedCalls },
        { "waiting_answer_bytes", m_hub.waitingAnswerBytes() }, { "unwritten_bytes", m_hub.unwrittenBytes() },
        { "unwritten_calls", faults.unwrittenCalls }, { "unreadable_messages", faults.unreadableMessages },
        { "untransferable_messages", faults.untransferableMessages } };
    values.update(m_metrics.describe());
    std::string text;
    internal::appendMetrics(values, "knapweed", text);
    return text;
}

} // namespace knapweedcroft
