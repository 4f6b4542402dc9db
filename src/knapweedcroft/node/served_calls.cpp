#include "knapweedcroft/node/served_calls.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds unavailableRetryAfter { 1000 };
static constexpr std::uint32_t defaultMaxSubCalls = 16; // for entries missing from this node's copy of the catalogue
static constexpr milliseconds defaultRetention { 600'000 };

[[nodiscard]] static std::string refusalMessage(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::draining:
        return "the upstream is about to stop; the call may run elsewhere";
    case refusal_reason::deadline_unreachable:
        return "the call would end after its deadline; come back after the time in Retry-After or allow more time";
    case refusal_reason::no_upstream:
        return "the upstream takes no calls now; come back after the time in Retry-After";
    default:
        return "the upstream is overloaded; come back after the time in Retry-After";
    }
}

} // namespace internal

served_calls::served_calls(node_name self, incarnation_id incarnation, service_name ownService, std::uint64_t seed,
    id_source& ids, const catalogue_state& catalogue, admission_controller& admission, router& targets,
    threshold_map& pressure, parent_calls& parents, key_service& keys)
    : m_self { std::move(self) }
    , m_incarnation { incarnation }
    , m_ownService { std::move(ownService) }
    , m_jitter { seed }
    , m_ids { ids }
    , m_catalogue { catalogue }
    , m_admission { admission }
    , m_router { targets }
    , m_pressure { pressure }
    , m_parents { parents }
    , m_keys { keys }
{
}

bool served_calls::isOwnEntry(const std::string& entry) const
{
    return entry.size() > m_ownService.size() && entry.compare(0, m_ownService.size(), m_ownService) == 0
        && entry[m_ownService.size()] == '.';
}

std::string served_calls::operationOf(const std::string& entry) const { return entry.substr(m_ownService.size() + 1); }

milliseconds served_calls::resultRetention(const std::string& entry) const
{
    const catalogue_entry* known = m_catalogue.find(entry);
    return known == nullptr ? internal::defaultRetention : known->window();
}

void served_calls::answer(
    const sender& to, const call_result& outcome, const parent_summary& summary, time_point now, node_actions& actions)
{
    call_answer message;
    message.id = to.remoteId;
    message.outcome = outcome;
    message.budgetLeft = summary.budgetLeft;
    message.queueTime = m_admission.queueTime();
    message.threshold = m_admission.threshold(now);
    message.thresholdValidity = m_admission.thresholdValidity(now);
    message.thresholds = m_pressure.advertise(now);
    message.touched.assign(summary.reachedServices.begin(), summary.reachedServices.end());
    message.touched.push_back(m_ownService);
    actions.emplace_back(send_to_peer { to.peer, std::move(message) });
}

void served_calls::accept(const node_name& peer, call_request request, time_point now, node_actions& actions)
{
    ++m_counters.received;
    const sender from { peer, request.id };
    parent_summary unspentBudget;
    unspentBudget.budgetLeft = request.budget;
    if (!isOwnEntry(request.entry)) {
        answer(from,
            refused_not_run { refusal_reason::no_upstream, milliseconds {}, "this node serves another service" },
            unspentBudget, now, actions);
        return;
    }
    if (request.role != keyed_role::holder || !request.key) {
        enqueue(from, std::move(request), now, actions);
        return;
    }
    const key_decision decision
        = m_keys.admit(*request.key, request.entry, hash64(request.body), resultRetention(request.entry));
    if (std::holds_alternative<run_key>(decision)) {
        enqueue(from, std::move(request), now, actions);
        return;
    }
    if (std::holds_alternative<join_key>(decision)) {
        ++m_counters.repeatsJoined;
        m_joinedSenders[*request.key].push_back(from);
        return;
    }
    if (const replay_key* recorded = std::get_if<replay_key>(&decision)) {
        ++m_counters.repeatsJoined;
        answer(from, recorded->outcome, unspentBudget, now, actions);
        return;
    }
    ++m_counters.refused;
    answer(from, std::get<refuse_key>(decision).refusal, unspentBudget, now, actions);
}

