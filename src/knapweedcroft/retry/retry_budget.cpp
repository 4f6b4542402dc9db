#include "knapweedcroft/retry/retry_budget.hpp"

#include <algorithm>

namespace knapweedcroft {

std::uint32_t retry_budget::reserve() noexcept
{
    const std::uint32_t reservation = m_balance - m_balance / 2;
    m_balance -= reservation;
    m_reserved += reservation;
    return reservation;
}

void retry_budget::release(std::uint32_t unspent) noexcept { release(unspent, unspent); }

void retry_budget::release(std::uint32_t reservation, std::uint32_t unspent) noexcept
{
    const std::uint32_t returnable = std::min(reservation, m_reserved);
    m_reserved -= returnable;
    m_balance += std::min(unspent, returnable);
}

bool retry_budget::spend() noexcept
{
    if (m_balance == 0)
        return false;
    --m_balance;
    return true;
}

} // namespace knapweedcroft
