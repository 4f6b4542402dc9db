#include "knapweedcroft/gateway/gateway_core.hpp"

#include "knapweedcroft/gateway/request_digest.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Two nodes discover each other at about the same time. The node with the lower name connects at once; the other one
// waits this long and connects only if no link has been opened by then, which avoids duplicate connections.
static constexpr milliseconds passiveConnectDelay { 250 };
static constexpr milliseconds reconnectDelay { 50 };
// A node that cannot be linked within this time is replaced by another one.
static constexpr milliseconds maxConnectTime { 1500 };
static constexpr milliseconds linkPlanInterval { 1000 };
static constexpr milliseconds shareInterval { 100 };
// The era rises by one with each copy of the store; a greater jump comes from a faulty peer.
static constexpr std::uint64_t maxEraJump = 1000;
// Announcements arrive about once per second, and the directory is read within seconds of the start.
static constexpr std::size_t maxHeldAnnouncements = 64;

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
    , m_registry { upstreamChart, settings.upstreamSilence, m_departed }
    , m_directory { m_departed }
    , m_table { std::make_shared<const entry_table>() }
    , m_served { settings, m_registry, m_quarantine }
    , m_origin { settings, m_directory, m_served, m_quarantine }
    , m_catchUp { settings.seed }
    , m_readElection { settings.node, settings.storeReads }
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
    settleLeaves(actions);
    updateLinkPlan(actions);
    updateStoreReadMode(actions);
    shareMeasurements(actions);
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
    switch (m_served.handleExchangeEnd(std::move(event), m_now, actions)) {
    case upstream_finding::none:
        return;
    case upstream_finding::unreachable:
        publishUpstreamChange("upstream_unreachable", actions);
        return;
    case upstream_finding::leaving:
        publishUpstreamChange("upstream_left", actions);
        return;
    }
}

void gateway_core::receive(const node_name& peer, forward_request& message, gateway_actions& actions)
{
    m_served.receive(peer, std::move(message), m_now, actions);
}

void gateway_core::receive(const node_name& peer, const forward_offer& message, gateway_actions& actions)
{
    m_served.receiveOffer(peer, message, m_now, actions);
}

void gateway_core::receive(const node_name& peer, const forward_grant& message, gateway_actions& actions)
{
    m_origin.handleGrant(peer, message.id, m_now, actions);
}

void gateway_core::receive(const node_name& peer, forward_answer& message, gateway_actions& actions)
{
    if (!message.leavingUpstream.empty())
        m_directory.markLeaving(peer, m_directory.incarnationOf(peer, message.leavingUpstream));
    m_origin.handleAnswer(peer, std::move(message), m_now, actions);
}

void gateway_core::receive(const node_name& peer, const cancel_message& message, gateway_actions& actions)
{
    m_served.cancel(peer, message.id, m_now, actions);
}

// --- upstream of this host

void gateway_core::on(const upstream_checked& event, gateway_actions& actions)
{
    const std::optional<upstream_crash> crash = m_served.handleUpstreamCheck(event.isRefused, m_now);
    // The nodes of the requests learn the crash before its failures, and repeat none of what is held back.
    if (crash)
        reportCrash(*crash, actions);
    m_served.answerInterrupted(m_now, actions);
    if (crash && m_registry.markUnreachable(crash->upstream))
        publishUpstreamChange("upstream_unreachable", actions);
}

void gateway_core::reportCrash(const upstream_crash& crash, gateway_actions& actions)
{
    crash_report_message report;
    report.upstream = crash.upstream;
    for (const interrupted_content& content : crash.interrupted) {
        if (report.digests.size() < request_quarantine::maxSuspects)
            report.digests.push_back(content.digest);
    }
    if (!m_quarantine.recordCrash(report.upstream, report.digests, m_now))
        return;
    actions.emplace_back(internal::makeLogLine(log_level::warning, "upstream_crashed",
        { { "upstream", crash.upstream }, { "interrupted", std::to_string(report.digests.size()) } }));
    for (const interrupted_content& content : crash.interrupted) {
        const quarantine_status status = m_quarantine.statusOf(content.digest, m_now);
        if (status.isHeld())
            actions.emplace_back(internal::makeLogLine(log_level::warning, "request_quarantined",
                { { "digest", formatDigest(content.digest) }, { "crashes", std::to_string(status.crashes) },
                    { "hold_ms", std::to_string(status.holdLeft.whole()) }, { "request", content.requestId },
                    { "entry", content.entry }, { "target", content.target },
                    { "remedy", "find out why the upstream crashes on it; an answer ends the hold" } }));
    }
    broadcast(report, actions);
}

