#include "knapweedcroft/gateway/served_requests.hpp"

#include "knapweedcroft/gateway/request_digest.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

// An overload that outlasts the queue wait takes at least several seconds to clear, so earlier retries are of no use.
static constexpr milliseconds overloadRetryAfter { 1000 };
static constexpr milliseconds unavailableRetryAfter { 300 }; // A restarted upstream announces itself within this time.
// About the time in which the suspected content that is running ends.
static constexpr milliseconds suspectRetryAfter { 300 };
// A call gives its deadline in whole milliseconds and arrives a little later than it was sent.
static constexpr milliseconds maxDeadlineLead { 5 };
static constexpr milliseconds maxDeadlineLag { 20 };
static constexpr double loggedRateChange = 0.25; // Share by which a rate changes before it is logged again.

[[nodiscard]] static bool isSuccess(int status)
{
    constexpr int firstServerError = 500;
    return status < firstServerError;
}

} // namespace internal

served_requests::served_requests(
    const gateway_settings& settings, upstream_registry& registry, request_quarantine& quarantine)
    : m_settings { settings }
    , m_registry { registry }
    , m_quarantine { quarantine }
    , m_queue { settings.seed }
{
}

std::optional<refusal_reason> served_requests::immediateRefusal(
    const node_name& peer, const service_name& service) const
{
    if (service != m_settings.service)
        return refusal_reason::no_upstream;
    if (m_isEnding || (m_isDraining && peer != m_settings.node))
        return refusal_reason::draining;
    if (m_registry.isServing())
        return std::nullopt;
    return m_registry.state() == upstream_chart_state::draining ? refusal_reason::draining
                                                                : refusal_reason::no_upstream;
}

void served_requests::receiveOffer(
    const node_name& peer, const forward_offer& message, time_point now, gateway_actions& actions)
{
    std::optional<refusal_reason> reason = immediateRefusal(peer, message.service);
    const bool isTooMuch
        = message.bodyBytes > maxForwardedBytes || m_reservedBytes + message.bodyBytes > m_settings.maxReservedBytes;
    if (!reason && isTooMuch && m_reservedBytes > 0)
        reason = refusal_reason::overloaded;
    if (reason) {
        ++m_counters.refused;
        served_request offered;
        offered.message.id = message.id;
        actions.emplace_back(send_to_peer {
            peer, makeAnswer(offered, forward_refusal { *reason, internal::overloadRetryAfter, false }, now) });
        return;
    }
    m_reservations[{ peer, message.id }] = message.bodyBytes;
    m_reservedBytes += message.bodyBytes;
    actions.emplace_back(send_to_peer { peer, forward_grant { message.id } });
}

void served_requests::stopStarting(time_point now, gateway_actions& actions)
{
    m_isEnding = true;
    apply(m_queue.refuseAll(refusal_reason::draining, now), now, actions);
}

void served_requests::release(const node_name& peer, call_id id)
{
    const auto position = m_reservations.find({ peer, id });
    if (position == m_reservations.end())
        return;
    m_reservedBytes -= position->second;
    m_reservations.erase(position);
}

void served_requests::receive(const node_name& peer, forward_request received, time_point now, gateway_actions& actions)
{
    ++m_counters.received;
    const std::uint64_t id = ++m_lastId;
    served_request& request = m_requests[id];
    request.peer = peer;
    request.id = id;
    request.message = std::move(received);
    const forward_request& message = request.message;
    request.deadline = now + message.deadline;
    request.target = now + message.target;
    m_idsByPeer.emplace(std::make_pair(peer, message.id), id);
    if (const std::optional<refusal_reason> reason = immediateRefusal(peer, message.service)) {
        refuse(id, forward_refusal { *reason, internal::unavailableRetryAfter, false }, now, actions);
        return;
    }
    request.digest = digestOf(message.caller, message.request);
    if (const std::optional<forward_refusal> refusal = quarantineRefusal(id, now)) {
        refuse(id, *refusal, now, actions);
        return;
    }
    m_originClassifier.recordRequest(message.entry, message.caller);
    const slot_request slot = makeSlotRequest(id);
    // Does not count as offered work, since another upstream may take it.
    if (m_queue.isTooSlowFor(slot, now)) {
        refuse(id, forward_refusal { refusal_reason::rate_limited, internal::overloadRetryAfter, false }, now, actions);
        return;
    }
    if (shouldRefuseNewWork(message, now)) {
        refuse(id, forward_refusal { refusal_reason::overloaded, internal::overloadRetryAfter, false, true }, now,
            actions);
        return;
    }
    m_admissionControl.addOfferedWork(m_queue.serviceTime(message.entry));
    updateAdmissionRatio(now);
    apply(m_queue.offer(slot, now), now, actions);
}

