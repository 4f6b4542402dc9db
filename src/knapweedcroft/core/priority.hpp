#ifndef KNAPWEEDCROFT_CORE_PRIORITY_HPP
#define KNAPWEEDCROFT_CORE_PRIORITY_HPP

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace knapweedcroft {

/** @brief Importance class of a catalogue entry; a lower value is more important. */
enum class call_class : std::uint8_t { critical = 0, high = 1, normal = 2, low = 3 };

/** @brief Returns the name of a class, as written in the catalogue. */
[[nodiscard]] std::string_view toString(call_class value) noexcept;

/**
 * @brief Parses the name of a class.
 * @param name Name as written in the catalogue.
 * @return The class, or nothing if the name is unknown.
 */
[[nodiscard]] std::optional<call_class> parseCallClass(std::string_view name) noexcept;

/**
 * @brief Order in which calls are admitted under overload: by class, then by a hash of the action.
 *
 * The order is the same on every node, so that all calls of an action are admitted or refused together.
 */
class priority {
public:
    constexpr priority() noexcept = default;

    /**
     * @brief Constructs a priority from a class and a rank.
     * @param rank Rank within the class; lower is more important.
     */
    constexpr priority(call_class importance, std::uint64_t rank) noexcept
        : m_class { importance }
        , m_rank { rank }
    {
    }

    /** @brief Constructs the priority of an action; its rank is a hash of the identifier. */
    priority(call_class importance, action_id action) noexcept
        : priority { importance, hash64(action.value()) }
    {
    }

    /**
     * @brief Returns a less important priority, to relax an admission threshold.
     *
     * Multiplies the share of the priority range that the threshold admits, so that a strict threshold relaxes in small
     * steps.
     * @param factor Factor on the share; values up to 1 have no effect. The result is capped at the least important
     * priority.
     */
    [[nodiscard]] priority relaxedBy(double factor) const noexcept;

    /** @brief Returns the importance class. */
    [[nodiscard]] constexpr call_class importance() const noexcept { return m_class; }

    /** @brief Returns the rank within the class. */
    [[nodiscard]] constexpr std::uint64_t rank() const noexcept { return m_rank; }

    /** @brief Orders priorities from the most to the least important. */
    friend constexpr bool operator<(priority lhs, priority rhs) noexcept
    {
        return lhs.m_class != rhs.m_class ? lhs.m_class < rhs.m_class : lhs.m_rank < rhs.m_rank;
    }

    friend constexpr bool operator==(priority lhs, priority rhs) noexcept
    {
        return lhs.m_class == rhs.m_class && lhs.m_rank == rhs.m_rank;
    }

    friend constexpr bool operator!=(priority lhs, priority rhs) noexcept { return !(lhs == rhs); }

private:
    call_class m_class = call_class::low;
    std::uint64_t m_rank = 0;
};

} // namespace knapweedcroft

#endif