// Until the directory has been read, an announcement may be one that was delayed beyond a leave which only the
// directory holds. So it is held back, unless it says that the upstream leaves.
void gateway_core::on(const announcement_received& event, gateway_actions& actions)
{
    const bool isLeaving = event.announcement.state == upstream_state::draining;
    if (m_isDirectoryRead || isLeaving)
        processAnnouncement(event.announcement, actions);
    else if (m_heldAnnouncements.size() < internal::maxHeldAnnouncements)
        m_heldAnnouncements.push_back(event.announcement);
}

void gateway_core::setDirectoryRead(gateway_actions& actions)
{
    m_isDirectoryRead = true;
    for (const upstream_announcement& announcement : std::exchange(m_heldAnnouncements, {}))
        processAnnouncement(announcement, actions);
    if (std::exchange(m_isRecordHeld, false))
        publishRecord(actions);
}

void gateway_core::processAnnouncement(const upstream_announcement& announcement, gateway_actions& actions)
{
    const std::string before = m_registry.current() ? m_registry.current()->incarnation.id : std::string {};
    const bool hadLeft = m_registry.state() == upstream_chart_state::draining;
    const announcement_result effect = m_registry.announce(announcement, m_now);
    if (effect == announcement_result::changed || (effect == announcement_result::unchanged && !m_isRecordPublished))
        publishUpstreamChange("upstream_changed", actions);
    const bool isReplaced = effect == announcement_result::changed && before != announcement.incarnation.id;
    if (isReplaced && !hadLeft) {
        if (const std::optional<upstream_crash> crash = m_served.handleUpstreamReplaced(before, m_now))
            reportCrash(*crash, actions);
    }
    if (effect == announcement_result::stale)
        actions.emplace_back(internal::makeLogLine(log_level::warning, "announcement_ignored",
            { { "upstream", announcement.incarnation.id },
                { "started_ms", std::to_string(announcement.incarnation.startedAt) },
                { "sequence", std::to_string(announcement.sequence) },
                { "reason", "older than the newest accepted announcement" } }));
    if (announcement.state != upstream_state::draining)
        return;
    if (effect == announcement_result::stale)
        m_registry.leave(announcement.incarnation.id, m_now, announcement.incarnation.startedAt);
    awaitLeaveRecord(announcement.incarnation.id, effect == announcement_result::changed, actions);
}

void gateway_core::on(const leave_received& event, gateway_actions& actions)
{
    const std::optional<upstream_announcement>& current = m_registry.current();
    const bool isKnown = current && current->incarnation.id == event.upstream;
    const bool isChange = m_registry.leave(
        event.upstream, m_now, isKnown ? std::nullopt : std::optional { m_wallNow.sinceEpoch().whole() });
    if (isChange)
        publishUpstreamChange("upstream_left", actions);
    awaitLeaveRecord(event.upstream, isChange, actions);
}

void gateway_core::on(const record_stored&, gateway_actions&) { m_leaves.recordStored(); }

// Acknowledges a leave once the store holds it. A record that is pending is written until the store takes it.
void gateway_core::awaitLeaveRecord(const std::string& upstream, bool isPublished, gateway_actions& actions)
{
    const bool isPending = m_leaves.isPending(upstream);
    const bool isRecorded = m_leaves.await(upstream, m_now);
    if (isRecorded || isPending || isPublished)
        return;
    broadcast(makeStatus(), actions);
    publishRecord(actions);
}

void gateway_core::settleLeaves(gateway_actions& actions)
{
    for (const leave_verdict& verdict : m_leaves.takeVerdicts(m_now)) {
        if (!verdict.isAcknowledged)
            actions.emplace_back(internal::makeLogLine(log_level::warning, "leave_not_recorded",
                { { "upstream", verdict.upstream },
                    { "remedy", "let the upstream repeat it; the store has not confirmed it" } }));
        actions.emplace_back(settle_leave { verdict });
    }
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
    broadcast(status, actions);
    publishRecord(actions);
}

// The record of an earlier process may list upstreams that have left, so it is replaced only after it has been read.
void gateway_core::publishRecord(gateway_actions& actions)
{
    m_isRecordHeld = !m_isDirectoryRead;
    if (m_isRecordHeld)
        return;
    m_isRecordPublished = true;
    const directory_record record = makeRecord();
    m_directory.apply(record);
    actions.emplace_back(publish_record { record });
}

void gateway_core::broadcast(const peer_message& message, gateway_actions& actions) const
{
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        if (item.second.isLinked && item.first != m_settings.node)
            actions.emplace_back(send_to_peer { item.first, message });
    }
}

