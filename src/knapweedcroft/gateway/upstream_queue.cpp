#include "knapweedcroft/gateway/upstream_queue.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Weight of a new sample in the moving averages, which thus cover about the last ten samples.
static constexpr double averageWeight = 0.1;
static constexpr double initialServiceTimeMs = 20.0; // Assumed until the first sample.
// A wait of up to this fraction of the target latency costs a client little, so a late request may spend it waiting for
// a slot to become free.
static constexpr std::int64_t maxLateWaitDivisor = 8;
static constexpr milliseconds pruneInterval { 20 };
static constexpr std::uint32_t minReportSamples = 5;
static constexpr double reportChangeFactor = 1.5;
static constexpr double slowFactor = 2.0;
// Receivers give a reported time half its weight after 4 s, so it is repeated before.
static constexpr milliseconds slowReminderInterval { 2000 };

static void updateAverage(double& mean, double sample)
{
    mean = mean <= 0.0 ? sample : mean + averageWeight * (sample - mean);
}

} // namespace internal

milliseconds upstream_queue::serviceTime(const std::string& entry) const
{
    const auto position = m_entryServiceTimesMs.find(entry);
    if (position != m_entryServiceTimesMs.end())
        return milliseconds::fromFraction(position->second);
    return milliseconds::fromFraction(m_meanServiceTimeMs > 0.0 ? m_meanServiceTimeMs : internal::initialServiceTimeMs);
}

milliseconds upstream_queue::expectedWait(std::size_t ahead, time_point now) const
{
    if (m_slots == 0)
        return milliseconds {};
    const double mean = m_meanServiceTimeMs > 0.0 ? m_meanServiceTimeMs : internal::initialServiceTimeMs;
    const milliseconds slotWait
        = milliseconds::fromFraction(mean * static_cast<double>(ahead + 1) / static_cast<double>(m_slots));
    return std::max(slotWait, m_rateLimiter.delay(ahead, now));
}

milliseconds upstream_queue::expectedSlotWait(time_point now) const { return expectedWait(m_waiting.size(), now); }

double upstream_queue::usableSlots() const
{
    const double slots = static_cast<double>(m_slots);
    if (!rate())
        return slots;
    const double mean = m_meanServiceTimeMs > 0.0 ? m_meanServiceTimeMs : internal::initialServiceTimeMs;
    return std::min(slots, mean / m_rateLimiter.interval().count());
}

bool upstream_queue::isTooSlowFor(const slot_request& request, time_point now) const
{
    const milliseconds maxWait = std::max(milliseconds {}, (request.target - now) / internal::maxLateWaitDivisor);
    return rate() && request.hasAlternative && m_rateLimiter.delay(m_waiting.size(), now) > maxWait;
}

upstream_load upstream_queue::load(time_point now) const
{
    upstream_load load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.queued = static_cast<std::uint32_t>(m_waiting.size());
    load.slots = m_slots;
    load.serviceTime = milliseconds::fromFraction(m_meanServiceTimeMs);
    load.rate = rate();
    load.startDelay = m_rateLimiter.delay(m_waiting.size(), now);
    return load;
}

slot_decisions upstream_queue::offer(const slot_request& request, time_point now)
{
    slot_decisions decisions;
    if (now + serviceTime(request.entry) / 2 > request.deadline) {
        refuse(request.id, refusal_reason::deadline_unreachable, now, decisions);
        return decisions;
    }
    if (m_waiting.empty() && m_running.size() < m_slots && m_rateLimiter.mayStart(now)) {
        start(request, now, decisions);
        return decisions;
    }
    waiting_key key;
    key.due = request.target;
    key.sequence = ++m_lastSequence;
    m_keysById.emplace(request.id, key);
    m_waiting.emplace(key, waiting_request { request, now });
    pruneAndReorder(now, decisions);
    dispatch(now, decisions);
    return decisions;
}

