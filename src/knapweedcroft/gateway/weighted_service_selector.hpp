#ifndef KNAPWEEDCROFT_GATEWAY_WEIGHTED_SERVICE_SELECTOR_HPP
#define KNAPWEEDCROFT_GATEWAY_WEIGHTED_SERVICE_SELECTOR_HPP

#include "knapweedcroft/gateway/entry_table.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Distributes the requests of an entry among its services in proportion to their weights.
 *
 * Uses smooth weighted round robin: after any number of requests, the count of each service differs from its weighted
 * share by less than one request. Independent random choices do not guarantee this.
 */
class weighted_service_selector {
public:
    /**
     * @brief Selects the service of the next request.
     * @param entry Entry; must have at least one service with a weight above zero.
     */
    [[nodiscard]] const service_name& choose(const forward_entry& entry);

    /** @brief Resets all entries, for a new version of the catalogue. */
    void reset() { m_credits.clear(); }

private:
    std::unordered_map<std::string, std::vector<std::int64_t>> m_credits; /*!< Per entry and service. */
};

} // namespace knapweedcroft

#endif
