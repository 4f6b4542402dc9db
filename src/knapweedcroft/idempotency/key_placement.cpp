#include "knapweedcroft/idempotency/key_placement.hpp"

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/idempotency/key.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

/** @brief Returns the identity of a member, or that of nobody. */
[[nodiscard]] static node_identity identityOf(const member* holder)
{
    return holder == nullptr ? node_identity {} : holder->identity();
}

/** @brief Tells whether a member of the view before gives keys to `self` by the change that made a view. */
[[nodiscard]] static bool isGivingTo(const node_identity& self, const view_entry& entry, const node_identity& other)
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
        // Members are ordered by name, so that the first of two equal weights is the same at each node.
        if (best == nullptr || weight > bestWeight) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

placement_verdict key_placement::check(std::string_view key, const service_history& history, const lease_table& leases,
    milliseconds window, time_point now, time_point wallNow) const
{
    const member* present = holder(history.present(), key);
    if (present == nullptr || present->node != m_self.node)
        return not_holder { present == nullptr ? node_name {} : present->node };
    if (present->incarnation != m_self.incarnation)
        return wait_for_hand_over { m_settings.askAgainAfter };
    const std::optional<time_point> issuedAt = issueTime(key);
    if (issuedAt && *issuedAt > wallNow + m_settings.skewBound)
        return refuse_clock_ahead {};
    const past known = pastOfKey(key, history, leases, { now, wallNow });
    if (!known.isSettled)
        return wait_for_hand_over { m_settings.askAgainAfter };
    const bool isOldAllowed = known.knownSince == time_point {};
    const bool isKnown = issuedAt ? *issuedAt > known.knownSince : known.knownSince + window < wallNow;
    if (!isOldAllowed && !isKnown)
        return unknown_outcome {};
    // The record of a key that was issued before the window may have expired.
    if (issuedAt && *issuedAt + window < wallNow)
        return unknown_outcome {};
    return admit_new {};
}

void key_placement::record(const node_name& from, std::int64_t viewOffset, time_point completeSince, bool isComplete)
{
    if (isComplete)
        m_received.emplace(std::make_pair(from, viewOffset), completeSince);
}

void key_placement::acknowledge(const node_name& to, std::int64_t viewOffset)
{
    m_acknowledged.emplace(to, viewOffset);
}

std::optional<time_point> key_placement::handedOver(const node_name& from, std::int64_t viewOffset) const
{
    const auto position = m_received.find({ from, viewOffset });
    return position == m_received.end() ? std::nullopt : std::make_optional(position->second);
}

/** @brief Tells whether an earlier holder is a member, or has left less than one lease time ago. */
bool key_placement::mayHandOver(
    const service_history& history, const node_identity& identity, const lease_table& leases, const moment& at) const
{
    if (history.present().contains(identity))
        return true;
    return std::any_of(history.entries.begin(), history.entries.end(), [&](const view_entry& entry) {
        return entry.kind == view_change_kind::leave && entry.changed.identity() == identity
            && at.now < entry.appliedAt + leases.settings().leaseTime;
    });
}

void key_placement::addStop(past& known, const node_identity& identity, std::int64_t viewOffset,
    const lease_table& leases, const moment& at) const
{
    const std::optional<time_point> stopped = leases.stoppedAt(identity, viewOffset, at.now);
    if (!stopped) {
        known.isSettled = false;
        return;
    }
    const time_point wallStopped = at.wallNow - (at.now - *stopped);
    known.knownSince = std::max(known.knownSince, wallStopped + m_settings.stampMargin());
}

/** @brief Accounts for holders before the oldest remembered view, each of which may have been any of its members. */
void key_placement::addBase(
    past& known, const service_history& history, const lease_table& leases, const moment& at) const
{
    if (history.isFromGenesis)
        return;
    const view_entry& base = history.entries.front();
    known.knownSince = std::max(known.knownSince, at.wallNow - (at.now - base.appliedAt) + m_settings.stampMargin());
    for (const member& other : base.view.members) {
        if (other.identity() != m_self)
            addStop(known, other.identity(), base.view.offset, leases, at);
    }
}