void upstream_queue::refuse(std::uint64_t id, refusal_reason reason, time_point now, slot_decisions& decisions)
{
    decisions.emplace_back(refuse_request { id, reason, m_jitter.spread(expectedSlotWait(now)) });
}

void upstream_queue::start(const slot_request& request, time_point now, slot_decisions& decisions)
{
    m_rateLimiter.recordStart(now);
    m_running.emplace(request.id, running_request { request.entry, now });
    decisions.emplace_back(start_request { request.id });
}

std::optional<refusal_reason> upstream_queue::reasonToRefuse(
    const waiting_request& waiting, std::size_t ahead, time_point now) const
{
    const slot_request& request = waiting.request;
    const milliseconds service = serviceTime(request.entry);
    if (now + service / 2 > request.deadline)
        return refusal_reason::deadline_unreachable;
    const milliseconds waited = now - waiting.arrival;
    const milliseconds maxLateWait = (request.target - waiting.arrival) / internal::maxLateWaitDivisor;
    const bool isPaced = rate().has_value();
    if (isPaced && request.hasAlternative && waited + m_rateLimiter.delay(ahead, now) > maxLateWait)
        return refusal_reason::rate_limited;
    const bool mayWait = request.isSubCall ? !isPaced : !request.hasAlternative && waited < maxLateWait;
    if (mayWait)
        return std::nullopt;
    const time_point end = now + expectedWait(ahead, now) + service;
    if (end > request.deadline)
        return refusal_reason::deadline_unreachable;
    if (end > request.target && !request.isSubCall)
        return isPaced ? refusal_reason::rate_limited : refusal_reason::overloaded;
    return std::nullopt;
}

// Refuses requests that cannot be served in time, and moves those that can only be late behind those that can be
// timely.
void upstream_queue::pruneAndReorder(time_point now, slot_decisions& decisions)
{
    std::vector<std::pair<waiting_key, refusal_reason>> refused;
    std::vector<waiting_key> newlyLate;
    std::size_t ahead = 0;
    for (const std::pair<const waiting_key, waiting_request>& item : m_waiting) {
        if (const std::optional<refusal_reason> reason = reasonToRefuse(item.second, ahead, now)) {
            refused.emplace_back(item.first, *reason);
            continue;
        }
        const slot_request& request = item.second.request;
        const bool isLate = now + expectedWait(ahead, now) + serviceTime(request.entry) > request.target;
        if (isLate && !item.first.isLate)
            newlyLate.push_back(item.first);
        ++ahead;
    }
    for (const std::pair<waiting_key, refusal_reason>& item : refused) {
        const auto position = m_waiting.find(item.first);
        const std::uint64_t id = position->second.request.id;
        m_waiting.erase(position);
        m_keysById.erase(id);
        refuse(id, item.second, now, decisions);
    }
    for (const waiting_key& key : newlyLate) {
        const auto position = m_waiting.find(key);
        waiting_request moved = std::move(position->second);
        m_waiting.erase(position);
        waiting_key lateKey = key;
        lateKey.isLate = true;
        lateKey.due = moved.request.deadline;
        m_keysById[moved.request.id] = lateKey;
        m_waiting.emplace(lateKey, std::move(moved));
    }
}

void upstream_queue::dispatch(time_point now, slot_decisions& decisions)
{
    while (!m_waiting.empty() && m_running.size() < m_slots && m_rateLimiter.mayStart(now)) {
        const auto first = m_waiting.begin();
        const slot_request request = first->second.request;
        m_waiting.erase(first);
        m_keysById.erase(request.id);
        start(request, now, decisions);
    }
}

void upstream_queue::recordServiceTime(const running_request& ended, time_point now)
{
    const double sample = (now - ended.start).count();
    internal::updateAverage(m_meanServiceTimeMs, sample);
    internal::updateAverage(m_entryServiceTimesMs[ended.entry], sample);
}

