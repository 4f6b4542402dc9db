#include "knapweedcroft/node/origin_calls.hpp"

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/idempotency/key.hpp"
#include "knapweedcroft/idempotency/key_placement.hpp"
#include "knapweedcroft/wire/context.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::uint32_t maxDepth = 16;
// A call refused by a draining node or by a node that does not hold its key has used no upstream capacity, so a
// redirect is free of charge to the retry budget. The limit prevents endless redirects.
static constexpr std::uint32_t maxRedirects = 3;
static constexpr milliseconds maxWait { 500 }; // for a link to open or a view to change
static constexpr milliseconds unavailableRetryAfter { 1000 };

[[nodiscard]] static refused_not_run refusal(refusal_reason reason, milliseconds retryAfter, std::string message)
{
    return refused_not_run { reason, retryAfter, std::move(message) };
}

[[nodiscard]] static refused_not_run finalRefusal(refusal_reason reason, std::string message)
{
    return refusal(reason, milliseconds { 0 }, std::move(message));
}

struct attempt_outcome_visitor {
    attempt_outcome operator()(const answered&) const noexcept { return attempt_outcome::succeeded; }
    attempt_outcome operator()(const refused_not_run& value) const noexcept
    {
        return value.reason == refusal_reason::no_upstream ? attempt_outcome::failed : attempt_outcome::refused;
    }
    attempt_outcome operator()(const failed_after_start&) const noexcept { return attempt_outcome::failed; }
    attempt_outcome operator()(const outcome_unknown&) const noexcept { return attempt_outcome::timed_out; }
};

} // namespace internal

origin_calls::origin_calls(node_name self, incarnation_id incarnation, std::uint64_t seed, id_source& ids,
    const catalogue_state& catalogue, const membership_state& membership, router& targets, threshold_map& pressure,
    parent_calls& parents)
    : m_self { std::move(self) }
    , m_incarnation { incarnation }
    , m_jitter { seed }
    , m_ids { ids }
    , m_catalogue { catalogue }
    , m_membership { membership }
    , m_router { targets }
    , m_pressure { pressure }
    , m_parents { parents }
{
}

void origin_calls::refuse(const call_arrived& event, action_id action, refused_not_run refusal, node_actions& actions)
{
    ++m_counters.refused[static_cast<std::size_t>(refusal.reason)];
    actions.emplace_back(answer_caller { event.handle, action, std::move(refusal) });
}

std::optional<refused_not_run> origin_calls::checkRequest(const call_arrived& event, const catalogue_entry* entry) const
{
    if (entry == nullptr) {
        return internal::finalRefusal(refusal_reason::unknown_entry,
            "no catalogue entry for operation \"" + event.operation + "\" of service \"" + event.service
                + "\"; check the path, or apply an entry with knapweedctl");
    }
    if (event.body.size() > entry->maxBodyBytes()) {
        return internal::finalRefusal(refusal_reason::body_too_large,
            "the body is larger than max_body_bytes of entry \"" + entry->name() + "\"; send at most "
                + std::to_string(entry->maxBodyBytes()) + " bytes");
    }
    if (entry->isIdempotent())
        return std::nullopt;
    const result<idempotency_key> key = parseKey(event.key);
    if (!hasValue(key))
        return internal::finalRefusal(refusal_reason::bad_request, errorOf(key).message);
    return std::nullopt;
}