upstream_status_message gateway_core::makeStatus() const
{
    upstream_status_message status;
    status.catalogueVersion = m_table->version();
    status.load = m_served.load(m_now);
    if (!m_registry.current()) {
        status.upstream = m_leaves.unacknowledged().value_or("");
        status.isLeaving = !status.upstream.empty();
        return status;
    }
    status.upstream = m_registry.current()->incarnation.id;
    status.startedAt = m_registry.current()->incarnation.startedAt;
    status.isServing = m_registry.isServing() && !m_isStopping;
    status.isLeaving = m_registry.isLeaving();
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
    record.storeEra = m_storeEra;
    record.departed = m_registry.departures();
    record.isWithdrawn = m_isStopping && !m_registry.isServing();
    if (m_registry.current())
        record.upstream = *m_registry.current();
    record.upstream.address = m_settings.upstreamAddress;
    record.upstream.service = m_settings.service;
    record.upstream.state = m_registry.isServing() ? upstream_state::serving : upstream_state::draining;
    return record;
}

// --- catalogue and directory

void gateway_core::on(const catalogue_read& event, gateway_actions& actions)
{
    const bool isNewer = m_table->version() < event.table->version();
    applyTable(event.table, "store", actions);
    if (!isNewer)
        return;
    if (m_readMode != store_read_mode::reader) {
        // A peer whose own read was lost asks for the catalogue.
        sendProgress(actions);
        return;
    }
    catch_up_message update;
    update.catalogue = m_table->format();
    relay(std::move(update), actions);
}

void gateway_core::sendProgress(gateway_actions& actions) const
{
    sendToReadGroup(store_progress_message { m_storeEra, m_table->version(), m_directoryOffset }, actions);
}

void gateway_core::sendToReadGroup(const peer_message& message, gateway_actions& actions) const
{
    for (const node_name& peer : m_readElection.peers())
        actions.emplace_back(send_to_peer { peer, message });
}

// Relays what was read from the store to the nodes of the local data centre, which do not read it themselves.
void gateway_core::relay(catch_up_message update, gateway_actions& actions) const
{
    update.storeEra = m_storeEra;
    sendToReadGroup(update, actions);
}

void gateway_core::on(const catalogue_confirmed&, gateway_actions& actions)
{
    m_readElection.recordOwnRead(true, m_now);
    if (m_readMode == store_read_mode::reader)
        sendProgress(actions);
}

void gateway_core::on(const store_era_changed& event, gateway_actions& actions)
{
    if (event.era <= m_storeEra)
        return;
    // The first era that is seen is no change.
    if (m_storeEra != 0) {
        ++m_storeEraChanges;
        m_isOwnRecordInStore = false;
    }
    m_directoryOffset = -1;
    m_storeEra = event.era;
    actions.emplace_back(internal::makeLogLine(log_level::warning, "store_era_changed",
        { { "era", std::to_string(event.era) }, { "catalogue", std::to_string(m_table->version()) } }));
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
    removeWithdrawn(event.withdrawn, actions);
    if (m_isDirectoryRead || event.isComplete)
        setDirectoryRead(actions);
    m_isLinkPlanOutdated = true;
    checkOwnRecord(event, actions);
    const std::int64_t offsetBefore = std::exchange(m_directoryOffset, std::max(m_directoryOffset, event.offset));
    const bool isIncrement = !event.isComplete && offsetBefore >= 0 && offsetBefore < event.offset;
    if (!isIncrement || m_readMode != store_read_mode::reader)
        return;
    catch_up_message update;
    update.membership = node_directory::formatRecords(event.records);
    update.withdrawn = event.withdrawn;
    update.membershipFrom = offsetBefore;
    update.membershipOffset = event.offset;
    relay(std::move(update), actions);
}

void gateway_core::removeWithdrawn(const std::vector<node_name>& withdrawn, gateway_actions& actions)
{
    for (const node_name& node : withdrawn) {
        m_directory.withdraw(node);
        if (m_directory.find(node) != nullptr)
            continue;
        m_connectTimes.erase(node);
        m_connectingSince.erase(node);
        actions.emplace_back(close_link { node });
    }
}

