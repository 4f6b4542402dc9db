#include "knapweedcroft/node/node_core.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Each random source has its own seed, so that a change in the use of one does not alter the others.
enum class seed_purpose : std::uint64_t { admission = 1, routing, origin, served, log, membership, catalogue, keys };

[[nodiscard]] static std::uint64_t seedFor(const node_settings& settings, seed_purpose purpose)
{
    return hash64(settings.name, settings.seed + static_cast<std::uint64_t>(purpose));
}

/** @brief Returns the offset below which a record is a snapshot of all records, if it is one. */
[[nodiscard]] static std::optional<std::int64_t> snapshotEnd(const log_record& record)
{
    const result<catalogue_record> parsed = parseRecord(std::string_view { record.payload });
    const snapshot_record* snapshot = hasValue(parsed) ? std::get_if<snapshot_record>(&valueOf(parsed)) : nullptr;
    if (snapshot == nullptr)
        return std::nullopt;
    return snapshot->upTo;
}

static void updateEarliest(std::optional<time_point>& earliest, const std::optional<time_point>& candidate)
{
    if (candidate && (!earliest || *candidate < *earliest))
        earliest = candidate;
}

// Returns whether an event concerns one call only, and so changes neither the membership nor the catalogue.
[[nodiscard]] static bool isCallEvent(const node_event& event) noexcept
{
    if (const message_received* received = std::get_if<message_received>(&event)) {
        const peer_message& message = received->message;
        return std::holds_alternative<call_request>(message) || std::holds_alternative<call_answer>(message)
            || std::holds_alternative<cancel_message>(message);
    }
    return std::holds_alternative<call_arrived>(event) || std::holds_alternative<caller_gone>(event)
        || std::holds_alternative<upstream_answered>(event) || std::holds_alternative<upstream_failed>(event);
}

} // namespace internal

node_core::node_core(const node_settings& settings, const chart_set& charts, incarnation_id incarnation,
    const std::string& peerAddress, time_point now, time_point wallNow)
    : m_settings { settings }
    , m_self { settings.name, incarnation, settings.service, settings.data_centre, peerAddress }
    , m_now { now }
    , m_wallNow { wallNow }
    , m_ids { incarnation }
    , m_membership { settings.membership }
    , m_leases { settings.membership, settings.name, incarnation, now }
    , m_admission { settings.admission, internal::seedFor(settings, internal::seed_purpose::admission) }
    , m_router { settings.routing, settings.data_centre, internal::seedFor(settings, internal::seed_purpose::routing) }
    , m_pressure { settings.pressure, settings.service }
    , m_peers { settings.name, settings.service, m_router }
    , m_keys { m_self.identity(), settings.service, settings.idempotency,
        internal::seedFor(settings, internal::seed_purpose::keys), m_membership, m_leases }
    , m_log { m_ids, internal::seedFor(settings, internal::seed_purpose::log) }
    , m_agent { m_self, settings.membership, internal::seedFor(settings, internal::seed_purpose::membership),
        m_membership, m_leases, m_log }
    , m_catalogueSnapshots { snapshot_schedule_settings {},
        internal::seedFor(settings, internal::seed_purpose::catalogue) }
    , m_upstream { charts.upstream, settings.service }
    , m_origin { settings.name, incarnation, internal::seedFor(settings, internal::seed_purpose::origin), m_ids,
        m_catalogue, m_membership, m_router, m_pressure, m_parents }
    , m_served { settings.name, incarnation, settings.service,
        internal::seedFor(settings, internal::seed_purpose::served), m_ids, m_catalogue, m_admission, m_router,
        m_pressure, m_parents, m_keys }
    , m_drain { charts.drain }
{
}

node_actions node_core::handle(const node_event& event, time_point now, time_point wallNow)
{
    m_now = now;
    m_wallNow = wallNow;
    m_keys.setTime(now, wallNow);
    node_actions actions;
    std::visit([&](const auto& value) { on(value, actions); }, event);
    node_actions done = deliverLocally(std::move(actions));
    runMaintenance(internal::isCallEvent(event), done);
    return done;
}

node_actions node_core::deliverLocally(node_actions actions)
{
    node_actions done;
    // Calls to the upstream of this host take the same path as calls from peers, without a link.
    while (!actions.empty()) {
        node_actions further;
        for (node_action& action : actions) {
            send_to_peer* send = std::get_if<send_to_peer>(&action);
            if (send == nullptr || send->peer != m_self.node) {
                done.push_back(std::move(action));
                continue;
            }
            const peer_message message = std::move(send->message);
            std::visit([&](const auto& value) { receive(m_self.node, value, further); }, message);
        }
        const std::vector<call_id> orphans = m_parents.takeOrphans();
        m_origin.cancel(orphans, m_now, further);
        actions = std::move(further);
    }
    return done;
}

