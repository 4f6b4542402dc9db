#ifndef KNAPWEEDCROFT_GATEWAY_EVENTS_HPP
#define KNAPWEEDCROFT_GATEWAY_EVENTS_HPP

#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/retry_allowance.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/message.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief An opaque request came from a client or from the upstream of this host. */
struct client_request {
    request_handle handle = 0;
    std::string host; /*!< Value of `Host`. */
    std::string requestId; /*!< Identifier that the client gave the request. */
    std::optional<milliseconds> deadline; /*!< Time for which the client waits. */
    opaque_request request;
};

/** @brief The client of a request has gone. */
struct client_gone {
    request_handle handle = 0;
};

/** @brief A complete response of the upstream. */
struct upstream_response {
    opaque_response response;
    bool isNotRun = false; /*!< The upstream states that it did not run the request. */
    bool isOtherUpstream = false; /*!< The process at the address is not the upstream that was meant. */
};

/** @brief An exchange with the upstream of this host ended. */
struct exchange_ended {
    std::uint64_t id = 0;
    std::variant<upstream_response, exchange_failure> outcome;
};

/** @brief The upstream of this host announced itself. */
struct announcement_received {
    upstream_announcement announcement;
};

/** @brief The upstream of this host leaves. */
struct leave_received {
    std::string upstream;
};

/** @brief A version of the catalogue was read. */
struct catalogue_read {
    std::shared_ptr<const entry_table> table;
};

/** @brief Records of the directory were read. */
struct directory_read {
    std::vector<directory_record> records;
    std::vector<node_name> withdrawn;
    bool isComplete = false; /*!< All records of the directory have been read once. */
};

/** @brief The platform's store stopped or started answering. */
struct store_availability_changed {
    bool isAvailable = false;
};

/** @brief The link to a peer carries no answers, or does so again. */
struct link_suspected {
    node_name peer;
    bool isSuspected = true;
};

/** @brief The bound on repeats was set. */
struct retry_bound_set {
    retry_allowance_settings settings;
};

/** @brief This node is to stop; its upstream may go on. */
struct stop_requested {
    milliseconds grace; /*!< Time until the process ends. */
};

/** @brief Anything that a gateway reacts to. */
using gateway_event = std::variant<client_request, client_gone, exchange_ended, announcement_received, leave_received,
    catalogue_read, directory_read, store_availability_changed, retry_bound_set, stop_requested, link_suspected,
    link_opened, link_closed, message_received, timer_fired>;

} // namespace knapweedcroft

#endif