origin_calls::context_decision origin_calls::resolveParent(
    const call_context& context, const call_arrived& event, const catalogue_entry& entry, time_point now)
{
    parent_call* parent = m_parents.find(context.call);
    if (parent == nullptr || parent->action != context.action) {
        return internal::finalRefusal(refusal_reason::parent_ended,
            "the call named by Knapweed-Context has ended; do not call on behalf of ended calls");
    }
    if (parent->depth >= internal::maxDepth)
        return internal::finalRefusal(refusal_reason::depth_limit, "the call chain is deeper than 16; shorten it");
    const sub_call_kind decision = parent->history.record(entry.name(), event.key, hash64(event.body));
    if (std::holds_alternative<sub_call_limit_reached>(decision)) {
        return internal::finalRefusal(refusal_reason::sub_call_limit,
            "the caller has used all its max_sub_calls; raise it in the entry of the calling operation");
    }
    if (std::holds_alternative<repeated_sub_call>(decision) && !parent->budget.spend())
        return internal::finalRefusal(
            refusal_reason::budget_exhausted, "the retry budget of the action is used up; do not repeat the call");
    accepted_context accepted;
    accepted.action = context.action;
    accepted.importance = parent->importance;
    accepted.deadline = std::min(parent->deadline, now + entry.deadline());
    if (event.deadline)
        accepted.deadline = std::min(accepted.deadline, now + *event.deadline);
    accepted.depth = parent->depth + 1;
    accepted.budget = parent->budget.reserve();
    accepted.parent = context.call;
    return accepted;
}

origin_calls::context_decision origin_calls::resolveContext(
    const call_arrived& event, const catalogue_entry& entry, time_point now)
{
    accepted_context accepted;
    accepted.importance = entry.importance();
    accepted.deadline = now + entry.deadline();
    if (!event.context) {
        accepted.action = m_ids.nextAction();
        accepted.budget = entry.retryBudget();
    } else {
        const result<call_context> parsed = parseContext(*event.context);
        if (!hasValue(parsed))
            return internal::finalRefusal(refusal_reason::bad_request, errorOf(parsed).message);
        const call_context& context = valueOf(parsed);
        if (context.node == m_incarnation)
            return resolveParent(context, event, entry, now);
        // The node restarted while the upstream kept running, so the remaining retry budget of the action is unknown
        // and counts as zero.
        if (context.depth >= internal::maxDepth)
            return internal::finalRefusal(refusal_reason::depth_limit, "the call chain is deeper than 16; shorten it");
        accepted.action = context.action;
        accepted.depth = context.depth + 1;
        accepted.deadline = std::min(accepted.deadline, now + context.deadline);
    }
    if (event.deadline)
        accepted.deadline = std::min(accepted.deadline, now + *event.deadline);
    return accepted;
}

std::optional<refused_not_run> origin_calls::checkPressure(
    const catalogue_entry& entry, const accepted_context& context, time_point now)
{
    if (context.depth > 0)
        return std::nullopt;
    const std::optional<service_name> service
        = m_pressure.admit(entry.name(), priority { context.importance, context.action }, now);
    if (!service)
        return std::nullopt;
    ++m_counters.refusedAtEntry;
    return internal::refusal(refusal_reason::overloaded, m_jitter.spread(internal::unavailableRetryAfter),
        "service \"" + *service + "\" further down is overloaded; come back after the time in Retry-After");
}

void origin_calls::begin(const call_arrived& event, time_point now, node_actions& actions)
{
    ++m_counters.arrived;
    const catalogue_entry* entry = m_catalogue.find(event.service, event.operation);
    if (std::optional<refused_not_run> fault = checkRequest(event, entry)) {
        refuse(event, action_id {}, std::move(*fault), actions);
        return;
    }
    const context_decision decision = resolveContext(event, *entry, now);
    if (const refused_not_run* refusal = std::get_if<refused_not_run>(&decision)) {
        refuse(event, action_id {}, *refusal, actions);
        return;
    }
    const accepted_context& context = std::get<accepted_context>(decision);
    if (std::optional<refused_not_run> refusal = checkPressure(*entry, context, now)) {
        refuse(event, context.action, std::move(*refusal), actions);
        return;
    }
    const call_id id = m_ids.nextCall();
    origin_call call;
    call.handle = event.handle;
    call.action = context.action;
    call.entry = entry->name();
    call.service = entry->service();
    call.importance = context.importance;
    call.isIdempotent = entry->isIdempotent();
    if (!call.isIdempotent)
        call.key = event.key;
    call.contentType = event.contentType;
    call.body = event.body;
    call.deadline = context.deadline;
    call.depth = context.depth;
    call.budget = retry_budget { context.budget };
    call.parent = context.parent;
    if (parent_call* parent = context.parent ? m_parents.find(*context.parent) : nullptr)
        parent->openSubCalls.emplace(id, context.budget);
    m_usedServices.insert(call.service);
    m_handles.emplace(event.handle, id);
    m_deadlines.emplace(call.deadline, id);
    m_calls.emplace(id, std::move(call));
    send(id, now, actions);
}

