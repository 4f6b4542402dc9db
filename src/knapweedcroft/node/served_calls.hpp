#ifndef KNAPWEEDCROFT_NODE_SERVED_CALLS_HPP
#define KNAPWEEDCROFT_NODE_SERVED_CALLS_HPP

#include "knapweedcroft/admission/admission_controller.hpp"
#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/node/id_source.hpp"
#include "knapweedcroft/node/key_service.hpp"
#include "knapweedcroft/node/parent_calls.hpp"
#include "knapweedcroft/pressure/threshold_map.hpp"
#include "knapweedcroft/routing/router.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Counters of the calls for the upstream of this host. */
struct served_counters {
    std::uint64_t received = 0;
    std::uint64_t dispatched = 0; /*!< Calls sent to the upstream. */
    std::uint64_t refused = 0; /*!< Calls refused without running, for any reason. */
    std::uint64_t refusedByClass[4] = {}; /*!< Refused by admission control, by call class. */
    std::uint64_t overloadedByClass[4] = {}; /*!< Refused because more important calls fill the queue, by call class. */
    std::uint64_t delegated = 0; /*!< Keyed calls sent to another member to run on its upstream. */
    std::uint64_t repeatsJoined = 0; /*!< Repeats attached to a running call or answered with its recorded result. */
    std::uint64_t lateAnswers = 0; /*!< Upstream answers to calls that had already ended; discarded. */
};

/**
 * @brief Calls that this node or other nodes send to the upstream of this host.
 *
 * All work for that upstream is admitted here. Each call is answered once, unless its sender cancels it.
 */
class served_calls {
public:
    /**
     * @brief Constructs an empty table.
     * @param self Name of this node.
     * @param incarnation Incarnation of this node.
     * @param ownService Service of the upstream of this host.
     * @param seed Seed of the jitter of retry-after times.
     * @param ids Source of call identifiers.
     * @param catalogue Catalogue in effect at this node.
     * @param admission Admission control of the upstream.
     * @param targets Selects other members for keyed calls that are not admitted here.
     * @param pressure Admission thresholds of services deeper in the call tree.
     * @param parents Calls running on the upstream of this host.
     * @param keys Deduplicates keyed calls.
     */
    served_calls(node_name self, incarnation_id incarnation, service_name ownService, std::uint64_t seed,
        id_source& ids, const catalogue_state& catalogue, admission_controller& admission, router& targets,
        threshold_map& pressure, parent_calls& parents, key_service& keys);

    /**
     * @brief Queues or refuses a call; a repeat of a keyed call joins the running call or gets its recorded result.
     * @param peer Node that sent it.
     * @param request The call.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void accept(const node_name& peer, call_request request, time_point now, node_actions& actions);

    /**
     * @brief Handles the answer of a member to which a keyed call was delegated.
     * @param peer Node that answered.
     * @param answer The answer.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     * @return False if the answer belongs to no delegated call.
     */
    bool receiveDelegated(const node_name& peer, const call_answer& answer, time_point now, node_actions& actions);

    /**
     * @brief Cancels a call whose sender no longer waits. Keyed calls continue, since a repeat may ask for their
     * result.
     * @param peer Sender of the call.
     * @param remoteId Identifier of the call at its sender.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void cancel(const node_name& peer, call_id remoteId, time_point now, node_actions& actions);

    /**
     * @brief Handles the complete answer of the upstream.
     * @param event The answer.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void finishDispatched(const upstream_answered& event, time_point now, node_actions& actions);

    /**
     * @brief Handles the failure of a dispatched call that got no complete answer.
     * @param event The call and the cause.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void failDispatched(const upstream_failed& event, time_point now, node_actions& actions);

    /**
     * @brief Sets the address and the concurrency of the upstream.
     * @param address `host:port` of the upstream.
     * @param slots Maximum number of concurrent calls; 0 if the upstream takes none.
     * @param isColdStart True if the upstream has just started.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void setUpstream(
        const std::string& address, std::uint32_t slots, bool isColdStart, time_point now, node_actions& actions);

    /**
     * @brief Refuses queued and later calls; running calls continue.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void stopAccepting(time_point now, node_actions& actions);

    /**
     * @brief Answers calls delegated to a peer whose link closed, and cancels calls without a key that the peer had
     * sent.
     * @param event The peer and the calls that were never written to the link.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void handleLinkClosed(const link_closed& event, time_point now, node_actions& actions);

    /** @brief Ends delegated calls that get no answer any more as `handleLinkClosed` does. */
    void handleCallsLost(const calls_lost& event, time_point now, node_actions& actions);

    /**
     * @brief Refuses queued calls that can no longer meet their deadline, and ends delegated calls past theirs.
     * @param now Current time.
     * @param actions Receives the resulting actions.
     */
    void expire(time_point now, node_actions& actions);

    /** @brief Returns the time at which `expire` is next due. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the number of calls that are not answered yet. */
    [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }

    /** @brief Returns the counters since the start. */
    [[nodiscard]] const served_counters& counters() const noexcept { return m_counters; }

private:
    enum class stage : std::uint8_t { queued, dispatched, delegated };

    struct sender {
        node_name peer;
        call_id remoteId;
    };

    struct sender_less {
        bool operator()(const sender& lhs, const sender& rhs) const noexcept
        {
            return lhs.remoteId != rhs.remoteId ? lhs.remoteId < rhs.remoteId : lhs.peer < rhs.peer;
        }
    };

    struct served_call {
        sender from;
        call_request request;
        time_point deadline;
        stage currentStage = stage::queued;
        node_name delegate;
    };

    [[nodiscard]] bool isOwnEntry(const std::string& entry) const;
    [[nodiscard]] milliseconds resultRetention(const std::string& entry) const;
    [[nodiscard]] std::string operationOf(const std::string& entry) const;
    void enqueue(const sender& from, call_request request, time_point now, node_actions& actions);
    void apply(const admission_decisions& decisions, time_point now, node_actions& actions);
    void start(call_id id, time_point now, node_actions& actions);
    void refuse(const refuse_call& refusal, time_point now, node_actions& actions);
    [[nodiscard]] bool delegate(call_id id, served_call& call, time_point now, node_actions& actions);
    served_call extract(call_id id);
    void finish(
        call_id id, const call_result& outcome, const parent_summary& summary, time_point now, node_actions& actions);
    void answer(const sender& to, const call_result& outcome, const parent_summary& summary, time_point now,
        node_actions& actions);
    void complete(call_id id, completion reason, const call_result& outcome, time_point now, node_actions& actions);
    void cancelDispatched(call_id id, time_point now, node_actions& actions);

    node_name m_self;
    incarnation_id m_incarnation;
    service_name m_ownService;
    jitter m_jitter;
    id_source& m_ids;
    const catalogue_state& m_catalogue;
    admission_controller& m_admission;
    router& m_router;
    threshold_map& m_pressure;
    parent_calls& m_parents;
    key_service& m_keys;
    std::string m_address;
    std::unordered_map<call_id, served_call> m_calls;
    std::map<sender, call_id, sender_less> m_bySender;
    std::set<std::pair<time_point, call_id>> m_delegatedDeadlines;
    std::unordered_map<std::string, std::vector<sender>> m_joinedSenders; /*!< Senders of waiting repeats, by key. */
    served_counters m_counters;
};

} // namespace knapweedcroft

#endif
