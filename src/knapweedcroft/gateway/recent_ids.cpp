#include "knapweedcroft/gateway/recent_ids.hpp"

namespace knapweedcroft {

bool recent_ids::insert(const std::string& id)
{
    if (!m_ids.insert(id).second)
        return false;
    m_order.push_back(id);
    if (m_order.size() > m_maxSize) {
        m_ids.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace knapweedcroft
