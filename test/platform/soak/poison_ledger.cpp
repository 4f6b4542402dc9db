#include "soak/poison_ledger.hpp"

#include <algorithm>

namespace knapweedcroft::platform {

std::vector<std::string> poison_ledger::violations() const
{
    if (m_crashes.size() < m_bounds.crashes)
        return {};
    const time_point due = m_crashes[m_bounds.crashes - 1] + m_bounds.contact;
    const auto late
        = std::count_if(m_arrivals.begin(), m_arrivals.end(), [due](time_point arrival) { return due < arrival; });
    if (static_cast<std::size_t>(late) <= m_bounds.retries)
        return {};
    return { "a request that had crashed " + std::to_string(m_bounds.crashes) + " upstreams reached upstreams "
        + std::to_string(late) + " times more; " + std::to_string(m_crashes.size()) + " crashed in all" };
}

} // namespace knapweedcroft::platform
