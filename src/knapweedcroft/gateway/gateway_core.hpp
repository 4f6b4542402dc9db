#ifndef KNAPWEEDCROFT_GATEWAY_GATEWAY_CORE_HPP
#define KNAPWEEDCROFT_GATEWAY_GATEWAY_CORE_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/catch_up_requester.hpp"
#include "knapweedcroft/gateway/departed_upstreams.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/leave_acknowledgements.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/origin_requests.hpp"
#include "knapweedcroft/gateway/request_quarantine.hpp"
#include "knapweedcroft/gateway/served_requests.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/gateway/store_read_election.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Decision logic of a gateway node that forwards opaque requests; performs no I/O.
 *
 * Deterministic: each event is mapped to a list of actions, and the same events at the same times yield the same
 * actions.
 */
class gateway_core {
public:
    /**
     * @brief Constructs a gateway without a catalogue, directory records or links.
     * @param settings Gateway settings.
     * @param upstreamChart State chart of an upstream; must outlive the gateway.
     * @param peerAddress `host:port` on which this node accepts links from peers.
     * @param incarnation Identifies this run of the node process.
     */
    gateway_core(const gateway_settings& settings, const chart& upstreamChart, std::string peerAddress,
        incarnation_id incarnation);
    gateway_core(const gateway_core&) = delete;
    gateway_core& operator=(const gateway_core&) = delete;

    /**
     * @brief Processes an event.
     * @param event The event.
     * @param now Current monotonic time; must not decrease between calls.
     * @param wallNow Current wall-clock time.
     * @return Actions to perform, in this order.
     */
    [[nodiscard]] gateway_actions handle(gateway_event event, time_point now, time_point wallNow);

    /** @brief Returns the time at which the next `timer_fired` event is due; always has a value. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the hello message to send on a new link. */
    [[nodiscard]] hello_message makeHello() const;

    /** @brief Returns true if this node accepts client requests. */
    [[nodiscard]] bool isReady() const;

    /** @brief Returns true if no request from this host is pending and none is running at its upstream. */
    [[nodiscard]] bool isIdle() const { return m_origin.pendingCount() == 0 && m_served.isIdle(m_now); }

