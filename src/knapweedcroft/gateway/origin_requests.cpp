#include "knapweedcroft/gateway/origin_requests.hpp"

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/gateway/request_digest.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds defaultTimeout { 60'000 }; // For requests without a deadline.
static constexpr milliseconds defaultRetryAfter { 250 }; // When no refusal named a retry delay.
static constexpr milliseconds minRetryAfter { 20 };
// A refusal does not load an upstream, but each further attempt costs a message to another node.
static constexpr std::size_t maxNodesTried = 3;
// Clients notice the drain within two health checks, which they make once a second.
static constexpr milliseconds drainNoticePeriod { 2500 };
// Clients honour a retry delay of at most a third of their remaining time.
static constexpr std::int64_t retryAfterDivisor = 3;

[[nodiscard]] static local_answer makeAnswer(int status, std::string kind, std::string message, milliseconds retryAfter)
{
    local_answer answer;
    answer.status = status;
    answer.kind = std::move(kind);
    answer.message = std::move(message);
    answer.retryAfter = retryAfter;
    return answer;
}

[[nodiscard]] static std::string formatMs(milliseconds value) { return std::to_string(value.whole()); }

} // namespace internal

origin_requests::origin_requests(const gateway_settings& settings, node_directory& directory, served_requests& served,
    const request_quarantine& quarantine)
    : m_settings { settings }
    , m_directory { directory }
    , m_served { served }
    , m_quarantine { quarantine }
    , m_table { std::make_shared<const entry_table>() }
    , m_upstreamSelector { settings.data_centre, settings.seed }
    , m_retryBudget { settings.retries }
    , m_jitter { settings.seed }
{
}

void origin_requests::setEntryTable(std::shared_ptr<const entry_table> table)
{
    m_table = std::move(table);
    m_serviceSelector.reset();
}

void origin_requests::receive(client_request event, time_point now, gateway_actions& actions)
{
    ++m_counters.received;
    const std::uint64_t id = ++m_lastId;
    origin_request& request = m_requests[id];
    request.handle = event.handle;
    request.requestId = std::move(event.requestId);
    request.arrival = now;
    request.deadline = now + event.deadline.value_or(internal::defaultTimeout);
    request.clientDeadline = request.deadline;
    m_idsByHandle.emplace(event.handle, id);
    m_deadlines.emplace(request.deadline, id);
    if (m_table->version() < 0) {
        request.reason = refusal_reason::unknown_entry;
        refuse(id, now, actions);
        return;
    }
    request.table = m_table;
    request.entry = m_table->find(event.host, event.request.target);
    if (request.entry == nullptr || request.entry->services.empty()) {
        respond(id, internal::makeAnswer(404, "unknown_entry", "no entry of the catalogue matches host and path", {}),
            actions);
        return;
    }
    m_deadlines.erase({ request.deadline, id });
    request.deadline = std::min(request.deadline, now + request.entry->timeout);
    m_deadlines.emplace(request.deadline, id);
    if (isPastProcessEnd(request, now)) {
        request.reason = refusal_reason::draining;
        refuse(id, now, actions);
        return;
    }
    request.service = m_serviceSelector.choose(*request.entry);
    request.request = std::move(event.request);
    m_served.recordArrival(request.entry->name, now);
    m_retryBudget.setNodeCount(static_cast<std::uint32_t>(m_directory.nodes().size()) + 1);
    // Otherwise each level of a call tree would add its own retries to those of the levels above.
    request.isCallOfRetry = event.deadline && m_served.isCallOfRetry(request.clientDeadline);
    if (request.isCallOfRetry)
        m_retryBudget.recordInheritedRetry(request.service, now);
    else
        m_retryBudget.recordFirstAttempt(request.service, now);
    selectAndSend(id, now, actions);
}

void origin_requests::startDraining(time_point now, time_point end)
{
    m_drainingSince = now;
    m_processEnd = end;
}

void origin_requests::giveUp(const std::vector<request_handle>& handles, time_point now, gateway_actions& actions)
{
    m_isEnding = true;
    for (const request_handle handle : handles) {
        const auto position = m_idsByHandle.find(handle);
        if (position == m_idsByHandle.end())
            continue;
        const std::uint64_t id = position->second;
        origin_request& request = m_requests.at(id);
        cancelAtNode(id, now, actions);
        request.mayHaveRun = request.mayHaveRun || !request.isOffered;
        request.reason = refusal_reason::draining;
        refuse(id, now, actions);
    }
}

// Requests still running at the end of the process are lost, so requests that may outlast it are refused as not run
// once clients have had time to notice the drain.
bool origin_requests::isPastProcessEnd(const origin_request& request, time_point now) const
{
    return m_processEnd && now - m_drainingSince > internal::drainNoticePeriod && request.deadline > *m_processEnd;
}

