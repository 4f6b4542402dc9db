#ifndef KNAPWEEDCROFT_GATEWAY_ORIGIN_REQUESTS_HPP
#define KNAPWEEDCROFT_GATEWAY_ORIGIN_REQUESTS_HPP

#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/local_retry_budget.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/served_requests.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/gateway/upstream_selector.hpp"
#include "knapweedcroft/gateway/weighted_service_selector.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Counters of the requests received from clients and from the upstream of this host. */
struct origin_request_counters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0; /*!< Answered with the response of an upstream. */
    std::uint64_t refused = 0; /*!< Answered as not run. */
    std::uint64_t failed = 0; /*!< Answered as failed; may have run. */
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0; /*!< Client disconnected before the answer. */
    std::uint64_t rerouted = 0; /*!< Sent to another upstream after one that did not run the request. */
    std::uint64_t retried = 0; /*!< Retries charged to the retry budget. */
    std::uint64_t quarantined = 0; /*!< Not sent, because the content was running when upstreams crashed. */
    std::uint64_t crossDataCentre = 0; /*!< Sent to another data centre. */
};

/**
 * @brief Requests received from clients and from the upstream of this host, from arrival to the final answer.
 *
 * Selects an upstream for each request, retries within the retry budget and answers each request once, unless its
 * client disconnects first. Every operation appends the actions to execute to its `actions` argument.
 */
class origin_requests {
public:
    /**
     * @brief Constructs an object without a catalogue; all requests are refused until `setEntryTable` is called.
     * @param directory Known nodes; must outlive the object.
     * @param served Is told which requests are calls of the upstream of this host; must outlive the object.
     * @param quarantine Suspected request contents; must outlive the object.
     */
    origin_requests(const gateway_settings& settings, node_directory& directory, served_requests& served,
        const request_quarantine& quarantine);

    /** @brief Sets the catalogue for subsequent requests; requests in progress keep the previous one. */
    void setEntryTable(std::shared_ptr<const entry_table> table);

    /**
     * @brief Starts draining: after a notice period, requests whose deadline is past the given time are refused as not
     * run.
     * @param end Time at which unfinished requests are given up.
     */
    void startDraining(time_point now, time_point end);

    /**
     * @brief Answers requests although they have not ended, because the process ends; from now on nothing is sent.
     * @param handles Handles of the requests; unknown ones are ignored.
     */
    void giveUp(const std::vector<request_handle>& handles, time_point now, gateway_actions& actions);

    /** @brief Replaces the limits of the retry budget. */
    void configureRetries(const local_retry_budget_settings& settings) { m_retryBudget.configure(settings); }

    /** @brief Accepts a new request, and forwards or answers it. */
    void receive(client_request event, time_point now, gateway_actions& actions);

    /**
     * @brief Cancels a request whose client has disconnected.
     * @param handle Handle of the request; ignored if unknown.
     */
    void cancel(request_handle handle, time_point now, gateway_actions& actions);

    /** @brief Sends a request whose body the node of its upstream has room for; ignored if it is not awaited any more.
     */
    void handleGrant(const node_name& peer, call_id id, time_point now, gateway_actions& actions);

    /**
     * @brief Handles the answer of a node to a forwarded request.
     * @param peer Node that answered; if the request was not last sent to it, only the load report is used.
     */
    void handleAnswer(const node_name& peer, forward_answer answer, time_point now, gateway_actions& actions);

    /**
     * @brief Reroutes, retries or answers the requests that were in flight on a closed link.
     * @param event Peer, and the requests of which no byte was written.
     */
    void handleLinkLost(const link_closed& event, time_point now, gateway_actions& actions);

    /** @brief Reroutes, retries or answers requests that get no answer any more as `handleLinkLost` does. */
    void handleCallsLost(const calls_lost& event, time_point now, gateway_actions& actions);

    /** @brief Uses the service times that a node has measured at its upstream. */
    void handleServiceTimes(const node_name& node, const service_times_message& message, time_point now);

