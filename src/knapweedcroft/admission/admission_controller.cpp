#include "knapweedcroft/admission/admission_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedcroft {

namespace internal {

/** @brief Visitor that returns the priority by which a call is queued under a queue order. */
struct queue_priority {
    priority callPriority;
    std::uint32_t depth;
    std::mt19937_64& random;

    // With equal priorities, calls are queued in the order of their arrival.
    priority operator()(const arrival_order&) const { return priority {}; }
    priority operator()(const priority_order& order) const
    {
        constexpr std::uint32_t bitsPerLevel = 8;
        constexpr std::uint32_t maxLevel = 7;
        // Each level divides the rank by 256, which moves a deeper call ahead of most shallower calls of its class.
        const std::uint32_t level = order.isDeepFirst ? std::min(depth, maxLevel) : 0;
        return priority { callPriority.importance(), callPriority.rank() >> (bitsPerLevel * level) };
    }
    priority operator()(const random_order&) const { return priority { callPriority.importance(), random() }; }
};

} // namespace internal

admission_controller::admission_controller(const admission_settings& settings, std::uint64_t seed)
    : m_settings { settings }
    , m_random { seed }
    , m_limit { settings.limit, settings.initialLimit }
    , m_serviceTime { settings.initialServiceTime }
{
}

admission_decisions admission_controller::offer(const admission_request& request, time_point now)
{
    admission_decisions decisions;
    if (m_queue.contains(request.id) || m_running.count(request.id) != 0)
        return decisions;
    internal::queued_call call = makeQueuedCall(request, now);
    if (const std::optional<refusal_reason> reason = immediateRefusal(request, call, now)) {
        refuse(request.id, *reason, decisions);
        return decisions;
    }
    if (!m_settings.isEnabled) {
        start(call, now, decisions);
        return decisions;
    }
    const std::string entry = call.entry;
    m_queue.add(std::move(call));
    dispatch(now, decisions);
    evictBeyondQueueBound(now, decisions);
    if (request.entryLimit != 0)
        evictBlockedBeyondBound(entry, decisions);
    return decisions;
}

internal::queued_call admission_controller::makeQueuedCall(const admission_request& request, time_point now)
{
    internal::queued_call call;
    call.id = request.id;
    call.key = { queuePriorityOf(request), m_nextSequence++ };
    call.callPriority = request.order;
    call.entry = request.entry;
    call.entryLimit = request.entryLimit;
    call.arrival = now;
    call.deadline = request.deadline;
    call.latestStart = request.deadline;
    if (m_settings.dropsUnreachableDeadlines)
        call.latestStart = request.deadline - entryServiceTime(request.entry);
    return call;
}

priority admission_controller::queuePriorityOf(const admission_request& request)
{
    return std::visit(internal::queue_priority { request.order, request.depth, m_random }, m_settings.order);
}

std::optional<refusal_reason> admission_controller::immediateRefusal(
    const admission_request& request, const internal::queued_call& call, time_point now) const
{
    if (!m_isAccepting)
        return refusal_reason::draining;
    if (!m_isAvailable)
        return refusal_reason::no_upstream;
    if (request.deadline <= now)
        return refusal_reason::deadline_unreachable;
    if (!m_settings.isEnabled)
        return std::nullopt;
    // A more important call was evicted just before, but the queue has drained faster than predicted since; starting
    // this one would be a priority inversion.
    if (isPriorityOrdered() && m_classOrder.hasRefusedAbove(request.order.importance(), now))
        return refusal_reason::overloaded;
    if (!m_settings.dropsUnreachableDeadlines)
        return std::nullopt;
    milliseconds wait;
    if (m_running.size() >= m_limit.value())
        wait = predictedWait(m_queue.readyBefore(call.key));
    const std::size_t entryCallsAhead
        = m_queue.entryQueuedBefore(call.entry, call.key) + m_queue.entryRunning(call.entry);
    if (call.entryLimit != 0 && entryCallsAhead >= call.entryLimit) {
        const std::size_t rounds = entryCallsAhead / call.entryLimit;
        wait = std::max(wait, entryServiceTime(call.entry) * static_cast<std::int64_t>(rounds));
    }
    if (isDeadlineUnreachable(call.entry, call.deadline, now + wait))
        return refusal_reason::deadline_unreachable;
    return std::nullopt;
}

bool admission_controller::isDeadlineUnreachable(
    const std::string& entry, time_point deadline, time_point predictedStart) const
{
    // With no call of the entry running, no sample would correct an overestimate, so the estimate is not used.
    if (m_entryRunning.count(entry) == 0)
        return deadline <= predictedStart;
    return deadline < predictedStart + entryServiceTime(entry);
}

