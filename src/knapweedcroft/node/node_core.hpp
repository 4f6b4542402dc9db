#ifndef KNAPWEEDCROFT_NODE_NODE_CORE_HPP
#define KNAPWEEDCROFT_NODE_NODE_CORE_HPP

#include "knapweedcroft/admission/admission_controller.hpp"
#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/catalogue/snapshot_schedule.hpp"
#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/membership/lease_table.hpp"
#include "knapweedcroft/membership/membership_state.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/drain.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/node/id_source.hpp"
#include "knapweedcroft/node/key_service.hpp"
#include "knapweedcroft/node/log_writer.hpp"
#include "knapweedcroft/node/membership_agent.hpp"
#include "knapweedcroft/node/origin_calls.hpp"
#include "knapweedcroft/node/parent_calls.hpp"
#include "knapweedcroft/node/peer_directory.hpp"
#include "knapweedcroft/node/served_calls.hpp"
#include "knapweedcroft/node/settings.hpp"
#include "knapweedcroft/node/upstream_monitor.hpp"
#include "knapweedcroft/pressure/threshold_map.hpp"
#include "knapweedcroft/routing/router.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>

namespace knapweedcroft {

/**
 * @brief Decision logic of one node, without I/O.
 *
 * Each event yields a list of actions. It is deterministic: the same events at the same times give the same actions.
 */
class node_core {
public:
    /**
     * @brief Constructs a node without membership, catalogue or links.
     * @param charts State charts of the upstream and of the drain.
     * @param incarnation Identifier of this run of the node.
     * @param peerAddress `host:port` on which this node accepts links.
     * @param now Current time.
     * @param wallNow Current wall-clock time.
     */
    node_core(const node_settings& settings, const chart_set& charts, incarnation_id incarnation,
        const std::string& peerAddress, time_point now, time_point wallNow);

    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    /**
     * @brief Handles an event.
     * @param now Current time; must not decrease between calls.
     * @param wallNow Current wall-clock time.
     * @return Actions to perform, in order.
     */
    [[nodiscard]] node_actions handle(const node_event& event, time_point now, time_point wallNow);

    /** @brief Returns the time at which a `timer_fired` event is due, if any. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the offset from which a stream of the log is to be read. */
    [[nodiscard]] std::int64_t nextOffset(const std::string& stream) const;

    /** @brief Returns the state of the node as a JSON object for operators. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    void on(const call_arrived& event, node_actions& actions);
    void on(const caller_gone& event, node_actions& actions);
    void on(const link_opened& event, node_actions& actions);
    void on(const link_closed& event, node_actions& actions);
    void on(const calls_lost& event, node_actions& actions);
    void on(const message_received& event, node_actions& actions);
    void on(const upstream_answered& event, node_actions& actions);
    void on(const upstream_failed& event, node_actions& actions);
    void on(const upstream_announced& event, node_actions& actions);
    void on(const leave_requested& event, node_actions& actions);
    void on(const records_read& event, node_actions& actions);
    void on(const append_finished& event, node_actions& actions);
    void on(const log_availability_changed& event, node_actions& actions);
    void on(const timer_fired& event, node_actions& actions);

    void receive(const node_name& peer, const call_request& message, node_actions& actions);
    void receive(const node_name& peer, const call_answer& message, node_actions& actions);
    void receive(const node_name& peer, const cancel_message& message, node_actions& actions);
    void receive(const node_name& peer, const heartbeat_message& message, node_actions& actions);
    void receive(const node_name& peer, const state_change_message& message, node_actions& actions);
    void receive(const node_name& peer, const hand_over_message& message, node_actions& actions);
    void receive(const node_name& peer, const hand_over_ack_message& message, node_actions& actions);
    void receive(const node_name& peer, const catch_up_request_message& message, node_actions& actions);
    void receive(const node_name& peer, const catch_up_message& message, node_actions& actions);
    void receive(const node_name& peer, const forward_request& message, node_actions& actions);
    template <typename Message> void receive(const node_name&, const Message&, node_actions&) { }

    void applyViews(const std::set<service_name>& changed, node_actions& actions);
    void applyCatalogueRecords(const records_read& event, node_actions& actions);
    void maintainCatalogue(node_actions& actions);
    void logCatalogueChange(const change_outcome& outcome, node_actions& actions) const;
    void applyCapacity(const upstream_capacity& capacity, node_actions& actions);
    void leave(const std::string& cause, node_actions& actions);
    void checkEviction(node_actions& actions);
    void requestRenewalIfDrained(node_actions& actions);
    void runMaintenance(bool isCallEvent, node_actions& done);
    [[nodiscard]] node_actions deliverLocally(node_actions actions);
    [[nodiscard]] heartbeat_status heartbeatStatus() const;
    [[nodiscard]] drain_conditions drainConditions() const;

    node_settings m_settings;
    member m_self;
    time_point m_now;
    time_point m_wallNow;
    bool m_isLogAvailable = false;
    bool m_wasInView = false;
    bool m_isRenewalPending = false;
    bool m_isRenewalRequested = false;
    id_source m_ids;
    catalogue_state m_catalogue;
    membership_state m_membership;
    lease_table m_leases;
    admission_controller m_admission;
    router m_router;
    threshold_map m_pressure;
    parent_calls m_parents;
    peer_directory m_peers;
    key_service m_keys;
    log_writer m_log;
    membership_agent m_agent;
    snapshot_schedule m_catalogueSnapshots;
    upstream_monitor m_upstream;
    origin_calls m_origin;
    served_calls m_served;
    drain_process m_drain;
};

} // namespace knapweedcroft

#endif
