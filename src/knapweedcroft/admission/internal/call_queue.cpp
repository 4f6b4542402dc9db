#include "knapweedcroft/admission/internal/call_queue.hpp"

#include <algorithm>
#include <iterator>

namespace knapweedcroft::internal {

void call_queue::add(queued_call call)
{
    const call_id id = call.id;
    m_byLatestStart.insert({ call.latestStart, id });
    if (call.entryLimit == 0) {
        m_ready.insert({ call.key, id });
    } else {
        limited_entry& entry = m_limitedEntries[call.entry];
        entry.limit = call.entryLimit;
        entry.blocked.insert({ call.key, id });
        rebalance(entry);
    }
    m_calls.emplace(id, std::move(call));
}

std::optional<queued_call> call_queue::remove(call_id id)
{
    const auto position = m_calls.find(id);
    if (position == m_calls.end())
        return std::nullopt;
    queued_call call = std::move(position->second);
    m_calls.erase(position);
    m_byLatestStart.erase({ call.latestStart, id });
    m_ready.erase(call.key);
    if (call.entryLimit != 0) {
        limited_entry& entry = m_limitedEntries[call.entry];
        entry.ready.erase(call.key);
        entry.blocked.erase(call.key);
        rebalance(entry);
        eraseIfUnused(call.entry);
    }
    return call;
}

void call_queue::addRunning(const std::string& entry, std::uint32_t entryLimit)
{
    if (entryLimit == 0)
        return;
    limited_entry& state = m_limitedEntries[entry];
    state.limit = entryLimit;
    ++state.running;
    rebalance(state);
}

void call_queue::removeRunning(const std::string& entry)
{
    limited_entry& state = m_limitedEntries[entry];
    if (state.running > 0)
        --state.running;
    rebalance(state);
    eraseIfUnused(entry);
}

void call_queue::rebalance(limited_entry& entry)
{
    while (!entry.ready.empty() && entry.running + entry.ready.size() > entry.limit)
        block(entry);
    while (!entry.blocked.empty() && entry.running + entry.ready.size() < entry.limit)
        makeReady(entry);
    const bool hasBoth = !entry.blocked.empty() && !entry.ready.empty();
    if (hasBoth && entry.blocked.begin()->first < std::prev(entry.ready.end())->first) {
        block(entry);
        makeReady(entry);
    }
}

void call_queue::makeReady(limited_entry& entry)
{
    const std::pair<queue_key, call_id> firstBlocked { entry.blocked.begin()->first, entry.blocked.begin()->second };
    entry.blocked.erase(firstBlocked.first);
    entry.ready.insert(firstBlocked);
    m_ready.insert(firstBlocked);
}

void call_queue::block(limited_entry& entry)
{
    const auto position = std::prev(entry.ready.end());
    const std::pair<queue_key, call_id> lastReady { position->first, position->second };
    entry.ready.erase(lastReady.first);
    m_ready.erase(lastReady.first);
    entry.blocked.insert(lastReady);
}

void call_queue::eraseIfUnused(const std::string& entry)
{
    const auto position = m_limitedEntries.find(entry);
    const limited_entry& state = position->second;
    if (state.running == 0 && state.ready.empty() && state.blocked.empty())
        m_limitedEntries.erase(position);
}

const queued_call* call_queue::first() const
{
    return m_ready.empty() ? nullptr : &m_calls.at(m_ready.begin()->second);
}

const queued_call* call_queue::last() const
{
    return m_ready.empty() ? nullptr : &m_calls.at(std::prev(m_ready.end())->second);
}

const queued_call* call_queue::lastBlocked(const std::string& entry) const
{
    const auto position = m_limitedEntries.find(entry);
    if (position == m_limitedEntries.end() || position->second.blocked.empty())
        return nullptr;
    return &m_calls.at(std::prev(position->second.blocked.end())->second);
}

const queued_call* call_queue::firstByLatestStart() const
{
    return m_byLatestStart.empty() ? nullptr : &m_calls.at(m_byLatestStart.begin()->second);
}

std::size_t call_queue::entryQueuedBefore(const std::string& entry, const queue_key& key) const
{
    const auto position = m_limitedEntries.find(entry);
    if (position == m_limitedEntries.end())
        return 0;
    return position->second.ready.order_of_key(key) + position->second.blocked.order_of_key(key);
}

std::uint32_t call_queue::entryRunning(const std::string& entry) const
{
    const auto position = m_limitedEntries.find(entry);
    return position == m_limitedEntries.end() ? 0 : position->second.running;
}

std::size_t call_queue::blocked(const std::string& entry) const
{
    const auto position = m_limitedEntries.find(entry);
    return position == m_limitedEntries.end() ? 0 : position->second.blocked.size();
}

} // namespace knapweedcroft::internal
