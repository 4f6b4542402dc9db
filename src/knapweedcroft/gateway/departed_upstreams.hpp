#ifndef KNAPWEEDCROFT_GATEWAY_DEPARTED_UPSTREAMS_HPP
#define KNAPWEEDCROFT_GATEWAY_DEPARTED_UPSTREAMS_HPP

#include "knapweedcroft/gateway/upstream_incarnation.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace knapweedcroft {

/**
 * @brief Upstreams that have left, of this host and of others: nothing that arrives later makes them serve again.
 *
 * Forgets the earliest ones beyond a limit. The upstreams of one host are kept in its directory record as well.
 */
class departed_upstreams {
public:
    /** @brief Inserts an upstream with all its starts up to the given one. */
    void insert(const upstream_incarnation& upstream);

    /** @brief Returns true if this start of an upstream, or a later one, has left. */
    [[nodiscard]] bool contains(const upstream_incarnation& upstream) const;

private:
    static constexpr std::size_t maxSize = 1024; // Exceeds the hosts of a fleet that is replaced at once.

    std::map<std::string, std::int64_t> m_latestStarts; /*!< By identifier. */
    std::deque<std::string> m_order; /*!< The same identifiers, the earliest first. */
};

} // namespace knapweedcroft

#endif
