#ifndef KNAPWEEDCROFT_GATEWAY_SETTINGS_HPP
#define KNAPWEEDCROFT_GATEWAY_SETTINGS_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/retry_allowance.hpp"

#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Settings of the decisions of a gateway. */
struct gateway_settings {
    node_name node;
    std::string data_centre;
    service_name service; /*!< Service of the upstream of this host. */
    std::string upstreamAddress; /*!< `host:port` of the upstream of this host. */
    std::uint64_t seed = 1;
    milliseconds upstreamSilence { 5000 }; /*!< About three missed announcements. */
    retry_allowance_settings retries;
};

} // namespace knapweedcroft

#endif
