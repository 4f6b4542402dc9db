#include "knapweedcroft/idempotency/key_placement.hpp"

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/idempotency/key.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

/** @brief Returns the identity of a member, or an empty identity for null. */
[[nodiscard]] static node_identity identityOf(const member* holder)
{
    return holder == nullptr ? node_identity {} : holder->identity();
}

/** @brief Checks whether a view change moves keys to `self` from `other`, a member of the previous view. */
[[nodiscard]] static bool isKeySource(const node_identity& self, const view_entry& entry, const node_identity& other)
{
    if (!entry.view.contains(self) || other == self)
        return false;
    const bool isOwnChange = entry.changed.identity() == self;
    switch (entry.kind) {
    case view_change_kind::join:
        return isOwnChange;
    case view_change_kind::new_incarnation:
        return isOwnChange && other.node == self.node;
    case view_change_kind::leave:
    case view_change_kind::evict:
        return other == entry.changed.identity();
    case view_change_kind::refresh:
        return false;
    }
    return false;
}

} // namespace internal

key_placement::key_placement(const idempotency_settings& settings, node_identity self)
    : m_settings { settings }
    , m_self { std::move(self) }
{
}

const member* key_placement::holder(const service_view& view, std::string_view key) noexcept
{
    const std::uint64_t keyHash = hash64(key);
    const member* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const member& candidate : view.members) {
        const std::uint64_t weight = hash64(candidate.node, keyHash);
        // Members are ordered by name, so all nodes choose the same one of two members with equal weights.
        if (best == nullptr || weight > bestWeight) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

placement_decision key_placement::check(std::string_view key, const service_history& history, const lease_table& leases,
    milliseconds window, time_point now, time_point wallNow) const
{
    const member* current = holder(history.current(), key);
    if (current == nullptr || current->node != m_self.node)
        return not_holder { current == nullptr ? node_name {} : current->node };
    if (current->incarnation != m_self.incarnation)
        return wait_for_hand_over { m_settings.retryAfter };
    const std::optional<time_point> issuedAt = issueTime(key);
    if (issuedAt && *issuedAt > wallNow + m_settings.skewBound)
        return refuse_clock_ahead {};
    const record_coverage coverage = coverageOfKey(key, history, leases, { now, wallNow });
    if (!coverage.isExclusive)
        return wait_for_hand_over { m_settings.retryAfter };
    const bool isCoverageTotal = coverage.completeSince == time_point {};
    const bool isKeyCovered = issuedAt ? *issuedAt > coverage.completeSince : coverage.completeSince + window < wallNow;
    if (!isCoverageTotal && !isKeyCovered)
        return unknown_outcome {};
    // The record of a key issued longer ago than the window may have expired.
    if (issuedAt && *issuedAt + window < wallNow)
        return unknown_outcome {};
    return admit_new {};
}

void key_placement::registerHandOver(
    const node_name& from, std::int64_t viewOffset, time_point completeSince, bool isComplete)
{
    if (isComplete)
        m_received.emplace(std::make_pair(from, viewOffset), completeSince);
}

void key_placement::registerAcknowledgement(const node_name& to, std::int64_t viewOffset)
{
    m_acknowledged.emplace(to, viewOffset);
}

std::optional<time_point> key_placement::receivedHandOver(const node_name& from, std::int64_t viewOffset) const
{
    const auto position = m_received.find({ from, viewOffset });
    return position == m_received.end() ? std::nullopt : std::make_optional(position->second);
}

/** @brief Checks whether an earlier holder is still a member or left less than one lease time ago. */
bool key_placement::mayStillHandOver(const service_history& history, const node_identity& identity,
    const lease_table& leases, const clock_reading& clocks) const
{
    if (history.current().contains(identity))
        return true;
    return std::any_of(history.entries.begin(), history.entries.end(), [&](const view_entry& entry) {
        return entry.kind == view_change_kind::leave && entry.changed.identity() == identity
            && clocks.now < entry.appliedAt + leases.settings().leaseTime;
    });
}

void key_placement::addFormerHolder(record_coverage& coverage, const node_identity& identity, std::int64_t viewOffset,
    const lease_table& leases, const clock_reading& clocks) const
{
    const std::optional<time_point> stopped = leases.stoppedAt(identity, viewOffset, clocks.now);
    if (!stopped) {
        coverage.isExclusive = false;
        return;
    }
    const time_point wallStopped = clocks.wallNow - (clocks.now - *stopped);
    coverage.completeSince = std::max(coverage.completeSince, wallStopped + m_settings.timestampMargin());
}

/** @brief Accounts for holders before the oldest retained view; any member of that view may have been one of them. */
void key_placement::addForgottenHolders(record_coverage& coverage, const service_history& history,
    const lease_table& leases, const clock_reading& clocks) const
{
    if (history.isFromGenesis)
        return;
    const view_entry& base = history.entries.front();
    coverage.completeSince = std::max(
        coverage.completeSince, clocks.wallNow - (clocks.now - base.appliedAt) + m_settings.timestampMargin());
    for (const member& other : base.view.members) {
        if (other.identity() != m_self)
            addFormerHolder(coverage, other.identity(), base.view.offset, leases, clocks);
    }
}

key_placement::record_coverage key_placement::coverageOfKey(
    std::string_view key, const service_history& history, const lease_table& leases, const clock_reading& clocks) const
{
    record_coverage coverage;
    node_identity next = m_self;
    for (std::size_t index = history.entries.size() - 1; index > 0; --index) {
        const view_entry& entry = history.entries[index];
        const node_identity previous = internal::identityOf(holder(history.entries[index - 1].view, key));
        const node_identity after = std::exchange(next, previous);
        // This node has records of its own executions, and an empty service has no holders.
        if (previous == after || previous == m_self || previous == node_identity {})
            continue;
        const std::optional<time_point> completeSince
            = after == m_self ? receivedHandOver(previous.node, entry.view.offset) : std::nullopt;
        if (completeSince) {
            coverage.completeSince = std::max(coverage.completeSince, *completeSince);
            return coverage;
        }
        if (after == m_self && mayStillHandOver(history, previous, leases, clocks))
            coverage.isExclusive = false;
        addFormerHolder(coverage, previous, entry.view.offset, leases, clocks);
    }
    addForgottenHolders(coverage, history, leases, clocks);
    return coverage;
}

/** @brief Returns the combined coverage of all keys that this node holds in the view with the index `last`. */
key_placement::record_coverage key_placement::coverageOfTable(
    const service_history& history, std::size_t last, const lease_table& leases, const clock_reading& clocks) const
{
    record_coverage coverage;
    if (history.entries.front().view.contains(m_self))
        addForgottenHolders(coverage, history, leases, clocks);
    for (std::size_t index = 1; index <= last; ++index) {
        const view_entry& entry = history.entries[index];
        bool isHandedOver = true;
        for (const member& other : history.entries[index - 1].view.members) {
            if (!internal::isKeySource(m_self, entry, other.identity()))
                continue;
            if (const std::optional<time_point> since = receivedHandOver(other.node, entry.view.offset)) {
                coverage.completeSince = std::max(coverage.completeSince, *since);
                continue;
            }
            isHandedOver = false;
            if (mayStillHandOver(history, other.identity(), leases, clocks))
                coverage.isExclusive = false;
        }
        if (!isHandedOver)
            addAllFormerHolders(coverage, history, index, leases, clocks);
    }
    return coverage;
}

/** @brief Accounts for all earlier holders, since without a hand-over none of their executions is known. */
void key_placement::addAllFormerHolders(record_coverage& coverage, const service_history& history, std::size_t index,
    const lease_table& leases, const clock_reading& clocks) const
{
    const std::int64_t offset = history.entries[index].view.offset;
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
        for (const member& other : history.entries[earlier].view.members) {
            if (other.identity() != m_self)
                addFormerHolder(coverage, other.identity(), offset, leases, clocks);
        }
    }
    addForgottenHolders(coverage, history, leases, clocks);
}

