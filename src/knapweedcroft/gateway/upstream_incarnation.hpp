#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_INCARNATION_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_INCARNATION_HPP

#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Identifies one run of an upstream process. */
struct upstream_incarnation {
    std::string id;
    std::int64_t startedAt = 0; /*!< Unix time in ms; zero if the upstream does not report it. */

    friend bool operator==(const upstream_incarnation& lhs, const upstream_incarnation& rhs)
    {
        return lhs.id == rhs.id && lhs.startedAt == rhs.startedAt;
    }
    friend bool operator!=(const upstream_incarnation& lhs, const upstream_incarnation& rhs) { return !(lhs == rhs); }
};

} // namespace knapweedcroft

#endif