std::optional<node_name> origin_calls::chooseTarget(const origin_call& call, time_point now)
{
    if (!call.key)
        return m_router.choose(call.service, call.excluded, now);
    const service_view* view = m_membership.view(call.service);
    if (view == nullptr || view->members.empty())
        return std::nullopt;
    const member* holder = key_placement::holder(*view, *call.key);
    if (!m_router.isAvailable(holder->node))
        return std::nullopt;
    return holder->node;
}

void origin_calls::send(call_id id, time_point now, node_actions& actions)
{
    origin_call& call = m_calls.at(id);
    const std::optional<node_name> target = chooseTarget(call, now);
    if (!target) {
        waitForTarget(id, call, now, actions);
        return;
    }
    sendTo(id, call, *target, now, actions);
}

void origin_calls::sendTo(call_id id, origin_call& call, const node_name& target, time_point now, node_actions& actions)
{
    stopWaiting(id);
    attempt next;
    next.id = m_ids.nextCall();
    next.target = target;
    next.reservedBudget = call.budget.reserve();
    next.startedAt = now;
    call_request request;
    request.id = next.id;
    request.action = call.action;
    request.entry = call.entry;
    request.importance = call.importance;
    request.deadline = call.deadline - now;
    request.depth = call.depth;
    request.budget = next.reservedBudget;
    request.key = call.key;
    request.role = call.key ? keyed_role::holder : keyed_role::none;
    request.contentType = call.contentType;
    request.body = call.body;
    m_router.started(target, now);
    m_attempts.emplace(next.id, id);
    call.current = std::move(next);
    ++m_counters.attempts;
    actions.emplace_back(send_to_peer { target, std::move(request) });
}

void origin_calls::waitForTarget(call_id id, origin_call& call, time_point now, node_actions& actions)
{
    const auto waiting = m_waiting.find(id);
    const bool isFirstWait = waiting == m_waiting.end();
    // Waiting helps only while the link to a known member is still being opened, or the view is about to change.
    const bool mayFindTarget
        = isFirstWait ? call.redirects > 0 || m_router.hasPendingMember(call.service) : now < waiting->second;
    if (!mayFindTarget) {
        const refusal_reason reason = call.key ? refusal_reason::holder_unavailable : refusal_reason::no_upstream;
        finish(id,
            internal::refusal(reason, m_jitter.spread(internal::unavailableRetryAfter),
                "no node of service \"" + call.service
                    + "\" can take the call now; come back after the time in Retry-After"),
            actions);
        return;
    }
    if (isFirstWait) {
        const time_point end = std::min(call.deadline, now + internal::maxWait);
        m_waiting.emplace(id, end);
        m_waitEnds.emplace(end, id);
    }
}

void origin_calls::stopWaiting(call_id id)
{
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end())
        return;
    m_waitEnds.erase({ waiting->second, id });
    m_waiting.erase(waiting);
}

void origin_calls::recordAttemptEnd(
    const attempt& ended, attempt_outcome outcome, milliseconds queueTime, time_point now)
{
    m_attempts.erase(ended.id);
    m_router.finished(ended.target, outcome, now - ended.startedAt, queueTime, now);
}

void origin_calls::receive(const node_name& peer, const call_answer& answer, time_point now, node_actions& actions)
{
    const auto position = m_attempts.find(answer.id);
    if (position == m_attempts.end()) {
        ++m_counters.lateAnswers;
        return;
    }
    const call_id id = position->second;
    origin_call& call = m_calls.at(id);
    if (call.current->target != peer) {
        ++m_counters.lateAnswers;
        return;
    }
    const attempt ended = std::move(*call.current);
    call.current.reset();
    recordAttemptEnd(ended, std::visit(internal::attempt_outcome_visitor {}, answer.outcome), answer.queueTime, now);
    call.budget.release(ended.reservedBudget, answer.budgetLeft);
    call.reachedServices.insert(answer.touched.begin(), answer.touched.end());
    m_pressure.recordThreshold(call.service, peer, answer.threshold, answer.thresholdValidity, now);
    m_pressure.recordReports(answer.thresholds, peer, now);
    call.excluded.push_back(ended.target);
    handleOutcome(id, answer.outcome, now, actions);
}

