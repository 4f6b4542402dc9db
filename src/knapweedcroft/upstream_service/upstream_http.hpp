#ifndef KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_HTTP_HPP
#define KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_HTTP_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/http_server.hpp"
#include "knapweedcroft/upstream_service/settings.hpp"
#include "knapweedcroft/upstream_service/upstream_model.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief HTTP interface of the emulated upstream and client of the node on its host. */
class upstream_http {
public:
    /**
     * @brief Constructs an interface that is not listening yet.
     * @param loop Event loop; must outlive the interface.
     * @param onStopped Called once after a planned stop has ended.
     */
    upstream_http(event_loop& loop, const upstream_settings& settings, std::function<void()> onStopped);
    upstream_http(const upstream_http&) = delete;
    upstream_http& operator=(const upstream_http&) = delete;
    ~upstream_http() = default;

    /**
     * @brief Starts listening and announcing the upstream to the node.
     * @return The address as `host:port`, or an error.
     */
    [[nodiscard]] result<std::string> start();

    /** @brief Starts a planned stop: asks the node to leave and stops when it has answered. */
    void beginStop();

    [[nodiscard]] const upstream_stats& stats() const noexcept { return m_model.stats(); }

private:
    using request_id = http_server::request_id;

    void addRoutes();
    void handleCall(request_id id, const http_request& request);
    void handleCancel(request_id id, const http_request& request);
    void handleFaults(request_id id, const http_request& request);
    void handleStop(request_id id);
    void perform(const upstream_actions& actions);
    void perform(const answer_upstream_call& action);
    void perform(const withhold_answer&) noexcept { }
    void perform(const send_sub_call& action);
    void perform(const abandon_sub_call& action);
    void subCallEnded(sub_call_id id, const http_outcome& outcome);
    void announce();
    void handleLeaveAnswer(const http_outcome& outcome);
    void waitForCalls();
    void finishStop();
    void startTimer();

    upstream_settings m_settings;
    std::function<void()> m_onStopped;
    clock m_clock;
    upstream_model m_model;
    http_server m_server;
    http_client m_client;
    loop_timer m_workTimer;
    loop_timer m_announceTimer;
    loop_timer m_freezeTimer;
    loop_timer m_drainTimer;
    milliseconds m_freeze;
    std::string m_address;
    std::uint64_t m_incarnation;
    std::unordered_map<sub_call_id, http_client::request_id> m_subCalls;
    std::vector<request_id> m_stopRequests;
    time_point m_stopDeadline;
    bool m_isStopping = false;
    bool m_isStopped = false;
};

} // namespace knapweedcroft

#endif