std::vector<upstream_candidate> origin_requests::candidatesFor(const origin_request& request, time_point now) const
{
    std::vector<upstream_candidate> candidates;
    if (request.isBodyHandedOver)
        return candidates;
    for (const known_node* known : m_directory.nodesOfService(request.service)) {
        const node_name& node = known->record.node;
        const bool isReachable = known->isLinked && !known->isSuspected && known->isServing && known->status.has_value()
            && (node == m_settings.node || request.request.body.size() <= maxForwardedBytes);
        const bool isAlreadyTried
            = std::find(request.triedNodes.begin(), request.triedNodes.end(), node) != request.triedNodes.end();
        if (!isReachable || isAlreadyTried)
            continue;
        candidates.push_back({ node, known->record.data_centre, known->status->load, known->status->remainingWarmUp,
            now - known->loadReceivedAt });
    }
    return candidates;
}

void origin_requests::setDigest(origin_request& request) const
{
    if (!request.digest)
        request.digest = digestOf(m_settings.service, request.request);
}

quarantine_status origin_requests::quarantineStatusOf(origin_request& request, time_point now) const
{
    if (m_quarantine.empty())
        return {};
    setDigest(request);
    return m_quarantine.statusOf(*request.digest, now);
}

// Nodes that know the same upstreams select the same one for a content, so that it does not end two of them at a time.
static void restrictToOneUpstream(std::uint64_t digest, std::vector<upstream_candidate>& candidates)
{
    const auto selected = std::max_element(
        candidates.begin(), candidates.end(), [digest](const upstream_candidate& lhs, const upstream_candidate& rhs) {
            return hash64(lhs.node, digest) < hash64(rhs.node, digest);
        });
    if (selected != candidates.end())
        candidates = { *selected };
}

void origin_requests::selectAndSend(std::uint64_t id, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    if (m_isEnding) {
        request.reason = refusal_reason::draining;
        refuse(id, now, actions);
        return;
    }
    const quarantine_status status = quarantineStatusOf(request, now);
    if (status.isHeld()) {
        ++m_counters.quarantined;
        request.reason = refusal_reason::quarantined;
        request.retryAfter = status.holdLeft;
        refuse(id, now, actions);
        return;
    }
    std::vector<upstream_candidate> candidates = candidatesFor(request, now);
    if (status.isSuspected())
        restrictToOneUpstream(*request.digest, candidates);
    const milliseconds latencyBudget = std::min(request.entry->targetLatency, request.entry->timeout);
    const selection_request requirements { request.entry->name, latencyBudget - (now - request.arrival) };
    const std::optional<std::size_t> chosen = m_upstreamSelector.choose(candidates, requirements, now);
    if (!chosen) {
        refuse(id, now, actions);
        return;
    }
    const bool hasAlternative = candidates.size() > 1 && request.triedNodes.size() + 1 < internal::maxNodesTried;
    send(id, candidates[*chosen], hasAlternative, now, actions);
}

bool origin_requests::needsOffer(const origin_request& request) const
{
    return request.node != m_settings.node && request.request.body.size() > maxUnofferedBytes;
}

void origin_requests::send(
    std::uint64_t id, const upstream_candidate& target, bool hasAlternative, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    request.node = target.node;
    request.triedNodes.push_back(target.node);
    m_upstreamSelector.recordSent(target.node);
    if (target.data_centre != m_settings.data_centre)
        ++m_counters.crossDataCentre;
    request.hasAlternative = hasAlternative;
    request.isOffered = needsOffer(request);
    if (request.isOffered)
        actions.emplace_back(send_to_peer {
            target.node, forward_offer { call_id { id }, request.service, request.request.body.size() } });
    else
        sendRequest(id, now, actions);
}

void origin_requests::handleGrant(const node_name& peer, call_id id, time_point now, gateway_actions& actions)
{
    const auto position = m_requests.find(id.value());
    if (position == m_requests.end() || position->second.node != peer || !position->second.isOffered)
        return;
    position->second.isOffered = false;
    sendRequest(id.value(), now, actions);
}

void origin_requests::sendRequest(std::uint64_t id, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    const forward_entry& entry = *request.entry;
    forward_request message;
    message.id = call_id { id };
    message.service = request.service;
    message.caller = m_settings.service;
    message.entry = entry.name;
    message.requestId = request.requestId;
    message.rank = entry.rank;
    message.hasAlternative = request.hasAlternative;
    message.isRetry = request.isCallOfRetry || request.upstreamAttempts > 0;
    message.deadline = request.deadline - now;
    message.target = entry.targetLatency - (now - request.arrival);
    if (request.request.body.size() > maxForwardedBytes) {
        // Only this node can run it, so the body need not be kept for another one.
        setDigest(request);
        request.isBodyHandedOver = true;
        message.request = std::move(request.request);
    } else {
        message.request = request.request;
    }
    actions.emplace_back(send_to_peer { request.node, std::move(message) });
}

