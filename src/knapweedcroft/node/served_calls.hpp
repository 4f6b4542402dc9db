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

/** @brief Counts of calls for the upstream of this host. */
struct served_counters {
    std::uint64_t received = 0;
    std::uint64_t dispatched = 0; /*!< Calls sent to the upstream. */
    std::uint64_t refused = 0; /*!< Calls refused as not run, for any reason. */
    std::uint64_t refusedByClass[4] = {}; /*!< Refused by admission, by class of importance. */
    std::uint64_t overloadedByClass[4] = {}; /*!< Refused since more important calls fill the queue, by class. */
    std::uint64_t delegated = 0; /*!< Keyed calls that ran on the upstream of another member. */
    std::uint64_t joined = 0; /*!< Repeats that were joined to a running call or got its recorded result. */
    std::uint64_t lateAnswers = 0; /*!< Answers of the upstream to calls that had ended; dropped. */
};

/**
 * @brief The calls that other nodes, or this one, send to the upstream of this host.
 *
 * The only place that admits work to that upstream. Each call gets one answer, unless its sender cancelled it.
 */
class served_calls {
public:
    /**
     * @brief Constructs an empty table.
     * @param self Name of this node.
     * @param incarnation Incarnation of this node.
     * @param ownService Service of the upstream of this host.
     * @param seed Seed of the retry times.
     * @param ids Source of identifiers.
     * @param catalogue Catalogue in force at this node.
     * @param admission Admission to the upstream.
     * @param targets Chooses other members for keyed calls that do not fit here.
     * @param pressure Admission thresholds of services further down.
     * @param parents Calls that run on the upstream of this host.
     * @param keys Decides on keyed calls.
     */
    served_calls(node_name self, incarnation_id incarnation, service_name ownService, std::uint64_t seed,
        id_source& ids, const catalogue_state& catalogue, admission_controller& admission, router& targets,
        threshold_map& pressure, parent_calls& parents, key_service& keys);

    /**
     * @brief Takes a call.
     * @param peer Node that sent it.
     * @param request The call.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void accept(const node_name& peer, call_request request, time_point now, node_actions& actions);

    /**
     * @brief Takes the answer of a member to which a keyed call was delegated.
     * @param peer Node that answered.
     * @param answer The answer.
     * @param now Present time.
     * @param actions Receives what is to be done.
     * @return False if the answer is for no delegated call.
     */
    bool receiveDelegated(const node_name& peer, const call_answer& answer, time_point now, node_actions& actions);

    /**
     * @brief Ends a call whose sender no longer wants the answer. Keyed calls that started run on, since a repeat may
     * ask for them.
     * @param peer Sender of the call.
     * @param remoteId Identifier of the call at its sender.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void cancel(const node_name& peer, call_id remoteId, time_point now, node_actions& actions);

    /**
     * @brief Takes the complete answer of the upstream.
     * @param event The answer.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void finishDispatched(const upstream_answered& event, time_point now, node_actions& actions);

    /**
     * @brief Takes notice that a dispatched call ended without an answer.
     * @param event The call and the cause.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void failDispatched(const upstream_failed& event, time_point now, node_actions& actions);

    /**
     * @brief Sets where the upstream is and how many calls it can run.
     * @param address `host:port` of the upstream.
     * @param slots Calls at once; 0 if it takes none.
     * @param isColdStart True if the upstream has just started.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void setUpstream(
        const std::string& address, std::uint32_t slots, bool isColdStart, time_point now, node_actions& actions);

    /**
     * @brief Refuses queued calls and all later ones; running calls go on.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void stopAccepting(time_point now, node_actions& actions);

    /**
     * @brief Settles calls that were delegated to a peer whose link closed, and ends calls that the peer had sent.
     * @param event The peer and the calls that were never written.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void linkClosed(const link_closed& event, time_point now, node_actions& actions);

    /**
     * @brief Refuses queued calls that can no longer meet their deadline.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void expire(time_point now, node_actions& actions);

    /** @brief Returns the time at which `expire` has something to do. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the number of calls that have no answer yet. */
    [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }

    /** @brief Returns the counts since the start. */
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
        stage at = stage::queued;
        node_name delegate;
    };

    [[nodiscard]] bool isOwnEntry(const std::string& entry) const;
    [[nodiscard]] milliseconds windowOf(const std::string& entry) const;
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
    void complete(call_id id, completion how, const call_result& outcome, time_point now, node_actions& actions);
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
    std::unordered_map<std::string, std::vector<sender>> m_joined; /*!< Key to the senders of repeats. */
    served_counters m_counters;
};

} // namespace knapweedcroft

#endif
