#ifndef KNAPWEEDCROFT_GATEWAY_SETTINGS_HPP
#define KNAPWEEDCROFT_GATEWAY_SETTINGS_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/link_plan.hpp"
#include "knapweedcroft/gateway/local_retry_budget.hpp"
#include "knapweedcroft/gateway/store_read_election.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Maximum size of a body forwarded between nodes; leaves room for a header in a frame of 16 MiB. */
inline constexpr std::size_t maxForwardedBytes = std::size_t { 15 } * 1024 * 1024;

/** @brief Maximum size of a body that is forwarded without an offer. */
inline constexpr std::size_t maxUnofferedBytes = std::size_t { 64 } * 1024;

/** @brief Settings of the decision logic of a gateway. */
struct gateway_settings {
    node_name node;
    std::string data_centre;
    service_name service; /*!< Service of the upstream of this host. */
    std::string upstreamAddress; /*!< `host:port` of the upstream of this host. */
    std::uint64_t seed = 1;
    milliseconds upstreamSilence { 5000 }; /*!< Silence time-out; about three missed announcements. */
    local_retry_budget_settings retries;
    store_read_settings storeReads;
    link_plan_settings links;
    /** @brief Large bodies that other nodes may forward at the same time, in bytes; a single one always may. */
    std::size_t maxReservedBytes = std::size_t { 64 } * 1024 * 1024;
};

} // namespace knapweedcroft

#endif
