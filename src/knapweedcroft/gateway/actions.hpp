#ifndef KNAPWEEDCROFT_GATEWAY_ACTIONS_HPP
#define KNAPWEEDCROFT_GATEWAY_ACTIONS_HPP

#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/http/message.hpp"
#include "knapweedcroft/node/actions.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Answer of the gateway itself, in place of one from an upstream. */
struct own_answer {
    int status = 503; /*!< 408, 429 and 503 say that the request did not run and never will. */
    std::string kind; /*!< Stable name of the cause, in snake_case. */
    std::string message; /*!< Names the remedy. */
    milliseconds retryAfter; /*!< When the client may come back; zero if no time can be told. */
};

/** @brief Answer a client. */
struct answer_client {
    request_handle handle = 0;
    std::variant<opaque_response, own_answer> answer;
};

/** @brief Send a request to the upstream of this host. */
struct start_exchange {
    std::uint64_t id = 0;
    std::string address; /*!< `host:port` of the upstream. */
    std::string upstream; /*!< Identifier of the upstream that is to run the request. */
    service_name caller; /*!< Service of the host on which the request began. */
    std::string requestId;
    milliseconds deadline; /*!< Time remaining. */
    opaque_request request;
};

/** @brief Give up a request to the upstream of this host. */
struct cancel_exchange {
    std::uint64_t id = 0;
};

/** @brief Write the record of this node to the directory; the newest record replaces earlier ones. */
struct publish_record {
    directory_record record;
};

/** @brief Remove the record of this node from the directory. */
struct withdraw_record { };

/** @brief Use these bounds on what clients may send. */
struct apply_limits {
    client_limits limits;
};

/** @brief Anything that a gateway asks its program to do. */
using gateway_action = std::variant<answer_client, start_exchange, cancel_exchange, publish_record, withdraw_record,
    apply_limits, send_to_peer, open_link, close_link, write_log>;

/** @brief Actions in the order in which they are to be done. */
using gateway_actions = std::vector<gateway_action>;

} // namespace knapweedcroft

#endif