void served_calls::enqueue(const sender& from, call_request request, time_point now, node_actions& actions)
{
    const call_id id = m_ids.nextCall();
    served_call call;
    call.from = from;
    call.deadline = now + request.deadline;
    admission_request admission;
    admission.id = id;
    admission.order = priority { request.importance, request.action };
    admission.depth = request.depth;
    admission.deadline = call.deadline;
    admission.entry = request.entry;
    const catalogue_entry* entry = m_catalogue.find(request.entry);
    admission.entryLimit = entry == nullptr ? 0 : entry->maxConcurrency();
    call.request = std::move(request);
    m_bySender.emplace(from, id);
    m_calls.emplace(id, std::move(call));
    apply(m_admission.offer(admission, now), now, actions);
}

void served_calls::apply(const admission_decisions& decisions, time_point now, node_actions& actions)
{
    for (const admission_decision& decision : decisions) {
        if (const start_call* started = std::get_if<start_call>(&decision))
            start(started->id, now, actions);
        else
            refuse(std::get<refuse_call>(decision), now, actions);
    }
}

void served_calls::start(call_id id, time_point now, node_actions& actions)
{
    served_call& call = m_calls.at(id);
    const call_request& request = call.request;
    time_point deadline = call.deadline;
    // The delegate needs a lease as well: the time left in a request counts from when it is read, so after a pause of
    // the delegate the deadline would be too late.
    if (request.role != keyed_role::none) {
        const std::optional<time_point> leaseEnd = m_keys.leaseEnd();
        if (!leaseEnd) {
            complete(id, completion::cancelled,
                refused_not_run { refusal_reason::holder_unavailable, m_jitter.spread(internal::unavailableRetryAfter),
                    "the node that is to run the call has lost contact with its peers; come back after the time in "
                    "Retry-After" },
                now, actions);
            return;
        }
        // The upstream discards work past its deadline, so a call that a paused node sends late does not run.
        deadline = std::min(deadline, *leaseEnd);
        if (request.role == keyed_role::holder)
            m_keys.markRunning(*request.key);
    }
    call.currentStage = stage::dispatched;
    ++m_counters.dispatched;
    const catalogue_entry* entry = m_catalogue.find(request.entry);
    parent_call parent;
    parent.action = request.action;
    parent.importance = request.importance;
    parent.deadline = deadline;
    parent.depth = request.depth;
    parent.budget = retry_budget { request.budget };
    parent.history = sub_call_history { entry == nullptr ? internal::defaultMaxSubCalls : entry->maxSubCalls() };
    m_parents.open(id, std::move(parent));
    dispatch_call dispatch;
    dispatch.id = id;
    dispatch.address = m_address;
    dispatch.operation = operationOf(request.entry);
    dispatch.context.node = m_incarnation;
    dispatch.context.action = request.action;
    dispatch.context.call = id;
    dispatch.context.importance = request.importance;
    dispatch.context.deadline = deadline - now;
    dispatch.context.depth = request.depth;
    dispatch.deadline = deadline;
    dispatch.key = request.key;
    dispatch.contentType = request.contentType;
    dispatch.body = request.body;
    actions.emplace_back(std::move(dispatch));
}

void served_calls::refuse(const refuse_call& refusal, time_point now, node_actions& actions)
{
    const auto position = m_calls.find(refusal.id);
    if (position == m_calls.end())
        return;
    served_call& call = position->second;
    ++m_counters.refusedByClass[static_cast<std::size_t>(call.request.importance)];
    if (call.request.role == keyed_role::holder && delegate(refusal.id, call, now, actions))
        return;
    if (refusal.reason == refusal_reason::overloaded)
        ++m_counters.overloadedByClass[static_cast<std::size_t>(call.request.importance)];
    parent_summary unspentBudget;
    unspentBudget.budgetLeft = call.request.budget;
    finish(refusal.id, refused_not_run { refusal.reason, refusal.retryAfter, internal::refusalMessage(refusal.reason) },
        unspentBudget, now, actions);
}

bool served_calls::delegate(call_id id, served_call& call, time_point now, node_actions& actions)
{
    const std::optional<time_point> leaseEnd = m_keys.leaseEnd();
    if (!leaseEnd || call.deadline <= now)
        return false;
    const std::optional<node_name> target = m_router.choose(m_ownService, { m_self }, now);
    if (!target || *target == m_self)
        return false;
    m_keys.markRunning(*call.request.key);
    call.currentStage = stage::delegated;
    call.delegate = *target;
    m_delegatedDeadlines.emplace(call.deadline, id);
    call_request request = call.request;
    request.id = id;
    request.role = keyed_role::delegate;
    request.deadline = std::min(call.deadline, *leaseEnd) - now;
    ++m_counters.delegated;
    m_router.started(*target, now);
    actions.emplace_back(send_to_peer { *target, std::move(request) });
    return true;
}