    /** @brief Returns the gateway state as a JSON object, for operators. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    void on(client_request& event, gateway_actions& actions);
    void on(const client_disconnected& event, gateway_actions& actions);
    void on(exchange_ended& event, gateway_actions& actions);
    void on(const upstream_checked& event, gateway_actions& actions);
    void on(const announcement_received& event, gateway_actions& actions);
    void on(const leave_received& event, gateway_actions& actions);
    void on(const record_stored& event, gateway_actions& actions);
    void on(const catalogue_read& event, gateway_actions& actions);
    void on(const directory_read& event, gateway_actions& actions);
    void on(const catalogue_confirmed& event, gateway_actions& actions);
    void on(const store_era_changed& event, gateway_actions& actions);
    void on(const store_availability_changed& event, gateway_actions& actions);
    void on(const retry_settings_changed& event, gateway_actions& actions);
    void on(const stop_requested& event, gateway_actions& actions);
    void on(const requests_given_up& event, gateway_actions& actions);
    void on(const link_suspected& event, gateway_actions& actions);
    void on(const link_opened& event, gateway_actions& actions);
    void on(const link_closed& event, gateway_actions& actions);
    void on(const calls_lost& event, gateway_actions& actions);
    void on(message_received& event, gateway_actions& actions);
    void on(const timer_fired& event, gateway_actions& actions);

    void receive(const node_name& peer, forward_request& message, gateway_actions& actions);
    void receive(const node_name& peer, forward_answer& message, gateway_actions& actions);
    void receive(const node_name& peer, const forward_offer& message, gateway_actions& actions);
    void receive(const node_name& peer, const forward_grant& message, gateway_actions& actions);
    void receive(const node_name& peer, const cancel_message& message, gateway_actions& actions);
    void receive(const node_name& peer, upstream_status_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const catch_up_request_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const catch_up_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const store_progress_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const entry_callers_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const service_times_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const reported_notices_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const crash_report_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const quarantine_message& message, gateway_actions& actions);
    template <typename Message> void receive(const node_name&, const Message&, gateway_actions&) { }

    void applyTable(const std::shared_ptr<const entry_table>& table, std::string_view source, gateway_actions& actions);
    void applyRecord(const directory_record& record, gateway_actions& actions);
    void adoptOwnRecord(const directory_record& record, gateway_actions& actions);
    void restoreUpstream(const directory_record& record, gateway_actions& actions);
    void setDirectoryRead(gateway_actions& actions);
    void processAnnouncement(const upstream_announcement& announcement, gateway_actions& actions);
    void publishRecord(gateway_actions& actions);
    void publishUpstreamChange(std::string_view logEvent, gateway_actions& actions);
    void awaitLeaveRecord(const std::string& upstream, bool isPublished, gateway_actions& actions);
    void settleLeaves(gateway_actions& actions);
    void scheduleConnect(const node_name& node, milliseconds delay);
    void openDueLinks(gateway_actions& actions);
    void updateLinkPlan(gateway_actions& actions);
    [[nodiscard]] bool isUnreachable(const node_name& node) const;
    void updateReadGroup();
    void updateStoreReadMode(gateway_actions& actions);
    void sendProgress(gateway_actions& actions) const;
    void sendToReadGroup(const peer_message& message, gateway_actions& actions) const;
    void relay(catch_up_message update, gateway_actions& actions) const;
    void removeWithdrawn(const std::vector<node_name>& withdrawn, gateway_actions& actions);
    void checkOwnRecord(const directory_read& event, gateway_actions& actions);
    [[nodiscard]] known_versions knownVersions() const;
    [[nodiscard]] bool isCurrentEra(const node_name& peer, std::uint64_t era, gateway_actions& actions);
    void removeReplacedNodes(const node_name& node, gateway_actions& actions);
    void updateLocalServices();
    [[nodiscard]] bool isLocalReplica(const node_name& node) const;
    void shareMeasurements(gateway_actions& actions);
    void shareCallers(gateway_actions& actions);
    void shareServiceTimes(gateway_actions& actions);
    void shareCleared(gateway_actions& actions);
    void reportCrash(const upstream_crash& crash, gateway_actions& actions);
    void sendToReplicas(const peer_message& message, gateway_actions& actions) const;
    void relayToReplicas(const node_name& sender, const peer_message& message, gateway_actions& actions) const;
    void logLoad(gateway_actions& actions);
    void requestCatchUp(gateway_actions& actions);
    void broadcast(const peer_message& message, gateway_actions& actions) const;
    [[nodiscard]] upstream_status_message makeStatus() const;
    [[nodiscard]] directory_record makeRecord() const;
    void deliverLocally(gateway_actions& actions);

    gateway_settings m_settings;
    std::string m_peerAddress;
    incarnation_id m_incarnation;
    time_point m_now;
    time_point m_wallNow;
    departed_upstreams m_departed;
    upstream_registry m_registry;
    leave_acknowledgements m_leaves;
    node_directory m_directory;
    std::shared_ptr<const entry_table> m_table;
    request_quarantine m_quarantine;
    served_requests m_served;
    origin_requests m_origin;
    std::map<node_name, time_point> m_connectTimes; /*!< When to connect to each unlinked node. */
    std::map<node_name, time_point> m_connectingSince; /*!< Nodes to which this node opens links that are not open. */
    std::set<node_name> m_plannedLinks;
    bool m_isLinkPlanOutdated = false;
    time_point m_linksPlannedAt;
    catch_up_requester m_catchUp;
    store_read_election m_readElection;
    store_read_mode m_readMode = store_read_mode::individual;
    std::uint64_t m_storeEra = 0; /*!< Latest era of the store that this node or a peer has seen. */
    std::uint64_t m_storeEraChanges = 0;
    std::int64_t m_directoryOffset = -1; /*!< Offset up to which the directory is known; -1 if unknown. */
    bool m_isOwnRecordInStore = true; /*!< False after a change of era until the record is read back. */
    time_point m_polledAt;
    time_point m_measurementsSharedAt;
    time_point m_loadLoggedAt;
    std::optional<bool> m_isStoreAvailable; /*!< Empty before the first answer or failure. */
    time_point m_storeLostAt;
    bool m_isDirectoryRead = false;
    std::vector<upstream_announcement> m_heldAnnouncements; /*!< Received before the directory was read. */
    bool m_isRecordHeld = false; /*!< The record is to be published once the directory has been read. */
    bool m_isStopping = false;
    bool m_isRecordPublished = false; /*!< A record of this node was published or restored. */
};

} // namespace knapweedcroft

#endif
