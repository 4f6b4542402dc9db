#ifndef KNAPWEEDCROFT_WIRE_MESSAGES_HPP
#define KNAPWEEDCROFT_WIRE_MESSAGES_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief First message on a link, in both directions. */
struct hello_message {
    node_name node;
    incarnation_id incarnation;
    service_name service;
    std::string data_centre;
    std::string peerAddress; /*!< `host:port` on which the sender accepts links. */
    std::int64_t viewOffset = -1; /*!< Next offset of the membership stream that the sender will read. */
    std::int64_t catalogueOffset = -1; /*!< Next offset of the catalogue stream that the sender will read. */
    bool grantsAnswers = false; /*!< Large answers are offered to the sender, which grants them. */
};

/** @brief Role of the receiver of a call with regard to its idempotency key. */
enum class keyed_role : std::uint8_t {
    none, /*!< The call has no key. */
    holder, /*!< The receiver owns the key and decides whether the call runs. */
    delegate /*!< The holder has decided that the call runs; the receiver only runs it. */
};

/** @brief Requests the node of an upstream to run a call. */
struct call_request {
    call_id id; /*!< Unique within the sender's incarnation. */
    action_id action;
    std::string entry; /*!< Name of the catalogue entry. */
    call_class importance = call_class::low;
    milliseconds deadline; /*!< Time remaining. */
    std::uint32_t depth = 0;
    std::uint32_t budget = 0; /*!< Retries reserved for this call from the caller's retry budget. */
    std::optional<std::string> key;
    keyed_role role = keyed_role::none;
    std::string contentType;
    std::string body;
};

/** @brief Admission threshold of a service, as known to the sender. */
struct service_threshold {
    service_name service;
    priority threshold; /*!< The service refuses less important calls. */
    milliseconds validity; /*!< Time from receipt for which the threshold may be used. */

    friend bool operator==(const service_threshold& lhs, const service_threshold& rhs)
    {
        return lhs.service == rhs.service && lhs.threshold == rhs.threshold && lhs.validity == rhs.validity;
    }
};

/** @brief Final answer to a call. */
struct call_answer {
    call_id id; /*!< Identifier of the call at its sender. */
    call_result outcome;
    std::uint32_t budgetLeft = 0; /*!< Unused retries, returned to the caller's retry budget. */
    milliseconds queueTime; /*!< Expected queueing time of a new call at the sender. */
    std::optional<priority> threshold; /*!< Admission threshold of the sender's own upstream. */
    milliseconds thresholdValidity; /*!< Time from receipt for which the threshold may be used. */
    std::vector<service_threshold> thresholds; /*!< Thresholds of services further downstream. */
    std::vector<service_name> touched; /*!< Services that this call reached, including the one that answers. */
};

/** @brief Requests the receiver to cancel a call; its answer is no longer awaited. */
struct cancel_message {
    call_id id;
};

/** @brief Checks that a link is alive. */
struct ping_message {
    std::uint64_t sequence = 0;
};

/** @brief Answers a ping. */
struct pong_message {
    std::uint64_t sequence = 0;
};

/** @brief State of a node; only a serving node accepts new work. */
enum class node_state : std::uint8_t { serving, draining, gone };

/** @brief Lease that a member grants to another member for the exclusive use of its keys. */
struct lease_grant {
    incarnation_id incarnation; /*!< Receiver's incarnation, as the sender knows it. */
    std::uint64_t echoSequence = 0; /*!< Latest heartbeat received from the receiver; its sending starts the lease. */
    milliseconds duration;
};

/** @brief Sent every heartbeat interval between the members of a service. */
struct heartbeat_message {
    std::uint64_t sequence = 0;
    time_point wallTime; /*!< Sender's wall clock. */
    incarnation_id incarnation; /*!< Sender's own incarnation. */
    std::optional<lease_grant> grant;
    std::vector<node_name> suspects; /*!< Members that the sender suspects of having failed; it grants them no lease. */
    std::int64_t viewOffset = -1;
    std::int64_t catalogueOffset = -1;
    node_state state = node_state::serving;
};

/** @brief Notifies peers of a state change of the sender without waiting for the next heartbeat. */
struct state_change_message {
    node_state state = node_state::serving;
};

/** @brief State of a keyed call, transferred to the new holder of its key. */
struct key_record {
    std::string key;
    std::string entry;
    std::uint64_t bodyHash = 0;
    milliseconds remainingWindow; /*!< Remaining retention time of the record. */
    bool isRunning = false; /*!< The call is still running; its result follows in a later hand-over. */
    call_result outcome; /*!< Valid only if the call is not running. */
};