// After the store came back from an older copy, the record of this node may be missing or outdated there.
void gateway_core::checkOwnRecord(const directory_read& event, gateway_actions& actions)
{
    if (m_isOwnRecordInStore || !m_isRecordPublished)
        return;
    const directory_record own = makeRecord();
    const bool isFound
        = std::any_of(event.records.begin(), event.records.end(), [&own](const directory_record& record) {
              return record.node == own.node && record.peerAddress == own.peerAddress
                  && record.upstream.incarnation == own.upstream.incarnation
                  && record.upstream.state == own.upstream.state && record.departed == own.departed;
          });
    m_isOwnRecordInStore = isFound;
    if (isFound || !event.isComplete)
        return;
    m_isOwnRecordInStore = true;
    publishRecord(actions);
    actions.emplace_back(internal::makeLogLine(log_level::info, "own_record_lost",
        { { "era", std::to_string(m_storeEra) }, { "upstream", own.upstream.incarnation.id } }));
}

void gateway_core::applyRecord(const directory_record& record, gateway_actions& actions)
{
    if (record.node == m_settings.node) {
        adoptOwnRecord(record, actions);
        return;
    }
    if (!m_directory.apply(record))
        return;
    if (record.isWithdrawn) {
        removeWithdrawn({ record.node }, actions);
        return;
    }
    actions.emplace_back(internal::makeLogLine(log_level::info, "directory_change",
        { { "node", record.node }, { "service", record.upstream.service },
            { "upstream", record.upstream.incarnation.id }, { "address", record.peerAddress } }));
    m_origin.handleUpstreamReplaced(record.node);
    scheduleConnect(record.node, m_settings.node < record.node ? milliseconds {} : internal::passiveConnectDelay);
}

void gateway_core::adoptOwnRecord(const directory_record& record, gateway_actions& actions)
{
    if (m_registry.restoreDepartures(record.departed, m_now))
        publishUpstreamChange("upstream_left", actions);
    if (record.storeEra >= m_storeEra) {
        restoreUpstream(record, actions);
        return;
    }
    // The store has come back from an older copy since, so a leave may have been recorded and lost. Only an
    // announcement that arrives from now on shows that the upstream serves; those before may have been delayed.
    m_heldAnnouncements.clear();
    if (!m_registry.current())
        actions.emplace_back(internal::makeLogLine(log_level::info, "upstream_not_assumed",
            { { "upstream", record.upstream.incarnation.id }, { "record_era", std::to_string(record.storeEra) },
                { "era", std::to_string(m_storeEra) } }));
}

// Restores the upstream from the record that an earlier process of this node published. The upstream rejects requests
// that name an identifier other than its own.
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
    broadcast(status, actions);
    actions.emplace_back(internal::makeLogLine(log_level::info, "upstream_assumed",
        { { "upstream", status.upstream }, { "written_ms", std::to_string(record.writtenAt) } }));
}

void gateway_core::on(const store_availability_changed& event, gateway_actions& actions)
{
    if (!event.isAvailable)
        m_readElection.recordOwnRead(false, m_now);
    if (m_isStoreAvailable == event.isAvailable)
        return;
    const bool isFirst = !m_isStoreAvailable.has_value();
    m_isStoreAvailable = event.isAvailable;
    m_catchUp.setStoreAvailable(event.isAvailable, m_now);
    const std::string version = std::to_string(m_table->version());
    if (!event.isAvailable) {
        m_storeLostAt = m_now;
        actions.emplace_back(internal::makeLogLine(log_level::warning, "store_lost", { { "catalogue", version } }));
    } else if (isFirst) {
        actions.emplace_back(internal::makeLogLine(log_level::info, "store_reached", { { "catalogue", version } }));
    } else {
        actions.emplace_back(internal::makeLogLine(log_level::info, "store_regained",
            { { "catalogue", version }, { "away_ms", std::to_string((m_now - m_storeLostAt).whole()) } }));
    }
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
    updateReadGroup();
    const upstream_status_message status = makeStatus();
    broadcast(status, actions);
    // Keep the record while the upstream is serving, so that the next process of this node can use it at once.
    if (m_isRecordPublished && !m_registry.isServing()) {
        if (m_registry.departures().empty())
            actions.emplace_back(withdraw_record {});
        else
            publishRecord(actions);
    }
    actions.emplace_back(internal::makeLogLine(log_level::info, "stop_started",
        { { "pending", std::to_string(m_origin.pendingCount()) },
            { "running", std::to_string(m_served.load(m_now).running) } }));
}

void gateway_core::on(const requests_given_up& event, gateway_actions& actions)
{
    m_served.stopStarting(m_now, actions);
    // Requests of this node that waited for the upstream have not run, and get that answer.
    deliverLocally(actions);
    m_origin.giveUp(event.handles, m_now, actions);
}

// --- links

