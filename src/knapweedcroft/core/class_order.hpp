#ifndef KNAPWEEDCROFT_CORE_CLASS_ORDER_HPP
#define KNAPWEEDCROFT_CORE_CLASS_ORDER_HPP

#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace knapweedcroft {

/**
 * @brief Records which call classes one admission point has recently admitted and refused.
 *
 * Callers use it to prevent priority inversions: refusing a call just after admitting one of a less important class, or
 * admitting a call just after refusing one of a more important class.
 */
class class_order {
public:
    /** @brief Records that a call of a class was admitted. */
    void recordAdmitted(call_class importance, time_point now) { m_admitted.at(indexOf(importance)) = now; }

    /** @brief Records that a call of a class was refused because of overload. */
    void recordRefused(call_class importance, time_point now) { m_refused.at(indexOf(importance)) = now; }

    /** @brief Returns whether a call of a less important class was admitted within the last 100 ms. */
    [[nodiscard]] bool hasAdmittedBelow(call_class importance, time_point now) const
    {
        return isRecent(m_admitted, indexOf(importance) + 1, m_admitted.size(), now);
    }

    /** @brief Returns whether a call of a more important class was refused within the last 100 ms. */
    [[nodiscard]] bool hasRefusedAbove(call_class importance, time_point now) const
    {
        return isRecent(m_refused, 0, indexOf(importance), now);
    }

private:
    using decision_times = std::array<std::optional<time_point>, 4>;

    // Two decisions count as a priority inversion only within this time of each other.
    static constexpr milliseconds window { 100 };

    [[nodiscard]] static std::size_t indexOf(call_class importance) { return static_cast<std::size_t>(importance); }

    [[nodiscard]] static bool isRecent(
        const decision_times& decisions, std::size_t begin, std::size_t end, time_point now)
    {
        for (std::size_t index = begin; index < end; ++index) {
            if (decisions.at(index) && now - *decisions.at(index) <= window)
                return true;
        }
        return false;
    }

    decision_times m_admitted;
    decision_times m_refused;
};

} // namespace knapweedcroft

#endif