/** @brief Transfers keys that the sender held before a membership view to their holder in that view. */
struct hand_over_message {
    std::int64_t viewOffset = -1; /*!< Offset of the view that moved the keys. */
    bool isComplete = false; /*!< False for a later result of a call that was running. */
    time_point completeSince; /*!< Wall time; the sender has a record of every key issued after it. */
    std::vector<key_record> records;
};

/** @brief Acknowledges a complete hand-over. */
struct hand_over_ack_message {
    std::int64_t viewOffset = -1;
};

/** @brief Requests the state of a peer, so that a node can start while the log is unavailable. */
struct catch_up_request_message {
    std::int64_t catalogueOffset = -1;
    std::int64_t membershipOffset = -1;
};

/** @brief Copy of the sender's state, as JSON in the format of the log's records; holds only what the receiver lacks.
 */
struct catch_up_message {
    std::string catalogue; /*!< Empty if the receiver has the latest one. */
    std::string membership; /*!< Empty if it has not changed. */
    std::vector<node_name> withdrawn {}; /*!< Nodes whose records were removed. */
    std::uint64_t storeEra = 0; /*!< Era of the store from which the sender read its state. */
    std::int64_t membershipFrom = -1; /*!< Offset from which `membership` holds all records; -1 if it holds all. */
    std::int64_t membershipOffset = -1; /*!< Offset up to which the sender knows the membership; -1 if unknown. */
};

/** @brief Tells the peers of a data centre that the store has answered the sender just now. */
struct store_progress_message {
    std::uint64_t storeEra = 0;
    std::int64_t catalogueVersion = -1; /*!< Latest version in the store. */
    std::int64_t membershipOffset = -1; /*!< Offset up to which the sender has read the membership. */
};

/** @brief Requests the node of an upstream to run an opaque request. */
struct forward_request {
    call_id id; /*!< Unique within the sender's incarnation. */
    service_name service; /*!< Service that must run the request. */
    service_name caller; /*!< Service of the host on which the request originated. */
    std::string entry; /*!< Name of the catalogue entry. */
    std::string requestId; /*!< Request identifier assigned by the client. */
    std::uint32_t rank = 0; /*!< Priority; zero is the highest. */
    bool hasAlternative = false; /*!< The sender can choose another upstream if this one refuses. */
    bool isRetry = false; /*!< The request, or one that caused it, has already reached an upstream. */
    milliseconds deadline; /*!< Time remaining until the answer is no longer awaited. */
    milliseconds target; /*!< Time remaining until the latency target; negative if it has passed. */
    opaque_request request;
};

/** @brief Asks the node of an upstream for room for a request with a large body; a refusal answers it otherwise. */
struct forward_offer {
    call_id id; /*!< Identifier of the `forward_request` that follows. */
    service_name service; /*!< Service that must run the request. */
    std::uint64_t bodyBytes = 0;
};

/** @brief Allows the receiver to send the request that it has offered. */
struct forward_grant {
    call_id id; /*!< Identifier of the offer. */
};

/** @brief Load of an upstream, as measured by its node. */
struct upstream_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    milliseconds serviceTime; /*!< Mean time for which a request occupies a slot. */
    /** @brief Requests per second that the upstream takes from all nodes together; nothing if it names no limit. */
    std::optional<double> rate {};
    milliseconds startDelay {}; /*!< Time until the rate allows the next request to start. */

    friend bool operator==(const upstream_load& lhs, const upstream_load& rhs)
    {
        return lhs.running == rhs.running && lhs.queued == rhs.queued && lhs.slots == rhs.slots
            && lhs.serviceTime == rhs.serviceTime && lhs.rate == rhs.rate && lhs.startDelay == rhs.startDelay;
    }
};

/** @brief The request was not executed; another upstream may be tried. */
struct forward_refusal {
    refusal_reason reason = refusal_reason::overloaded;
    milliseconds retryAfter; /*!< Time after which capacity is expected. */
    bool reachedUpstream = false; /*!< The request was refused by the upstream itself, not by its node. */
    bool isFinal = false; /*!< No other upstream is expected to have capacity either. */
};

/** @brief The request was sent to the upstream but no complete response arrived; it may have been executed. */
struct forward_failure {
    std::string message;
};

/** @brief Outcome of an opaque request at the node of the upstream. */
using forward_outcome = std::variant<opaque_response, forward_refusal, forward_failure>;

/** @brief Final answer to an opaque request. */
struct forward_answer {
    call_id id; /*!< Identifier of the request at its sender. */
    forward_outcome outcome;
    upstream_load load; /*!< Without slots if the load is unknown. */
    bool isCalledByUpstreamsOnly = false; /*!< The entry of the request is called by upstreams only. */
    /** @brief Admission ratio, 0 to 1: share of new work that can be admitted here and by called services. */
    double admissionRatio = 1.0;
    milliseconds upstreamTime; /*!< Time that the upstream spent on the request. */
    std::string leavingUpstream {}; /*!< Identifier of the upstream if its answer says that it leaves; else empty. */
};