void node_core::runMaintenance(bool isCallEvent, node_actions& done)
{
    node_actions actions;
    for (const service_name& service : m_origin.takeUsedServices())
        m_peers.openLinks(service, actions);
    // A call event changes neither membership nor catalogue; timed work waits for the wake-up for the next heartbeat.
    if (!isCallEvent) {
        m_agent.maintain(heartbeatStatus(), m_peers.linkedPeers(), m_now, m_wallNow, actions);
        maintainCatalogue(actions);
    }
    m_keys.sendPendingHandOvers(m_peers.linkedPeers(), actions);
    if (m_drain.isLeaving() && !m_drain.isDone())
        m_drain.advance(drainConditions(), m_now, actions);
    requestRenewalIfDrained(actions);
    node_actions further = deliverLocally(std::move(actions));
    done.insert(done.end(), std::make_move_iterator(further.begin()), std::make_move_iterator(further.end()));
}

heartbeat_status node_core::heartbeatStatus() const
{
    return heartbeat_status { m_catalogue.nextOffset(),
        m_drain.isLeaving() ? node_state::draining : node_state::serving };
}

drain_conditions node_core::drainConditions() const
{
    drain_conditions conditions;
    conditions.isInView = m_agent.isInView();
    conditions.isLogAvailable = m_isLogAvailable;
    conditions.hasPendingHandOvers = m_keys.hasPendingHandOvers();
    conditions.isIdle = m_served.size() == 0 && m_origin.size() == 0;
    return conditions;
}

void node_core::maintainCatalogue(node_actions& actions)
{
    if (!m_agent.isInView() || m_catalogue.hasGap() || !m_catalogueSnapshots.isDue(m_wallNow, m_catalogue.nextOffset()))
        return;
    m_catalogueSnapshots.recordAttempt(m_wallNow);
    m_log.appendPaced("catalogue snapshot", std::string { catalogueStream }, m_catalogue.snapshot(), m_now, actions);
}

void node_core::on(const call_arrived& event, node_actions& actions) { m_origin.begin(event, m_now, actions); }

void node_core::on(const caller_gone& event, node_actions& actions)
{
    m_origin.cancelRequest(event.handle, m_now, actions);
}

void node_core::on(const link_opened& event, node_actions& actions)
{
    m_peers.handleLinkOpened(event.hello.node);
    m_origin.retryWaiting(event.hello.service, m_now, actions);
    if (!m_agent.isCaughtUp())
        actions.emplace_back(send_to_peer {
            event.hello.node, catch_up_request_message { m_catalogue.nextOffset(), m_membership.nextOffset() } });
    if (m_drain.isLeaving())
        actions.emplace_back(send_to_peer { event.hello.node, state_change_message { node_state::draining } });
}

void node_core::on(const link_closed& event, node_actions& actions)
{
    m_peers.handleLinkClosed(event.peer, actions);
    m_origin.handleLinkClosed(event, m_now, actions);
    m_served.handleLinkClosed(event, m_now, actions);
}

void node_core::on(const calls_lost& event, node_actions& actions)
{
    m_origin.handleCallsLost(event, m_now, actions);
    m_served.handleCallsLost(event, m_now, actions);
    if (m_drain.isLeaving())
        actions.emplace_back(send_to_peer { event.peer, state_change_message { node_state::draining } });
}

void node_core::on(const message_received& event, node_actions& actions)
{
    std::visit([&](const auto& value) { receive(event.peer, value, actions); }, event.message);
}

void node_core::on(const upstream_answered& event, node_actions& actions)
{
    m_served.finishDispatched(event, m_now, actions);
}

void node_core::on(const upstream_failed& event, node_actions& actions)
{
    m_served.failDispatched(event, m_now, actions);
}

void node_core::on(const upstream_announced& event, node_actions& actions)
{
    const std::optional<upstream_capacity> changed = m_upstream.handleAnnouncement(event, m_now);
    if (m_upstream.isDraining())
        leave("upstream_draining", actions);
    if (changed)
        applyCapacity(*changed, actions);
}

void node_core::applyCapacity(const upstream_capacity& capacity, node_actions& actions)
{
    if (capacity.isColdStart && m_drain.isLeaving() && m_upstream.isServing())
        m_isRenewalPending = true;
    m_served.setUpstream(capacity.address, capacity.slots, capacity.isColdStart, m_now, actions);
    const bool isServing = m_upstream.isServing() && !m_drain.isLeaving();
    m_peers.setLocalServing(isServing);
    if (isServing)
        m_agent.setMembership(true);
    m_origin.retryWaiting(m_settings.service, m_now, actions);
}

