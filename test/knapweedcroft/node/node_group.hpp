#ifndef KNAPWEEDCROFT_TEST_NODE_NODE_GROUP_HPP
#define KNAPWEEDCROFT_TEST_NODE_NODE_GROUP_HPP

#include "knapweedcroft/catalogue/catalogue_entry.hpp"
#include "knapweedcroft/node/node_core.hpp"
#include "knapweedcroft/upstream_service/upstream_model.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Mean rate at which clients send requests of one entry. */
struct entry_demand {
    service_name service;
    std::string operation;
    double perSecond = 0.0;
};

/** @brief Hosts, operations and clients of a deployment. */
struct group_shape {
    std::vector<upstream_settings> hosts; /*!< Each runs one upstream and a node of the same name. */
    std::vector<catalogue_entry> catalogue;
    std::vector<entry_demand> demand;
    milliseconds linkLatency { 1 };
    milliseconds clientLatency { 3 };
};

/** @brief Timeout and retries of a client. */
struct client_behaviour {
    milliseconds timeout { 1000 };
    std::uint32_t retries = 3; /*!< Sent without delay after a timeout, a refusal or a failure, with the same key. */
};

/** @brief Settings of a group. */
struct group_settings {
    group_shape shape;
    node_settings node; /*!< Name, service, data centre and seed are set for each node. */
    client_behaviour client;
    milliseconds logLatency { 5 };
    std::uint64_t seed = 1;
};

/** @brief State and outcome of one request of a client. */
struct request_record {
    std::size_t entry = 0; /*!< Index in the catalogue of the shape. */
    std::string key; /*!< Empty for an idempotent entry. */
    time_point sentAt;
    std::uint32_t attempts = 0;
    std::uint32_t answers = 0; /*!< Answers received, over all attempts. */
    std::uint32_t executions = 0; /*!< Calls of the request's call tree that ran on upstreams. */
    bool hasMismatchedAnswer = false; /*!< An answer belonged to another request. */
    std::optional<time_point> endedAt;
    std::optional<call_result> outcome; /*!< Outcome of the last attempt, if it was answered. */

    [[nodiscard]] bool isSuccessful() const
    {
        const answered* answer = outcome ? std::get_if<answered>(&*outcome) : nullptr;
        return answer != nullptr && answer->status == 200;
    }
};

/** @brief Callback for each event that a node handled, with the resulting actions and the virtual time. */
struct group_observer {
    std::function<void(const node_name&, const node_event&, const node_actions&, time_point)> handled;
};

/**
 * @brief Several nodes, their upstreams, the log and clients in one process, in virtual time.
 *
 * It is deterministic: the same settings and the same calls give the same run.
 */
class node_group {
public:
    node_group(const group_settings& settings, const chart_set& charts);

    /** @brief Advances virtual time. */
    void run(milliseconds duration);
    /** @brief Schedules a task after a delay in virtual time. */
    void after(milliseconds delay, std::function<void()> task);
    [[nodiscard]] time_point now() const noexcept { return m_now; }
    void observe(group_observer observer) { m_observer = std::move(observer); }

    /** @brief Sends a request to a node, or to a random running one; returns its index in `requests`. */
    std::size_t send(const std::string& entry, const std::optional<node_name>& to = std::nullopt,
        const std::optional<std::string>& key = std::nullopt);
    /** @brief Sends a request again with the same key and body, without waiting for the answer. */
    void resend(std::size_t index, const node_name& to) { attempt(index, to); }
    /** @brief Sets the rate of open-loop arrivals to the demand of the shape times a factor. */
    void setDemand(double factor);
    [[nodiscard]] const std::vector<request_record>& requests() const noexcept { return m_requests; }

    /** @brief Stops a node abruptly, and its upstream too if `isUpstreamKilled`. */
    void kill(const node_name& name, bool isUpstreamKilled = true);
    /** @brief Starts a killed node with a new incarnation, and its upstream if that was killed. */
    void restart(const node_name& name);
    /** @brief Pauses a node; its clock continues, and events are handled after the pause. */
    void freeze(const node_name& name, milliseconds duration);
    /** @brief Requests a planned stop of a node. */
    void leave(const node_name& name);
    [[nodiscard]] std::optional<time_point> leftAt(const node_name& name) const { return m_hosts.at(name).leftAt; }
    void setWallOffset(const node_name& name, milliseconds offset) { m_hosts.at(name).wallOffset = offset; }

    /** @brief Closes the link between two nodes and prevents a new one. */
    void blockLink(const node_name& left, const node_name& right);
    /** @brief Discards all messages on the link between two nodes until missed pings lead to a new link. */
    void makeLinkSilent(const node_name& left, const node_name& right);
    void restoreLink(const node_name& left, const node_name& right);

    void setLogAvailable(bool isAvailable) { m_isLogAvailable = isAvailable; }
    void setLogDelay(milliseconds delay) { m_logDelay = delay; }
    /** @brief Makes the next appends take effect with an unknown outcome. */
    void loseAppendAnswers(std::uint32_t count) { m_lostAppends = count; }
    /** @brief Appends a record as an operator would. */
    void append(const std::string& stream, const std::string& payload);

