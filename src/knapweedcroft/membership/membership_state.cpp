#include "knapweedcroft/membership/membership_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static membership_outcome makeVoided(error_kind kind, std::string message)
{
    membership_outcome outcome;
    outcome.voided = error { kind, std::move(message) };
    return outcome;
}

/** @brief Checks whether an incarnation is a former member; a former member cannot join again. */
[[nodiscard]] static bool isRetired(const service_history& history, const node_identity& identity)
{
    return !history.current().contains(identity)
        && std::any_of(history.entries.begin(), history.entries.end(), [&identity](const view_entry& entry) {
               return entry.changed.identity() == identity || entry.view.contains(identity);
           });
}

} // namespace internal

membership_state::membership_state(const membership_settings& settings)
    : m_settings { settings }
{
}

std::int64_t membership_state::nextOffset() const noexcept
{
    if (!m_gapStart)
        return m_nextOffset;
    return m_deferredRecords.empty() ? *m_gapStart : m_deferredRecords.back().offset + 1;
}

void membership_state::handleTrim(std::int64_t first)
{
    if (first <= nextOffset())
        return;
    m_gapStart = first;
    m_deferredRecords.clear();
}

membership_outcome membership_state::apply(const log_record& record, time_point now)
{
    if (record.offset < nextOffset())
        return {};
    handleTrim(record.offset);
    if (!m_gapStart)
        return applyNext(record, now);
    m_deferredRecords.push_back(record);
    const result<membership_record> parsed = parseRecord(record.payload);
    const views_snapshot_record* snapshot
        = hasValue(parsed) ? std::get_if<views_snapshot_record>(&valueOf(parsed)) : nullptr;
    if (snapshot == nullptr || !canInstall(*snapshot)) {
        membership_outcome outcome;
        outcome.isDeferred = true;
        if (snapshot != nullptr)
            outcome.snapshotEnd = snapshot->nextOffset;
        return outcome;
    }
    install(*snapshot, now);
    return applyDeferred(now);
}

bool membership_state::installSnapshot(const std::string& snapshot, time_point now)
{
    const result<membership_record> parsed = parseRecord(snapshot);
    const views_snapshot_record* record
        = hasValue(parsed) ? std::get_if<views_snapshot_record>(&valueOf(parsed)) : nullptr;
    if (record == nullptr || !canInstall(*record))
        return false;
    install(*record, now);
    static_cast<void>(applyDeferred(now));
    return true;
}

membership_outcome membership_state::skipGap(time_point now)
{
    if (!m_gapStart)
        return {};
    m_nextOffset = *m_gapStart;
    m_isComplete = false;
    return applyDeferred(now);
}

bool membership_state::canInstall(const views_snapshot_record& snapshot) const
{
    if (snapshot.nextOffset <= m_nextOffset || (m_gapStart && snapshot.nextOffset < *m_gapStart))
        return false;
    return std::all_of(
        m_services.begin(), m_services.end(), [&snapshot](const std::pair<const service_name, service_history>& local) {
            return std::any_of(
                snapshot.services.begin(), snapshot.services.end(), [&local](const service_history& candidate) {
                    return candidate.current().service == local.first
                        && candidate.current().offset >= local.second.current().offset;
                });
        });
}

void membership_state::install(const views_snapshot_record& snapshot, time_point now)
{
    std::map<service_name, service_history> services;
    for (const service_history& history : snapshot.services) {
        service_history& installed = services[history.current().service] = history;
        const service_history* local = this->history(history.current().service);
        for (view_entry& entry : installed.entries) {
            entry.appliedAt = now;
            if (local == nullptr)
                continue;
            const auto existing = std::find_if(local->entries.begin(), local->entries.end(),
                [&entry](const view_entry& candidate) { return candidate.view.offset == entry.view.offset; });
            if (existing != local->entries.end())
                entry.appliedAt = existing->appliedAt;
        }
    }
    m_services = std::move(services);
    m_nextOffset = snapshot.nextOffset;
    m_isComplete = snapshot.isComplete;
}

membership_outcome membership_state::applyDeferred(time_point now)
{
    m_gapStart.reset();
    const std::vector<log_record> deferred = std::exchange(m_deferredRecords, {});
    membership_outcome total;
    for (const log_record& record : deferred) {
        if (record.offset < m_nextOffset)
            continue;
        membership_outcome applied = applyNext(record, now);
        total.changes.insert(total.changes.end(), applied.changes.begin(), applied.changes.end());
        if (applied.snapshotEnd)
            total.snapshotEnd = applied.snapshotEnd;
    }
    return total;
}

membership_outcome membership_state::applyNext(const log_record& record, time_point now)
{
    m_nextOffset = record.offset + 1;
    const result<membership_record> parsed = parseRecord(record.payload);
    if (!hasValue(parsed))
        return internal::makeVoided(errorOf(parsed).kind, errorOf(parsed).message);
    if (const join_record* join = std::get_if<join_record>(&valueOf(parsed)))
        return applyJoin(join->joined, record, now);
    if (const leave_record* leave = std::get_if<leave_record>(&valueOf(parsed)))
        return removeMember({ leave->node, leave->incarnation }, view_change_kind::leave, std::nullopt, record, now);
    if (const evict_record* evict = std::get_if<evict_record>(&valueOf(parsed)))
        return removeMember(
            { evict->node, evict->incarnation }, view_change_kind::evict, evict->viewOffset, record, now);
    membership_outcome outcome;
    outcome.snapshotEnd = std::get<views_snapshot_record>(valueOf(parsed)).nextOffset;
    return outcome;
}