    /** @brief Discards the measurements of a node whose upstream was replaced. */
    void handleUpstreamReplaced(const node_name& node) { m_upstreamSelector.resetMeasurements(node); }

    /** @brief Answers requests whose deadline has passed with a time-out. */
    void poll(time_point now, gateway_actions& actions);

    /** @brief Returns the time at which `poll` is due, or nothing if no request is pending. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the number of unanswered requests. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_requests.size(); }

    /** @brief Returns the counters since the start of the process. */
    [[nodiscard]] const origin_request_counters& counters() const noexcept { return m_counters; }

private:
    struct origin_request {
        request_handle handle = 0;
        std::shared_ptr<const entry_table> table; /*!< Keeps `entry` valid. */
        const forward_entry* entry = nullptr;
        service_name service;
        std::string requestId;
        opaque_request request;
        std::optional<std::uint64_t> digest; /*!< Of the content; set when it is first needed. */
        bool hasAlternative = false; /*!< Another upstream may be tried after the latest one. */
        bool isOffered = false; /*!< The node has been asked for room, and nothing has been sent yet. */
        bool isCallOfRetry = false; /*!< Call of a run that was itself a retry. */
        bool isBodyHandedOver = false; /*!< `request` was not kept, so it cannot be sent again. */
        time_point arrival;
        time_point clientDeadline; /*!< Time at which the client stops waiting. */
        time_point deadline; /*!< Earlier of the client deadline and the timeout of the entry. */
        node_name node; /*!< Node to which the request was last sent. */
        std::vector<node_name> triedNodes;
        std::uint32_t upstreamAttempts = 0; /*!< Attempts known to have reached an upstream. */
        bool mayHaveRun = false;
        milliseconds retryAfter; /*!< Shortest retry delay named by a refusal; zero if none. */
        refusal_reason reason = refusal_reason::no_upstream;
    };

    using request_map = std::unordered_map<std::uint64_t, origin_request>;

    void selectAndSend(std::uint64_t id, time_point now, gateway_actions& actions);
    void send(std::uint64_t id, const upstream_candidate& target, bool hasAlternative, time_point now,
        gateway_actions& actions);
    [[nodiscard]] bool needsOffer(const origin_request& request) const;
    void sendRequest(std::uint64_t id, time_point now, gateway_actions& actions);
    [[nodiscard]] std::vector<upstream_candidate> candidatesFor(const origin_request& request, time_point now) const;
    void setDigest(origin_request& request) const;
    [[nodiscard]] quarantine_status quarantineStatusOf(origin_request& request, time_point now) const;
    [[nodiscard]] bool isPastProcessEnd(const origin_request& request, time_point now) const;
    [[nodiscard]] bool spendRetry(const origin_request& request, time_point now);
    void handleRefusal(std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions);
    void handleFailure(std::uint64_t id, const std::string& cause, time_point now, gateway_actions& actions);
    void refuse(std::uint64_t id, time_point now, gateway_actions& actions);
    void respond(std::uint64_t id, local_answer answer, gateway_actions& actions);
    void cancelAtNode(std::uint64_t id, time_point now, gateway_actions& actions);
    void remove(std::uint64_t id);
    void log(log_level level, std::string event, const origin_request& request,
        std::vector<std::pair<std::string, std::string>> fields, time_point now, gateway_actions& actions) const;

    gateway_settings m_settings;
    node_directory& m_directory;
    served_requests& m_served;
    const request_quarantine& m_quarantine;
    std::shared_ptr<const entry_table> m_table;
    weighted_service_selector m_serviceSelector;
    upstream_selector m_upstreamSelector;
    local_retry_budget m_retryBudget;
    jitter m_jitter;
    request_map m_requests;
    std::unordered_map<request_handle, std::uint64_t> m_idsByHandle;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    origin_request_counters m_counters;
    std::optional<time_point> m_processEnd; /*!< Time at which requests are given up; set while draining. */
    time_point m_drainingSince;
    bool m_isEnding = false; /*!< Nothing is sent any more. */
    std::uint64_t m_lastId = 0;
};

} // namespace knapweedcroft

#endif