bool origin_calls::shouldResendRefused(origin_call& call, const refused_not_run& refusal)
{
    switch (refusal.reason) {
    case refusal_reason::draining:
    case refusal_reason::not_holder:
    case refusal_reason::no_upstream:
        return ++call.redirects <= internal::maxRedirects;
    case refusal_reason::overloaded:
    case refusal_reason::deadline_unreachable:
    case refusal_reason::upstream_shed:
        // The holder of a key has already tried to delegate the call to another upstream.
        return !call.key && call.budget.spend();
    default:
        return false;
    }
}

bool origin_calls::shouldResend(origin_call& call, const call_result& outcome, time_point now)
{
    if (now >= call.deadline)
        return false;
    if (const refused_not_run* refusal = std::get_if<refused_not_run>(&outcome))
        return shouldResendRefused(call, *refusal);
    if (std::holds_alternative<answered>(outcome) || !call.isIdempotent)
        return false;
    return call.budget.spend();
}

void origin_calls::handleOutcome(call_id id, const call_result& outcome, time_point now, node_actions& actions)
{
    origin_call& call = m_calls.at(id);
    if (!shouldResend(call, outcome, now)) {
        finish(id, outcome, actions);
        return;
    }
    const bool isRefused = std::holds_alternative<refused_not_run>(outcome);
    if (!isRefused)
        call.possiblyRun = outcome;
    ++m_counters.retried;
    const std::optional<node_name> next = chooseTarget(call, now);
    // A keyed call can only be sent to the holder of its key, which changes only with the view.
    const bool hasHolderRefused = call.key && next && !call.excluded.empty() && call.excluded.back() == *next;
    if (next && !hasHolderRefused) {
        sendTo(id, call, *next, now, actions);
        return;
    }
    if (call.key) {
        waitForTarget(id, call, now, actions);
        return;
    }
    finish(id, outcome, actions);
}

void origin_calls::finish(call_id id, call_result outcome, node_actions& actions)
{
    stopWaiting(id);
    const auto position = m_calls.find(id);
    const origin_call call = std::move(position->second);
    m_calls.erase(position);
    m_deadlines.erase({ call.deadline, id });
    m_handles.erase(call.handle);
    if (call.possiblyRun && std::holds_alternative<refused_not_run>(outcome))
        outcome = *call.possiblyRun;
    if (const refused_not_run* refusal = std::get_if<refused_not_run>(&outcome))
        ++m_counters.refused[static_cast<std::size_t>(refusal->reason)];
    if (call.parent)
        m_parents.recordSubCallEnd(*call.parent, id, outcome, call.budget.balance(), call.reachedServices);
    else if (std::holds_alternative<answered>(outcome))
        m_pressure.recordReachedServices(call.entry, { call.reachedServices.begin(), call.reachedServices.end() });
    actions.emplace_back(answer_caller { call.handle, call.action, std::move(outcome) });
}

void origin_calls::cancelAttempt(origin_call& call, attempt_outcome reason, time_point now, node_actions& actions)
{
    if (!call.current)
        return;
    const attempt ended = std::move(*call.current);
    call.current.reset();
    recordAttemptEnd(ended, reason, milliseconds {}, now);
    actions.emplace_back(send_to_peer { ended.target, cancel_message { ended.id } });
}

void origin_calls::cancelRequest(request_handle handle, time_point now, node_actions& actions)
{
    const auto position = m_handles.find(handle);
    if (position != m_handles.end())
        cancel({ position->second }, now, actions);
}

