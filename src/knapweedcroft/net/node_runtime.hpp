#ifndef KNAPWEEDCROFT_NET_NODE_RUNTIME_HPP
#define KNAPWEEDCROFT_NET_NODE_RUNTIME_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/http_server.hpp"
#include "knapweedcroft/net/log_client.hpp"
#include "knapweedcroft/net/peer_hub.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/settings/node_program_settings.hpp"
#include "knapweedcroft/telemetry/logger.hpp"
#include "knapweedcroft/telemetry/metrics.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace knapweedcroft {

/** @brief Interface to the decision logic of a node, which has no I/O; implemented by `node_core`. */
struct node_logic {
    std::function<node_actions(const node_event&, time_point now, time_point wallNow)> handle;
    std::function<std::optional<time_point>()> nextWakeup; /*!< Time at which `timer_fired` is due, if any. */
    std::function<std::int64_t(const std::string& stream)> nextOffset; /*!< Offset of the next record to read. */
    std::function<nlohmann::json()> describe; /*!< Returns the state for operators. */
};

/** @brief Addresses on which a node listens. */
struct node_addresses {
    std::string http; /*!< `host:port`. */
    std::string peer; /*!< `host:port`. */
};

/** @brief Creates the decision logic for one incarnation of a node. */
using node_logic_factory = std::function<node_logic(incarnation_id incarnation, const node_addresses& addresses)>;

/** @brief Performs the I/O of a node: connects its logic with the callers, the upstream, the peers and the log. */
class node_runtime {
public:
    /**
     * @brief Constructs a runtime that does not listen yet.
     * @param loop Must outlive the runtime.
     * @param settings Settings of the node.
     * @param charts State charts; must outlive the runtime.
     * @param makeIncarnation Returns a new, globally unique id on each call.
     */
    node_runtime(event_loop& loop, const node_program_settings& settings, const chart_set& charts,
        std::function<incarnation_id()> makeIncarnation);
    node_runtime(const node_runtime&) = delete;
    node_runtime& operator=(const node_runtime&) = delete;

    /**
     * @brief Starts to listen for callers and peers; events are queued until `start`.
     * @return The bound addresses, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<node_addresses> listen();

    /**
     * @brief Starts to handle requests and to read the log.
     * @param makeLogic Called now, and again whenever the logic requests a new incarnation.
     */
    void start(node_logic_factory makeLogic);

    /** @brief Begins a graceful shutdown, which stops the loop when it is complete. */
    void stop();

    [[nodiscard]] const metrics& counters() const noexcept { return m_metrics; }

private:
    struct pending_caller {
        time_point arrivedAt;
    };

    void startIncarnation();
    void restartIncarnation();
    void dispatch(node_event event);
    void process(const node_event& event);
    void scheduleWakeup();
    void syncLogPositions();

    void perform(const answer_caller& action);
    void perform(const send_to_peer& action);
    void perform(const open_link& action);
    void perform(const replace_link& action);
    void perform(const close_link& action);
    void perform(const dispatch_call& action);
    void perform(const cancel_dispatch& action);
    void perform(const append_record& action);
    void perform(const answer_leave& action);
    void perform(const renew_incarnation& action);
    void perform(const write_log& action);

    void addRoutes();
    void onCall(http_server::request_id id, const http_request& request);
    void onAnnounce(http_server::request_id id, const http_request& request);
    void onUpstreamOutcome(call_id id, http_outcome outcome);
    void checkStopped();
    [[nodiscard]] hello_message makeHello() const;
    [[nodiscard]] peer_hub_handlers peerHandlers();
    [[nodiscard]] log_client_handlers logHandlers();

    event_loop& m_loop;
    node_program_settings m_settings;
    std::function<incarnation_id()> m_makeIncarnation;
    incarnation_id m_incarnation;
    clock m_clock;
    logger m_logger { "node" };
    logger m_audit { "audit" };
    metrics m_metrics;
    node_addresses m_addresses;
    node_logic_factory m_makeLogic;
    node_logic m_logic;
    http_server m_server;
    http_client m_upstream;
    http_client m_logHttp;
    log_client m_log;
    peer_hub m_peers;
    loop_timer m_wakeupTimer;
    loop_timer m_stopTimer;
    std::optional<time_point> m_wakeupTime;
    std::deque<node_event> m_events;
    std::unordered_map<http_server::request_id, pending_caller> m_callers;
    std::unordered_map<call_id, http_client::request_id> m_upstreamRequests;
    std::set<request_handle> m_pendingLeaves; /*!< Requests to leave that are not answered yet. */
    time_point m_stopDeadline;
    bool m_isDispatching = false;
    bool m_arePositionsStale = false;
    bool m_isStopping = false;
};

} // namespace knapweedcroft

#endif
