#ifndef KNAPWEEDCROFT_GATEWAY_ACTIONS_HPP
#define KNAPWEEDCROFT_GATEWAY_ACTIONS_HPP

#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/leave_acknowledgements.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/store_read_election.hpp"
#include "knapweedcroft/http/message.hpp"
#include "knapweedcroft/node/actions.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Answer produced by the gateway itself instead of an upstream. */
struct local_answer {
    int status = 503; /*!< 408, 429 and 503 guarantee that the request has not run and never will. */
    std::string kind; /*!< Stable identifier of the cause, in snake_case. */
    std::string message; /*!< Error message; includes the remedy. */
    milliseconds retryAfter; /*!< Time after which the client may retry; zero if unknown. */
};

/** @brief Sends an answer to a client. */
struct answer_client {
    request_handle handle = 0;
    std::variant<opaque_response, local_answer> answer;
};

/** @brief Sends a request to the upstream of this host. */
struct start_exchange {
    std::uint64_t id = 0;
    std::string address; /*!< `host:port` of the upstream. */
    std::string upstream; /*!< Identifier of the upstream that must run the request. */
    service_name caller; /*!< Service of the host on which the request originated. */
    std::string requestId;
    milliseconds deadline; /*!< Remaining time. */
    opaque_request request;
};

/** @brief Cancels an exchange with the upstream of this host. */
struct cancel_exchange {
    std::uint64_t id = 0;
};

/** @brief Checks whether the upstream of this host accepts connections; `upstream_checked` follows. */
struct check_upstream {
    std::string address; /*!< `host:port` of the upstream. */
};

/** @brief Writes the record of this node to the directory, replacing earlier ones. */
struct publish_record {
    directory_record record;
};

/** @brief Removes the record of this node from the directory. */
struct withdraw_record { };

/** @brief Answers the upstream of this host, which has announced that it leaves. */
struct settle_leave {
    leave_verdict verdict;
};

/** @brief Sets how this node reads the store. */
struct set_store_read_mode {
    store_read_mode mode = store_read_mode::individual;
};

/** @brief Reads the catalogue and the directory from the store anew; a peer has seen a newer era of the store. */
struct reread_store {
    std::uint64_t era = 0; /*!< The newer era. */
};

/** @brief Applies limits on client connections and requests. */
struct apply_limits {
    client_limits limits;
};

/** @brief Output of a gateway, performed by the runtime. */
using gateway_action
    = std::variant<answer_client, start_exchange, cancel_exchange, check_upstream, publish_record, withdraw_record,
        settle_leave, set_store_read_mode, reread_store, apply_limits, send_to_peer, open_link, close_link, write_log>;

/** @brief Actions in the order in which they must be performed. */
using gateway_actions = std::vector<gateway_action>;

} // namespace knapweedcroft

#endif
