#ifndef KNAPWEEDCROFT_ROUTING_SETTINGS_HPP
#define KNAPWEEDCROFT_ROUTING_SETTINGS_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>

namespace knapweedcroft {

/** @brief Settings of the load balancing among the members of a service. */
struct routing_settings {
    double foreignPenalty = 1.5; /*!< Factor on the load score of members in other data centres. */
    std::uint32_t ejectionFailures = 5; /*!< Consecutive failures after which a member is ejected. */
    milliseconds firstEjection { 500 }; /*!< Duration of the first ejection; doubles with each consecutive one. */
    milliseconds longestEjection { 8000 }; /*!< Upper bound of the duration of an ejection. */
    milliseconds rampTime { 5000 }; /*!< Time over which the share of calls of a new member grows to its full size. */
};

} // namespace knapweedcroft

#endif