milliseconds admission_controller::entryServiceTime(const std::string& entry) const
{
    const auto position = m_entryServiceTimes.find(entry);
    return position == m_entryServiceTimes.end() ? milliseconds {} : position->second.mean();
}

milliseconds admission_controller::predictedWait(std::size_t ahead) const
{
    const double limit = std::max(1.0, static_cast<double>(m_limit.value()));
    return milliseconds::fromFraction(static_cast<double>(ahead) * m_serviceTime.mean().count() / limit);
}

milliseconds admission_controller::queueTime() const { return predictedWait(m_queue.ready()); }

milliseconds admission_controller::retryAfter()
{
    const double drainTime = predictedWait(m_queue.ready() + 1).count();
    const double shortest = std::max(drainTime, m_settings.shortestRetryAfter.count());
    const double jitter = std::uniform_real_distribution<double> { 1.0, 2.0 }(m_random);
    return milliseconds::fromFraction(std::min(shortest * jitter, m_settings.longestRetryAfter.count()));
}

void admission_controller::start(const internal::queued_call& call, time_point now, admission_decisions& decisions)
{
    m_running.emplace(call.id, running_call { now, call.entry, call.entryLimit != 0 });
    ++m_entryRunning[call.entry];
    m_queue.addRunning(call.entry, call.entryLimit);
    m_classOrder.recordAdmitted(call.callPriority.importance(), now);
    decisions.emplace_back(start_call { call.id });
}

void admission_controller::refuse(call_id id, refusal_reason reason, admission_decisions& decisions)
{
    decisions.emplace_back(refuse_call { id, reason, retryAfter() });
}

void admission_controller::refuseAll(refusal_reason reason, admission_decisions& decisions)
{
    while (const internal::queued_call* call = m_queue.firstByLatestStart()) {
        const call_id id = call->id;
        m_queue.remove(id);
        refuse(id, reason, decisions);
    }
}

void admission_controller::evictBeyondQueueBound(time_point now, admission_decisions& decisions)
{
    // One call may always wait, so that a slot does not idle when the service time of one call exceeds the bound.
    while (m_queue.ready() > 1 && predictedWait(m_queue.ready()) > m_settings.queueBound) {
        const internal::queued_call call = *m_queue.last();
        const call_class importance = call.callPriority.importance();
        // Evicting a call just after a less important one was started would be a priority inversion. The queue may
        // exceed its bound meanwhile; calls that cannot meet their deadline are still refused.
        if (isPriorityOrdered() && m_classOrder.hasAdmittedBelow(importance, now))
            return;
        m_queue.remove(call.id);
        m_classOrder.recordRefused(importance, now);
        recordEviction(call.callPriority, now);
        refuse(call.id, refusal_reason::overloaded, decisions);
    }
}

bool admission_controller::isPriorityOrdered() const
{
    return std::holds_alternative<priority_order>(m_settings.order);
}

void admission_controller::recordEviction(priority evicted, time_point now)
{
    // A call below the current threshold comes from a node that has not received the threshold yet; its eviction must
    // not relax the threshold.
    const std::optional<priority> present = threshold(now);
    if (present && *present < evicted)
        return;
    m_evictedPriority = evicted;
    m_evictedAt = now;
}

priority admission_controller::relaxedThreshold(priority value, milliseconds elapsed) const
{
    if (m_settings.thresholdDoublingTime == milliseconds {})
        return value;
    return value.relaxedBy(std::exp2(elapsed.count() / m_settings.thresholdDoublingTime.count()));
}

void admission_controller::evictBlockedBeyondBound(const std::string& entry, admission_decisions& decisions)
{
    // Calls blocked by the limit of their entry have a bound of their own, since they do not delay other entries.
    while (m_queue.blocked(entry) > 1) {
        const internal::queued_call call = *m_queue.lastBlocked(entry);
        const std::int64_t blocked = static_cast<std::int64_t>(m_queue.blocked(entry));
        if (entryServiceTime(entry) * blocked / call.entryLimit <= m_settings.queueBound)
            return;
        m_queue.remove(call.id);
        refuse(call.id, refusal_reason::overloaded, decisions);
    }
}

void admission_controller::dispatch(time_point now, admission_decisions& decisions)
{
    while (m_running.size() < m_limit.value()) {
        const internal::queued_call* next = m_queue.first();
        if (next == nullptr)
            break;
        const internal::queued_call call = *next;
        m_queue.remove(call.id);
        const bool isTooLate = m_settings.dropsUnreachableDeadlines
            ? isDeadlineUnreachable(call.entry, call.deadline, now)
            : call.deadline <= now;
        if (isTooLate) {
            refuse(call.id, refusal_reason::deadline_unreachable, decisions);
            continue;
        }
        start(call, now, decisions);
        shedOnDelay(now - call.arrival, now, decisions);
    }
    if (m_queue.ready() == 0)
        m_delayedSince.reset();
}

