#ifndef KNAPWEEDCROFT_LOAD_PERCENTILES_HPP
#define KNAPWEEDCROFT_LOAD_PERCENTILES_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <vector>

namespace knapweedcroft {

/** @brief Exact percentiles of a set of durations. */
class percentiles {
public:
    /** @brief Sorts the samples. */
    explicit percentiles(std::vector<milliseconds> samples);

    /**
     * @brief Returns the smallest sample that is not below the given share of all samples.
     * @param share From 0 to 1; 1 gives the maximum.
     * @return The duration; zero if there are no samples.
     */
    [[nodiscard]] milliseconds at(double share) const noexcept;

    /** @brief Returns the number of samples. */
    [[nodiscard]] std::size_t size() const noexcept { return m_sorted.size(); }

private:
    std::vector<milliseconds> m_sorted;
};

} // namespace knapweedcroft

#endif
