#ifndef KNAPWEEDCROFT_GATEWAY_SERVED_REQUESTS_HPP
#define KNAPWEEDCROFT_GATEWAY_SERVED_REQUESTS_HPP

#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/admission_ratio_controller.hpp"
#include "knapweedcroft/gateway/call_dependency_estimator.hpp"
#include "knapweedcroft/gateway/crash_detector.hpp"
#include "knapweedcroft/gateway/downstream_admission_ratio.hpp"
#include "knapweedcroft/gateway/entry_origin_classifier.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/request_quarantine.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/gateway/upstream_queue.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Counters of the requests for the upstream of this host. */
struct served_request_counters {
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; /*!< Refused by this node before reaching the upstream. */
    std::uint64_t shed = 0; /*!< Shed by the upstream without running. */
    std::uint64_t failed = 0; /*!< No complete response; may have run. */
    std::uint64_t cancelled = 0;
    std::uint64_t rateLimited = 0; /*!< Refused because of the rate that the upstream names. */
    std::uint64_t quarantined = 0; /*!< Refused because the content was running when upstreams crashed. */
    std::uint64_t crashes = 0; /*!< Crashes of the upstream. */
};

/** @brief Change of the upstream of this host that the end of an exchange reveals. */
enum class upstream_finding : std::uint8_t {
    none,
    unreachable, /*!< It cannot be reached any more, or another process has replaced it. */
    leaving /*!< It has said that it leaves. */
};

/**
 * @brief Requests for the upstream of this host, received from all nodes.
 *
 * All requests to the upstream pass through this node, so it controls admission, queueing and concurrency. Every
 * operation appends the actions to execute to its `actions` argument.
 */
class served_requests {
public:
    /**
     * @brief Constructs an object without requests.
     * @param registry State of the upstream of this host; must outlive the object.
     * @param quarantine Suspected request contents; must outlive the object.
     */
    served_requests(const gateway_settings& settings, upstream_registry& registry, request_quarantine& quarantine);

    /**
     * @brief Queues, starts or refuses a forwarded request.
     * @param peer Node that sent the request; may be this node.
     */
    void receive(const node_name& peer, forward_request received, time_point now, gateway_actions& actions);

    /**
     * @brief Reserves memory for a request with a large body and grants it, or refuses the request.
     *
     * The reservation ends with the request, its cancellation or the link of the peer.
     */
    void receiveOffer(const node_name& peer, const forward_offer& message, time_point now, gateway_actions& actions);

    /**
     * @brief Cancels a request that its sender has withdrawn.
     * @param id Identifier of the request at its sender; ignored if unknown.
     */
    void cancel(const node_name& peer, call_id id, time_point now, gateway_actions& actions);

    /**
     * @brief Cancels all requests of a peer whose link has closed, because their answers can no longer be delivered.
     */
    void handlePeerLost(const node_name& peer, time_point now, gateway_actions& actions);

    /**
     * @brief Handles the end of an exchange with the upstream.
     * @return Change of the upstream that was not known before.
     */
    [[nodiscard]] upstream_finding handleExchangeEnd(exchange_ended event, time_point now, gateway_actions& actions);

    /**
     * @brief Uses the result of a check of the upstream, which follows when exchanges break off.
     * @param isRefused True if no process listens at the address of the upstream.
     * @return The crash of the upstream, if there was one; its requests are answered by `answerInterrupted`.
     */
    [[nodiscard]] std::optional<upstream_crash> handleUpstreamCheck(bool isRefused, time_point now);

    /** @brief Answers the requests whose exchanges broke off as failed, unless the upstream is still being checked. */
    void answerInterrupted(time_point now, gateway_actions& actions);

    /**
     * @brief Handles the replacement of an upstream that did not leave.
     * @param upstream Identifier of the replaced upstream.
     * @return Its crash, if it had gone unnoticed.
     */
    [[nodiscard]] std::optional<upstream_crash> handleUpstreamReplaced(const std::string& upstream, time_point now);