slot_request served_requests::makeSlotRequest(std::uint64_t id) const
{
    const served_request& request = m_requests.at(id);
    slot_request slot;
    slot.id = id;
    slot.entry = request.message.entry;
    slot.isSubCall = m_originClassifier.originOf(request.message.entry) == entry_origin::upstreams;
    slot.hasAlternative = request.message.hasAlternative;
    slot.target = request.target;
    slot.deadline = request.deadline;
    return slot;
}

double served_requests::admissionRatioOf(const std::string& entry, time_point now) const
{
    const double downstreamRatio = m_callDependence.isDependent(entry) ? m_downstreamRatios.minimum(now) : 1.0;
    return std::min(m_admissionControl.admissionRatio(), downstreamRatio);
}

// Calls of upstreams are never refused here, because the work already done for the calling request would be lost.
bool served_requests::shouldRefuseNewWork(const forward_request& message, time_point now)
{
    if (m_originClassifier.originOf(message.entry) != entry_origin::clients)
        return false;
    const double ratio = rankAdmissionRatio(admissionRatioOf(message.entry, now), message.rank);
    double& credit = m_admissionCredits.try_emplace(message.entry, 1.0).first->second;
    constexpr double maxCredit = 2.0;
    credit = std::min(maxCredit, credit + ratio);
    if (credit < 1.0)
        return true;
    credit -= 1.0;
    return false;
}

void served_requests::recordPeerCallers(const entry_callers_message& message)
{
    for (const entry_caller_count& counted : message.counts)
        m_originClassifier.recordPeerRequests(counted);
}

void served_requests::recordArrival(const std::string& entry, time_point now)
{
    if (m_upstreamOnlyEntries.count(entry) != 0)
        m_callDependence.recordCall(now);
}

bool served_requests::isCallOfRetry(time_point deadline) const
{
    const auto position = m_retryDeadlines.lower_bound(deadline - internal::maxDeadlineLag);
    return position != m_retryDeadlines.end() && *position <= deadline + internal::maxDeadlineLead;
}

void served_requests::recordAnswer(
    const std::string& entry, const forward_answer& answer, bool isTimely, time_point now)
{
    if (!answer.isCalledByUpstreamsOnly) {
        m_upstreamOnlyEntries.erase(entry);
        return;
    }
    m_upstreamOnlyEntries.insert(entry);
    const opaque_response* response = std::get_if<opaque_response>(&answer.outcome);
    m_downstreamRatios.update(entry, answer.admissionRatio, now);
    m_callDependence.recordCallEnd(isTimely && response != nullptr && internal::isSuccess(response->status), now);
}

void served_requests::recordOutcome(const served_request& request, const exchange_ended& event, time_point now)
{
    const upstream_response* response = std::get_if<upstream_response>(&event.outcome);
    const bool isAnswered
        = response != nullptr && !response->isNotRun && internal::isSuccess(response->response.status);
    m_callDependence.recordRequestStop(request.message.entry, now);
    m_callDependence.recordRequestOutcome(request.message.entry, isAnswered && now <= request.target, now);
}

void served_requests::updateAdmissionRatio(time_point now)
{
    const bool isQueued = m_queue.load(now).queued > 0;
    m_admissionControl.update(
        load_sample { m_queue.usableSlots(), isQueued ? m_queue.expectedSlotWait(now) : milliseconds {} }, now);
}