membership_outcome membership_state::applyJoin(const member& joined, const log_record& record, time_point now)
{
    const member* current = find(joined.node);
    if (current != nullptr && current->service != joined.service)
        return internal::makeVoided(error_kind::invalid_value,
            "node " + joined.node + " is a member of service " + current->service
                + "; use another node name, or let the node leave that service first");
    const auto existing = m_services.find(joined.service);
    if (existing != m_services.end() && internal::isRetired(existing->second, joined.identity()))
        return internal::makeVoided(error_kind::invalid_value,
            "incarnation " + toHex(joined.incarnation.value()) + " of node " + joined.node
                + " was a member before; join with a new incarnation");
    view_entry entry;
    entry.changed = joined;
    entry.wallTime = record.wallTime;
    entry.appliedAt = now;
    if (existing != m_services.end())
        entry.view = existing->second.current();
    entry.view.service = joined.service;
    entry.view.offset = record.offset;
    const auto position = std::lower_bound(entry.view.members.begin(), entry.view.members.end(), joined.node,
        [](const member& candidate, const node_name& name) { return candidate.node < name; });
    if (current == nullptr) {
        entry.kind = view_change_kind::join;
        entry.view.members.insert(position, joined);
    } else {
        const bool isSameIncarnation = position->incarnation == joined.incarnation;
        entry.kind = isSameIncarnation ? view_change_kind::refresh : view_change_kind::new_incarnation;
        *position = joined;
    }
    if (existing != m_services.end())
        return appendView(existing->second, std::move(entry));
    service_history& history = m_services[joined.service];
    history.isFromGenesis = m_isComplete;
    return appendView(history, std::move(entry));
}

membership_outcome membership_state::removeMember(const node_identity& identity, view_change_kind kind,
    std::optional<std::int64_t> viewOffset, const log_record& record, time_point now)
{
    const member* current = find(identity.node);
    if (current == nullptr || current->incarnation != identity.incarnation)
        return internal::makeVoided(error_kind::invalid_value,
            "incarnation " + toHex(identity.incarnation.value()) + " of node " + identity.node
                + " is not a member; no action is needed");
    service_history& history = m_services.at(current->service);
    if (viewOffset && *viewOffset != history.current().offset)
        return internal::makeVoided(error_kind::version_conflict,
            "the record names view " + std::to_string(*viewOffset) + ", but the current view is "
                + std::to_string(history.current().offset) + "; evaluate the member again at the current view");
    view_entry entry { history.current(), kind, *current, record.wallTime, now };
    entry.view.offset = record.offset;
    std::vector<member>& members = entry.view.members;
    members.erase(std::remove_if(members.begin(), members.end(),
                      [&identity](const member& candidate) { return candidate.node == identity.node; }),
        members.end());
    return appendView(history, std::move(entry));
}

membership_outcome membership_state::appendView(service_history& history, view_entry entry)
{
    membership_outcome outcome;
    outcome.changes.push_back({ entry.view.service, entry.view.offset, entry.kind, entry.changed });
    history.entries.push_back(std::move(entry));
    pruneViews(history);
    return outcome;
}

void membership_state::pruneViews(service_history& history) const
{
    const time_point retainedSince = history.entries.back().wallTime - m_settings.viewRetentionTime;
    auto firstRetained = history.entries.begin();
    while (history.entries.end() - firstRetained > 1
        && (std::next(firstRetained)->wallTime < retainedSince
            || static_cast<std::size_t>(history.entries.end() - firstRetained) > m_settings.maxViews))
        ++firstRetained;
    if (firstRetained == history.entries.begin())
        return;
    history.entries.erase(history.entries.begin(), firstRetained);
    history.isFromGenesis = false;
}

std::string membership_state::snapshot() const
{
    views_snapshot_record record;
    record.nextOffset = m_nextOffset;
    record.isComplete = m_isComplete;
    for (const std::pair<const service_name, service_history>& item : m_services)
        record.services.push_back(item.second);
    return formatRecord(record);
}

const service_view* membership_state::view(const service_name& service) const
{
    const service_history* found = history(service);
    return found == nullptr ? nullptr : &found->current();
}

const service_history* membership_state::history(const service_name& service) const
{
    const auto position = m_services.find(service);
    return position == m_services.end() ? nullptr : &position->second;
}

std::vector<member> membership_state::members() const
{
    std::vector<member> all;
    for (const std::pair<const service_name, service_history>& item : m_services)
        all.insert(all.end(), item.second.current().members.begin(), item.second.current().members.end());
    return all;
}

const member* membership_state::find(const node_name& node) const
{
    for (const std::pair<const service_name, service_history>& item : m_services) {
        if (const member* found = item.second.current().find(node))
            return found;
    }
    return nullptr;
}

} // namespace knapweedcroft