    /** @brief Returns the suspected contents that the upstream has answered since the last call; mostly empty. */
    [[nodiscard]] std::vector<std::uint64_t> takeCleared() { return std::exchange(m_cleared, {}); }

    /** @brief Returns true if the upstream runs nothing and all its requests have been answered. */
    [[nodiscard]] bool isIdle(time_point now) const { return load(now).running == 0 && m_interrupted.empty(); }

    /**
     * @brief Applies the slot count of a serving upstream, or refuses all queued requests if the upstream is not
     * serving.
     */
    void handleUpstreamChange(time_point now, gateway_actions& actions);

    /**
     * @brief Uses the rate that the upstream of this host named in an answer to another node, until the upstream
     * answers this process.
     */
    void handleReportedRate(const reported_notices_message& message, time_point now, gateway_actions& actions);

    /** @brief Sets the services that have hosts in the data centre of this node. */
    void setServices(std::set<service_name> services) { m_originClassifier.setServices(std::move(services)); }

    /** @brief Adds the requests that a peer of the same service has counted. */
    void recordPeerCallers(const entry_callers_message& message);

    /** @brief Returns the counts of callers to tell peers of the same service; mostly empty. */
    [[nodiscard]] std::vector<entry_caller_count> takeNewCallers() { return m_originClassifier.takeNewCounts(); }

    /** @brief Returns the counts of callers to tell a peer of the same service that starts. */
    [[nodiscard]] std::vector<entry_caller_count> callerSummary() const { return m_originClassifier.summary(); }

    /** @brief Returns the service times of the upstream to tell linked nodes; mostly empty. */
    [[nodiscard]] std::vector<entry_service_time> takeChangedServiceTimes(time_point now)
    {
        return m_queue.takeChangedServiceTimes(now);
    }

    /** @brief Records a request received on this host, which may be a call of the upstream. */
    void recordArrival(const std::string& entry, time_point now);

    /**
     * @brief Returns true if a request received on this host is probably a call of a retry that the upstream runs.
     *
     * Calls do not name the request that caused them, but expire together with it.
     * @param deadline Time at which the sender of the request stops waiting.
     */
    [[nodiscard]] bool isCallOfRetry(time_point deadline) const;

    /**
     * @brief Records the answer to a request received on this host, which may be a call of the upstream.
     * @param answer Answer; carries the admission ratio of the called service and of the services below it.
     * @param isTimely True if the answer came within the target latency.
     */
    void recordAnswer(const std::string& entry, const forward_answer& answer, bool isTimely, time_point now);

    /** @brief Refuses requests of other nodes from now on, ahead of a planned stop of this node. */
    void startDraining() { m_isDraining = true; }

    /** @brief Starts nothing from now on and refuses what waits, so that its nodes can send it elsewhere. */
    void stopStarting(time_point now, gateway_actions& actions);

    /** @brief Updates the admission ratio and refuses queued requests that have waited too long. */
    void poll(time_point now, gateway_actions& actions);

    /** @brief Returns the time at which `poll` is due, or nothing if there is nothing to wait for. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the current load of the upstream. */
    [[nodiscard]] upstream_load load(time_point now) const { return m_queue.load(now); }

    /** @brief Returns the body bytes of the requests that were granted and have not ended. */
    [[nodiscard]] std::size_t reservedBytes() const noexcept { return m_reservedBytes; }

    /** @brief Returns the inputs of admission decisions as log fields. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> describeLoad(time_point now) const;

    /**
     * @brief Returns the admission ratios as a JSON object: that of the upstream, the lowest downstream, and that of
     * each entry.
     */
    [[nodiscard]] nlohmann::json describeAdmissionRatio(time_point now) const;

    /** @brief Returns the counters since the start of the process. */
    [[nodiscard]] const served_request_counters& counters() const noexcept { return m_counters; }

private:
    struct served_request {
        node_name peer;
        forward_request message;
        time_point deadline;
        time_point target;
        std::optional<time_point> startedAt;
        std::string upstream; /*!< Identifier of the upstream to which the request was sent. */
        std::uint64_t digest = 0; /*!< Of its content. */
        std::uint64_t id = 0; /*!< Identifier in the queue and of the exchange. */
    };

