#ifndef KNAPWEEDCROFT_GATEWAY_SERVICE_SPLIT_HPP
#define KNAPWEEDCROFT_GATEWAY_SERVICE_SPLIT_HPP

#include "knapweedcroft/gateway/entry_table.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Distributes the requests of an entry among its services in the proportions of their weights.
 *
 * Smooth weighted round robin: after any number of requests each share differs from its weight's by less than one
 * request, which independent random choices do not give.
 */
class service_split {
public:
    /**
     * @brief Chooses the service of the next request.
     * @param entry The entry; has at least one service with a weight above zero.
     * @return The service.
     */
    [[nodiscard]] const service_name& choose(const forward_entry& entry);

    /** @brief Forgets all entries; for a new version of the catalogue. */
    void reset() { m_credits.clear(); }

private:
    std::unordered_map<std::string, std::vector<std::int64_t>> m_credits; /*!< Per entry, one for each service. */
};

} // namespace knapweedcroft

#endif