// An upstream that answers only after the timeouts has no service times. What is cancelled there counts as a sample of
// the elapsed time, but only in the reported times: the admission of this node relies on complete samples.
void upstream_queue::recordElapsedTime(const running_request& ended, bool isMeasured, time_point now)
{
    entry_estimate& estimate = m_estimates[ended.entry];
    const double elapsed = (now - ended.start).count();
    if (!isMeasured && elapsed <= estimate.meanMs)
        return;
    internal::updateAverage(estimate.meanMs, elapsed);
    ++estimate.samples;
}

std::vector<entry_service_time> upstream_queue::takeChangedServiceTimes(time_point now)
{
    std::vector<entry_service_time> changed;
    for (std::pair<const std::string, entry_estimate>& item : m_estimates) {
        entry_estimate& estimate = item.second;
        if (estimate.samples < internal::minReportSamples)
            continue;
        const double ratio = estimate.reportedMs <= 0.0 ? 0.0 : estimate.meanMs / estimate.reportedMs;
        const bool isChanged = ratio > internal::reportChangeFactor || ratio < 1.0 / internal::reportChangeFactor;
        const bool isSlow = estimate.meanMs > internal::slowFactor * estimate.lowestReportedMs;
        const bool isDue
            = estimate.reportedMs > 0.0 && isSlow && now - estimate.reportedAt >= internal::slowReminderInterval;
        if (!isChanged && !isDue)
            continue;
        const bool isFirst = estimate.reportedMs <= 0.0;
        estimate.lowestReportedMs = isFirst ? estimate.meanMs : std::min(estimate.lowestReportedMs, estimate.meanMs);
        estimate.reportedMs = estimate.meanMs;
        estimate.reportedAt = now;
        changed.push_back({ item.first, milliseconds::fromFraction(estimate.meanMs) });
    }
    return changed;
}

slot_decisions upstream_queue::release(std::uint64_t id, bool isMeasured, time_point now)
{
    slot_decisions decisions;
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        if (isMeasured)
            recordServiceTime(running->second, now);
        recordElapsedTime(running->second, isMeasured, now);
        m_running.erase(running);
    }
    const auto waiting = m_keysById.find(id);
    if (waiting != m_keysById.end()) {
        m_waiting.erase(waiting->second);
        m_keysById.erase(waiting);
    }
    if (!m_waiting.empty()) {
        pruneAndReorder(now, decisions);
        dispatch(now, decisions);
    }
    return decisions;
}

slot_decisions upstream_queue::setSlots(std::uint32_t slots, time_point now)
{
    slot_decisions decisions;
    m_slots = slots;
    dispatch(now, decisions);
    return decisions;
}

slot_decisions upstream_queue::setRate(std::optional<double> rate, time_point now)
{
    slot_decisions decisions;
    m_rateLimiter.setRate(rate, now);
    pruneAndReorder(now, decisions);
    dispatch(now, decisions);
    return decisions;
}

slot_decisions upstream_queue::refuseAll(refusal_reason reason, time_point now)
{
    slot_decisions decisions;
    for (const std::pair<const waiting_key, waiting_request>& item : m_waiting)
        refuse(item.second.request.id, reason, now, decisions);
    m_waiting.clear();
    m_keysById.clear();
    return decisions;
}

slot_decisions upstream_queue::poll(time_point now)
{
    slot_decisions decisions;
    m_lastPoll = now;
    if (!m_waiting.empty()) {
        pruneAndReorder(now, decisions);
        dispatch(now, decisions);
    }
    return decisions;
}

std::optional<time_point> upstream_queue::nextWakeup() const
{
    if (m_waiting.empty())
        return std::nullopt;
    const time_point nextPrune = m_lastPoll + internal::pruneInterval;
    const bool isPaced = rate() && m_running.size() < m_slots;
    return isPaced ? std::min(nextPrune, m_rateLimiter.nextStart()) : nextPrune;
}

} // namespace knapweedcroft
