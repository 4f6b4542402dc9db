#ifndef KNAPWEEDCROFT_GATEWAY_GATEWAY_CORE_HPP
#define KNAPWEEDCROFT_GATEWAY_GATEWAY_CORE_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/origin_requests.hpp"
#include "knapweedcroft/gateway/served_requests.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace knapweedcroft {

/**
 * @brief All decisions of a node that forwards opaque requests, without I/O.
 *
 * One event in, actions out; the same events at the same times give the same actions.
 */
class gateway_core {
public:
    /**
     * @brief Constructs a gateway that knows nothing yet.
     * @param settings Settings of the gateway.
     * @param upstreamChart Chart of an upstream; must outlive the gateway.
     * @param peerAddress `host:port` on which this node accepts links.
     * @param incarnation Identifies this run of the node.
     */
    gateway_core(const gateway_settings& settings, const chart& upstreamChart, std::string peerAddress,
        incarnation_id incarnation);
    gateway_core(const gateway_core&) = delete;
    gateway_core& operator=(const gateway_core&) = delete;

    /**
     * @brief Reacts to an event.
     * @param event The event.
     * @param now Present time; never less than in an earlier call.
     * @param wallNow Present wall-clock time.
     * @return What is to be done, in this order.
     */
    [[nodiscard]] gateway_actions handle(gateway_event event, time_point now, time_point wallNow);

    /** @brief Returns the time at which a `timer_fired` event is due, if any. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the hello for a new link. */
    [[nodiscard]] hello_message makeHello() const;

    /** @brief Tells whether clients may send requests to this node. */
    [[nodiscard]] bool isReady() const;

    /** @brief Tells whether a stop was requested and no request waits for an answer. */
    [[nodiscard]] bool isIdle() const { return m_origin.pendingCount() == 0 && m_served.load().running == 0; }

    /** @brief Describes the state of the gateway as a JSON object, for operators. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    void on(client_request& event, gateway_actions& actions);
    void on(const client_gone& event, gateway_actions& actions);
    void on(exchange_ended& event, gateway_actions& actions);
    void on(const announcement_received& event, gateway_actions& actions);
    void on(const leave_received& event, gateway_actions& actions);
    void on(const catalogue_read& event, gateway_actions& actions);
    void on(const directory_read& event, gateway_actions& actions);
    void on(const store_availability_changed& event, gateway_actions& actions);
    void on(const retry_bound_set& event, gateway_actions& actions);
    void on(const stop_requested& event, gateway_actions& actions);
    void on(const link_suspected& event, gateway_actions& actions);
    void on(const link_opened& event, gateway_actions& actions);
    void on(const link_closed& event, gateway_actions& actions);
    void on(message_received& event, gateway_actions& actions);
    void on(const timer_fired& event, gateway_actions& actions);

    void receive(const node_name& peer, forward_request& message, gateway_actions& actions);
    void receive(const node_name& peer, forward_answer& message, gateway_actions& actions);
    void receive(const node_name& peer, const cancel_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const upstream_status_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const catch_up_request_message& message, gateway_actions& actions);
    void receive(const node_name& peer, const catch_up_message& message, gateway_actions& actions);
    template <typename Message> void receive(const node_name&, const Message&, gateway_actions&) { }

    void useTable(const std::shared_ptr<const entry_table>& table, std::string_view origin, gateway_actions& actions);
    void useRecord(const directory_record& record, gateway_actions& actions);
    void assumeUpstream(const directory_record& record, gateway_actions& actions);
    void announceUpstream(std::string_view cause, gateway_actions& actions);
    void scheduleDial(const node_name& node, milliseconds delay);
    void dial(gateway_actions& actions);
    void dropFormerOwners(const node_name& node, gateway_actions& actions);
    void updateServices();
    void reportLoad(gateway_actions& actions);
    void askPeers(gateway_actions& actions);
    void tellPeers(const upstream_status_message& status, gateway_actions& actions) const;
    [[nodiscard]] upstream_status_message ownStatus() const;
    [[nodiscard]] directory_record ownRecord() const;
    void deliverLocally(gateway_actions& actions);

    gateway_settings m_settings;
    std::string m_peerAddress;
    incarnation_id m_incarnation;
    time_point m_now;
    time_point m_wallNow;
    upstream_registry m_registry;
    node_directory m_directory;
    std::shared_ptr<const entry_table> m_table;
    served_requests m_served;
    origin_requests m_origin;
    std::map<node_name, time_point> m_dials; /*!< When to open a link to a node that is not linked. */
    std::optional<time_point> m_nextQuestion; /*!< When to ask peers for what the store does not tell. */
    time_point m_polledAt;
    time_point m_reportedAt;
    bool m_isStoreAvailable = false;
    bool m_isDirectoryRead = false;
    bool m_isStopping = false;
    bool m_isPublished = false; /*!< The directory has a record of this node. */
};

} // namespace knapweedcroft

#endif