void node_core::leave(const std::string& cause, node_actions& actions)
{
    if (m_drain.isLeaving())
        return;
    m_drain.begin(m_now);
    m_peers.setLocalServing(false);
    m_agent.setMembership(false);
    m_served.stopAccepting(m_now, actions);
    for (const node_name& peer : m_peers.linkedPeers())
        actions.emplace_back(send_to_peer { peer, state_change_message { node_state::draining } });
    actions.emplace_back(
        write_log { log_level::info, "drain_started", { { "node", m_self.node }, { "cause", cause } } });
}

void node_core::checkEviction(node_actions& actions)
{
    const bool isInView = m_agent.isInView();
    if (m_wasInView && !isInView && !m_drain.isLeaving()) {
        m_isRenewalPending = true;
        leave("evicted", actions);
    }
    m_wasInView = isInView;
}

void node_core::requestRenewalIfDrained(node_actions& actions)
{
    if (!m_isRenewalPending || m_isRenewalRequested || !m_drain.isDone())
        return;
    m_isRenewalRequested = true;
    actions.emplace_back(renew_incarnation {});
}

void node_core::on(const leave_requested& event, node_actions& actions)
{
    leave("leave_requested", actions);
    m_drain.request(event.handle, m_now);
    if (m_drain.isDone())
        m_drain.advance(drainConditions(), m_now, actions);
}

void node_core::on(const records_read& event, node_actions& actions)
{
    if (event.stream == catalogueStream) {
        applyCatalogueRecords(event, actions);
        return;
    }
    if (event.stream == membershipStream)
        applyViews(m_agent.applyRecords(event, m_now, actions), actions);
}

void node_core::applyCatalogueRecords(const records_read& event, node_actions& actions)
{
    if (event.first > m_catalogue.nextOffset())
        m_catalogue.skipTo(event.first);
    for (const log_record& record : event.records) {
        const std::vector<change_outcome> outcomes = m_catalogue.apply(record);
        for (const change_outcome& outcome : outcomes)
            logCatalogueChange(outcome, actions);
        if (const std::optional<std::int64_t> upTo = internal::snapshotEnd(record))
            m_catalogueSnapshots.handleSnapshot(record.offset, *upTo, record.wallTime);
        else if (!outcomes.empty())
            m_catalogueSnapshots.addRequiredRecord(record.offset, record.wallTime);
    }
    m_catalogueSnapshots.handleTrim(event.first);
}

void node_core::logCatalogueChange(const change_outcome& outcome, node_actions& actions) const
{
    actions.emplace_back(write_log { log_level::info, "catalogue_change",
        { { "offset", std::to_string(outcome.offset) }, { "change", outcome.changeId },
            { "operator", outcome.operatorName }, { "entry", outcome.name },
            { "verdict", outcome.isAccepted() ? "accepted" : "void" },
            { "reason", outcome.voided ? outcome.voided->message : "" } } });
}

void node_core::applyViews(const std::set<service_name>& changed, node_actions& actions)
{
    for (const service_name& service : changed) {
        const service_view* view = m_membership.view(service);
        if (view == nullptr)
            continue;
        m_peers.setMembers(service, view->members, m_now, actions);
        m_pressure.setMemberCount(service, view->members.size());
        if (service == m_settings.service) {
            m_keys.handleViewChange();
            checkEviction(actions);
        }
        m_origin.retryWaiting(service, m_now, actions);
    }
}

void node_core::on(const append_finished& event, node_actions&) { m_log.handleAppendFinished(event, m_now); }

void node_core::on(const log_availability_changed& event, node_actions& actions)
{
    m_isLogAvailable = event.isAvailable;
    m_leases.setLogAvailable(event.isAvailable);
    if (event.isAvailable || m_agent.isCaughtUp())
        return;
    for (const std::string& address : m_settings.seeds)
        actions.emplace_back(open_link { {}, address });
}

void node_core::on(const timer_fired&, node_actions& actions)
{
    m_origin.expire(m_now, actions);
    m_served.expire(m_now, actions);
    if (const std::optional<upstream_capacity> changed = m_upstream.expire(m_now))
        applyCapacity(*changed, actions);
}

void node_core::receive(const node_name& peer, const call_request& message, node_actions& actions)
{
    m_served.accept(peer, message, m_now, actions);
}

void node_core::receive(const node_name& peer, const call_answer& message, node_actions& actions)
{
    if (!m_served.receiveDelegated(peer, message, m_now, actions))
        m_origin.receive(peer, message, m_now, actions);
}

void node_core::receive(const node_name& peer, const cancel_message& message, node_actions& actions)
{
    m_served.cancel(peer, message.id, m_now, actions);
}

