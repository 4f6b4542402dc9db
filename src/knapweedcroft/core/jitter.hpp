#ifndef KNAPWEEDCROFT_CORE_JITTER_HPP
#define KNAPWEEDCROFT_CORE_JITTER_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <random>

namespace knapweedcroft {

/** @brief Randomizes delays, so that clients refused at the same time do not retry at the same time. */
class jitter {
public:
    /**
     * @brief Constructs a generator.
     * @param seed The same seed produces the same sequence.
     */
    explicit jitter(std::uint64_t seed)
        : m_engine { seed }
    {
    }

    /**
     * @brief Returns a delay drawn uniformly from 0.5 to 1.5 times the given one.
     * @return The delay, at least 1 ms.
     */
    [[nodiscard]] milliseconds spread(milliseconds base)
    {
        constexpr double minFactor = 0.5;
        constexpr double factorRange = 1.0;
        const double uniform = static_cast<double>(m_engine()) / static_cast<double>(std::mt19937_64::max());
        const milliseconds randomized = milliseconds::fromFraction(base.count() * (minFactor + factorRange * uniform));
        return randomized < milliseconds { 1 } ? milliseconds { 1 } : randomized;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace knapweedcroft

#endif