/** @brief Asks the node of a caller for room for a large answer. */
struct forward_answer_offer {
    call_id id; /*!< Identifier of the `forward_answer` that follows. */
    std::uint64_t bytes = 0;
};

/** @brief Allows the receiver to send the answer that it has offered. */
struct forward_answer_grant {
    call_id id; /*!< Identifier of the offer. */
};

/** @brief Announces the sender's upstream to a peer; sent on each new link and on each change. */
struct upstream_status_message {
    std::string upstream; /*!< Identifier of the upstream; empty if there is none. */
    std::int64_t startedAt = 0; /*!< Unix time in ms at which the upstream started. */
    bool isServing = false; /*!< The upstream accepts new requests. */
    milliseconds remainingWarmUp; /*!< Remaining warm-up time, during which the upstream is slower than usual. */
    upstream_load load;
    std::int64_t catalogueVersion = -1; /*!< Version of the catalogue in force at the sender. */
    bool isLeaving = false; /*!< The upstream has announced that it leaves; the receiver confirms that it knows this. */
};

/** @brief Time for which a request of an entry occupies an upstream. */
struct entry_service_time {
    std::string entry;
    milliseconds time;

    friend bool operator==(const entry_service_time& lhs, const entry_service_time& rhs)
    {
        return lhs.entry == rhs.entry && lhs.time == rhs.time;
    }
};

/** @brief Service times of the sender's upstream that have changed considerably. */
struct service_times_message {
    std::vector<entry_service_time> times;
};

/** @brief Number of requests of an entry that came from hosts of one service. */
struct entry_caller_count {
    std::string entry;
    service_name caller;
    std::uint32_t count = 0;

    friend bool operator==(const entry_caller_count& lhs, const entry_caller_count& rhs)
    {
        return lhs.entry == rhs.entry && lhs.caller == rhs.caller && lhs.count == rhs.count;
    }
};

/** @brief Requests that the sender has received, by origin; sent to nodes of the same service. */
struct entry_callers_message {
    std::vector<entry_caller_count> counts;
};

/**
 * @brief Reports to a node what the sender knows about its upstream: what the upstream has said in answers, and that it
 * has announced to leave.
 *
 * Sent on a new link, because a node that has started again does not know it, and to confirm a status that says the
 * upstream leaves.
 */
struct reported_notices_message {
    std::string upstream; /*!< Identifier of the upstream. */
    std::optional<double> rate; /*!< Requests per second; nothing if it named no limit. */
    bool isLeaving = false;
    std::int64_t startedAt = 0; /*!< Unix time in ms at which the upstream started; zero if unknown. */
};

/** @brief Reports that the sender's upstream crashed. */
struct crash_report_message {
    std::string upstream; /*!< Identifier of the upstream. */
    std::vector<std::uint64_t> digests; /*!< Contents of the requests that it was running. */
};

/** @brief Request content that was running when upstreams crashed. */
struct quarantine_entry {
    std::uint64_t digest = 0;
    std::uint32_t crashes = 0; /*!< Number of crashes; zero if the content was cleared by a complete answer. */
    milliseconds holdLeft; /*!< Time for which it must not run. */

    friend bool operator==(const quarantine_entry& lhs, const quarantine_entry& rhs)
    {
        return lhs.digest == rhs.digest && lhs.crashes == rhs.crashes && lhs.holdLeft == rhs.holdLeft;
    }
};

/** @brief Suspected request contents; sent on a new link, and when a content is cleared. */
struct quarantine_message {
    std::vector<quarantine_entry> entries;
};

/** @brief Message between two nodes. */
using peer_message = std::variant<hello_message, call_request, call_answer, cancel_message, ping_message, pong_message,
    heartbeat_message, state_change_message, hand_over_message, hand_over_ack_message, catch_up_request_message,
    catch_up_message, store_progress_message, forward_request, forward_answer, upstream_status_message,
    entry_callers_message, service_times_message, reported_notices_message, crash_report_message, quarantine_message,
    forward_offer, forward_grant, forward_answer_offer, forward_answer_grant>;

/**
 * @brief Returns the call that a message requests the receiver to run.
 * @return Identifier of the call, or nothing if the message requests none.
 */
[[nodiscard]] std::optional<call_id> requestedCall(const peer_message& message);

/**
 * @brief Returns the call that a message completes, or allows to be sent, for its receiver.
 * @return Identifier of the call, or nothing if the message answers none.
 */
[[nodiscard]] std::optional<call_id> answeredCall(const peer_message& message);

} // namespace knapweedcroft

#endif
