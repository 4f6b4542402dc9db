#include "knapweedcroft/idempotency/key_table.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds minRetryAfter { 100 };
static constexpr milliseconds maxRetryAfter { 10'000 };

/** @brief Returns the replacement for an answer whose body did not fit into `maxAnswerBytes`. */
[[nodiscard]] static answered omittedAnswer(int status)
{
    return { status, "application/json",
        R"({"error":"answer_not_kept","message":"the call was answered, but its answer was too large to keep; )"
        R"(read the present state from the service"})" };
}

[[nodiscard]] static std::size_t answerBodySize(const call_result& outcome) noexcept
{
    const answered* answer = std::get_if<answered>(&outcome);
    return answer == nullptr ? 0 : answer->body.size();
}

} // namespace internal

key_table::key_table(const idempotency_settings& settings)
    : m_settings { settings }
{
}

key_decision key_table::admit(
    const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window, time_point now)
{
    expire(now);
    const auto existing = m_slots.find(key);
    if (existing != m_slots.end())
        return decideExisting(existing->second, entry, bodyHash);
    if (m_slots.size() >= m_settings.maxKeys)
        return refuse_key { tableFullRefusal(now) };
    slot newSlot;
    newSlot.entry = entry;
    newSlot.bodyHash = bodyHash;
    newSlot.window = window;
    m_slots.emplace(key, std::move(newSlot));
    return run_key {};
}

key_decision key_table::decideExisting(const slot& stored, const std::string& entry, std::uint64_t bodyHash) const
{
    if (stored.state == slot_state::handed_over)
        return refuse_key { { refusal_reason::not_holder, m_settings.retryAfter,
            "the key has moved to another node; repeat the call with the same key" } };
    if (stored.entry != entry || stored.bodyHash != bodyHash)
        return refuse_key { { refusal_reason::key_conflict, milliseconds {},
            "the idempotency key was used for another call; use a new key for each action" } };
    if (stored.state == slot_state::done)
        return replay_key { recordedOutcome(stored) };
    if (stored.state == slot_state::running_elsewhere)
        return replay_key { outcome_unknown { m_settings.retryAfter,
            "the call is still running at the node that held the key before; ask again with the same key" } };
    return join_key {};
}

call_result key_table::recordedOutcome(const slot& stored)
{
    if (stored.isBodyDropped)
        return internal::omittedAnswer(std::get<answered>(stored.outcome).status);
    return stored.outcome;
}

refused_not_run key_table::tableFullRefusal(time_point now) const
{
    const milliseconds untilNext = m_expiries.empty() ? internal::maxRetryAfter : m_expiries.begin()->first - now;
    return { refusal_reason::key_table_full, std::clamp(untilNext, internal::minRetryAfter, internal::maxRetryAfter),
        "the table of idempotency keys is full; repeat the call with the same key after the given time" };
}

void key_table::markRunning(const std::string& key)
{
    const auto position = m_slots.find(key);
    if (position != m_slots.end() && position->second.state == slot_state::reserved)
        position->second.state = slot_state::running;
}

resolve_outcome key_table::resolve(const std::string& key, const call_result& outcome, time_point now)
{
    const auto position = m_slots.find(key);
    if (position == m_slots.end())
        return resolve_outcome::not_known;
    if (position->second.state == slot_state::handed_over)
        return resolve_outcome::handed_over;
    if (position->second.state == slot_state::done)
        return resolve_outcome::recorded;
    if (std::holds_alternative<refused_not_run>(outcome)) {
        erase(position);
        return resolve_outcome::removed;
    }
    // A key with a timestamp ahead of this clock must be kept until its timestamp is older than the window.
    storeOutcome(position, outcome, now + position->second.window + m_settings.timestampMargin());
    return resolve_outcome::recorded;
}

void key_table::storeOutcome(slot_map::iterator position, const call_result& outcome, time_point expiresAt)
{
    slot& stored = position->second;
    const std::size_t bytes = internal::answerBodySize(outcome);
    stored.isBodyDropped = bytes > 0 && m_answerBytes + bytes > m_settings.maxAnswerBytes;
    if (stored.isBodyDropped)
        stored.outcome = answered { std::get<answered>(outcome).status, {}, {} };
    else
        stored.outcome = outcome;
    m_answerBytes += internal::answerBodySize(stored.outcome);
    stored.state = slot_state::done;
    expireAt(position, expiresAt);
}

void key_table::expireAt(slot_map::iterator position, time_point expiresAt)
{
    slot& stored = position->second;
    if (stored.expiry)
        m_expiries.erase(*stored.expiry);
    stored.expiry = m_expiries.emplace(expiresAt, &position->first);
}

void key_table::discardAnswer(slot& stored)
{
    if (stored.state == slot_state::done)
        m_answerBytes -= internal::answerBodySize(stored.outcome);
    stored.outcome = call_result {};
    stored.isBodyDropped = false;
}

void key_table::erase(slot_map::iterator position)
{
    discardAnswer(position->second);
    if (position->second.expiry)
        m_expiries.erase(*position->second.expiry);
    m_slots.erase(position);
}

void key_table::importRecord(const key_record& record, time_point now)
{
    auto position = m_slots.find(record.key);
    const bool isNotRun = !record.isRunning && std::holds_alternative<refused_not_run>(record.outcome);
    if (isNotRun) {
        if (position != m_slots.end() && position->second.state == slot_state::running_elsewhere)
            erase(position);
        return;
    }
    if (position == m_slots.end())
        position = m_slots.emplace(record.key, slot {}).first;
    else if (position->second.state != slot_state::running_elsewhere
        && position->second.state != slot_state::handed_over)
        return;
    slot& stored = position->second;
    stored.entry = record.entry;
    stored.bodyHash = record.bodyHash;
    stored.window = record.remainingWindow;
    if (!record.isRunning) {
        this->storeOutcome(position, record.outcome, now + record.remainingWindow);
        return;
    }
    stored.state = slot_state::running_elsewhere;
    expireAt(position, now + record.remainingWindow);
}

std::vector<key_record> key_table::exportMoved(const std::function<bool(const std::string&)>& isMoved, time_point now)
{
    expire(now);
    std::vector<key_record> records;
    for (auto position = m_slots.begin(); position != m_slots.end(); ++position) {
        slot& stored = position->second;
        if (stored.state == slot_state::handed_over || !isMoved(position->first))
            continue;
        const bool isDone = stored.state == slot_state::done;
        const time_point expiresAt
            = stored.expiry ? (*stored.expiry)->first : now + stored.window + m_settings.timestampMargin();
        records.push_back(
            { position->first, stored.entry, stored.bodyHash, expiresAt - now, !isDone, recordedOutcome(stored) });
        discardAnswer(stored);
        stored.state = slot_state::handed_over;
        expireAt(position, expiresAt);
    }
    // Iteration order differs between standard libraries; sorting makes the message deterministic.
    std::sort(
        records.begin(), records.end(), [](const key_record& lhs, const key_record& rhs) { return lhs.key < rhs.key; });
    return records;
}

void key_table::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        erase(m_slots.find(*m_expiries.begin()->second));
}

bool key_table::contains(const std::string& key) const
{
    const auto position = m_slots.find(key);
    return position != m_slots.end() && position->second.state != slot_state::handed_over;
}

} // namespace knapweedcroft
