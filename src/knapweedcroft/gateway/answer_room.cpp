#include "knapweedcroft/gateway/answer_room.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

// Time after which an answer may be granted beyond the limit.
static constexpr milliseconds maxPatience { 500 };

} // namespace internal

void answer_room::offer(const node_name& node, call_id call, std::size_t bytes, time_point now)
{
    remove(node, call);
    m_waiting.push_back({ { node, call }, bytes, now });
}

void answer_room::remove(const node_name& node, call_id call)
{
    if (m_granted.empty() && m_waiting.empty())
        return;
    const answer_key key { node, call };
    const auto granted = m_granted.find(key);
    if (granted != m_granted.end()) {
        m_grantedBytes -= granted->second;
        m_granted.erase(granted);
        return;
    }
    const auto waiting = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&key](const waiting_offer& offered) { return offered.key == key; });
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
}

void answer_room::remove(const node_name& node)
{
    for (auto position = m_granted.lower_bound({ node, call_id {} });
         position != m_granted.end() && position->first.first == node;) {
        m_grantedBytes -= position->second;
        position = m_granted.erase(position);
    }
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&node](const waiting_offer& offered) { return offered.key.first == node; }),
        m_waiting.end());
}

bool answer_room::hasRoom(const waiting_offer& offered, std::size_t heldBytes, time_point now) const
{
    const std::size_t used = heldBytes + m_grantedBytes;
    if (used == 0 || used + offered.bytes <= m_limit)
        return true;
    const bool hasWaited = now - offered.offeredAt > internal::maxPatience;
    return hasWaited && m_granted.empty() && used + offered.bytes <= m_limit + m_limit / 2;
}

std::vector<answer_grant> answer_room::takeGrants(std::size_t heldBytes, time_point now)
{
    std::vector<answer_grant> grants;
    while (!m_waiting.empty() && hasRoom(m_waiting.front(), heldBytes, now)) {
        const waiting_offer offered = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_granted.emplace(offered.key, offered.bytes);
        m_grantedBytes += offered.bytes;
        grants.push_back({ offered.key.first, offered.key.second });
    }
    return grants;
}

} // namespace knapweedcroft