bool served_calls::receiveDelegated(
    const node_name& peer, const call_answer& answer, time_point now, node_actions& actions)
{
    const auto position = m_calls.find(answer.id);
    if (position == m_calls.end() || position->second.currentStage != stage::delegated
        || position->second.delegate != peer)
        return false;
    m_router.finished(position->second.delegate, attempt_outcome::succeeded, milliseconds {}, answer.queueTime, now);
    m_pressure.recordThreshold(
        m_ownService, position->second.delegate, answer.threshold, answer.thresholdValidity, now);
    m_pressure.recordReports(answer.thresholds, position->second.delegate, now);
    parent_summary summary;
    summary.budgetLeft = std::min(answer.budgetLeft, position->second.request.budget);
    summary.reachedServices.insert(answer.touched.begin(), answer.touched.end());
    finish(answer.id, answer.outcome, summary, now, actions);
    return true;
}

served_calls::served_call served_calls::extract(call_id id)
{
    const auto position = m_calls.find(id);
    served_call call = std::move(position->second);
    m_bySender.erase(call.from);
    m_calls.erase(position);
    return call;
}

void served_calls::finish(
    call_id id, const call_result& outcome, const parent_summary& summary, time_point now, node_actions& actions)
{
    const served_call call = extract(id);
    if (std::holds_alternative<refused_not_run>(outcome))
        ++m_counters.refused;
    answer(call.from, outcome, summary, now, actions);
    if (call.request.role != keyed_role::holder)
        return;
    const std::string& key = *call.request.key;
    m_keys.resolve(
        key, call.request.entry, hash64(call.request.body), resultRetention(call.request.entry), outcome, actions);
    const auto joined = m_joinedSenders.find(key);
    if (joined == m_joinedSenders.end())
        return;
    const std::vector<sender> waiting = std::move(joined->second);
    m_joinedSenders.erase(joined);
    for (const sender& to : waiting)
        answer(to, outcome, parent_summary {}, now, actions);
}

void served_calls::complete(
    call_id id, completion reason, const call_result& outcome, time_point now, node_actions& actions)
{
    const parent_summary summary = m_parents.close(id);
    finish(id, outcome, summary, now, actions);
    apply(m_admission.complete(id, reason, now), now, actions);
}

void served_calls::finishDispatched(const upstream_answered& event, time_point now, node_actions& actions)
{
    const auto position = m_calls.find(event.id);
    if (position == m_calls.end() || position->second.currentStage != stage::dispatched) {
        ++m_counters.lateAnswers;
        return;
    }
    if (!event.isNotRun) {
        complete(
            event.id, completion::finished, answered { event.status, event.contentType, event.body }, now, actions);
        return;
    }
    const parent_call* parent = m_parents.find(event.id);
    const bool maySubCallHaveRun = parent == nullptr || parent->hasSubCallRun || !parent->openSubCalls.empty();
    if (maySubCallHaveRun) {
        complete(event.id, completion::failed,
            failed_after_start {
                "the upstream gave up after a part of its sub-calls had run; check before you send it with a new key" },
            now, actions);
        return;
    }
    // The upstream also answers "not run" after a refused sub-call, which says nothing about its own capacity.
    complete(event.id, parent->hasSubCallRefused ? completion::sub_call_refused : completion::shed,
        refused_not_run { refusal_reason::upstream_shed, m_jitter.spread(internal::unavailableRetryAfter),
            "the upstream refused the call before it ran; come back after the time in Retry-After" },
        now, actions);
}

void served_calls::failDispatched(const upstream_failed& event, time_point now, node_actions& actions)
{
    const auto position = m_calls.find(event.id);
    if (position == m_calls.end() || position->second.currentStage != stage::dispatched) {
        ++m_counters.lateAnswers;
        return;
    }
    if (!event.wasWritten) {
        complete(event.id, completion::failed,
            refused_not_run { refusal_reason::no_upstream, m_jitter.spread(internal::unavailableRetryAfter),
                "the upstream could not be reached; come back after the time in Retry-After" },
            now, actions);
        return;
    }
    const completion reason = event.cause.kind == error_kind::timed_out ? completion::timed_out : completion::failed;
    complete(event.id, reason,
        outcome_unknown { milliseconds {},
            "the upstream gave no complete answer (" + event.cause.message + "); the call may have run" },
        now, actions);
}

