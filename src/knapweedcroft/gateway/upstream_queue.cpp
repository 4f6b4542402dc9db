#include "knapweedcroft/gateway/upstream_queue.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Weight of one sample in the running means; about the last ten samples count.
static constexpr double sampleWeight = 0.1;
static constexpr double firstServiceTime = 20.0; // In ms, until the first answer.
// A wait of up to this part of its target latency costs a client little, so a request may use it to see if room
// appears.
static constexpr std::int64_t patienceDivisor = 8;
static constexpr milliseconds reviewInterval { 20 };

static void average(double& mean, double sample)
{
    mean = mean <= 0.0 ? sample : mean + sampleWeight * (sample - mean);
}

} // namespace internal

milliseconds upstream_queue::serviceTime(const std::string& entry) const
{
    const auto position = m_serviceTimes.find(entry);
    if (position != m_serviceTimes.end())
        return milliseconds::fromFraction(position->second);
    return milliseconds::fromFraction(m_meanServiceTime > 0.0 ? m_meanServiceTime : internal::firstServiceTime);
}

milliseconds upstream_queue::waitBehind(std::size_t ahead) const
{
    if (m_slots == 0)
        return milliseconds {};
    const double mean = m_meanServiceTime > 0.0 ? m_meanServiceTime : internal::firstServiceTime;
    return milliseconds::fromFraction(mean * static_cast<double>(ahead + 1) / static_cast<double>(m_slots));
}

milliseconds upstream_queue::expectedRoom() const { return waitBehind(m_waiting.size()); }

upstream_load upstream_queue::load() const
{
    upstream_load load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.queued = static_cast<std::uint32_t>(m_waiting.size());
    load.slots = m_slots;
    load.serviceTime = milliseconds::fromFraction(m_meanServiceTime);
    return load;
}

slot_decisions upstream_queue::offer(const slot_request& request, time_point now)
{
    slot_decisions decisions;
    if (now + serviceTime(request.entry) / 2 > request.deadline) {
        refuse(request.id, refusal_reason::deadline_unreachable, decisions);
        return decisions;
    }
    if (m_waiting.empty() && m_running.size() < m_slots) {
        m_running.emplace(request.id, running_request { request.entry, now });
        decisions.emplace_back(start_request { request.id });
        return decisions;
    }
    waiting_key key;
    key.due = request.target;
    key.sequence = ++m_sequence;
    m_keys.emplace(request.id, key);
    m_waiting.emplace(key, waiting_request { request, now });
    review(now, decisions);
    dispatch(now, decisions);
    return decisions;
}

void upstream_queue::refuse(std::uint64_t id, refusal_reason reason, slot_decisions& decisions)
{
    decisions.emplace_back(refuse_request { id, reason, m_jitter.spread(expectedRoom()) });
}

// Refuses what cannot be served, and puts what can only be late behind what can be timely.
void upstream_queue::review(time_point now, slot_decisions& decisions)
{
    std::vector<std::pair<waiting_key, refusal_reason>> refused;
    std::vector<waiting_key> late;
    std::size_t ahead = 0;
    for (const std::pair<const waiting_key, waiting_request>& item : m_waiting) {
        const slot_request& request = item.second.request;
        const milliseconds service = serviceTime(request.entry);
        const time_point end = now + waitBehind(ahead) + service;
        const milliseconds patience = (request.target - item.second.arrival) / internal::patienceDivisor;
        const bool isHopeless = now + service / 2 > request.deadline;
        const bool isLate = end > request.target;
        const bool mayWait = request.isInvested || (!request.hasAlternative && now - item.second.arrival < patience);
        if (isHopeless || (end > request.deadline && !mayWait)) {
            refused.emplace_back(item.first, refusal_reason::deadline_unreachable);
        } else if (isLate && !mayWait) {
            refused.emplace_back(item.first, refusal_reason::overloaded);
        } else {
            ++ahead;
            if (isLate && !item.first.isLate)
                late.push_back(item.first);
        }
    }
    for (const std::pair<waiting_key, refusal_reason>& item : refused) {
        const auto position = m_waiting.find(item.first);
        const std::uint64_t id = position->second.request.id;
        m_waiting.erase(position);
        m_keys.erase(id);
        refuse(id, item.second, decisions);
    }
    for (const waiting_key& key : late) {
        const auto position = m_waiting.find(key);
        waiting_request moved = std::move(position->second);
        m_waiting.erase(position);
        waiting_key lateKey = key;
        lateKey.isLate = true;
        lateKey.due = moved.request.deadline;
        m_keys[moved.request.id] = lateKey;
        m_waiting.emplace(lateKey, std::move(moved));
    }
}

void upstream_queue::dispatch(time_point now, slot_decisions& decisions)
{
    while (!m_waiting.empty() && m_running.size() < m_slots) {
        const auto first = m_waiting.begin();
        const slot_request request = first->second.request;
        m_waiting.erase(first);
        m_keys.erase(request.id);
        m_running.emplace(request.id, running_request { request.entry, now });
        decisions.emplace_back(start_request { request.id });
    }
}

void upstream_queue::measure(const running_request& ended, time_point now)
{
    const double sample = (now - ended.start).count();
    internal::average(m_meanServiceTime, sample);
    internal::average(m_serviceTimes[ended.entry], sample);
}

slot_decisions upstream_queue::release(std::uint64_t id, bool isMeasured, time_point now)
{
    slot_decisions decisions;
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        if (isMeasured)
            measure(running->second, now);
        m_running.erase(running);
    }
    const auto waiting = m_keys.find(id);
    if (waiting != m_keys.end()) {
        m_waiting.erase(waiting->second);
        m_keys.erase(waiting);
    }
    if (!m_waiting.empty()) {
        review(now, decisions);
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

slot_decisions upstream_queue::refuseAll(refusal_reason reason)
{
    slot_decisions decisions;
    for (const std::pair<const waiting_key, waiting_request>& item : m_waiting)
        refuse(item.second.request.id, reason, decisions);
    m_waiting.clear();
    m_keys.clear();
    return decisions;
}

slot_decisions upstream_queue::poll(time_point now)
{
    slot_decisions decisions;
    m_polledAt = now;
    if (!m_waiting.empty())
        review(now, decisions);
    return decisions;
}

std::optional<time_point> upstream_queue::nextWakeup() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_polledAt + internal::reviewInterval;
}

} // namespace knapweedcroft
