#include "knapweedcroft/gateway/gateway_core.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Two nodes discover each other at about the same time. The node with the lower name connects at once; the other one
// waits this long and connects only if no link has been opened by then, which avoids duplicate connections.
static constexpr milliseconds passiveConnectDelay { 250 };
static constexpr milliseconds reconnectDelay { 50 };
static constexpr milliseconds catchUpRequestInterval { 500 };

[[nodiscard]] static write_log makeLogLine(
    log_level level, std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    write_log line;
    line.level = level;
    line.event = std::move(event);
    line.fields = std::move(fields);
    return line;
}

} // namespace internal

gateway_core::gateway_core(
    const gateway_settings& settings, const chart& upstreamChart, std::string peerAddress, incarnation_id incarnation)
    : m_settings { settings }
    , m_peerAddress { std::move(peerAddress) }
    , m_incarnation { incarnation }
    , m_registry { upstreamChart, settings.upstreamSilence }
    , m_table { std::make_shared<const entry_table>() }
    , m_served { settings, m_registry }
    , m_origin { settings, m_directory, m_served }
{
    m_directory.onLinkOpened(makeHello());
}

gateway_actions gateway_core::handle(gateway_event event, time_point now, time_point wallNow)
{
    m_now = now;
    m_wallNow = wallNow;
    gateway_actions actions;
    std::visit([this, &actions](auto& typed) { on(typed, actions); }, event);
    deliverLocally(actions);
    return actions;
}

// Handles messages that this node addresses to itself, which need no link. Each message is replaced in the list by the
// actions that result from it.
void gateway_core::deliverLocally(gateway_actions& actions)
{
    for (std::size_t position = 0; position < actions.size(); ++position) {
        const send_to_peer* sent = std::get_if<send_to_peer>(&actions[position]);
        if (sent == nullptr || sent->peer != m_settings.node)
            continue;
        peer_message message = std::move(std::get<send_to_peer>(actions[position]).message);
        gateway_actions resulting;
        std::visit([this, &resulting](auto& typed) { receive(m_settings.node, typed, resulting); }, message);
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(position));
        actions.insert(actions.begin() + static_cast<std::ptrdiff_t>(position),
            std::make_move_iterator(resulting.begin()), std::make_move_iterator(resulting.end()));
        --position;
    }
}

// --- requests

void gateway_core::on(client_request& event, gateway_actions& actions)
{
    m_origin.receive(std::move(event), m_now, actions);
}

void gateway_core::on(const client_disconnected& event, gateway_actions& actions)
{
    m_origin.cancel(event.handle, m_now, actions);
}

void gateway_core::on(exchange_ended& event, gateway_actions& actions)
{
    if (m_served.handleExchangeEnd(std::move(event), m_now, actions))
        publishUpstreamChange("upstream_unreachable", actions);
}

void gateway_core::receive(const node_name& peer, forward_request& message, gateway_actions& actions)
{
    m_served.receive(peer, std::move(message), m_now, actions);
}

void gateway_core::receive(const node_name& peer, forward_answer& message, gateway_actions& actions)
{
    m_origin.handleAnswer(peer, std::move(message), m_now, actions);
}

void gateway_core::receive(const node_name& peer, const cancel_message& message, gateway_actions& actions)
{
    m_served.cancel(peer, message.id, m_now, actions);
}

// --- upstream of this host

void gateway_core::on(const announcement_received& event, gateway_actions& actions)
{
    const upstream_announcement& announcement = event.announcement;
    const announcement_result effect = m_registry.announce(announcement, m_now);
    if (effect == announcement_result::changed || (effect == announcement_result::unchanged && !m_isRecordPublished))
        publishUpstreamChange("upstream_changed", actions);
    if (effect == announcement_result::stale)
        actions.emplace_back(internal::makeLogLine(log_level::warning, "announcement_ignored",
            { { "upstream", announcement.incarnation.id },
                { "started_ms", std::to_string(announcement.incarnation.startedAt) },
                { "sequence", std::to_string(announcement.sequence) },
                { "reason", "older than the newest accepted announcement" } }));
}

void gateway_core::on(const leave_received& event, gateway_actions& actions)
{
    if (m_registry.leave(event.upstream, m_now))
        publishUpstreamChange("upstream_left", actions);
}

// Propagates a change of this host's upstream: to the local directory, the request queue, linked peers and the store.
void gateway_core::publishUpstreamChange(std::string_view logEvent, gateway_actions& actions)
{
    const upstream_status_message status = makeStatus();
    m_directory.updateStatus(m_settings.node, status, m_now);
    m_served.handleUpstreamChange(m_now, actions);
    actions.emplace_back(internal::makeLogLine(log_level::info, std::string { logEvent },
        { { "upstream", status.upstream }, { "started_ms", std::to_string(status.startedAt) },
            { "serving", status.isServing ? "true" : "false" }, { "slots", std::to_string(status.load.slots) } }));
    broadcastStatus(status, actions);
    if (!m_registry.current())
        return;
    m_isRecordPublished = true;
    actions.emplace_back(publish_record { makeRecord() });
}