void origin_requests::handleAnswer(
    const node_name& peer, forward_answer answer, time_point now, gateway_actions& actions)
{
    if (answer.load.slots > 0)
        m_directory.updateLoad(peer, answer.load, std::holds_alternative<opaque_response>(answer.outcome), now);
    const std::uint64_t id = answer.id.value();
    const auto position = m_requests.find(id);
    if (position == m_requests.end() || position->second.node != peer)
        return;
    origin_request& request = position->second;
    m_served.recordAnswer(request.entry->name, answer, now - request.arrival <= request.entry->targetLatency, now);
    opaque_response* response = std::get_if<opaque_response>(&answer.outcome);
    m_upstreamSelector.recordEnd(peer, request.entry->name,
        response == nullptr ? std::nullopt : std::optional<milliseconds> { answer.upstreamTime }, now);
    if (response != nullptr) {
        ++m_counters.answered;
        constexpr int firstServerError = 500;
        if (response->status >= firstServerError)
            log(log_level::info, "upstream_error", request,
                { { "status", std::to_string(response->status) }, { "node", peer } }, now, actions);
        actions.emplace_back(answer_client { request.handle, std::move(*response) });
        remove(id);
        return;
    }
    if (const forward_refusal* refusal = std::get_if<forward_refusal>(&answer.outcome))
        handleRefusal(id, *refusal, now, actions);
    else
        handleFailure(id, std::get<forward_failure>(answer.outcome).message, now, actions);
}

bool origin_requests::spendRetry(const origin_request& request, time_point now)
{
    return request.upstreamAttempts < request.entry->maxAttempts && now < request.deadline
        && m_retryBudget.spend(request.service, now);
}

void origin_requests::handleRefusal(
    std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    const bool isFirst = !(milliseconds {} < request.retryAfter);
    request.retryAfter = isFirst ? refusal.retryAfter : std::min(request.retryAfter, refusal.retryAfter);
    request.reason = refusal.reason;
    const bool isUnavailable
        = refusal.reason == refusal_reason::draining || refusal.reason == refusal_reason::no_upstream;
    if (isUnavailable && request.node != m_settings.node)
        m_directory.markNotServing(request.node);
    if (refusal.reachedUpstream) {
        ++request.upstreamAttempts;
        m_upstreamSelector.recordFailure(request.node, now);
        if (!spendRetry(request, now)) {
            refuse(id, now, actions);
            return;
        }
        ++m_counters.retried;
    }
    if (refusal.isFinal || request.triedNodes.size() >= internal::maxNodesTried) {
        refuse(id, now, actions);
        return;
    }
    ++m_counters.rerouted;
    log(log_level::debug, "request_rerouted", request,
        { { "reason", std::string { toString(refusal.reason) } }, { "node", request.node } }, now, actions);
    selectAndSend(id, now, actions);
}

void origin_requests::handleFailure(
    std::uint64_t id, const std::string& cause, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    ++request.upstreamAttempts;
    request.mayHaveRun = true;
    m_upstreamSelector.recordFailure(request.node, now);
    const bool canRetryElsewhere = request.entry->isIdempotent && !quarantineStatusOf(request, now).isHeld()
        && !candidatesFor(request, now).empty();
    if (canRetryElsewhere && spendRetry(request, now)) {
        ++m_counters.retried;
        log(log_level::info, "request_repeated", request, { { "cause", cause }, { "node", request.node } }, now,
            actions);
        selectAndSend(id, now, actions);
        return;
    }
    ++m_counters.failed;
    log(log_level::info, "request_failed", request, { { "cause", cause }, { "node", request.node } }, now, actions);
    respond(id, internal::makeAnswer(502, "failed_after_start", "no whole answer came; it may have run", {}), actions);
}

void origin_requests::refuse(std::uint64_t id, time_point now, gateway_actions& actions)
{
    origin_request& request = m_requests.at(id);
    if (request.mayHaveRun) {
        ++m_counters.failed;
        const std::string cause
            = m_isEnding ? "the node ends before the answer" : "no other upstream available for the retry";
        log(log_level::info, "request_failed", request, { { "cause", cause }, { "node", request.node } }, now, actions);
        respond(
            id, internal::makeAnswer(502, "failed_after_start", "no whole answer came; it may have run", {}), actions);
        return;
    }
    const milliseconds delay
        = m_jitter.spread(milliseconds {} < request.retryAfter ? request.retryAfter : internal::defaultRetryAfter);
    const milliseconds maxDelay = (request.clientDeadline - now) / internal::retryAfterDivisor;
    // A request that is held back cannot succeed earlier, so its client is told the whole time.
    const milliseconds retryAfter = request.reason == refusal_reason::quarantined
        ? request.retryAfter
        : std::max(internal::minRetryAfter, std::min(delay, maxDelay));
    ++m_counters.refused;
    log(log_level::info, "request_refused", request,
        { { "reason", std::string { toString(request.reason) } },
            { "retry_after_ms", internal::formatMs(retryAfter) } },
        now, actions);
    respond(id,
        internal::makeAnswer(503, std::string { toString(request.reason) }, "not run; send it again later", retryAfter),
        actions);
}