void gateway_core::scheduleConnect(const node_name& node, milliseconds delay)
{
    const known_node* known = m_directory.find(node);
    if (known == nullptr || known->isLinked || known->record.peerAddress.empty() || m_plannedLinks.count(node) == 0)
        return;
    m_connectTimes[node] = m_now + delay;
}

bool gateway_core::isUnreachable(const node_name& node) const
{
    const auto position = m_connectingSince.find(node);
    return position != m_connectingSince.end() && m_now - position->second > internal::maxConnectTime;
}

void gateway_core::updateLinkPlan(gateway_actions& actions)
{
    if (!m_isLinkPlanOutdated && (m_connectingSince.empty() || m_now - m_linksPlannedAt < internal::linkPlanInterval))
        return;
    m_isLinkPlanOutdated = false;
    m_linksPlannedAt = m_now;
    std::vector<link_target> targets;
    targets.reserve(m_directory.nodes().size());
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        const known_node& known = item.second;
        if (item.first != m_settings.node)
            targets.push_back({ item.first, known.record.data_centre, known.record.upstream.service, known.isServing,
                isUnreachable(item.first) });
    }
    m_plannedLinks = planLinks(m_settings.node, m_settings.data_centre, targets, m_settings.links);
    for (const node_name& node : m_plannedLinks) {
        if (m_connectTimes.count(node) == 0 && m_connectingSince.count(node) == 0)
            scheduleConnect(node, m_settings.node < node ? milliseconds {} : internal::passiveConnectDelay);
    }
    for (auto position = m_connectingSince.begin(); position != m_connectingSince.end();) {
        // A link that closes may be reported as open again at once, so it is given up only after a while.
        const bool isGivenUp
            = m_plannedLinks.count(position->first) == 0 && m_now - position->second >= internal::linkPlanInterval;
        if (!isGivenUp) {
            ++position;
            continue;
        }
        actions.emplace_back(close_link { position->first });
        position = m_connectingSince.erase(position);
    }
}

void gateway_core::removeReplacedNodes(const node_name& node, gateway_actions& actions)
{
    for (const node_name& replaced : m_directory.removeReplacedNodes(node)) {
        m_connectTimes.erase(replaced);
        m_connectingSince.erase(replaced);
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
        if (known != nullptr && !known->isLinked && m_plannedLinks.count(position->first) != 0) {
            m_connectingSince.emplace(position->first, m_now);
            actions.emplace_back(open_link { position->first, known->record.peerAddress });
        }
        position = m_connectTimes.erase(position);
    }
}

void gateway_core::on(const link_opened& event, gateway_actions& actions)
{
    const hello_message& hello = event.hello;
    m_directory.onLinkOpened(hello);
    removeReplacedNodes(hello.node, actions);
    updateLocalServices();
    updateReadGroup();
    m_isLinkPlanOutdated = true;
    m_connectTimes.erase(hello.node);
    m_connectingSince.erase(hello.node);
    actions.emplace_back(send_to_peer { hello.node, makeStatus() });
    if (!m_quarantine.empty())
        actions.emplace_back(send_to_peer { hello.node, quarantine_message { m_quarantine.entries(m_now) } });
    if (const std::optional<reported_notices_message> notices = m_directory.noticesFor(hello.node))
        actions.emplace_back(send_to_peer { hello.node, *notices });
    if (isLocalReplica(hello.node)) {
        entry_callers_message callers { m_served.callerSummary() };
        if (!callers.counts.empty())
            actions.emplace_back(send_to_peer { hello.node, std::move(callers) });
    }
    if (m_table->version() < hello.catalogueOffset || !m_isDirectoryRead)
        m_catchUp.recordPeerVersions(hello.node, { hello.catalogueOffset, -1 }, m_now);
}

// Peers of the local data centre whose links work share the reading of the store. A node that stops leaves the group.
void gateway_core::updateReadGroup()
{
    std::set<node_name> peers;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        const known_node& known = item.second;
        const bool isMember = known.isLinked && !known.isSuspected && item.first != m_settings.node
            && known.record.data_centre == m_settings.data_centre;
        if (isMember && !m_isStopping)
            peers.insert(item.first);
    }
    m_readElection.setPeers(std::move(peers), m_now);
}

void gateway_core::updateStoreReadMode(gateway_actions& actions)
{
    const store_read_mode mode = m_readElection.mode(m_now);
    if (mode == m_readMode)
        return;
    m_readMode = mode;
    actions.emplace_back(set_store_read_mode { mode });
    actions.emplace_back(internal::makeLogLine(log_level::info, "store_read_mode_changed",
        { { "mode", std::string { toString(mode) } },
            { "group_size", std::to_string(m_readElection.peers().size() + 1) },
            { "store_available", m_isStoreAvailable.value_or(false) ? "true" : "false" } }));
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
    updateReadGroup();
}

