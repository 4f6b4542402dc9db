#ifndef KNAPWEEDCROFT_IDEMPOTENCY_SETTINGS_HPP
#define KNAPWEEDCROFT_IDEMPOTENCY_SETTINGS_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>

namespace knapweedcroft {

/** @brief Limits and time bounds for calls with an idempotency key. */
struct idempotency_settings {
    std::size_t maxKeys = 100'000; /*!< Keys stored at once; calls with further new keys are refused. */
    std::size_t maxAnswerBytes = std::size_t { 24 } * 1024 * 1024; /*!< Total size of the stored answer bodies. */
    milliseconds skewBound { 2000 }; /*!< Assumed maximum skew between the clocks that timestamp and check keys. */
    milliseconds retryAfter { 500 }; /*!< Retry delay for calls whose result or hand-over is pending. */

    /**
     * @brief Returns the maximum by which a key's timestamp can exceed its execution time on another node's clock.
     *
     * The executing holder accepts timestamps up to one skew bound ahead of its own clock. The clocks of two lease
     * holders differ by up to two skew bounds: each is within half a bound of a common granter, transit adds up to half
     * a bound, and each clock may be set by a quarter of a bound without losing its lease.
     */
    [[nodiscard]] constexpr milliseconds timestampMargin() const noexcept { return skewBound * 3; }
};

} // namespace knapweedcroft

#endif
