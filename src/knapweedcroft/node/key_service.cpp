#include "knapweedcroft/node/key_service.hpp"

#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds resendInterval { 500 };
static constexpr milliseconds unavailableRetryAfter { 1000 };

struct placement_visitor {
    const std::string& key;
    milliseconds retryAfter;

    std::optional<key_decision> operator()(const admit_new&) const { return std::nullopt; }

    std::optional<key_decision> operator()(const unknown_outcome&) const
    {
        return replay_key { outcome_unknown { milliseconds {},
            "the record of Idempotency-Key \"" + key
                + "\" was lost with its node; find out whether the call took effect before sending a new key" } };
    }

    std::optional<key_decision> operator()(const wait_for_hand_over& value) const
    {
        return refuse_key { refused_not_run { refusal_reason::holder_unavailable, value.retryAfter,
            "the key is being handed over to this node; come back after the time in Retry-After" } };
    }

    std::optional<key_decision> operator()(const not_holder& value) const
    {
        return refuse_key { refused_not_run {
            refusal_reason::not_holder, retryAfter, "the key is held by node \"" + value.holder + "\"" } };
    }

    std::optional<key_decision> operator()(const refuse_clock_ahead&) const
    {
        return refuse_key { refused_not_run { refusal_reason::bad_request, milliseconds {},
            "the time in the Idempotency-Key is in the future; correct the client's clock" } };
    }
};

} // namespace internal

key_service::key_service(node_identity self, service_name service, const idempotency_settings& settings,
    std::uint64_t seed, const membership_state& membership, const lease_table& leases)
    : m_self { std::move(self) }
    , m_service { std::move(service) }
    , m_jitter { seed }
    , m_membership { membership }
    , m_leases { leases }
    , m_table { settings }
    , m_placement { settings, m_self }
{
}

void key_service::setTime(time_point now, time_point wallNow)
{
    m_now = now;
    m_wallNow = wallNow;
    m_table.expire(now);
}

std::optional<time_point> key_service::leaseEnd() const
{
    const service_view* view = m_membership.view(m_service);
    return view == nullptr ? std::nullopt : m_leases.heldUntil(*view, m_now, m_wallNow);
}

std::optional<key_decision> key_service::checkPlacement(const std::string& key, milliseconds window)
{
    const service_history* history = m_membership.history(m_service);
    if (history == nullptr)
        return refuse_key { refused_not_run { refusal_reason::holder_unavailable,
            m_jitter.spread(internal::unavailableRetryAfter),
            "this node has not read the view of its service yet; come back after the time in Retry-After" } };
    const placement_decision decision = m_placement.check(key, *history, m_leases, window, m_now, m_wallNow);
    return std::visit(internal::placement_visitor { key, m_jitter.spread(internal::unavailableRetryAfter) }, decision);
}

key_decision key_service::admit(
    const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window)
{
    // A recorded result does not depend on the view, so a key in the table needs neither a lease nor a placement check.
    if (!m_table.contains(key)) {
        if (!leaseEnd())
            return refuse_key { refused_not_run { refusal_reason::holder_unavailable,
                m_jitter.spread(internal::unavailableRetryAfter),
                "the node that holds the key holds no lease; come back after the time in Retry-After" } };
        if (std::optional<key_decision> decision = checkPlacement(key, window))
            return *decision;
    }
    return m_table.admit(key, entry, bodyHash, window, m_now);
}

void key_service::resolve(const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window,
    const call_result& outcome, node_actions& actions)
{
    if (m_table.resolve(key, outcome, m_now) != resolve_outcome::handed_over)
        return;
    forwardResult({ key, entry, bodyHash, window, false, outcome }, actions);
}

/** @brief Sends the result of a handed-over key to the current holder, or records it if this node is the holder. */
void key_service::forwardResult(const key_record& record, node_actions& actions)
{
    const service_view* view = m_membership.view(m_service);
    const member* holder = view == nullptr ? nullptr : key_placement::holder(*view, record.key);
    if (holder == nullptr || holder->node == m_self.node) {
        m_table.importRecord(record, m_now);
        return;
    }
    hand_over_message message;
    message.viewOffset = view->offset;
    message.records.push_back(record);
    actions.emplace_back(send_to_peer { holder->node, std::move(message) });
}

void key_service::prepareHandOvers()
{
    const service_history* history = m_membership.history(m_service);
    if (history == nullptr)
        return;
    for (const pending_hand_over& owed : m_placement.pendingHandOvers(*history, m_leases, m_now, m_wallNow)) {
        const hand_over_id id { owed.to, owed.viewOffset };
        if (m_pending.count(id) > 0)
            continue;
        hand_over_transmission pending;
        pending.message.viewOffset = owed.viewOffset;
        pending.message.isComplete = true;
        pending.message.completeSince = owed.completeSince;
        pending.message.records = m_table.exportMoved(
            [&](const std::string& key) { return m_placement.isMovedTo(*history, owed.viewOffset, owed.to, key); },
            m_now);
        m_pending.emplace(id, std::move(pending));
    }
}

void key_service::sendPendingHandOvers(const std::set<node_name>& linked, node_actions& actions)
{
    if (!m_mayHaveHandOvers && m_pending.empty())
        return;
    if (m_mayHaveHandOvers || m_now >= m_nextCheck) {
        prepareHandOvers();
        m_mayHaveHandOvers = false;
        m_nextCheck = m_now + internal::resendInterval;
    }
    for (auto item = m_pending.begin(); item != m_pending.end(); ++item) {
        hand_over_transmission& pending = item->second;
        if (m_now < pending.sendAt || linked.count(item->first.first) == 0)
            continue;
        pending.sendAt = m_now + internal::resendInterval;
        actions.emplace_back(send_to_peer { item->first.first, pending.message });
    }
}

void key_service::receive(const node_name& peer, const hand_over_message& message, node_actions& actions)
{
    const service_view* view = m_membership.view(m_service);
    // A result is forwarded only under a later view than the sender's, which bounds the number of hops between nodes
    // with different views.
    const bool mayForward = !message.isComplete && view != nullptr && view->offset > message.viewOffset;
    for (const key_record& record : message.records) {
        if (mayForward && !m_table.contains(record.key))
            forwardResult(record, actions);
        else
            m_table.importRecord(record, m_now);
    }
    m_placement.registerHandOver(peer, message.viewOffset, message.completeSince, message.isComplete);
    m_mayHaveHandOvers = true;
    if (message.isComplete)
        actions.emplace_back(send_to_peer { peer, hand_over_ack_message { message.viewOffset } });
}

void key_service::handleAcknowledgement(const node_name& peer, const hand_over_ack_message& message)
{
    m_placement.registerAcknowledgement(peer, message.viewOffset);
    m_pending.erase({ peer, message.viewOffset });
}

bool key_service::hasPendingHandOvers() const
{
    if (!m_pending.empty())
        return true;
    const service_history* history = m_membership.history(m_service);
    return history != nullptr && !m_placement.pendingHandOvers(*history, m_leases, m_now, m_wallNow).empty();
}

} // namespace knapweedcroft