void gateway_core::on(const link_closed& event, gateway_actions& actions)
{
    m_directory.onLinkClosed(event.peer);
    m_catchUp.removePeer(event.peer);
    m_connectingSince.emplace(event.peer, m_now);
    m_isLinkPlanOutdated = true;
    updateLocalServices();
    updateReadGroup();
    m_origin.handleLinkLost(event, m_now, actions);
    m_served.handlePeerLost(event.peer, m_now, actions);
    scheduleConnect(event.peer, internal::reconnectDelay);
}

void gateway_core::on(const calls_lost& event, gateway_actions& actions)
{
    m_origin.handleCallsLost(event, m_now, actions);
    // The status that was sent last may be lost, and it is sent on changes only.
    if (const known_node* known = m_directory.find(event.peer); known != nullptr && known->isLinked)
        actions.emplace_back(send_to_peer { event.peer, makeStatus() });
}

void gateway_core::on(message_received& event, gateway_actions& actions)
{
    std::visit([this, &event, &actions](auto& typed) { receive(event.peer, typed, actions); }, event.message);
}

void gateway_core::receive(const node_name& peer, upstream_status_message& message, gateway_actions& actions)
{
    // A node that has just started may know that its upstream leaves, but not since when it runs.
    if (message.isLeaving && message.startedAt == 0)
        message.startedAt = m_directory.incarnationOf(peer, message.upstream).startedAt;
    const upstream_incarnation upstream { message.upstream, message.startedAt };
    if (message.isLeaving)
        m_directory.markLeaving(peer, upstream);
    if (m_directory.updateStatus(peer, message, m_now)) {
        m_origin.handleUpstreamReplaced(peer);
        actions.emplace_back(internal::makeLogLine(log_level::info, "peer_upstream_changed",
            { { "node", peer }, { "upstream", message.upstream },
                { "serving", message.isServing ? "true" : "false" } }));
        m_isLinkPlanOutdated = true;
    }
    // Confirms the leave, or tells a process that has started since then.
    if (m_directory.isLeaving(upstream)) {
        if (const std::optional<reported_notices_message> notices = m_directory.noticesFor(peer))
            actions.emplace_back(send_to_peer { peer, *notices });
    }
    if (m_table->version() < message.catalogueVersion)
        m_catchUp.recordPeerVersions(peer, { message.catalogueVersion, -1 }, m_now);
}

known_versions gateway_core::knownVersions() const
{
    return { m_table->version(), m_isDirectoryRead ? std::max<std::int64_t>(0, m_directoryOffset) : -1 };
}

// Returns whether a peer has seen the same era of the store as this node. If the peer has seen a later one, this node
// reads the store anew.
bool gateway_core::isCurrentEra(const node_name& peer, std::uint64_t era, gateway_actions& actions)
{
    if (m_storeEra != 0 && m_storeEra + internal::maxEraJump < era) {
        actions.emplace_back(internal::makeLogLine(log_level::error, "store_era_refused",
            { { "peer", peer }, { "era", std::to_string(era) }, { "known_era", std::to_string(m_storeEra) },
                { "remedy", "check the peer; only the store raises the era" } }));
        return false;
    }
    if (m_storeEra < era) {
        actions.emplace_back(internal::makeLogLine(
            log_level::info, "store_era_reported", { { "peer", peer }, { "era", std::to_string(era) } }));
        const bool isFirstEra = m_storeEra == 0;
        on(store_era_changed { era }, actions);
        if (!isFirstEra)
            actions.emplace_back(reread_store { era });
    }
    return era == m_storeEra;
}

void gateway_core::receive(const node_name& peer, const store_progress_message& message, gateway_actions& actions)
{
    if (!isCurrentEra(peer, message.storeEra, actions))
        return;
    m_readElection.recordPeerProgress(peer, m_now);
    const bool isBehind = m_table->version() < message.catalogueVersion || m_directoryOffset < message.membershipOffset;
    if (isBehind)
        m_catchUp.recordPeerVersions(peer, { message.catalogueVersion, message.membershipOffset }, m_now);
}

void gateway_core::receive(const node_name& peer, const catch_up_request_message& message, gateway_actions& actions)
{
    catch_up_message answer;
    if (message.catalogueOffset < m_table->version())
        answer.catalogue = m_table->format();
    if (message.membershipOffset < 0 || message.membershipOffset < m_directoryOffset)
        answer.membership = m_directory.format();
    answer.storeEra = m_storeEra;
    answer.membershipOffset = m_directoryOffset;
    actions.emplace_back(send_to_peer { peer, std::move(answer) });
}

