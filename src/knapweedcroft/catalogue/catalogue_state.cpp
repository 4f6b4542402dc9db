#include "knapweedcroft/catalogue/catalogue_state.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static change_outcome malformedOutcome(const log_record& record, const error& failure)
{
    change_outcome outcome;
    outcome.offset = record.offset;
    outcome.wallTime = record.wallTime;
    outcome.changeId = findChangeId(record.payload);
    outcome.voided = change_rejection { rejection_reason::malformed,
        failure.message + "; correct the record and append it again" };
    return outcome;
}

[[nodiscard]] static std::string formatVersion(std::int64_t version)
{
    return version == noVersion ? std::string { "none" } : std::to_string(version);
}

} // namespace internal

std::string_view toString(rejection_reason reason) noexcept
{
    switch (reason) {
    case rejection_reason::malformed:
        return "malformed";
    case rejection_reason::version_conflict:
        return "version_conflict";
    case rejection_reason::duplicate:
        return "duplicate";
    }
    return "unknown";
}

catalogue_state::catalogue_state(std::size_t historyLimit)
    : m_historyLimit { historyLimit }
{
}

std::int64_t catalogue_state::nextOffset() const noexcept { return m_gap ? m_gap->next : m_appliedOffset; }

void catalogue_state::skipTo(std::int64_t first)
{
    if (first <= nextOffset())
        return;
    m_gap = buffered_records { first, first, {} };
}

std::vector<change_outcome> catalogue_state::apply(const log_record& record)
{
    std::vector<change_outcome> outcomes;
    if (record.offset < nextOffset())
        return outcomes;
    skipTo(record.offset);
    if (m_gap)
        buffer(record, outcomes);
    else
        applyNext(record, outcomes);
    return outcomes;
}

void catalogue_state::applyNext(const log_record& record, std::vector<change_outcome>& outcomes)
{
    m_appliedOffset = record.offset + 1;
    const result<catalogue_record> parsed = parseRecord(record.payload);
    if (!hasValue(parsed)) {
        outcomes.push_back(internal::malformedOutcome(record, errorOf(parsed)));
        addToHistory(outcomes.back());
        return;
    }
    // Without a gap, a snapshot contains only changes that were already applied.
    if (const change_record* change = std::get_if<change_record>(&valueOf(parsed)))
        outcomes.push_back(processChange(record, *change));
}

void catalogue_state::buffer(const log_record& record, std::vector<change_outcome>& outcomes)
{
    m_gap->records.push_back(record);
    m_gap->next = record.offset + 1;
    const result<catalogue_record> parsed = parseRecord(record.payload);
    if (!hasValue(parsed))
        return;
    const snapshot_record* snapshot = std::get_if<snapshot_record>(&valueOf(parsed));
    // A valid snapshot covers only records before its own offset.
    if (snapshot != nullptr && snapshot->upTo <= record.offset)
        installSnapshot(*snapshot, outcomes);
}

result<std::vector<change_outcome>> catalogue_state::installSnapshot(std::string_view snapshot)
{
    const result<catalogue_record> parsed = parseRecord(snapshot);
    if (!hasValue(parsed))
        return errorOf(parsed);
    const snapshot_record* record = std::get_if<snapshot_record>(&valueOf(parsed));
    if (record == nullptr)
        return error { error_kind::invalid_value, "record: is a change; send a snapshot instead" };
    std::vector<change_outcome> outcomes;
    installSnapshot(*record, outcomes);
    return outcomes;
}

void catalogue_state::installSnapshot(const snapshot_record& snapshot, std::vector<change_outcome>& outcomes)
{
    if (snapshot.upTo <= m_appliedOffset)
        return;
    for (const entry_version& version : snapshot.versions) {
        entry_version& current = m_versions[version.name];
        if (version.version > current.version)
            current = version;
    }
    m_appliedOffset = snapshot.upTo;
    if (m_gap && m_appliedOffset >= m_gap->first)
        applyBuffered(outcomes);
}

void catalogue_state::applyBuffered(std::vector<change_outcome>& outcomes)
{
    const buffered_records buffered = *std::exchange(m_gap, std::nullopt);
    for (const log_record& record : buffered.records) {
        if (record.offset >= m_appliedOffset)
            applyNext(record, outcomes);
    }
}

std::optional<change_rejection> catalogue_state::validate(const change_record& change) const
{
    const std::int64_t current = version(change.name);
    if (change.baseVersion == current)
        return std::nullopt;
    const change_outcome* previous = outcomeOf(change.changeId);
    const auto position = m_versions.find(change.name);
    const bool isCurrentChange = position != m_versions.end() && position->second.changeId == change.changeId;
    if (previous != nullptr || isCurrentChange)
        return change_rejection { rejection_reason::duplicate,
            "change " + change.changeId + " was already processed; no action is needed" };
    return change_rejection { rejection_reason::version_conflict,
        "entry " + change.name + " has version " + internal::formatVersion(current)
            + ", but the change is based on version " + internal::formatVersion(change.baseVersion)
            + "; read the entry again and repeat the change if it is still needed" };
}

change_outcome catalogue_state::processChange(const log_record& record, const change_record& change)
{
    change_outcome outcome;
    outcome.offset = record.offset;
    outcome.wallTime = record.wallTime;
    outcome.changeId = change.changeId;
    outcome.operatorName = change.operatorName;
    outcome.name = change.name;
    outcome.baseVersion = change.baseVersion;
    outcome.isRemoval = !change.entry;
    outcome.voided = validate(change);
    if (outcome.isAccepted())
        accept(record, change);
    addToHistory(outcome);
    return outcome;
}

void catalogue_state::accept(const log_record& record, const change_record& change)
{
    entry_version version;
    version.name = change.name;
    version.version = record.offset;
    version.changeId = change.changeId;
    version.operatorName = change.operatorName;
    version.wallTime = record.wallTime;
    version.entry = change.entry;
    m_versions.insert_or_assign(change.name, std::move(version));
}

void catalogue_state::addToHistory(const change_outcome& outcome)
{
    m_history.push_back(outcome);
    if (m_history.size() > m_historyLimit)
        m_history.pop_front();
}

const catalogue_entry* catalogue_state::find(std::string_view service, std::string_view operation) const
{
    return find(entryName(service, operation));
}

const catalogue_entry* catalogue_state::find(std::string_view name) const
{
    const auto position = m_versions.find(name);
    return position == m_versions.end() || !position->second.entry ? nullptr : &*position->second.entry;
}

std::int64_t catalogue_state::version(std::string_view name) const
{
    const auto position = m_versions.find(name);
    return position == m_versions.end() ? noVersion : position->second.version;
}

std::string catalogue_state::snapshot() const
{
    snapshot_record record;
    record.upTo = m_appliedOffset;
    for (const versions_type::value_type& item : m_versions)
        record.versions.push_back(item.second);
    return formatRecord(record);
}

const change_outcome* catalogue_state::outcomeOf(std::string_view changeId) const
{
    const change_outcome* found = nullptr;
    for (const change_outcome& outcome : m_history) {
        if (outcome.changeId != changeId)
            continue;
        if (outcome.isAccepted())
            return &outcome;
        if (found == nullptr)
            found = &outcome;
    }
    return found;
}

} // namespace knapweedcroft
