#ifndef KNAPWEEDCROFT_PRESSURE_SETTINGS_HPP
#define KNAPWEEDCROFT_PRESSURE_SETTINGS_HPP

#include "knapweedcroft/core/time.hpp"

namespace knapweedcroft {

/** @brief Settings of the early refusal of actions on behalf of overloaded downstream services. */
struct pressure_settings {
    bool isEnabled = true; /*!< If false, no action is refused early; a baseline for measurements. */
    /** @brief Time in which the share admitted by a threshold doubles; zero for never. */
    milliseconds thresholdDoublingTime { 100 };
    milliseconds longestValidity { 1000 }; /*!< Upper bound on the validity of a threshold from a peer. */
};

} // namespace knapweedcroft

#endif