void gateway_core::receive(const node_name& peer, const catch_up_message& message, gateway_actions& actions)
{
    m_catchUp.recordAnswer(peer);
    const bool isEraCurrent = isCurrentEra(peer, message.storeEra, actions);
    if (!message.catalogue.empty()) {
        result<entry_table> table = entry_table::parse(message.catalogue);
        if (hasValue(table))
            applyTable(std::make_shared<const entry_table>(valueOf(std::move(table))), peer, actions);
        else
            actions.emplace_back(internal::makeLogLine(
                log_level::warning, "snapshot_refused", { { "peer", peer }, { "reason", errorOf(table).message } }));
    }
    if (message.membership.empty())
        return;
    const result<std::vector<directory_record>> records = node_directory::parseRecords(message.membership);
    if (!hasValue(records)) {
        actions.emplace_back(internal::makeLogLine(
            log_level::warning, "snapshot_refused", { { "peer", peer }, { "reason", errorOf(records).message } }));
        return;
    }
    for (const directory_record& record : valueOf(records))
        applyRecord(record, actions);
    removeWithdrawn(message.withdrawn, actions);
    m_isLinkPlanOutdated = true;
    const bool isWhole = message.membershipFrom < 0;
    if (m_isDirectoryRead || isWhole)
        setDirectoryRead(actions);
    const bool isContiguous = isWhole || message.membershipFrom <= m_directoryOffset;
    if (isEraCurrent && isContiguous)
        m_directoryOffset = std::max(m_directoryOffset, message.membershipOffset);
}

void gateway_core::receive(const node_name& peer, const entry_callers_message& message, gateway_actions&)
{
    if (isLocalReplica(peer))
        m_served.recordPeerCallers(message);
}

// Returns whether a node serves the same service in the same data centre, and so receives requests of the same origins.
bool gateway_core::isLocalReplica(const node_name& node) const
{
    const known_node* known = m_directory.find(node);
    return known != nullptr && node != m_settings.node && known->isLinked
        && known->record.data_centre == m_settings.data_centre && known->record.upstream.service == m_settings.service;
}

void gateway_core::receive(const node_name& peer, const service_times_message& message, gateway_actions&)
{
    m_origin.handleServiceTimes(peer, message, m_now);
}

void gateway_core::receive(const node_name& peer, const reported_notices_message& message, gateway_actions& actions)
{
    actions.emplace_back(internal::makeLogLine(log_level::info, "upstream_notices_reported",
        { { "peer", peer }, { "upstream", message.upstream }, { "leaving", message.isLeaving ? "true" : "false" },
            { "rate_per_s", message.rate ? std::to_string(*message.rate) : "none" } }));
    m_served.handleReportedRate(message, m_now, actions);
    if (!message.isLeaving)
        return;
    if (m_registry.leave(message.upstream, m_now, message.startedAt))
        publishUpstreamChange("upstream_left", actions);
}

void gateway_core::receive(const node_name& peer, const crash_report_message& message, gateway_actions& actions)
{
    if (m_quarantine.recordCrash(message.upstream, message.digests, m_now))
        relayToReplicas(peer, message, actions);
}

void gateway_core::receive(const node_name& peer, const quarantine_message& message, gateway_actions& actions)
{
    if (m_quarantine.merge(message.entries, m_now))
        relayToReplicas(peer, message, actions);
}

// A node has links to a few nodes of its service in each other data centre, which pass on what concerns the service.
void gateway_core::relayToReplicas(const node_name& sender, const peer_message& message, gateway_actions& actions) const
{
    const known_node* known = m_directory.find(sender);
    const bool isRemoteReplica = known != nullptr && known->record.data_centre != m_settings.data_centre
        && known->record.upstream.service == m_settings.service;
    if (isRemoteReplica)
        sendToReplicas(message, actions);
}

void gateway_core::sendToReplicas(const peer_message& message, gateway_actions& actions) const
{
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        if (isLocalReplica(item.first))
            actions.emplace_back(send_to_peer { item.first, message });
    }
}

void gateway_core::shareMeasurements(gateway_actions& actions)
{
    if (m_now - m_measurementsSharedAt < internal::shareInterval)
        return;
    m_measurementsSharedAt = m_now;
    shareCallers(actions);
    shareServiceTimes(actions);
    shareCleared(actions);
}