void node_core::receive(const node_name& peer, const heartbeat_message& message, node_actions&)
{
    m_leases.receiveHeartbeat(peer, message, m_now, m_wallNow);
    m_peers.setState(peer, message.state);
}

void node_core::receive(const node_name& peer, const state_change_message& message, node_actions&)
{
    m_peers.setState(peer, message.state);
}

void node_core::receive(const node_name& peer, const hand_over_message& message, node_actions& actions)
{
    m_keys.receive(peer, message, actions);
}

void node_core::receive(const node_name& peer, const hand_over_ack_message& message, node_actions&)
{
    m_keys.handleAcknowledgement(peer, message);
}

void node_core::receive(const node_name& peer, const catch_up_request_message&, node_actions& actions)
{
    if (!m_agent.isCaughtUp())
        return;
    actions.emplace_back(send_to_peer { peer, catch_up_message { m_catalogue.snapshot(), m_membership.snapshot() } });
}

void node_core::receive(const node_name&, const catch_up_message& message, node_actions& actions)
{
    const result<std::vector<change_outcome>> adopted = m_catalogue.installSnapshot(message.catalogue);
    if (!hasValue(adopted))
        actions.emplace_back(
            write_log { log_level::warning, "snapshot_refused", { { "reason", errorOf(adopted).message } } });
    applyViews(m_agent.installSnapshot(message.membership, m_now), actions);
}

// Opaque requests are forwarded by the gateway; a node for keyed calls has no upstream for them.
void node_core::receive(const node_name& peer, const forward_request& message, node_actions& actions)
{
    forward_answer answer;
    answer.id = message.id;
    answer.outcome = forward_refusal { refusal_reason::no_upstream, milliseconds {}, false };
    actions.emplace_back(send_to_peer { peer, answer });
}

std::optional<time_point> node_core::nextWakeup() const
{
    std::optional<time_point> next = m_origin.nextWakeup();
    internal::updateEarliest(next, m_served.nextWakeup());
    internal::updateEarliest(next, m_agent.nextWakeup());
    internal::updateEarliest(next, m_upstream.nextWakeup());
    internal::updateEarliest(next, m_drain.nextWakeup());
    return next;
}

std::int64_t node_core::nextOffset(const std::string& stream) const
{
    return stream == catalogueStream ? m_catalogue.nextOffset() : m_membership.nextOffset();
}

nlohmann::json node_core::describe() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const member& known : m_membership.members()) {
        members.push_back({ { "node", known.node }, { "service", known.service }, { "data_centre", known.data_centre },
            { "address", known.peerAddress }, { "linked", m_peers.isLinked(known.node) },
            { "in_flight", m_router.inFlight(known.node) }, { "ejected", m_router.isEjected(known.node) } });
    }
    nlohmann::json versions = nlohmann::json::object();
    for (const catalogue_state::versions_type::value_type& item : m_catalogue.versions())
        versions[item.first] = m_catalogue.version(item.first);
    const origin_counters& origin = m_origin.counters();
    nlohmann::json refused = nlohmann::json::object();
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        if (origin.refused[index] > 0)
            refused[std::string { toString(static_cast<refusal_reason>(index)) }] = origin.refused[index];
    }
    const served_counters& served = m_served.counters();
    return { { "node", m_self.node }, { "service", m_self.service }, { "data_centre", m_self.data_centre },
        { "incarnation", toHex(m_self.incarnation.value()) }, { "upstream", m_upstream.stateName() },
        { "drain", m_drain.stateName() }, { "in_view", m_agent.isInView() }, { "log_available", m_isLogAvailable },
        { "holds_lease", m_keys.leaseEnd().has_value() }, { "catalogue_offset", m_catalogue.nextOffset() },
        { "membership_offset", m_membership.nextOffset() }, { "versions", versions }, { "members", members },
        { "refused_by_reason", refused }, { "limit", m_admission.limit() }, { "running", m_admission.running() },
        { "queued", m_admission.queued() }, { "queue_time_ms", m_admission.queueTime().count() },
        { "keys", m_keys.size() },
        { "counters",
            { { "arrived", origin.arrived }, { "attempts", origin.attempts }, { "resent", origin.retried },
                { "refused_at_entry", origin.refusedAtEntry },
                { "late_answers", origin.lateAnswers + served.lateAnswers }, { "received", served.received },
                { "dispatched", served.dispatched }, { "refused", served.refused },
                { "refused_critical", served.refusedByClass[0] }, { "refused_high", served.refusedByClass[1] },
                { "refused_normal", served.refusedByClass[2] }, { "refused_low", served.refusedByClass[3] },
                { "overloaded_critical", served.overloadedByClass[0] }, { "delegated", served.delegated },
                { "joined", served.repeatsJoined } } } };
}

} // namespace knapweedcroft
