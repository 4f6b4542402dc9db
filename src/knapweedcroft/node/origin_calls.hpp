#ifndef KNAPWEEDCROFT_NODE_ORIGIN_CALLS_HPP
#define KNAPWEEDCROFT_NODE_ORIGIN_CALLS_HPP

#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/membership/membership_state.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/node/id_source.hpp"
#include "knapweedcroft/node/parent_calls.hpp"
#include "knapweedcroft/pressure/threshold_map.hpp"
#include "knapweedcroft/retry/retry_budget.hpp"
#include "knapweedcroft/routing/router.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Counters of the calls that entered at this node. */
struct origin_counters {
    std::uint64_t arrived = 0;
    std::uint64_t attempts = 0; /*!< Calls sent to a node beside an upstream. */
    std::uint64_t retried = 0; /*!< Attempts after the first one of a call. */
    std::uint64_t refusedAtEntry = 0; /*!< Rejected on entry because a service deeper in the call tree is overloaded. */
    std::uint64_t lateAnswers = 0; /*!< Answers to attempts that had already ended; discarded. */
    std::array<std::uint64_t, refusalReasonCount> refused {}; /*!< Final refusals, by reason. */
};

/**
 * @brief Calls that entered at this node over HTTP, from arrival to their single answer.
 *
 * Selects the node that runs a call, retries where that is safe and the retry budget allows it, and answers the call at
 * its deadline at the latest.
 */
class origin_calls {
public:
    /**
     * @brief Constructs an empty table.
     * @param self Name of this node.
     * @param incarnation Incarnation of this node, by which it recognizes the call contexts that it issued.
     * @param seed Seed of the jitter of retry-after times.
     * @param ids Source of call and action identifiers.
     * @param catalogue Catalogue in effect at this node.
     * @param membership Membership views of the services.
     * @param targets Selects a member of a service.
     * @param pressure Admission thresholds of services deeper in the call tree.
     * @param parents Calls running on the upstream of this host.
     */
    origin_calls(node_name self, incarnation_id incarnation, std::uint64_t seed, id_source& ids,
        const catalogue_state& catalogue, const membership_state& membership, router& targets, threshold_map& pressure,
        parent_calls& parents);

    /**
     * @brief Accepts or refuses a call received over HTTP.
     * @param event The call.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void begin(const call_arrived& event, time_point now, node_actions& actions);

    /**
     * @brief Handles the answer to an attempt.
     * @param peer Node that answered.
     * @param answer The answer.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void receive(const node_name& peer, const call_answer& answer, time_point now, node_actions& actions);

    /**
     * @brief Cancels the call of an HTTP caller that closed its connection.
     * @param handle The request.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void cancelRequest(request_handle handle, time_point now, node_actions& actions);

    /**
     * @brief Cancels calls whose caller no longer waits, such as sub-calls of a call that ended.
     * @param calls Identifiers; those of calls that already ended are ignored.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void cancel(const std::vector<call_id>& calls, time_point now, node_actions& actions);

    /**
     * @brief Retries or ends the attempts sent to a peer whose link closed.
     * @param event The peer and the attempts that were never written to the link.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void handleLinkClosed(const link_closed& event, time_point now, node_actions& actions);

    /** @brief Ends attempts that get no answer any more as `handleLinkClosed` does. */
    void handleCallsLost(const calls_lost& event, time_point now, node_actions& actions);

    /**
     * @brief Sends waiting calls after the members of a service or the links to them changed.
     * @param service The service.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void retryWaiting(const service_name& service, time_point now, node_actions& actions);

    /**
     * @brief Ends calls whose deadline or maximum wait for a target has passed.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void expire(time_point now, node_actions& actions);

    /** @brief Returns the time at which `expire` is next due. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the services called since the last call of this function. */
    [[nodiscard]] std::set<service_name> takeUsedServices();

    /** @brief Returns the number of calls that are not answered yet. */
    [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }

    /** @brief Returns the counters since the start. */
    [[nodiscard]] const origin_counters& counters() const noexcept { return m_counters; }

private:
    struct attempt {
        call_id id;
        node_name target;
        std::uint32_t reservedBudget = 0;
        time_point startedAt;
    };

    struct origin_call {
        request_handle handle = 0;
        action_id action;
        std::string entry;
        service_name service;
        call_class importance = call_class::low;
        bool isIdempotent = true;
        std::optional<std::string> key;
        std::string contentType;
        std::string body;
        time_point deadline;
        std::uint32_t depth = 0;
        retry_budget budget { 0 };
        std::optional<call_id> parent;
        std::optional<attempt> current;
        std::vector<node_name> excluded;
        std::uint32_t redirects = 0;
        std::optional<call_result> possiblyRun; /*!< Outcome of an earlier attempt that may have run. */
        std::set<service_name> reachedServices;
    };

    struct accepted_context {
        action_id action;
        call_class importance = call_class::low;
        time_point deadline;
        std::uint32_t depth = 0;
        std::uint32_t budget = 0;
        std::optional<call_id> parent;
    };

    using context_decision = std::variant<accepted_context, refused_not_run>;
    using timer = std::pair<time_point, call_id>;

    [[nodiscard]] context_decision resolveContext(
        const call_arrived& event, const catalogue_entry& entry, time_point now);
    [[nodiscard]] context_decision resolveParent(
        const call_context& context, const call_arrived& event, const catalogue_entry& entry, time_point now);
    [[nodiscard]] std::optional<refused_not_run> checkRequest(
        const call_arrived& event, const catalogue_entry* entry) const;
    [[nodiscard]] std::optional<refused_not_run> checkPressure(
        const catalogue_entry& entry, const accepted_context& context, time_point now);
    [[nodiscard]] std::optional<node_name> chooseTarget(const origin_call& call, time_point now);
    void send(call_id id, time_point now, node_actions& actions);
    void sendTo(call_id id, origin_call& call, const node_name& target, time_point now, node_actions& actions);
    void waitForTarget(call_id id, origin_call& call, time_point now, node_actions& actions);
    void stopWaiting(call_id id);
    void handleOutcome(call_id id, const call_result& outcome, time_point now, node_actions& actions);
    [[nodiscard]] bool shouldResend(origin_call& call, const call_result& outcome, time_point now);
    [[nodiscard]] bool shouldResendRefused(origin_call& call, const refused_not_run& refusal);
    void finish(call_id id, call_result outcome, node_actions& actions);
    void cancelAttempt(origin_call& call, attempt_outcome reason, time_point now, node_actions& actions);
    void refuse(const call_arrived& event, action_id action, refused_not_run refusal, node_actions& actions);
    void recordAttemptEnd(const attempt& ended, attempt_outcome outcome, milliseconds queueTime, time_point now);

    node_name m_self;
    incarnation_id m_incarnation;
    jitter m_jitter;
    id_source& m_ids;
    const catalogue_state& m_catalogue;
    const membership_state& m_membership;
    router& m_router;
    threshold_map& m_pressure;
    parent_calls& m_parents;
    std::unordered_map<call_id, origin_call> m_calls;
    std::unordered_map<call_id, call_id> m_attempts; /*!< Attempt identifier to call identifier. */
    std::unordered_map<request_handle, call_id> m_handles;
    std::set<timer> m_deadlines;
    std::unordered_map<call_id, time_point> m_waiting; /*!< Calls without a target, with the end of their wait. */
    std::set<timer> m_waitEnds;
    std::set<service_name> m_usedServices;
    origin_counters m_counters;
};

} // namespace knapweedcroft

#endif