void admission_controller::shedOnDelay(milliseconds delay, time_point now, admission_decisions& decisions)
{
    const queue_delay_limit* policy = std::get_if<queue_delay_limit>(&m_settings.limit);
    if (policy == nullptr)
        return;
    if (delay < policy->target) {
        m_delayedSince.reset();
        return;
    }
    if (!m_delayedSince) {
        m_delayedSince = now;
        m_nextShed = now + policy->interval;
        m_shedCount = 0;
    }
    const internal::queued_call* last = m_queue.last();
    if (now < m_nextShed || last == nullptr)
        return;
    const internal::queued_call call = *last;
    m_queue.remove(call.id);
    recordEviction(call.callPriority, now);
    refuse(call.id, refusal_reason::overloaded, decisions);
    // Control law of CoDel (RFC 8289, section 4.3): the drop rate increases until the delay falls below the target.
    ++m_shedCount;
    m_nextShed = now + milliseconds::fromFraction(policy->interval.count() / std::sqrt(m_shedCount));
}

void admission_controller::removeRunning(call_id id, const running_call& call)
{
    const auto entry = m_entryRunning.find(call.entry);
    if (--entry->second == 0)
        m_entryRunning.erase(entry);
    if (call.hasEntryLimit)
        m_queue.removeRunning(call.entry);
    m_running.erase(id);
}

admission_decisions admission_controller::complete(call_id id, completion outcome, time_point now)
{
    admission_decisions decisions;
    const auto position = m_running.find(id);
    if (position == m_running.end())
        return decisions;
    const running_call call = position->second;
    const milliseconds latency = now - call.start;
    m_limit.record(outcome, latency, static_cast<std::uint32_t>(m_running.size()), now);
    service_time_estimate& entryTime
        = m_entryServiceTimes.try_emplace(call.entry, m_settings.initialServiceTime).first->second;
    if (outcome == completion::finished) {
        m_serviceTime.add(latency);
        entryTime.add(latency);
    } else if (outcome == completion::timed_out) {
        m_serviceTime.addLowerBound(latency);
        entryTime.addLowerBound(latency);
    }
    removeRunning(id, call);
    dispatch(now, decisions);
    evictBeyondQueueBound(now, decisions);
    return decisions;
}

admission_decisions admission_controller::cancel(call_id id, time_point now)
{
    admission_decisions decisions;
    if (!m_queue.remove(id)) {
        const auto position = m_running.find(id);
        if (position == m_running.end())
            return decisions;
        const running_call call = position->second;
        removeRunning(id, call);
    }
    dispatch(now, decisions);
    return decisions;
}

admission_decisions admission_controller::setSlots(std::uint32_t slots, time_point now)
{
    admission_decisions decisions;
    m_limit.setSlots(slots);
    m_isAvailable = slots > 0;
    if (!m_isAvailable) {
        refuseAll(refusal_reason::no_upstream, decisions);
        return decisions;
    }
    dispatch(now, decisions);
    evictBeyondQueueBound(now, decisions);
    return decisions;
}

void admission_controller::resetLimit(time_point)
{
    m_limit.resetLimit();
    m_evictedPriority.reset();
    m_delayedSince.reset();
}

admission_decisions admission_controller::stopAccepting(time_point)
{
    admission_decisions decisions;
    m_isAccepting = false;
    refuseAll(refusal_reason::draining, decisions);
    return decisions;
}

admission_decisions admission_controller::poll(time_point now)
{
    admission_decisions decisions;
    while (const internal::queued_call* call = m_queue.firstByLatestStart()) {
        if (call->latestStart >= now)
            break;
        const call_id id = call->id;
        m_queue.remove(id);
        refuse(id, refusal_reason::deadline_unreachable, decisions);
    }
    dispatch(now, decisions);
    return decisions;
}

std::optional<priority> admission_controller::threshold(time_point now) const
{
    if (!isPriorityOrdered() || !m_evictedPriority || now - m_evictedAt >= m_settings.thresholdValidity)
        return std::nullopt;
    return relaxedThreshold(*m_evictedPriority, now - m_evictedAt);
}

milliseconds admission_controller::thresholdValidity(time_point now) const
{
    return threshold(now) ? m_evictedAt + m_settings.thresholdValidity - now : milliseconds {};
}

std::optional<time_point> admission_controller::nextWakeup() const
{
    const internal::queued_call* call = m_queue.firstByLatestStart();
    if (call == nullptr)
        return std::nullopt;
    return call->latestStart + milliseconds::fromMicroseconds(1);
}

} // namespace knapweedcroft