void gateway_core::broadcastStatus(const upstream_status_message& status, gateway_actions& actions) const
{
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        if (item.second.isLinked && item.first != m_settings.node)
            actions.emplace_back(send_to_peer { item.first, status });
    }
}

upstream_status_message gateway_core::makeStatus() const
{
    upstream_status_message status;
    status.catalogueVersion = m_table->version();
    status.load = m_served.load();
    if (!m_registry.current())
        return status;
    status.upstream = m_registry.current()->incarnation.id;
    status.startedAt = m_registry.current()->incarnation.startedAt;
    status.isServing = m_registry.isServing() && !m_isStopping;
    status.remainingWarmUp = m_registry.remainingWarmUp(m_now);
    status.load.slots = m_registry.current()->slots;
    return status;
}

directory_record gateway_core::makeRecord() const
{
    directory_record record;
    record.node = m_settings.node;
    record.peerAddress = m_peerAddress;
    record.data_centre = m_settings.data_centre;
    record.writtenAt = m_wallNow.sinceEpoch().whole();
    record.upstream = *m_registry.current();
    record.upstream.service = m_settings.service;
    record.upstream.state = m_registry.isServing() ? upstream_state::serving : upstream_state::draining;
    return record;
}

// --- catalogue and directory

void gateway_core::on(const catalogue_read& event, gateway_actions& actions)
{
    applyTable(event.table, "store", actions);
}

void gateway_core::applyTable(
    const std::shared_ptr<const entry_table>& table, std::string_view source, gateway_actions& actions)
{
    if (table->version() <= m_table->version())
        return;
    m_table = table;
    m_origin.setEntryTable(table);
    actions.emplace_back(apply_limits { table->limits() });
    actions.emplace_back(internal::makeLogLine(log_level::info, "catalogue_change",
        { { "version", std::to_string(table->version()) }, { "entries", std::to_string(table->entries().size()) },
            { "from", std::string { source } } }));
}

void gateway_core::on(const directory_read& event, gateway_actions& actions)
{
    for (const directory_record& record : event.records)
        applyRecord(record, actions);
    for (const node_name& node : event.withdrawn) {
        m_directory.withdraw(node);
        if (m_directory.find(node) == nullptr) {
            m_connectTimes.erase(node);
            actions.emplace_back(close_link { node });
        }
    }
    m_isDirectoryRead = m_isDirectoryRead || event.isComplete;
}

void gateway_core::applyRecord(const directory_record& record, gateway_actions& actions)
{
    if (record.node == m_settings.node) {
        restoreUpstream(record, actions);
        return;
    }
    if (!m_directory.apply(record))
        return;
    actions.emplace_back(internal::makeLogLine(log_level::info, "directory_change",
        { { "node", record.node }, { "service", record.upstream.service },
            { "upstream", record.upstream.incarnation.id }, { "address", record.peerAddress } }));
    m_origin.handleUpstreamReplaced(record.node);
    scheduleConnect(record.node, m_settings.node < record.node ? milliseconds {} : internal::passiveConnectDelay);
}

// Restores the upstream from the record that an earlier process of this node published. An outdated record is safe:
// the upstream rejects requests that name an identifier other than its own.
void gateway_core::restoreUpstream(const directory_record& record, gateway_actions& actions)
{
    const bool isOwnUpstream = record.upstream.service == m_settings.service
        && record.upstream.address == m_settings.upstreamAddress && record.upstream.state == upstream_state::serving;
    if (!isOwnUpstream || !m_registry.restore(record.upstream, m_now))
        return;
    m_isRecordPublished = true;
    const upstream_status_message status = makeStatus();
    m_directory.updateStatus(m_settings.node, status, m_now);
    m_served.handleUpstreamChange(m_now, actions);
    broadcastStatus(status, actions);
    actions.emplace_back(internal::makeLogLine(log_level::info, "upstream_assumed",
        { { "upstream", status.upstream }, { "written_ms", std::to_string(record.writtenAt) } }));
}

void gateway_core::on(const store_availability_changed& event, gateway_actions& actions)
{
    m_isStoreAvailable = event.isAvailable;
    if (event.isAvailable)
        m_nextCatchUpRequest.reset();
    else
        m_nextCatchUpRequest = m_now;
    actions.emplace_back(internal::makeLogLine(log_level::warning, event.isAvailable ? "store_regained" : "store_lost",
        { { "catalogue", std::to_string(m_table->version()) } }));
}

void gateway_core::on(const retry_settings_changed& event, gateway_actions&)
{
    m_origin.configureRetries(event.settings);
}