void served_calls::cancelDispatched(call_id id, time_point now, node_actions& actions)
{
    actions.emplace_back(cancel_dispatch { id, m_address });
    m_parents.close(id);
    extract(id);
    apply(m_admission.complete(id, completion::cancelled, now), now, actions);
}

void served_calls::cancel(const node_name& peer, call_id remoteId, time_point now, node_actions& actions)
{
    const auto position = m_bySender.find(sender { peer, remoteId });
    if (position == m_bySender.end())
        return;
    const call_id id = position->second;
    const served_call& call = m_calls.at(id);
    if (call.request.key)
        return;
    if (call.currentStage == stage::dispatched) {
        cancelDispatched(id, now, actions);
        return;
    }
    extract(id);
    apply(m_admission.cancel(id, now), now, actions);
}

void served_calls::setUpstream(
    const std::string& address, std::uint32_t slots, bool isColdStart, time_point now, node_actions& actions)
{
    m_address = address;
    if (isColdStart)
        m_admission.resetLimit(now);
    apply(m_admission.setSlots(slots, now), now, actions);
}

void served_calls::stopAccepting(time_point now, node_actions& actions)
{
    apply(m_admission.stopAccepting(now), now, actions);
}

void served_calls::handleLinkClosed(const link_closed& event, time_point now, node_actions& actions)
{
    std::vector<call_id> sent;
    calls_lost delegated { event.peer, {}, event.unwritten };
    for (const auto& item : m_calls) {
        if (item.second.currentStage == stage::delegated && item.second.delegate == event.peer)
            delegated.lost.push_back(item.first);
        else if (item.second.from.peer == event.peer && !item.second.request.key)
            sent.push_back(item.first);
    }
    std::sort(sent.begin(), sent.end());
    for (const call_id id : sent)
        cancel(event.peer, m_calls.at(id).from.remoteId, now, actions);
    handleCallsLost(delegated, now, actions);
}

void served_calls::handleCallsLost(const calls_lost& event, time_point now, node_actions& actions)
{
    std::set<call_id> affected { event.lost.begin(), event.lost.end() };
    affected.insert(event.unwritten.begin(), event.unwritten.end());
    for (const call_id id : affected) {
        const auto position = m_calls.find(id);
        const bool isDelegated = position != m_calls.end() && position->second.currentStage == stage::delegated
            && position->second.delegate == event.peer;
        if (!isDelegated)
            continue;
        m_router.finished(event.peer, attempt_outcome::failed, milliseconds {}, milliseconds {}, now);
        const bool isUnwritten = std::find(event.unwritten.begin(), event.unwritten.end(), id) != event.unwritten.end();
        parent_summary summary;
        if (!isUnwritten) {
            finish(id,
                outcome_unknown {
                    milliseconds {}, "the link to the node that ran the call closed; the call may have run" },
                summary, now, actions);
            continue;
        }
        summary.budgetLeft = m_calls.at(id).request.budget;
        finish(id,
            refused_not_run { refusal_reason::no_upstream, m_jitter.spread(internal::unavailableRetryAfter),
                "no upstream could be reached; come back after the time in Retry-After" },
            summary, now, actions);
    }
}

void served_calls::expire(time_point now, node_actions& actions)
{
    apply(m_admission.poll(now), now, actions);
    while (!m_delegatedDeadlines.empty() && m_delegatedDeadlines.begin()->first <= now) {
        const call_id id = m_delegatedDeadlines.begin()->second;
        m_delegatedDeadlines.erase(m_delegatedDeadlines.begin());
        const auto position = m_calls.find(id);
        if (position == m_calls.end() || position->second.currentStage != stage::delegated)
            continue;
        m_router.finished(position->second.delegate, attempt_outcome::timed_out, milliseconds {}, milliseconds {}, now);
        finish(id, outcome_unknown { milliseconds {}, "the deadline passed while the call ran on another upstream" },
            parent_summary {}, now, actions);
    }
}

std::optional<time_point> served_calls::nextWakeup() const
{
    std::optional<time_point> next = m_admission.nextWakeup();
    if (!m_delegatedDeadlines.empty() && (!next || m_delegatedDeadlines.begin()->first < *next))
        next = m_delegatedDeadlines.begin()->first;
    return next;
}

} // namespace knapweedcroft