    void setSlow(const service_name& service, double factor);
    [[nodiscard]] nlohmann::json describe(const node_name& name) const { return m_hosts.at(name).core->describe(); }
    [[nodiscard]] const upstream_stats& upstream(const node_name& name) const
    {
        return m_hosts.at(name).model->stats();
    }
    [[nodiscard]] std::vector<node_name> names() const;
    /** @brief Number of effects by key over all upstreams, including killed ones. */
    [[nodiscard]] std::map<std::string, std::uint64_t> effects() const;
    [[nodiscard]] std::uint64_t executions() const noexcept { return m_executions; }
    [[nodiscard]] std::uint64_t duplicateAnswers() const noexcept { return m_duplicateAnswers; }
    /** @brief Number of open HTTP requests whose caller is still waiting. */
    [[nodiscard]] std::size_t unanswered() const noexcept { return m_callers.size(); }
    [[nodiscard]] std::size_t inFlight() const;

private:
    using http_answer = std::function<void(const std::optional<call_result>&)>;
    using name_pair = std::pair<node_name, node_name>;

    struct scheduled_task {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> task;
        bool operator<(const scheduled_task& other) const noexcept
        {
            return at != other.at ? other.at < at : other.sequence < sequence;
        }
    };

    struct host {
        upstream_settings settings;
        std::unique_ptr<node_core> core;
        std::unique_ptr<upstream_model> model;
        std::uint64_t run = 0; /*!< Number of the current run of the node. */
        std::uint64_t modelRun = 0;
        bool isFrozen = false;
        std::deque<node_event> deferredEvents;
        std::optional<time_point> wakeAt;
        std::optional<time_point> modelWakeAt;
        std::optional<bool> isLogAvailable;
        std::set<node_name> requestedLinks;
        std::unordered_map<request_handle, call_id> dispatched; /*!< Calls at the upstream, by handle. */
        std::unordered_map<sub_call_id, request_handle> subCalls;
        std::unordered_map<sub_call_id, std::string> subCallTokens;
        milliseconds wallOffset;
        std::optional<time_point> leftAt;
    };

    struct caller {
        node_name node;
        http_answer answer;
    };

    struct peer_link {
        std::uint64_t id = 0;
        bool isOpen = false;
        bool isSilent = false;
        bool isCut = false;
        bool isOpening = false;
    };

    void start(const node_name& name);
    void post(const node_name& name, node_event event, milliseconds delay);
    void deliver(const node_name& name, const node_event& event);
    void wake(const node_name& name);
    void perform(const node_name& name, const answer_caller& action);
    void perform(const node_name& name, const send_to_peer& action);
    void perform(const node_name& name, const open_link& action);
    void perform(const node_name& name, const replace_link& action);
    void perform(const node_name& name, const close_link& action);
    void perform(const node_name& name, const dispatch_call& action);
    void perform(const node_name& name, const cancel_dispatch& action);
    void perform(const node_name& name, const append_record& action);
    void perform(const node_name& name, const answer_leave& action);
    void perform(const node_name& name, const renew_incarnation& action);
    void perform(const node_name& name, const write_log& action);
    request_handle request(const node_name& name, call_arrived call, milliseconds latency, http_answer answer);
    void disconnectCaller(request_handle handle, milliseconds latency);
    void performUpstream(const node_name& name, const upstream_actions& actions);
    void countExecutions(const node_name& name, std::uint64_t before, const std::string& token);
    void wakeModel(const node_name& name);
    void announce(const node_name& name, std::uint64_t modelRun);
    void pollLog(const node_name& name);
    void schedulePolls(const node_name& name, std::uint64_t run);
    void attempt(std::size_t index, const std::optional<node_name>& to);
    void handleAttemptEnd(std::size_t index, std::uint32_t number, const std::optional<call_result>& outcome);
    void scheduleArrival(std::size_t demand, std::uint64_t generation);
    void openLink(const node_name& from, const node_name& to);
    void closeLink(const node_name& left, const node_name& right);
    [[nodiscard]] peer_link& link(const node_name& left, const node_name& right);
    [[nodiscard]] time_point wallNow(const host& target) const
    {
        return m_wallStart + (m_now - time_point {}) + target.wallOffset;
    }
    [[nodiscard]] std::string newKey();

    group_settings m_settings;
    const chart_set& m_charts;
    std::mt19937_64 m_random;
    time_point m_now;
    time_point m_wallStart { milliseconds { 1'700'000'000'000 } };
    std::uint64_t m_sequence = 0;
    std::priority_queue<scheduled_task> m_events;
    std::map<node_name, host> m_hosts;
    std::map<name_pair, peer_link> m_links;
    std::map<std::string, std::vector<log_record>> m_streams;
    bool m_isLogAvailable = true;
    milliseconds m_logDelay;
    std::uint32_t m_lostAppends = 0;
    std::unordered_map<request_handle, caller> m_callers;
    request_handle m_lastHandle = 0;
    std::vector<request_record> m_requests;
    double m_demandFactor = 0.0;
    std::uint64_t m_demandGeneration = 0;
    std::map<std::string, std::uint64_t> m_pastEffects;
    std::uint64_t m_executions = 0;
    std::uint64_t m_duplicateAnswers = 0;
    group_observer m_observer;
};

} // namespace knapweedcroft

#endif