void gateway_core::on(const stop_requested& event, gateway_actions& actions)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_served.startDraining();
    m_origin.startDraining(m_now, m_now + event.grace);
    const upstream_status_message status = makeStatus();
    broadcastStatus(status, actions);
    // Keep the record while the upstream is serving, so that the next process of this node can use it at once.
    if (m_isRecordPublished && !m_registry.isServing())
        actions.emplace_back(withdraw_record {});
    actions.emplace_back(internal::makeLogLine(log_level::info, "stop_started",
        { { "pending", std::to_string(m_origin.pendingCount()) },
            { "running", std::to_string(m_served.load().running) } }));
}

// --- links

void gateway_core::scheduleConnect(const node_name& node, milliseconds delay)
{
    const known_node* known = m_directory.find(node);
    if (known == nullptr || known->isLinked || known->record.peerAddress.empty())
        return;
    m_connectTimes[node] = m_now + delay;
}

void gateway_core::removeReplacedNodes(const node_name& node, gateway_actions& actions)
{
    for (const node_name& replaced : m_directory.removeReplacedNodes(node)) {
        m_connectTimes.erase(replaced);
        actions.emplace_back(close_link { replaced });
        actions.emplace_back(internal::makeLogLine(log_level::info, "directory_change",
            { { "node", replaced }, { "reason", "address now used by " + node } }));
    }
}

void gateway_core::openDueLinks(gateway_actions& actions)
{
    for (auto position = m_connectTimes.begin(); position != m_connectTimes.end();) {
        if (m_now < position->second) {
            ++position;
            continue;
        }
        const known_node* known = m_directory.find(position->first);
        if (known != nullptr && !known->isLinked)
            actions.emplace_back(open_link { position->first, known->record.peerAddress });
        position = m_connectTimes.erase(position);
    }
}

void gateway_core::on(const link_opened& event, gateway_actions& actions)
{
    const hello_message& hello = event.hello;
    m_directory.onLinkOpened(hello);
    removeReplacedNodes(hello.node, actions);
    updateLocalServices();
    m_connectTimes.erase(hello.node);
    actions.emplace_back(send_to_peer { hello.node, makeStatus() });
    const bool isBehind = m_table->version() < hello.catalogueOffset;
    if (isBehind || !m_isDirectoryRead)
        actions.emplace_back(send_to_peer { hello.node, catch_up_request_message { m_table->version(), -1 } });
}

// Tells the served requests which services have linked nodes in the local data centre.
void gateway_core::updateLocalServices()
{
    std::set<service_name> services;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        if (item.second.isLinked && item.second.record.data_centre == m_settings.data_centre)
            services.insert(item.second.record.upstream.service);
    }
    m_served.setServices(std::move(services));
}

void gateway_core::on(const link_suspected& event, gateway_actions&)
{
    m_directory.setSuspected(event.peer, event.isSuspected);
}

void gateway_core::on(const link_closed& event, gateway_actions& actions)
{
    m_directory.onLinkClosed(event.peer);
    updateLocalServices();
    m_origin.handleLinkLost(event, m_now, actions);
    m_served.handlePeerLost(event.peer, m_now, actions);
    scheduleConnect(event.peer, internal::reconnectDelay);
}

void gateway_core::on(message_received& event, gateway_actions& actions)
{
    std::visit([this, &event, &actions](auto& typed) { receive(event.peer, typed, actions); }, event.message);
}

void gateway_core::receive(const node_name& peer, const upstream_status_message& message, gateway_actions& actions)
{
    if (m_directory.updateStatus(peer, message, m_now)) {
        m_origin.handleUpstreamReplaced(peer);
        actions.emplace_back(internal::makeLogLine(log_level::info, "peer_upstream_changed",
            { { "node", peer }, { "upstream", message.upstream },
                { "serving", message.isServing ? "true" : "false" } }));
    }
    if (m_table->version() < message.catalogueVersion)
        actions.emplace_back(send_to_peer { peer, catch_up_request_message { m_table->version(), -1 } });
}

void gateway_core::receive(const node_name& peer, const catch_up_request_message& message, gateway_actions& actions)
{
    catch_up_message answer;
    if (message.catalogueOffset < m_table->version())
        answer.catalogue = m_table->format();
    answer.membership = m_directory.format();
    actions.emplace_back(send_to_peer { peer, std::move(answer) });
}

void gateway_core::receive(const node_name& peer, const catch_up_message& message, gateway_actions& actions)
{
    if (!message.catalogue.empty()) {
        result<entry_table> table = entry_table::parse(message.catalogue);
        if (hasValue(table))
            applyTable(std::make_shared<const entry_table>(valueOf(std::move(table))), peer, actions);
        else
            actions.emplace_back(internal::makeLogLine(
                log_level::warning, "snapshot_refused", { { "peer", peer }, { "reason", errorOf(table).message } }));
    }
    const result<std::vector<directory_record>> records = node_directory::parseRecords(message.membership);
    if (!hasValue(records)) {
        actions.emplace_back(internal::makeLogLine(
            log_level::warning, "snapshot_refused", { { "peer", peer }, { "reason", errorOf(records).message } }));
        return;
    }
    for (const directory_record& record : valueOf(records))
        applyRecord(record, actions);
    m_isDirectoryRead = true;
}