void origin_calls::cancel(const std::vector<call_id>& calls, time_point now, node_actions& actions)
{
    for (const call_id id : calls) {
        const auto position = m_calls.find(id);
        if (position == m_calls.end())
            continue;
        origin_call& call = position->second;
        if (!call.current) {
            finish(id, internal::finalRefusal(refusal_reason::cancelled, "the caller went away"), actions);
            continue;
        }
        cancelAttempt(call, attempt_outcome::cancelled, now, actions);
        finish(id, outcome_unknown { milliseconds {}, "the caller went away while the call ran" }, actions);
    }
}

void origin_calls::handleLinkClosed(const link_closed& event, time_point now, node_actions& actions)
{
    calls_lost lost { event.peer, {}, event.unwritten };
    for (const auto& item : m_attempts) {
        if (m_calls.at(item.second).current->target == event.peer)
            lost.lost.push_back(item.first);
    }
    handleCallsLost(lost, now, actions);
}

void origin_calls::handleCallsLost(const calls_lost& event, time_point now, node_actions& actions)
{
    std::set<call_id> affected;
    for (const std::vector<call_id>* attempts : { &event.lost, &event.unwritten }) {
        for (const call_id wireId : *attempts) {
            const auto position = m_attempts.find(wireId);
            if (position != m_attempts.end() && m_calls.at(position->second).current->target == event.peer)
                affected.insert(position->second);
        }
    }
    for (const call_id id : affected) {
        origin_call& call = m_calls.at(id);
        const attempt ended = std::move(*call.current);
        call.current.reset();
        recordAttemptEnd(ended, attempt_outcome::failed, milliseconds {}, now);
        const bool isUnwritten
            = std::find(event.unwritten.begin(), event.unwritten.end(), ended.id) != event.unwritten.end();
        if (isUnwritten) {
            call.budget.release(ended.reservedBudget, ended.reservedBudget);
            handleOutcome(id,
                internal::refusal(refusal_reason::no_upstream, m_jitter.spread(internal::unavailableRetryAfter),
                    "the link to the node closed"),
                now, actions);
            continue;
        }
        handleOutcome(id,
            outcome_unknown { milliseconds {},
                "the link to the node of the upstream closed; ask again with the same Idempotency-Key" },
            now, actions);
    }
}

void origin_calls::retryWaiting(const service_name& service, time_point now, node_actions& actions)
{
    std::vector<call_id> candidates;
    for (const auto& item : m_waiting) {
        if (m_calls.at(item.first).service == service)
            candidates.push_back(item.first);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const call_id id : candidates) {
        origin_call& call = m_calls.at(id);
        if (const std::optional<node_name> target = chooseTarget(call, now))
            sendTo(id, call, *target, now, actions);
    }
}

void origin_calls::expire(time_point now, node_actions& actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const call_id id = m_deadlines.begin()->second;
        origin_call& call = m_calls.at(id);
        if (!call.current) {
            finish(id,
                internal::refusal(refusal_reason::deadline_unreachable,
                    m_jitter.spread(internal::unavailableRetryAfter),
                    "the deadline passed before the call was sent; come back after the time in Retry-After"),
                actions);
            continue;
        }
        cancelAttempt(call, attempt_outcome::timed_out, now, actions);
        finish(id,
            outcome_unknown {
                milliseconds {}, "the deadline passed; ask again with the same Idempotency-Key for the outcome" },
            actions);
    }
    while (!m_waitEnds.empty() && m_waitEnds.begin()->first <= now)
        waitForTarget(m_waitEnds.begin()->second, m_calls.at(m_waitEnds.begin()->second), now, actions);
}

std::optional<time_point> origin_calls::nextWakeup() const
{
    std::optional<time_point> next;
    for (const std::set<timer>* timers : { &m_deadlines, &m_waitEnds }) {
        if (!timers->empty() && (!next || timers->begin()->first < *next))
            next = timers->begin()->first;
    }
    return next;
}

std::set<service_name> origin_calls::takeUsedServices() { return std::exchange(m_usedServices, {}); }

} // namespace knapweedcroft
