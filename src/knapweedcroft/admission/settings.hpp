#ifndef KNAPWEEDCROFT_ADMISSION_SETTINGS_HPP
#define KNAPWEEDCROFT_ADMISSION_SETTINGS_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <variant>

namespace knapweedcroft {

/** @brief Limit equal to the declared slots. */
struct fixed_limit { };

/** @brief Additive increase by one per round trip, multiplicative decrease on overload. */
struct aimd_limit {
    double decrease = 0.7; /*!< Factor applied to the limit on overload. */
};

/** @brief Increase by the inverse square root of the limit per finished call, multiplicative decrease on overload. */
struct gradient_limit {
    double smoothing = 0.2; /*!< Share by which the limit is reduced on overload. */
};

/** @brief Limit equal to the declared slots; sheds calls while the queueing delay stays above a target (CoDel). */
struct queue_delay_limit {
    milliseconds target { 5 }; /*!< Acceptable standing queueing delay. */
    milliseconds interval { 100 }; /*!< Time for which the delay may exceed the target before calls are shed. */
};

/** @brief How the concurrency limit is adjusted. */
using limit_policy = std::variant<fixed_limit, aimd_limit, gradient_limit, queue_delay_limit>;

/** @brief First in, first out. */
struct arrival_order { };

/**
 * @brief By class, then deeper calls first, then by the hash of the action.
 *
 * Refusing a deeper call wastes the work that its action has already caused.
 */
struct priority_order {
    bool isDeepFirst = true;
};

/** @brief By class, then random per call. */
struct random_order { };

/** @brief Order in which queued calls are started; they are evicted in the reverse order. */
using queue_order = std::variant<arrival_order, priority_order, random_order>;

/** @brief Settings of the admission control of one upstream. */
struct admission_settings {
    bool isEnabled = true; /*!< If false, every call starts at once; a baseline for measurements. */
    limit_policy limit = gradient_limit {};
    queue_order order = priority_order {};
    bool dropsUnreachableDeadlines = true; /*!< Refuses calls that are predicted to end after their deadline. */
    std::uint32_t initialLimit = 4; /*!< Concurrency limit after a cold start. */
    milliseconds queueBound { 100 }; /*!< Maximum predicted time to drain the queue. */
    milliseconds thresholdValidity { 1000 }; /*!< Time for which the priority of an evicted call is advertised. */
    /** @brief Time in which the threshold admits twice the share; zero for never. */
    milliseconds thresholdDoublingTime { 100 };
    milliseconds initialServiceTime { 10 }; /*!< Estimate until there is a sample. */
    milliseconds shortestRetryAfter { 100 };
    milliseconds longestRetryAfter { 2000 };
};

} // namespace knapweedcroft

#endif
