#ifndef KNAPWEEDCROFT_MEMBERSHIP_SETTINGS_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_SETTINGS_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>

namespace knapweedcroft {

/** @brief Settings of heartbeats, leases and view retention for the members of a service. */
struct membership_settings {
    milliseconds heartbeatInterval { 500 };
    milliseconds suspicionTime { 2000 }; /*!< Time without a heartbeat after which a member is suspected. */
    milliseconds leaseTime { 3000 }; /*!< Duration of a lease grant. */
    milliseconds driftMargin { 30 }; /*!< Subtracted from a lease by its holder to allow for clock drift. */
    milliseconds skewBound { 2000 }; /*!< Assumed maximum skew between the wall clocks of lease holders. */
    milliseconds viewRetentionTime { 1'800'000 }; /*!< Time for which a replaced view is retained. */
    std::size_t maxViews = 256; /*!< Views retained per service. */
};

} // namespace knapweedcroft

#endif
