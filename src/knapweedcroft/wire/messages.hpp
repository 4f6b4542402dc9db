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
};

/** @brief What the receiver of a call is to do about its idempotency key. */
enum class keyed_role : std::uint8_t {
    none, /*!< The call has no key. */
    holder, /*!< The receiver holds the key and decides whether the call runs. */
    delegate /*!< The holder has decided; the receiver only runs the call. */
};

/** @brief Asks the node beside an upstream to run a call. */
struct call_request {
    call_id id; /*!< Unique at the sending incarnation. */
    action_id action;
    std::string entry; /*!< Name of the catalogue entry. */
    call_class importance = call_class::low;
    milliseconds deadline; /*!< Time remaining. */
    std::uint32_t depth = 0;
    std::uint32_t budget = 0; /*!< Extra attempts lent to this call. */
    std::optional<std::string> key;
    keyed_role role = keyed_role::none;
    std::string contentType;
    std::string body;
};

/** @brief Admission threshold of a service, as seen by the sender. */
struct service_threshold {
    service_name service;
    priority threshold; /*!< Calls that are less important are refused there. */
    milliseconds validity; /*!< Time for which the threshold may be used, from receipt. */

    friend bool operator==(const service_threshold& lhs, const service_threshold& rhs)
    {
        return lhs.service == rhs.service && lhs.threshold == rhs.threshold && lhs.validity == rhs.validity;
    }
};

/** @brief Final answer to a call. */
struct call_answer {
    call_id id; /*!< Identifier of the call at its sender. */
    call_result outcome;
    std::uint32_t budgetLeft = 0; /*!< Unspent extra attempts, returned to the caller. */
    milliseconds queueTime; /*!< Time for which a new call would wait at the sender. */
    std::optional<priority> threshold; /*!< Admission threshold of the sender's own upstream. */
    milliseconds thresholdValidity; /*!< Time for which the threshold may be used, from receipt. */
    std::vector<service_threshold> thresholds; /*!< Thresholds of services further down. */
    std::vector<service_name> touched; /*!< Services that this call reached, itself included. */
};

/** @brief Asks the receiver to stop work on a call; the answer is no longer wanted. */
struct cancel_message {
    call_id id;
};

/** @brief Checks that a link carries bytes. */
struct ping_message {
    std::uint64_t sequence = 0;
};

/** @brief Answers a ping. */
struct pong_message {
    std::uint64_t sequence = 0;
};

/** @brief Whether a node takes new work. */
enum class node_state : std::uint8_t { serving, draining, gone };

/** @brief Lease that a member grants to another, for the exclusive use of its keys. */
struct lease_grant {
    incarnation_id incarnation; /*!< Receiver's incarnation, as the sender knows it. */
    std::uint64_t echoSequence
        = 0; /*!< Newest heartbeat that the sender has had from the receiver; the lease runs from when that was sent. */
    milliseconds duration;
};

/** @brief Sent every heartbeat interval between the members of a service. */
struct heartbeat_message {
    std::uint64_t sequence = 0;
    time_point wallTime; /*!< Sender's wall clock. */
    incarnation_id incarnation; /*!< Sender's own incarnation. */
    std::optional<lease_grant> grant;
    std::vector<node_name> suspects; /*!< Members that the sender takes for dead and grants no lease. */
    std::int64_t viewOffset = -1;
    std::int64_t catalogueOffset = -1;
    node_state state = node_state::serving;
};

/** @brief Tells peers at once that the sender changed its state. */
struct state_change_message {
    node_state state = node_state::serving;
};

/** @brief State of one keyed call, as handed to a new holder. */
struct key_record {
    std::string key;
    std::string entry;
    std::uint64_t bodyHash = 0;
    milliseconds remainingWindow; /*!< Time for which the record must still be kept. */
    bool isRunning = false; /*!< The result follows in a later hand-over. */
    call_result outcome; /*!< Meaningful unless running. */
};

/** @brief Hands the keys that the sender held before a view to their holder in that view. */
struct hand_over_message {
    std::int64_t viewOffset = -1; /*!< Offset of the view that moved the keys. */
    bool isComplete = false; /*!< False for a later result of a call that was running. */
    time_point completeSince; /*!< Wall time; the sender knows every key issued after it. */
    std::vector<key_record> records;
};

