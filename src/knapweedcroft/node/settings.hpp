#ifndef KNAPWEEDCROFT_NODE_SETTINGS_HPP
#define KNAPWEEDCROFT_NODE_SETTINGS_HPP

#include "knapweedcroft/admission/settings.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/idempotency/settings.hpp"
#include "knapweedcroft/membership/settings.hpp"
#include "knapweedcroft/pressure/settings.hpp"
#include "knapweedcroft/routing/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Settings of the decision logic of one node. */
struct node_settings {
    node_name name;
    service_name service; /*!< Service of the upstream on this host. */
    std::string data_centre;
    std::vector<std::string> seeds; /*!< `host:port` of peers to contact while the log is unavailable. */
    std::string chartsDirectory; /*!< Directory of the state charts. */
    std::uint64_t seed = 1; /*!< Base seed of all random sources. */
    admission_settings admission;
    routing_settings routing;
    pressure_settings pressure;
    membership_settings membership;
    idempotency_settings idempotency;
};

} // namespace knapweedcroft

#endif