    /** @brief Request whose exchange broke off; it is answered once it is known whether the upstream crashed. */
    struct interrupted_request {
        served_request request;
        forward_outcome outcome;
    };

    using request_map = std::unordered_map<std::uint64_t, served_request>;

    [[nodiscard]] std::optional<refusal_reason> immediateRefusal(
        const node_name& peer, const service_name& service) const;
    void release(const node_name& peer, call_id id);
    [[nodiscard]] bool shouldRefuseNewWork(const forward_request& message, time_point now);
    void recordOutcome(const served_request& request, const exchange_ended& event, time_point now);
    [[nodiscard]] double admissionRatioOf(const std::string& entry, time_point now) const;
    [[nodiscard]] served_request extract(request_map::iterator position);
    void apply(const slot_decisions& decisions, time_point now, gateway_actions& actions);
    void start(std::uint64_t id, time_point now, gateway_actions& actions);
    void refuse(std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions);
    void cancelRequest(std::uint64_t id, time_point now, gateway_actions& actions);
    [[nodiscard]] forward_answer makeAnswer(
        const served_request& request, forward_outcome outcome, time_point now) const;
    void updateAdmissionRatio(time_point now);
    [[nodiscard]] slot_request makeSlotRequest(std::uint64_t id) const;
    void applyNotices(
        const served_request& request, const upstream_notices& notices, time_point now, gateway_actions& actions);
    [[nodiscard]] std::optional<forward_refusal> quarantineRefusal(std::uint64_t id, time_point now) const;
    [[nodiscard]] bool isInterruption(const served_request& request, const exchange_failure& failure) const;
    void suspend(served_request request, const exchange_failure& failure, time_point now, gateway_actions& actions);
    void recordCompleteAnswer(const served_request& request, time_point now);
    void setRate(std::optional<double> rate, time_point now, gateway_actions& actions);
    void resetRate(time_point now, gateway_actions& actions);
    [[nodiscard]] forward_outcome outcomeOf(
        const served_request& request, upstream_response& response, time_point now, gateway_actions& actions);
    [[nodiscard]] forward_outcome outcomeOf(
        const served_request& request, const exchange_failure& failure, gateway_actions& actions);
    void log(std::string event, const served_request& request, std::vector<std::pair<std::string, std::string>> fields,
        gateway_actions& actions) const;

    gateway_settings m_settings;
    upstream_registry& m_registry;
    request_quarantine& m_quarantine;
    upstream_queue m_queue;
    entry_origin_classifier m_originClassifier;
    call_dependency_estimator m_callDependence;
    admission_ratio_controller m_admissionControl;
    downstream_admission_ratio m_downstreamRatios;
    std::set<std::string> m_upstreamOnlyEntries; /*!< Entries called only by upstreams, as reported by answers. */
    std::unordered_map<std::string, double> m_admissionCredits; /*!< Per entry; one per admitted request. */
    request_map m_requests;
    std::map<std::pair<node_name, call_id>, std::uint64_t> m_idsByPeer;
    std::multiset<time_point> m_retryDeadlines; /*!< Of the retries that the upstream runs. */
    std::map<std::pair<node_name, call_id>, std::size_t> m_reservations; /*!< Body bytes of granted requests. */
    std::size_t m_reservedBytes = 0; /*!< Their sum. */
    crash_detector m_crashDetector;
    std::vector<interrupted_request> m_interrupted;
    std::vector<std::uint64_t> m_cleared; /*!< Suspected contents that the upstream has answered. */
    std::string m_rateUpstream; /*!< Identifier of the upstream that named the rate in force. */
    reported_notices_message m_reported; /*!< Latest report of a peer; without an identifier if there is none. */
    double m_loggedRate = 0.0; /*!< Rate of the latest log line, in requests per second. */
    served_request_counters m_counters;
    std::uint64_t m_lastId = 0;
    bool m_isDraining = false;
    bool m_isEnding = false; /*!< Nothing is started any more. */
};

} // namespace knapweedcroft

#endif