void served_requests::apply(const slot_decisions& decisions, time_point now, gateway_actions& actions)
{
    for (const slot_decision& decision : decisions) {
        if (const start_request* started = std::get_if<start_request>(&decision)) {
            const std::optional<forward_refusal> refusal = quarantineRefusal(started->id, now);
            if (!refusal) {
                start(started->id, now, actions);
                continue;
            }
            refuse(started->id, *refusal, now, actions);
            apply(m_queue.release(started->id, false, now), now, actions);
            continue;
        }
        const refuse_request& refused = std::get<refuse_request>(decision);
        const milliseconds minRetryAfter = m_queue.rate() ? internal::overloadRetryAfter : milliseconds {};
        refuse(refused.id, forward_refusal { refused.reason, std::max(refused.retryAfter, minRetryAfter), false }, now,
            actions);
    }
}

void served_requests::start(std::uint64_t id, time_point now, gateway_actions& actions)
{
    served_request& request = m_requests.at(id);
    const upstream_announcement& upstream = *m_registry.current();
    ++m_counters.started;
    request.startedAt = now;
    request.upstream = upstream.incarnation.id;
    m_callDependence.recordRequestStart(request.message.entry, now);
    if (request.message.isRetry)
        m_retryDeadlines.insert(request.deadline);
    start_exchange action;
    action.id = id;
    action.address = m_settings.upstreamAddress;
    action.upstream = request.upstream;
    action.caller = request.message.caller;
    action.requestId = request.message.requestId;
    action.deadline = request.deadline - now;
    action.request = std::move(request.message.request);
    request.message.request.target = action.request.target; // For the log.
    actions.emplace_back(std::move(action));
}

served_requests::served_request served_requests::extract(request_map::iterator position)
{
    served_request request = std::move(position->second);
    m_requests.erase(position);
    m_idsByPeer.erase(std::make_pair(request.peer, request.message.id));
    if (request.startedAt && request.message.isRetry)
        m_retryDeadlines.erase(m_retryDeadlines.find(request.deadline));
    release(request.peer, request.message.id);
    return request;
}

void served_requests::refuse(std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions)
{
    const auto position = m_requests.find(id);
    if (position == m_requests.end())
        return;
    const served_request request = extract(position);
    ++m_counters.refused;
    m_counters.quarantined += refusal.reason == refusal_reason::quarantined ? 1U : 0U;
    m_counters.rateLimited += refusal.reason == refusal_reason::rate_limited ? 1U : 0U;
    const upstream_load load = m_queue.load(now);
    log("request_turned_away", request,
        { { "reason", std::string { toString(refusal.reason) } }, { "queued", std::to_string(load.queued) },
            { "running", std::to_string(load.running) },
            { "room", std::to_string(admissionRatioOf(request.message.entry, now)) } },
        actions);
    actions.emplace_back(send_to_peer { request.peer, makeAnswer(request, refusal, now) });
}

forward_answer served_requests::makeAnswer(const served_request& request, forward_outcome outcome, time_point now) const
{
    const opaque_response* response = std::get_if<opaque_response>(&outcome);
    if (response != nullptr && response->body.size() > maxForwardedBytes && request.peer != m_settings.node)
        outcome = forward_failure { "the response is too large to be passed on between nodes" };
    forward_answer message;
    message.id = request.message.id;
    message.outcome = std::move(outcome);
    message.load = m_queue.load(now);
    message.isCalledByUpstreamsOnly = m_originClassifier.originOf(request.message.entry) == entry_origin::upstreams;
    message.admissionRatio = admissionRatioOf(request.message.entry, now);
    if (request.startedAt)
        message.upstreamTime = now - *request.startedAt;
    return message;
}

void served_requests::cancelRequest(std::uint64_t id, time_point now, gateway_actions& actions)
{
    const auto position = m_requests.find(id);
    if (position == m_requests.end())
        return;
    const served_request request = extract(position);
    ++m_counters.cancelled;
    if (request.startedAt) {
        m_callDependence.recordRequestStop(request.message.entry, now);
        actions.emplace_back(cancel_exchange { id });
    }
    apply(m_queue.release(id, false, now), now, actions);
}

void served_requests::cancel(const node_name& peer, call_id id, time_point now, gateway_actions& actions)
{
    const auto position = m_idsByPeer.find(std::make_pair(peer, id));
    if (position != m_idsByPeer.end())
        cancelRequest(position->second, now, actions);
    release(peer, id);
}