key_placement::past key_placement::pastOfKey(
    std::string_view key, const service_history& history, const lease_table& leases, const moment& at) const
{
    past known;
    node_identity next = m_self;
    for (std::size_t index = history.entries.size() - 1; index > 0; --index) {
        const view_entry& entry = history.entries[index];
        const node_identity previous = internal::identityOf(holder(history.entries[index - 1].view, key));
        const node_identity after = std::exchange(next, previous);
        // This node knows what it did itself, and nobody held the keys of an empty service.
        if (previous == after || previous == m_self || previous == node_identity {})
            continue;
        const std::optional<time_point> completeSince
            = after == m_self ? handedOver(previous.node, entry.view.offset) : std::nullopt;
        if (completeSince) {
            known.knownSince = std::max(known.knownSince, *completeSince);
            return known;
        }
        if (after == m_self && mayHandOver(history, previous, leases, at))
            known.isSettled = false;
        addStop(known, previous, entry.view.offset, leases, at);
    }
    addBase(known, history, leases, at);
    return known;
}

/** @brief Returns what this node knows of all keys that it holds in the view at `last`. */
key_placement::past key_placement::pastOfTable(
    const service_history& history, std::size_t last, const lease_table& leases, const moment& at) const
{
    past known;
    if (history.entries.front().view.contains(m_self))
        addBase(known, history, leases, at);
    for (std::size_t index = 1; index <= last; ++index) {
        const view_entry& entry = history.entries[index];
        bool isHandedOver = true;
        for (const member& other : history.entries[index - 1].view.members) {
            if (!internal::isGivingTo(m_self, entry, other.identity()))
                continue;
            if (const std::optional<time_point> since = handedOver(other.node, entry.view.offset)) {
                known.knownSince = std::max(known.knownSince, *since);
                continue;
            }
            isHandedOver = false;
            if (mayHandOver(history, other.identity(), leases, at))
                known.isSettled = false;
        }
        if (!isHandedOver)
            addAllBefore(known, history, index, leases, at);
    }
    return known;
}

/** @brief Accounts for all earlier holders, since without a hand-over nobody vouches for them. */
void key_placement::addAllBefore(
    past& known, const service_history& history, std::size_t index, const lease_table& leases, const moment& at) const
{
    const std::int64_t offset = history.entries[index].view.offset;
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
        for (const member& other : history.entries[earlier].view.members) {
            if (other.identity() != m_self)
                addStop(known, other.identity(), offset, leases, at);
        }
    }
    addBase(known, history, leases, at);
}

bool key_placement::movesTo(
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

std::vector<owed_hand_over> key_placement::owed(
    const service_history& history, const lease_table& leases, time_point now, time_point wallNow) const
{
    std::vector<owed_hand_over> all;
    for (std::size_t index = 1; index < history.entries.size(); ++index)
        addOwed(all, history, index, leases, { now, wallNow });
    return all;
}

void key_placement::addOwed(std::vector<owed_hand_over>& all, const service_history& history, std::size_t index,
    const lease_table& leases, const moment& at) const
{
    const view_entry& entry = history.entries[index];
    const bool isOwnLeave = entry.kind == view_change_kind::leave && entry.changed.identity() == m_self;
    if (!history.entries[index - 1].view.contains(m_self) || (!isOwnLeave && entry.kind != view_change_kind::join))
        return;
    std::vector<node_name> receivers;
    for (const member& other : entry.view.members) {
        const bool isGaining = isOwnLeave || other.identity() == entry.changed.identity();
        const bool isAcknowledged = m_acknowledged.count({ other.node, entry.view.offset }) != 0;
        if (isGaining && !isAcknowledged && history.present().contains(other.identity()))
            receivers.push_back(other.node);
    }
    if (receivers.empty())
        return;
    const past known = pastOfTable(history, index - 1, leases, at);
    if (!known.isSettled)
        return;
    for (const node_name& receiver : receivers)
        all.push_back({ receiver, entry.view.offset, known.knownSince });
}

} // namespace knapweedcroft
