#ifndef KNAPWEEDCROFT_GATEWAY_GATEWAY_RUNTIME_HPP
#define KNAPWEEDCROFT_GATEWAY_GATEWAY_RUNTIME_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/gateway/gateway_core.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_server.hpp"
#include "knapweedcroft/net/peer_hub.hpp"
#include "knapweedcroft/settings/gateway_program_settings.hpp"
#include "knapweedcroft/telemetry/logger.hpp"
#include "knapweedcroft/telemetry/metrics.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace knapweedcroft {

/** @brief Formats of the outside world: names of headers and the calls of the store. */
struct gateway_boundary {
    /** @brief Reads a request of a client; returns the answer to one that cannot be forwarded. */
    std::function<std::variant<client_request, opaque_response>(request_handle, opaque_request)> readRequest;
    /** @brief Makes the request for the upstream. */
    std::function<opaque_request(const start_exchange&)> makeUpstreamRequest;
    /** @brief Tells whether a response of the upstream answers the request with an identifier. */
    std::function<bool(const std::string&, const opaque_response&)> isAnswerTo;
    /** @brief Reads a response of the upstream. */
    std::function<upstream_response(opaque_response)> readUpstreamResponse;
    /** @brief Writes the record of this node to the directory. */
    std::function<void(const directory_record&)> publish;
    /** @brief Removes the record of this node from the directory. */
    std::function<void()> withdraw;
};

/** @brief Connects the decisions of a gateway to its sockets: carries out its actions and reports events to it. */
class gateway_runtime {
public:
    /**
     * @brief Constructs a runtime that does not listen yet.
     * @param loop The loop; must outlive the runtime.
     * @param settings Settings of the program.
     * @param charts The charts; must outlive the runtime.
     * @param boundary Formats of the outside world.
     * @param incarnation Identifies this run of the node.
     */
    gateway_runtime(event_loop& loop, const gateway_program_settings& settings, const chart_set& charts,
        gateway_boundary boundary, incarnation_id incarnation);
    gateway_runtime(const gateway_runtime&) = delete;
    gateway_runtime& operator=(const gateway_runtime&) = delete;
    ~gateway_runtime() = default;

    /**
     * @brief Starts to accept clients and links.
     * @return The address for clients as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen();

    /**
     * @brief Reports an event to the gateway and does what it asks for.
     * @param event The event.
     */
    void handle(gateway_event event);

    /** @brief Tells whether clients may send requests to this node. */
    [[nodiscard]] bool isReady() const { return m_core.isReady(); }

    /**
     * @brief Starts a planned stop: requests in flight end, clients are told to open connections elsewhere, and the
     * loop is stopped.
     */
    void stop();

    /**
     * @brief Uses changed settings; addresses and names stay as they are until the next start.
     * @param settings The settings.
     */
    void reload(const gateway_program_settings& settings);

    /** @brief Returns counters and latencies as text, one per line with its name and unit. */
    [[nodiscard]] std::string formatMetrics() const;

    /** @brief Returns the clock of the runtime. */
    [[nodiscard]] const clock& time() const noexcept { return m_clock; }

private:
    void onRequest(std::uint64_t number, opaque_request request);
    void perform(gateway_action& action);
    void perform(answer_client& action);
    void perform(start_exchange& action);
    void perform(cancel_exchange& action);
    void perform(publish_record& action);
    void perform(withdraw_record& action);
    void perform(apply_limits& action);
    void perform(send_to_peer& action);
    void perform(open_link& action);
    void perform(close_link& action);
    void perform(write_log& action);

    void schedule();
    void tick();
    void checkStop();
    [[nodiscard]] milliseconds stallAllowance() const;
    void deliver(node_event event);

    event_loop& m_loop;
    gateway_program_settings m_settings;
    gateway_boundary m_boundary;
    clock m_clock;
    logger m_log;
    logger m_requestLog; /*!< Lines on single requests, which are bounded more tightly. */
    metrics m_metrics;
    gateway_core m_core;
    pipelined_server m_server;
    exchange_client m_upstream;
    peer_hub m_hub;
    http_server m_metricsServer;
    loop_timer m_wakeup;
    loop_timer m_tickTimer;
    std::unordered_map<request_handle, time_point> m_arrivals; /*!< Of the requests that wait for an answer. */
    std::unordered_map<std::uint64_t, std::uint64_t> m_exchanges; /*!< Exchange of the client by that of the core. */
    time_point m_lastTick;
    time_point m_stallEnd; /*!< Until then, what is read may have waited since before the stall. */
    milliseconds m_stall;
    time_point m_stopDeadline;
    time_point m_idleCloseAt;
    bool m_isStopping = false;
};

} // namespace knapweedcroft

#endif