void served_requests::handlePeerLost(const node_name& peer, time_point now, gateway_actions& actions)
{
    std::vector<std::uint64_t> orphaned;
    for (const std::pair<const std::uint64_t, served_request>& item : m_requests) {
        if (item.second.peer == peer)
            orphaned.push_back(item.first);
    }
    std::sort(orphaned.begin(), orphaned.end());
    for (const std::uint64_t id : orphaned)
        cancelRequest(id, now, actions);
    // Requests that were granted and have not arrived.
    auto position = m_reservations.lower_bound({ peer, call_id {} });
    while (position != m_reservations.end() && position->first.first == peer) {
        const call_id id = (position++)->first.second;
        release(peer, id);
    }
}

forward_outcome served_requests::outcomeOf(
    const served_request& request, upstream_response& response, time_point now, gateway_actions& actions)
{
    if (response.isUnverified) {
        log("exchange_failed", request,
            { { "cause", "a success without the upstream's signature" },
                { "remedy", "find out what answers at the upstream's address" } },
            actions);
        ++m_counters.failed;
        return forward_failure { "the upstream's success has no signature" };
    }
    if (!response.isNotRun) {
        ++m_counters.answered;
        return std::move(response.response);
    }
    ++m_counters.shed;
    log("request_shed", request, { { "status", std::to_string(response.response.status) } }, actions);
    const refusal_reason reason = response.isMisdirected ? refusal_reason::no_upstream : refusal_reason::upstream_shed;
    return forward_refusal { reason, m_queue.expectedSlotWait(now), !response.isMisdirected };
}

forward_outcome served_requests::outcomeOf(
    const served_request& request, const exchange_failure& failure, gateway_actions& actions)
{
    log("exchange_failed", request,
        { { "cause", failure.cause.message }, { "written", failure.wasWritten ? "true" : "false" },
            { "digest", formatDigest(request.digest) }, { "upstream", request.upstream } },
        actions);
    if (!failure.wasWritten)
        return forward_refusal { refusal_reason::no_upstream, internal::unavailableRetryAfter, false };
    ++m_counters.failed;
    return forward_failure { failure.cause.message };
}

upstream_finding served_requests::handleExchangeEnd(exchange_ended event, time_point now, gateway_actions& actions)
{
    const auto position = m_requests.find(event.id);
    if (position == m_requests.end())
        return upstream_finding::none;
    served_request request = extract(position);
    upstream_response* response = std::get_if<upstream_response>(&event.outcome);
    const exchange_failure* failure = std::get_if<exchange_failure>(&event.outcome);
    recordOutcome(request, event, now);
    if (failure != nullptr && isInterruption(request, *failure)) {
        suspend(std::move(request), *failure, now, actions);
        return upstream_finding::none;
    }
    const bool isWrongUpstream = response != nullptr && response->isMisdirected;
    const bool isFromUpstream = response != nullptr && !isWrongUpstream;
    const upstream_notices notices = isFromUpstream ? response->notices : upstream_notices {};
    const bool isLeaving = notices.isLeaving && m_registry.leave(request.upstream, now);
    // Nothing that waits may start when the slot is freed.
    if (isLeaving)
        apply(m_queue.refuseAll(refusal_reason::draining, now), now, actions);
    if (isFromUpstream)
        applyNotices(request, notices, now, actions);
    forward_outcome outcome
        = response != nullptr ? outcomeOf(request, *response, now, actions) : outcomeOf(request, *failure, actions);
    const bool isMeasured = response != nullptr && !response->isNotRun && !response->isUnverified;
    if (isMeasured)
        recordCompleteAnswer(request, now);
    const slot_decisions decisions = m_queue.release(event.id, isMeasured, now);
    forward_answer answer = makeAnswer(request, std::move(outcome), now);
    if (notices.isLeaving)
        answer.leavingUpstream = request.upstream;
    actions.emplace_back(send_to_peer { request.peer, std::move(answer) });
    apply(decisions, now, actions);
    if (isLeaving)
        return upstream_finding::leaving;
    const bool isUnreachable = failure != nullptr && !failure->wasWritten;
    return (isUnreachable || isWrongUpstream) && m_registry.markUnreachable(request.upstream)
        ? upstream_finding::unreachable
        : upstream_finding::none;
}

