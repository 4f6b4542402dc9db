#ifndef KNAPWEEDCROFT_NODE_ACTIONS_HPP
#define KNAPWEEDCROFT_NODE_ACTIONS_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/wire/context.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Send the answer to an HTTP caller. */
struct answer_caller {
    request_handle handle = 0;
    action_id action;
    call_result outcome;
};

/**
 * @brief Send a message on the link to a peer.
 *
 * Without an open link the message is discarded, and `link_closed` reports the calls that were not sent.
 */
struct send_to_peer {
    node_name peer;
    peer_message message;
};

/** @brief Open a link to a peer unless one is open or being opened. */
struct open_link {
    node_name peer; /*!< Empty if only the address is known. */
    std::string address; /*!< `host:port`. */
};

/** @brief Open a second link to a peer and close the current one, on which the peer no longer responds. */
struct replace_link {
    node_name peer;
    std::string address;
};

/** @brief Close the link to a peer. */
struct close_link {
    node_name peer;
};

/** @brief Send a call to the upstream on this host. */
struct dispatch_call {
    call_id id;
    std::string address; /*!< `host:port` of the upstream. */
    std::string operation;
    call_context context;
    time_point deadline; /*!< Monotonic time at which work on the call and the request must end. */
    std::optional<std::string> key;
    std::string contentType;
    std::string body;
};

/** @brief Cancel a call at the upstream on this host, and close its connection. */
struct cancel_dispatch {
    call_id id;
    std::string address;
};

/** @brief Append a record to a stream of the log. */
struct append_record {
    append_handle handle = 0;
    std::string stream;
    std::string payload; /*!< JSON text. */
};

/** @brief Answer a request to leave: the upstream may stop. */
struct answer_leave {
    request_handle handle = 0;
};

/**
 * @brief Replace this node by one with a new incarnation, in the same process.
 *
 * An incarnation can join only once, so a node that left the view or was evicted rejoins with a new incarnation. No
 * call is in flight when this is requested. Links are closed, and the streams of the log are read from the start.
 */
struct renew_incarnation { };

/** @brief Severity of a log line. */
enum class log_level : std::uint8_t { debug, info, warning, error };

/** @brief Write a log line. */
struct write_log {
    log_level level = log_level::info;
    std::string event; /*!< Stable name in snake_case. */
    std::vector<std::pair<std::string, std::string>> fields;
};

/** @brief Action that a node requests from its process. */
using node_action = std::variant<answer_caller, send_to_peer, open_link, replace_link, close_link, dispatch_call,
    cancel_dispatch, append_record, answer_leave, renew_incarnation, write_log>;

/** @brief Actions in the order in which they are to be performed. */
using node_actions = std::vector<node_action>;

} // namespace knapweedcroft

#endif
