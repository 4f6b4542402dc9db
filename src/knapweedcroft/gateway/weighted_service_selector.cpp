#include "knapweedcroft/gateway/weighted_service_selector.hpp"

namespace knapweedcroft {

const service_name& weighted_service_selector::choose(const forward_entry& entry)
{
    if (entry.services.size() == 1)
        return entry.services.front().service;
    std::vector<std::int64_t>& credits = m_credits[entry.name];
    credits.resize(entry.services.size());
    std::size_t chosen = 0;
    std::int64_t total = 0;
    for (std::size_t position = 0; position < entry.services.size(); ++position) {
        credits[position] += entry.services[position].weight;
        total += entry.services[position].weight;
        if (credits[position] > credits[chosen])
            chosen = position;
    }
    credits[chosen] -= total;
    return entry.services[chosen].service;
}

} // namespace knapweedcroft