bool served_requests::isInterruption(const served_request& request, const exchange_failure& failure) const
{
    const bool isCurrent = m_registry.current() && m_registry.current()->incarnation.id == request.upstream;
    // What a leaving upstream breaks off at its end is no sign of a crash.
    return isCurrent && m_registry.state() != upstream_chart_state::draining && failure.wasWritten
        && failure.cause.kind == error_kind::connection_failed;
}

void served_requests::suspend(
    served_request request, const exchange_failure& failure, time_point now, gateway_actions& actions)
{
    forward_outcome outcome = outcomeOf(request, failure, actions);
    const std::uint64_t id = request.id;
    const interrupted_content content { request.digest, request.message.requestId, request.message.entry,
        request.message.request.target };
    if (m_crashDetector.recordInterruption(request.upstream, content, now))
        actions.emplace_back(check_upstream { m_settings.upstreamAddress });
    m_interrupted.push_back({ std::move(request), std::move(outcome) });
    apply(m_queue.release(id, false, now), now, actions);
}

std::optional<upstream_crash> served_requests::handleUpstreamCheck(bool isRefused, time_point now)
{
    std::optional<time_point> oldestStart;
    for (const std::pair<const std::uint64_t, served_request>& item : m_requests) {
        const std::optional<time_point>& start = item.second.startedAt;
        if (start && (!oldestStart || *start < *oldestStart))
            oldestStart = start;
    }
    const check_verdict verdict = m_crashDetector.handleCheck(isRefused, oldestStart, now);
    const upstream_crash* crash = std::get_if<upstream_crash>(&verdict);
    if (crash == nullptr)
        return std::nullopt;
    ++m_counters.crashes;
    return *crash;
}

void served_requests::answerInterrupted(time_point now, gateway_actions& actions)
{
    if (m_crashDetector.isCheckPending())
        return;
    for (interrupted_request& item : std::exchange(m_interrupted, {}))
        actions.emplace_back(
            send_to_peer { item.request.peer, makeAnswer(item.request, std::move(item.outcome), now) });
}

std::optional<upstream_crash> served_requests::handleUpstreamReplaced(const std::string& upstream, time_point now)
{
    std::optional<upstream_crash> crash = m_crashDetector.handleReplacement(upstream, now);
    m_counters.crashes += crash ? 1U : 0U;
    return crash;
}

void served_requests::recordCompleteAnswer(const served_request& request, time_point now)
{
    m_crashDetector.recordAnswer(request.upstream, request.digest, *request.startedAt, now);
    if (m_quarantine.clear(request.digest))
        m_cleared.push_back(request.digest);
}

std::optional<forward_refusal> served_requests::quarantineRefusal(std::uint64_t id, time_point now) const
{
    const std::uint64_t digest = m_requests.at(id).digest;
    const quarantine_status status = m_quarantine.statusOf(digest, now);
    if (status.isHeld())
        return forward_refusal { refusal_reason::quarantined, status.holdLeft, false, true };
    if (!status.isSuspected())
        return std::nullopt;
    const bool isRunning
        = std::any_of(m_requests.begin(), m_requests.end(), [id, digest](const request_map::value_type& item) {
              return item.first != id && item.second.digest == digest && item.second.startedAt;
          });
    if (!isRunning)
        return std::nullopt;
    return forward_refusal { refusal_reason::quarantined, internal::suspectRetryAfter, false, true };
}

// The answer to a request that was sent to an earlier upstream says nothing about the current one.
void served_requests::applyNotices(
    const served_request& request, const upstream_notices& notices, time_point now, gateway_actions& actions)
{
    if (notices.hasInvalidRateLimit)
        log("rate_limit_ignored", request, { { "remedy", "let the upstream name requests per second" } }, actions);
    const bool isCurrent = m_registry.current() && m_registry.current()->incarnation.id == request.upstream;
    if (!isCurrent || notices.hasInvalidRateLimit)
        return;
    m_rateUpstream = request.upstream;
    setRate(notices.rateLimit, now, actions);
}