/** @brief Acknowledges a complete hand-over. */
struct hand_over_ack_message {
    std::int64_t viewOffset = -1;
};

/** @brief Asks a peer for its state, to start while the log is unavailable. */
struct catch_up_request_message {
    std::int64_t catalogueOffset = -1;
    std::int64_t membershipOffset = -1;
};

/** @brief Copy of the sender's state, as JSON snapshots in the format of the log. */
struct catch_up_message {
    std::string catalogue;
    std::string membership;
};

/** @brief Asks the node beside an upstream to run an opaque request. */
struct forward_request {
    call_id id; /*!< Unique at the sending incarnation. */
    service_name service; /*!< Service that must run the request. */
    service_name caller; /*!< Service of the host on which the request began. */
    std::string entry; /*!< Name of the catalogue entry. */
    std::string requestId; /*!< Identifier that the client gave the request. */
    std::uint32_t rank = 0; /*!< Importance; zero is the highest. */
    bool hasAlternative = false; /*!< The sender can choose another upstream if this one refuses. */
    milliseconds deadline; /*!< Time remaining until the answer is no longer awaited. */
    milliseconds target; /*!< Time remaining until the answer is late; negative if it is. */
    opaque_request request;
};

/** @brief Load of an upstream, as its node sees it. */
struct upstream_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    milliseconds serviceTime; /*!< Mean time for which a request occupies a slot. */

    friend bool operator==(const upstream_load& lhs, const upstream_load& rhs)
    {
        return lhs.running == rhs.running && lhs.queued == rhs.queued && lhs.slots == rhs.slots
            && lhs.serviceTime == rhs.serviceTime;
    }
};

/** @brief The request did not run; another upstream may be asked. */
struct forward_refusal {
    refusal_reason reason = refusal_reason::overloaded;
    milliseconds retryAfter; /*!< When room is expected. */
    bool reachedUpstream = false; /*!< The upstream itself refused it. */
    bool isFinal = false; /*!< No other upstream is expected to have room either. */
};

/** @brief The request was sent to the upstream and got no whole answer; it may have run. */
struct forward_failure {
    std::string message;
};

/** @brief How an opaque request ended at the node beside the upstream. */
using forward_outcome = std::variant<opaque_response, forward_refusal, forward_failure>;

/** @brief Final answer to an opaque request. */
struct forward_answer {
    call_id id; /*!< Identifier of the request at its sender. */
    forward_outcome outcome;
    upstream_load load;
    bool isCalledByUpstreamsOnly = false; /*!< The entry of the request is called by upstreams only. */
    /** @brief Share of new work for which the upstream and the services that it calls have room. */
    double admissionRatio = 1.0;
    milliseconds upstreamTime; /*!< Time for which the upstream worked on the request. */
};

/** @brief Tells a peer which upstream the sender stands beside; sent on a new link and on each change. */
struct upstream_status_message {
    std::string upstream; /*!< Identifier of the upstream; empty if there is none. */
    std::int64_t startedAt = 0; /*!< Unix time in ms at which the upstream started. */
    bool isServing = false; /*!< Takes new requests. */
    milliseconds remainingWarmUp; /*!< Time for which the upstream stays slow after its start. */
    upstream_load load;
    std::int64_t catalogueVersion = -1; /*!< Version of the catalogue in force at the sender. */
};

/** @brief Any message between two nodes. */
using peer_message = std::variant<hello_message, call_request, call_answer, cancel_message, ping_message, pong_message,
    heartbeat_message, state_change_message, hand_over_message, hand_over_ack_message, catch_up_request_message,
    catch_up_message, forward_request, forward_answer, upstream_status_message>;

/**
 * @brief Returns the call that a message asks the receiver to run.
 * @param message The message.
 * @return Identifier of the call, or nothing if the message asks for none.
 */
[[nodiscard]] std::optional<call_id> requestedCall(const peer_message& message);

/**
 * @brief Returns the call that a message ends for its receiver.
 * @param message The message.
 * @return Identifier of the call, or nothing if the message answers none.
 */
[[nodiscard]] std::optional<call_id> answeredCall(const peer_message& message);

} // namespace knapweedcroft

#endif