void gateway_core::shareCleared(gateway_actions& actions)
{
    quarantine_message cleared;
    for (const std::uint64_t digest : m_served.takeCleared())
        cleared.entries.push_back({ digest, 0, {} });
    if (!cleared.entries.empty())
        broadcast(cleared, actions);
}

// In a large fleet a node sends each upstream a request only every few seconds and would notice late that it is slow.
void gateway_core::shareServiceTimes(gateway_actions& actions)
{
    const service_times_message reported { m_served.takeChangedServiceTimes(m_now) };
    if (reported.times.empty())
        return;
    broadcast(reported, actions);
    m_origin.handleServiceTimes(m_settings.node, reported, m_now);
}

void gateway_core::shareCallers(gateway_actions& actions)
{
    const entry_callers_message callers { m_served.takeNewCallers() };
    if (!callers.counts.empty())
        sendToReplicas(callers, actions);
}

void gateway_core::requestCatchUp(gateway_actions& actions)
{
    const std::optional<time_point> due = m_catchUp.nextWakeup();
    if (!due || m_now < *due)
        return;
    std::vector<catch_up_candidate> candidates;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes()) {
        const known_node& known = item.second;
        if (known.isLinked && !known.isSuspected && item.first != m_settings.node)
            candidates.push_back({ item.first, known.record.data_centre == m_settings.data_centre });
    }
    const known_versions known = knownVersions();
    if (const std::optional<node_name> peer = m_catchUp.next(known, candidates, m_now))
        actions.emplace_back(send_to_peer { *peer, catch_up_request_message { known.catalogue, known.directory } });
}

// --- timers and state

void gateway_core::on(const timer_fired&, gateway_actions& actions)
{
    m_polledAt = m_now;
    m_origin.poll(m_now, actions);
    m_served.poll(m_now, actions);
    m_quarantine.poll(m_now);
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
    if (const std::optional<time_point> catchUp = m_catchUp.nextWakeup())
        next = std::min(next, *catchUp);
    if (const std::optional<time_point> leave = m_leaves.nextWakeup())
        next = std::min(next, *leave);
    const std::optional<time_point> takeover = m_readElection.takeoverTime();
    if (takeover && m_now < *takeover)
        next = std::min(next, *takeover);
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
    hello.grantsAnswers = true;
    return hello;
}

bool gateway_core::isReady() const { return !m_isStopping && m_table->version() >= 0 && m_isDirectoryRead; }

nlohmann::json gateway_core::describe() const
{
    const origin_request_counters& origin = m_origin.counters();
    const served_request_counters& served = m_served.counters();
    const upstream_load load = m_served.load(m_now);
    std::size_t linked = 0;
    for (const std::pair<const node_name, known_node>& item : m_directory.nodes())
        linked += item.second.isLinked ? 1U : 0U;
    return { { "node", m_settings.node }, { "catalogue_version", m_table->version() }, { "ready", isReady() },
        { "store_available", m_isStoreAvailable.value_or(false) }, { "store_era", m_storeEra },
        { "store_era_changes", m_storeEraChanges }, { "store_read_mode", toString(m_readMode) },
        { "linked_nodes", linked }, { "planned_links", m_plannedLinks.size() },
        { "known_nodes", m_directory.nodes().size() },
        { "upstream",
            { { "id", m_registry.current() ? m_registry.current()->incarnation.id : std::string {} },
                { "serving", m_registry.isServing() }, { "running", load.running }, { "queued", load.queued },
                { "slots", load.slots }, { "service_time_ms", load.serviceTime.count() },
                { "rate_limited", load.rate.has_value() }, { "rate_limit_per_s", load.rate.value_or(0.0) } } },
        { "room", m_served.describeAdmissionRatio(m_now) },
        { "quarantine", { { "suspected", m_quarantine.size() }, { "held", m_quarantine.heldCount(m_now) } } },
        { "origin_requests",
            { { "received", origin.received }, { "answered", origin.answered }, { "refused", origin.refused },
                { "failed", origin.failed }, { "timed_out", origin.timedOut }, { "abandoned", origin.abandoned },
                { "rerouted", origin.rerouted }, { "repeated", origin.retried }, { "crossed", origin.crossDataCentre },
                { "quarantined", origin.quarantined } } },
        { "served_requests",
            { { "received", served.received }, { "started", served.started }, { "answered", served.answered },
                { "refused", served.refused }, { "shed", served.shed }, { "failed", served.failed },
                { "cancelled", served.cancelled }, { "rate_limited", served.rateLimited },
                { "quarantined", served.quarantined }, { "upstream_crashes", served.crashes },
                { "reserved_bytes", m_served.reservedBytes() } } } };
}

} // namespace knapweedcroft