void origin_requests::respond(std::uint64_t id, local_answer answer, gateway_actions& actions)
{
    actions.emplace_back(answer_client { m_requests.at(id).handle, std::move(answer) });
    remove(id);
}

void origin_requests::cancelAtNode(std::uint64_t id, time_point now, gateway_actions& actions)
{
    const origin_request& request = m_requests.at(id);
    m_upstreamSelector.recordEnd(request.node, request.entry->name, std::nullopt, now);
    actions.emplace_back(send_to_peer { request.node, cancel_message { call_id { id } } });
}

void origin_requests::remove(std::uint64_t id)
{
    const auto position = m_requests.find(id);
    m_deadlines.erase({ position->second.deadline, id });
    m_idsByHandle.erase(position->second.handle);
    m_requests.erase(position);
}

void origin_requests::cancel(request_handle handle, time_point now, gateway_actions& actions)
{
    const auto position = m_idsByHandle.find(handle);
    if (position == m_idsByHandle.end())
        return;
    const std::uint64_t id = position->second;
    const origin_request& request = m_requests.at(id);
    ++m_counters.abandoned;
    log(log_level::debug, "request_abandoned", request, { { "node", request.node } }, now, actions);
    cancelAtNode(id, now, actions);
    remove(id);
}

void origin_requests::handleServiceTimes(const node_name& node, const service_times_message& message, time_point now)
{
    for (const entry_service_time& reported : message.times)
        m_upstreamSelector.recordReportedServiceTime(node, reported, now);
}

void origin_requests::handleLinkLost(const link_closed& event, time_point now, gateway_actions& actions)
{
    calls_lost lost { event.peer, {}, event.unwritten };
    for (const std::pair<const std::uint64_t, origin_request>& item : m_requests) {
        if (item.second.node == event.peer)
            lost.lost.emplace_back(item.first);
    }
    handleCallsLost(lost, now, actions);
}

void origin_requests::handleCallsLost(const calls_lost& event, time_point now, gateway_actions& actions)
{
    const std::set<call_id> unwritten { event.unwritten.begin(), event.unwritten.end() };
    std::set<call_id> affected { event.lost.begin(), event.lost.end() };
    affected.insert(unwritten.begin(), unwritten.end());
    for (const call_id call : affected) {
        const std::uint64_t id = call.value();
        const auto position = m_requests.find(id);
        if (position == m_requests.end() || position->second.node != event.peer)
            continue;
        // The peer keeps its reservation until it learns that the request has ended.
        if (needsOffer(position->second))
            actions.emplace_back(send_to_peer { event.peer, cancel_message { call } });
        const bool isUnwritten = std::exchange(position->second.isOffered, false) || unwritten.count(call) != 0;
        m_upstreamSelector.recordEnd(event.peer, position->second.entry->name, std::nullopt, now);
        if (isUnwritten)
            handleRefusal(
                id, forward_refusal { refusal_reason::no_upstream, internal::defaultRetryAfter, false }, now, actions);
        else
            handleFailure(id, "link to the node closed before the answer arrived", now, actions);
    }
}

void origin_requests::poll(time_point now, gateway_actions& actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const std::uint64_t id = m_deadlines.begin()->second;
        const origin_request& request = m_requests.at(id);
        ++m_counters.timedOut;
        log(log_level::info, "request_timed_out", request, { { "node", request.node } }, now, actions);
        cancelAtNode(id, now, actions);
        respond(id, internal::makeAnswer(504, "timed_out", "no answer in time; it may have run", {}), actions);
    }
}

std::optional<time_point> origin_requests::nextWakeup() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void origin_requests::log(log_level level, std::string event, const origin_request& request,
    std::vector<std::pair<std::string, std::string>> fields, time_point now, gateway_actions& actions) const
{
    write_log line;
    line.level = level;
    line.event = std::move(event);
    line.fields = std::move(fields);
    line.fields.emplace_back("request", request.requestId);
    line.fields.emplace_back("entry", request.entry == nullptr ? "" : request.entry->name);
    line.fields.emplace_back("age_ms", internal::formatMs(now - request.arrival));
    line.fields.emplace_back("left_ms", internal::formatMs(request.deadline - now));
    line.fields.emplace_back("catalogue", std::to_string(m_table->version()));
    actions.emplace_back(std::move(line));
}

} // namespace knapweedcroft