// While the store is unavailable, requests the catalogue and the directory from a linked peer, preferably one in the
// local data centre.
void gateway_core::requestCatchUp(gateway_actions& actions)
{
    if (!m_nextCatchUpRequest || m_now < *m_nextCatchUpRequest)
        return;
    m_nextCatchUpRequest = m_now + internal::catchUpRequestInterval;
    const known_node* chosen = nullptr;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        const known_node& known = item.second;
        if (!known.isLinked || item.first == m_settings.node)
            continue;
        const bool isLocal = known.record.data_centre == m_settings.data_centre;
        if (chosen == nullptr || (isLocal && chosen->record.data_centre != m_settings.data_centre))
            chosen = &known;
    }
    if (chosen != nullptr)
        actions.emplace_back(send_to_peer { chosen->record.node, catch_up_request_message { m_table->version(), -1 } });
}

// --- timers and state

void gateway_core::on(const timer_fired&, gateway_actions& actions)
{
    m_polledAt = m_now;
    m_origin.poll(m_now, actions);
    m_served.poll(m_now, actions);
    if (m_registry.poll(m_now))
        publishUpstreamChange("upstream_silent", actions);
    openDueLinks(actions);
    requestCatchUp(actions);
    logLoad(actions);
}

// Logs the load once per second while the upstream is serving, so that admission decisions can be related to it later.
void gateway_core::logLoad(gateway_actions& actions)
{
    constexpr milliseconds loadLogInterval { 1000 };
    if (m_now - m_loadLoggedAt < loadLogInterval)
        return;
    m_loadLoggedAt = m_now;
    if (m_registry.isServing())
        actions.emplace_back(internal::makeLogLine(log_level::info, "load", m_served.describeLoad(m_now)));
}

std::optional<time_point> gateway_core::nextWakeup() const
{
    constexpr milliseconds pollInterval { 250 };
    time_point next = m_polledAt + pollInterval;
    if (const std::optional<time_point> origin = m_origin.nextWakeup())
        next = std::min(next, *origin);
    if (const std::optional<time_point> served = m_served.nextWakeup())
        next = std::min(next, *served);
    for (const std::pair<const node_name, time_point>& item : m_connectTimes)
        next = std::min(next, item.second);
    if (m_nextCatchUpRequest)
        next = std::min(next, *m_nextCatchUpRequest);
    return next;
}

hello_message gateway_core::makeHello() const
{
    hello_message hello;
    hello.node = m_settings.node;
    hello.incarnation = m_incarnation;
    hello.service = m_settings.service;
    hello.data_centre = m_settings.data_centre;
    hello.peerAddress = m_peerAddress;
    hello.catalogueOffset = m_table ? m_table->version() : -1;
    return hello;
}

bool gateway_core::isReady() const { return !m_isStopping && m_table->version() >= 0 && m_isDirectoryRead; }

nlohmann::json gateway_core::describe() const
{
    const origin_request_counters& origin = m_origin.counters();
    const served_request_counters& served = m_served.counters();
    const upstream_load load = m_served.load();
    std::size_t linked = 0;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes())
        linked += item.second.isLinked ? 1U : 0U;
    return { { "node", m_settings.node }, { "catalogue_version", m_table->version() }, { "ready", isReady() },
        { "store_available", m_isStoreAvailable }, { "linked_nodes", linked },
        { "known_nodes", m_directory.nodes().size() },
        { "upstream",
            { { "id", m_registry.current() ? m_registry.current()->incarnation.id : std::string {} },
                { "serving", m_registry.isServing() }, { "running", load.running }, { "queued", load.queued },
                { "slots", load.slots }, { "service_time_ms", load.serviceTime.count() } } },
        { "room", m_served.describeAdmissionRatio(m_now) },
        { "origin_requests",
            { { "received", origin.received }, { "answered", origin.answered }, { "refused", origin.refused },
                { "failed", origin.failed }, { "timed_out", origin.timedOut }, { "abandoned", origin.abandoned },
                { "rerouted", origin.rerouted }, { "repeated", origin.retried },
                { "crossed", origin.crossDataCentre } } },
        { "served_requests",
            { { "received", served.received }, { "started", served.started }, { "answered", served.answered },
                { "refused", served.refused }, { "shed", served.shed }, { "failed", served.failed },
                { "cancelled", served.cancelled } } } };
}

} // namespace knapweedcroft