bool key_placement::isMovedTo(
    const service_history& history, std::int64_t viewOffset, const node_name& to, std::string_view key) const
{
    for (std::size_t index = 1; index < history.entries.size(); ++index) {
        const service_view& view = history.entries[index].view;
        if (view.offset != viewOffset)
            continue;
        const member* before = holder(history.entries[index - 1].view, key);
        const member* after = holder(view, key);
        return internal::identityOf(before) == m_self && after != nullptr && after->node == to;
    }
    return false;
}

void key_placement::forgetBefore(std::int64_t viewOffset)
{
    for (auto position = m_received.begin(); position != m_received.end();)
        position = position->first.second < viewOffset ? m_received.erase(position) : std::next(position);
    for (auto position = m_acknowledged.begin(); position != m_acknowledged.end();)
        position = position->second < viewOffset ? m_acknowledged.erase(position) : std::next(position);
}

std::vector<pending_hand_over> key_placement::pendingHandOvers(
    const service_history& history, const lease_table& leases, time_point now, time_point wallNow) const
{
    std::vector<pending_hand_over> pending;
    for (std::size_t index = 1; index < history.entries.size(); ++index)
        addPendingHandOvers(pending, history, index, leases, { now, wallNow });
    return pending;
}

void key_placement::addPendingHandOvers(std::vector<pending_hand_over>& pending, const service_history& history,
    std::size_t index, const lease_table& leases, const clock_reading& clocks) const
{
    const view_entry& entry = history.entries[index];
    const bool isOwnLeave = entry.kind == view_change_kind::leave && entry.changed.identity() == m_self;
    if (!history.entries[index - 1].view.contains(m_self) || (!isOwnLeave && entry.kind != view_change_kind::join))
        return;
    std::vector<node_name> receivers;
    for (const member& other : entry.view.members) {
        const bool isReceiver = isOwnLeave || other.identity() == entry.changed.identity();
        const bool isAcknowledged = m_acknowledged.count({ other.node, entry.view.offset }) != 0;
        if (isReceiver && !isAcknowledged && history.current().contains(other.identity()))
            receivers.push_back(other.node);
    }
    if (receivers.empty())
        return;
    const record_coverage coverage = coverageOfTable(history, index - 1, leases, clocks);
    if (!coverage.isExclusive)
        return;
    for (const node_name& receiver : receivers)
        pending.push_back({ receiver, entry.view.offset, coverage.completeSince });
}

} // namespace knapweedcroft
