#ifndef KNAPWEEDCROFT_GATEWAY_RECENT_COMPLETIONS_HPP
#define KNAPWEEDCROFT_GATEWAY_RECENT_COMPLETIONS_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace knapweedcroft {

/** @brief Request contents that an upstream has answered completely within the last second, by their digests. */
class recent_completions {
public:
    /** @brief Records a complete answer. */
    void record(std::uint64_t digest, time_point now);

    /** @brief Returns true if a content has been answered completely within the last second. */
    [[nodiscard]] bool contains(std::uint64_t digest, time_point now) const;

    /** @brief Returns the number of contents that are remembered. */
    [[nodiscard]] std::size_t size() const noexcept { return m_latest.size(); }

private:
    std::unordered_map<std::uint64_t, time_point> m_latest;
    std::deque<std::pair<time_point, std::uint64_t>> m_order; /*!< All completions, the earliest first. */
};

} // namespace knapweedcroft

#endif
