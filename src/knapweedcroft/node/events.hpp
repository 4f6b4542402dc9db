#ifndef KNAPWEEDCROFT_NODE_EVENTS_HPP
#define KNAPWEEDCROFT_NODE_EVENTS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Identifier of an open HTTP request; assigned by the process and never reused. */
using request_handle = std::uint64_t;

/** @brief Identifier of an append to the log; assigned by the node. */
using append_handle = std::uint64_t;

/** @brief A call was received over HTTP. */
struct call_arrived {
    request_handle handle = 0;
    service_name service;
    std::string operation;
    std::optional<std::string> context; /*!< Value of the context header. */
    std::optional<std::string> key; /*!< Value of `Idempotency-Key`. */
    std::optional<milliseconds> deadline; /*!< Value of `Knapweed-Deadline-Ms`. */
    std::string contentType;
    std::string body;
};

/** @brief The HTTP caller closed its connection before it was answered. */
struct caller_gone {
    request_handle handle = 0;
};

/** @brief A link to a peer was opened and the peer's hello was received. */
struct link_opened {
    hello_message hello;
};

/** @brief The last open link to a peer was closed. */
struct link_closed {
    node_name peer;
    std::vector<call_id> unwritten; /*!< Calls of which no byte was written. */
};

/**
 * @brief Calls that were sent to a peer get no answer any more, while a link to it is open.
 *
 * Other messages to the peer may be lost as well.
 */
struct calls_lost {
    node_name peer;
    std::vector<call_id> lost; /*!< Calls that the peer may have received. */
    std::vector<call_id> unwritten; /*!< Calls of which no byte was written. */
};

/** @brief A message was received from a peer. */
struct message_received {
    node_name peer;
    peer_message message;
};

/** @brief The upstream on this host answered a dispatched call; the answer is complete. */
struct upstream_answered {
    call_id id;
    int status = 0;
    bool isNotRun = false; /*!< The upstream states that it did not run the call. */
    std::string contentType;
    std::string body;
};

/** @brief A dispatched call ended without an answer. */
struct upstream_failed {
    call_id id;
    bool wasWritten = true; /*!< False if no byte of the call was written. */
    error cause;
};

/** @brief State that an upstream reports. */
enum class upstream_state : std::uint8_t { starting, serving, draining };

/** @brief The upstream on this host sent an announcement. */
struct upstream_announced {
    service_name service;
    std::string address; /*!< `host:port` of its HTTP interface. */
    std::uint32_t slots = 0; /*!< Calls that it can run concurrently. */
    std::uint32_t connections = 0; /*!< Connections that it accepts. */
    upstream_state state = upstream_state::serving;
    double load = 0.0; /*!< Reported load, 0 to 1; may be outdated or misleading. */
    std::uint64_t incarnation = 0;
};

/** @brief The upstream or an operator requested a planned stop; the request is answered when it is safe to stop. */
struct leave_requested {
    request_handle handle = 0;
};

/** @brief One record of the log. */
struct log_record {
    std::int64_t offset = 0;
    time_point wallTime; /*!< Time at which the log stored the record. */
    std::string payload; /*!< JSON text. */
};

/** @brief Records were read from a stream. */
struct records_read {
    std::string stream;
    std::int64_t first = 0; /*!< Oldest offset that the log retains. */
    std::int64_t next = 0; /*!< Offset of the next record to be appended, at the time of the read. */
    std::vector<log_record> records; /*!< In order of offset; empty if there was none. */
};

/** @brief Outcome of an append. */
enum class append_outcome : std::uint8_t {
    accepted,
    refused, /*!< The log rejected the record. */
    unknown /*!< The response was lost; the record may have been stored. */
};

/** @brief An append to the log ended. */
struct append_finished {
    append_handle handle = 0;
    append_outcome outcome = append_outcome::unknown;
};

/** @brief The log became available or unavailable. */
struct log_availability_changed {
    bool isAvailable = false;
};

/** @brief The time returned by `nextWakeup` of the node or gateway core was reached. */
struct timer_fired { };

/** @brief Event that a node handles. */
using node_event = std::variant<call_arrived, caller_gone, link_opened, link_closed, calls_lost, message_received,
    upstream_answered, upstream_failed, upstream_announced, leave_requested, records_read, append_finished,
    log_availability_changed, timer_fired>;

} // namespace knapweedcroft

#endif
