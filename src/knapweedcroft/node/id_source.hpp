#ifndef KNAPWEEDCROFT_NODE_ID_SOURCE_HPP
#define KNAPWEEDCROFT_NODE_ID_SOURCE_HPP

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>

namespace knapweedcroft {

/** @brief Generates identifiers that are unique within one incarnation of a node. */
class id_source {
public:
    /**
     * @brief Constructs a source.
     * @param incarnation Incarnation of the node, which distinguishes its action identifiers from those of earlier
     * ones.
     */
    explicit id_source(incarnation_id incarnation) noexcept
        : m_incarnation { incarnation }
    {
    }

    /** @brief Returns a new call identifier. */
    [[nodiscard]] call_id nextCall() noexcept { return call_id { ++m_lastCall }; }

    /** @brief Returns a new action identifier, uniformly distributed over the 64-bit integers. */
    [[nodiscard]] action_id nextAction() noexcept
    {
        return action_id { hash64(++m_lastAction, m_incarnation.value()) };
    }

    /** @brief Returns a new append handle. */
    [[nodiscard]] append_handle nextAppend() noexcept { return ++m_lastAppend; }

private:
    incarnation_id m_incarnation;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastAction = 0;
    append_handle m_lastAppend = 0;
};

} // namespace knapweedcroft

#endif