void served_requests::setRate(std::optional<double> rate, time_point now, gateway_actions& actions)
{
    const std::optional<double> before = m_queue.rate();
    if (rate == before)
        return;
    apply(m_queue.setRate(rate, now), now, actions);
    // An upstream may name a slightly different rate in each answer.
    const bool isSimilar = rate && before && std::abs(*rate - m_loggedRate) < internal::loggedRateChange * m_loggedRate;
    if (isSimilar)
        return;
    m_loggedRate = rate.value_or(0.0);
    write_log line;
    line.event = rate ? "upstream_rate_limited" : "upstream_rate_limit_ended";
    line.fields
        = { { "upstream", m_registry.current()->incarnation.id }, { "rate_per_s", std::to_string(m_loggedRate) } };
    actions.emplace_back(std::move(line));
}

// Without an answer of the current upstream to this process, the report of a peer counts.
void served_requests::resetRate(time_point now, gateway_actions& actions)
{
    if (!m_registry.current() || m_registry.current()->incarnation.id == m_rateUpstream)
        return;
    const bool isReported = m_registry.current()->incarnation.id == m_reported.upstream;
    setRate(isReported ? m_reported.rate : std::nullopt, now, actions);
}

void served_requests::handleReportedRate(
    const reported_notices_message& message, time_point now, gateway_actions& actions)
{
    m_reported = message;
    resetRate(now, actions);
}

void served_requests::handleUpstreamChange(time_point now, gateway_actions& actions)
{
    if (m_registry.isServing()) {
        resetRate(now, actions);
        apply(m_queue.setSlots(m_registry.current()->slots, now), now, actions);
        return;
    }
    const bool isDraining = m_registry.state() == upstream_chart_state::draining;
    apply(m_queue.refuseAll(isDraining ? refusal_reason::draining : refusal_reason::no_upstream, now), now, actions);
    resetRate(now, actions);
}

std::optional<time_point> served_requests::nextWakeup() const
{
    const std::optional<time_point> queue = m_queue.nextWakeup();
    const std::optional<time_point>& check = m_crashDetector.nextCheck();
    if (queue && check)
        return std::min(*queue, *check);
    return check ? check : queue;
}

void served_requests::poll(time_point now, gateway_actions& actions)
{
    if (m_crashDetector.takeDueCheck(now))
        actions.emplace_back(check_upstream { m_settings.upstreamAddress });
    updateAdmissionRatio(now);
    apply(m_queue.poll(now), now, actions);
}

std::vector<std::pair<std::string, std::string>> served_requests::describeLoad(time_point now) const
{
    const upstream_load load = m_queue.load(now);
    return { { "running", std::to_string(load.running) }, { "queued", std::to_string(load.queued) },
        { "slots", std::to_string(load.slots) }, { "service_time_ms", std::to_string(load.serviceTime.count()) },
        { "utilization", std::to_string(m_admissionControl.utilization()) },
        { "room", std::to_string(m_admissionControl.admissionRatio()) },
        { "room_below", std::to_string(m_downstreamRatios.minimum(now)) },
        { "rate_limit_per_s", load.rate ? std::to_string(*load.rate) : std::string { "none" } } };
}

nlohmann::json served_requests::describeAdmissionRatio(time_point now) const
{
    nlohmann::json entries = nlohmann::json::object();
    for (const std::pair<const std::string, double>& item : m_admissionCredits) {
        entries[item.first] = { { "share", admissionRatioOf(item.first, now) },
            { "depends_on_calls", m_callDependence.isDependent(item.first) },
            { "call_rate", m_callDependence.relativeCallRate(item.first) } };
    }
    return { { "own", m_admissionControl.admissionRatio() }, { "below", m_downstreamRatios.minimum(now) },
        { "utilization", m_admissionControl.utilization() }, { "entries", std::move(entries) } };
}

void served_requests::log(std::string event, const served_request& request,
    std::vector<std::pair<std::string, std::string>> fields, gateway_actions& actions) const
{
    write_log line;
    line.event = std::move(event);
    line.fields = std::move(fields);
    line.fields.emplace_back("request", request.message.requestId);
    line.fields.emplace_back("entry", request.message.entry);
    line.fields.emplace_back("from", request.peer);
    actions.emplace_back(std::move(line));
}

} // namespace knapweedcroft
