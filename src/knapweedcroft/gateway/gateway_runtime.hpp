#ifndef KNAPWEEDCROFT_GATEWAY_GATEWAY_RUNTIME_HPP
#define KNAPWEEDCROFT_GATEWAY_GATEWAY_RUNTIME_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/gateway/answer_room.hpp"
#include "knapweedcroft/gateway/gateway_core.hpp"
#include "knapweedcroft/gateway/stop_schedule.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/http/reachability_check.hpp"
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

/** @brief Callbacks that isolate platform formats: HTTP header names and store operations. */
struct protocol_adapter {
    /** @brief Converts a client request; returns the answer instead if it cannot be forwarded. */
    std::function<std::variant<client_request, opaque_response>(request_handle, opaque_request)> readRequest;
    /** @brief Builds the request to be sent to the upstream. */
    std::function<opaque_request(start_exchange)> makeUpstreamRequest;
    /** @brief Returns how an upstream response relates to the request with an identifier. */
    std::function<response_relation(const std::string&, const opaque_response&)> relate;
    /** @brief Converts a response from the upstream. */
    std::function<upstream_response(opaque_response)> readUpstreamResponse;
    /** @brief Writes the record of this node to the directory. */
    std::function<void(const directory_record&)> publish;
    /** @brief Removes the record of this node from the directory. */
    std::function<void()> withdraw;
    /** @brief Answers the upstream that has announced its leave, as often as it waits for an answer. */
    std::function<void(const leave_verdict&)> answerLeave;
    /** @brief Sets how this node reads the store. */
    std::function<void(store_read_mode)> setStoreReadMode;
    /** @brief Reads catalogue and directory anew, because the store came back from an older copy with a new era. */
    std::function<void(std::uint64_t)> rereadStore;
};

/** @brief Runs a gateway on sockets and timers: feeds events to its core and performs the resulting actions. */
class gateway_runtime {
public:
    /**
     * @brief Constructs a runtime that is not listening yet.
     * @param loop Event loop; must outlive the runtime.
     * @param settings Program settings.
     * @param charts State charts; must outlive the runtime.
     * @param boundary Callbacks for platform formats.
     * @param incarnation Identifies this run of the node process.
     */
    gateway_runtime(event_loop& loop, const gateway_program_settings& settings, const chart_set& charts,
        protocol_adapter boundary, incarnation_id incarnation);
    gateway_runtime(const gateway_runtime&) = delete;
    gateway_runtime& operator=(const gateway_runtime&) = delete;
    ~gateway_runtime() = default;

    /**
     * @brief Starts accepting client connections and links.
     * @return The address for clients as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen();

    /** @brief Passes an event to the gateway and performs the resulting actions. */
    void handle(gateway_event event);

    /** @brief Returns true if this node accepts client requests. */
    [[nodiscard]] bool isReady() const { return m_core.isReady(); }

    /**
     * @brief Starts a graceful shutdown: pending requests finish, answers ask clients to close their connections, and
     * the loop stops at the latest shortly before the grace period ends.
     */
    void stop();

    /** @brief Applies the grace period and the retry settings; other settings take effect at the next start. */
    void reload(const gateway_program_settings& settings);

    /** @brief Returns all metrics as text, one `name value` per line; units are part of the names. */
    [[nodiscard]] std::string formatMetrics() const;

    /** @brief Returns the clock of the runtime. */
    [[nodiscard]] const clock& time() const noexcept { return m_clock; }

private:
    void onRequest(std::uint64_t number, opaque_request request);
    void perform(gateway_action& action);
    void perform(answer_client& action);
    void perform(start_exchange& action);
    void perform(cancel_exchange& action);
    void perform(check_upstream& action);
    void perform(publish_record& action);
    void perform(withdraw_record& action);
    void perform(settle_leave& action);
    void perform(set_store_read_mode& action);
    void perform(reread_store& action);
    void perform(apply_limits& action);
    void perform(send_to_peer& action);
    void perform(open_link& action);
    void perform(close_link& action);
    void perform(write_log& action);

    void scheduleWakeup();
    void limitResponses();
    void grantAnswers();
    void onAnswerOffer(const node_name& peer, const forward_answer_offer& offer);
    void tick();
    void checkStop();
    void giveUp(const std::vector<std::uint64_t>& requests);
    [[nodiscard]] milliseconds stallCompensation() const;
    void onPeerEvent(node_event event);

    event_loop& m_loop;
    gateway_program_settings m_settings;
    protocol_adapter m_boundary;
    clock m_clock;
    logger m_log;
    logger m_requestLog; /*!< Log lines about individual requests, with a lower rate limit. */
    metrics m_metrics;
    gateway_core m_core;
    pipelined_server m_server;
    exchange_client m_upstream;
    reachability_check m_upstreamCheck;
    peer_hub m_hub;
    answer_room m_answerRoom; /*!< For the answers of other nodes. */
    http_server m_metricsServer;
    loop_timer m_wakeup;
    loop_timer m_tickTimer;
    std::unordered_map<request_handle, time_point> m_arrivalTimes; /*!< Of requests awaiting an answer. */
    std::unordered_map<std::uint64_t, std::uint64_t> m_exchangeIds; /*!< In `m_upstream`, by those in `m_core`. */
    time_point m_lastTick;
    time_point m_stallCompensationEnd; /*!< Data read before may have arrived during a stall. */
    milliseconds m_stallDuration;
    stop_schedule m_stopSchedule;
    time_point m_stopStart;
    bool m_isStopping = false;
};

} // namespace knapweedcroft

#endif
