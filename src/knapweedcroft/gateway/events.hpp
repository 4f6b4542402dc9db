#ifndef KNAPWEEDCROFT_GATEWAY_EVENTS_HPP
#define KNAPWEEDCROFT_GATEWAY_EVENTS_HPP

#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/local_retry_budget.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
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

/** @brief An opaque request was received from a client or from the upstream of this host. */
struct client_request {
    request_handle handle = 0;
    std::string host; /*!< Value of the `Host` header. */
    std::string requestId; /*!< Identifier that the client assigned. */
    std::optional<milliseconds> deadline; /*!< Time for which the client will wait. */
    opaque_request request;
};

/** @brief The client of a request disconnected. */
struct client_disconnected {
    request_handle handle = 0;
};

/** @brief What an upstream says of itself in an answer. */
struct upstream_notices {
    /** @brief Requests per second that it takes from all nodes together; nothing if it names no limit. */
    std::optional<double> rateLimit;
    bool hasInvalidRateLimit = false; /*!< It names a limit that is no decimal number; the one in force stays. */
    bool isLeaving = false; /*!< It accepts no new requests. */

    friend bool operator==(const upstream_notices& lhs, const upstream_notices& rhs)
    {
        return lhs.rateLimit == rhs.rateLimit && lhs.hasInvalidRateLimit == rhs.hasInvalidRateLimit
            && lhs.isLeaving == rhs.isLeaving;
    }
};

/** @brief A complete response from the upstream. */
struct upstream_response {
    opaque_response response;
    bool isNotRun = false; /*!< The upstream reports that it did not run the request. */
    bool isMisdirected = false; /*!< The process at the address is not the expected upstream. */
    upstream_notices notices {};
    bool isUnverified = false; /*!< A success without the proof that the upstream gave it. */
};

/** @brief An exchange with the upstream of this host ended. */
struct exchange_ended {
    std::uint64_t id = 0;
    std::variant<upstream_response, exchange_failure> outcome;
};

/** @brief A check of whether the upstream of this host accepts connections has ended. */
struct upstream_checked {
    bool isRefused = false; /*!< No process listens at its address. */
};

/** @brief The upstream of this host announced its state. */
struct announcement_received {
    upstream_announcement announcement;
};

/** @brief The upstream of this host is leaving and accepts no new requests. */
struct leave_received {
    std::string upstream;
};

/** @brief The store holds the latest record of this node. */
struct record_stored { };

/** @brief A version of the catalogue was read from the store. */
struct catalogue_read {
    std::shared_ptr<const entry_table> table;
};

/** @brief Records of the directory were read from the store. */
struct directory_read {
    std::vector<directory_record> records;
    std::vector<node_name> withdrawn;
    bool isComplete = false; /*!< The whole directory has been read at least once. */
    std::int64_t offset = -1; /*!< Offset up to which the directory is known now; -1 before a snapshot is complete. */
};

/** @brief The store answered a read of the catalogue: all changes acknowledged before have been read. */
struct catalogue_confirmed { };

/** @brief The store came back from an older copy: what was written since is gone, and offsets are given out again. */
struct store_era_changed {
    std::uint64_t era = 0; /*!< Increases with each copy. */
};

/** @brief The platform's store became available or unavailable. */
struct store_availability_changed {
    bool isAvailable = false;
};

/** @brief A peer stopped answering on its link, or answers again. */
struct link_suspected {
    node_name peer;
    bool isSuspected = true;
};

/** @brief The limits on retries changed. */
struct retry_settings_changed {
    local_retry_budget_settings settings;
};

/** @brief This node has to stop; its upstream may keep running. */
struct stop_requested {
    milliseconds grace; /*!< Time until unfinished requests are given up. */
};

/** @brief The process ends soon: nothing is started any more, and the given requests are answered at once. */
struct requests_given_up {
    std::vector<request_handle> handles;
};

/** @brief Input of a gateway. */
using gateway_event = std::variant<client_request, client_disconnected, exchange_ended, upstream_checked,
    announcement_received, leave_received, record_stored, catalogue_read, directory_read, catalogue_confirmed,
    store_era_changed, store_availability_changed, retry_settings_changed, stop_requested, requests_given_up,
    link_suspected, link_opened, link_closed, calls_lost, message_received, timer_fired>;

} // namespace knapweedcroft

#endif
