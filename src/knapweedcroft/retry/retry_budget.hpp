#ifndef KNAPWEEDCROFT_RETRY_RETRY_BUDGET_HPP
#define KNAPWEEDCROFT_RETRY_RETRY_BUDGET_HPP

#include <cstdint>

namespace knapweedcroft {

/**
 * @brief Retry budget of one call of an action: the extra attempts that the call and its sub-calls may still make.
 *
 * The budgets of all calls of an action together never exceed the budget with which the action started: a share is
 * reserved for each child attempt, and what the child leaves unspent is returned at most once.
 */
class retry_budget {
public:
    /**
     * @brief Constructs a budget with nothing reserved.
     * @param balance Extra attempts allowed for the call.
     */
    explicit constexpr retry_budget(std::uint32_t balance) noexcept
        : m_balance { balance }
    {
    }

    /** @brief Returns the number of extra attempts that are neither spent nor reserved. */
    [[nodiscard]] constexpr std::uint32_t balance() const noexcept { return m_balance; }

    /** @brief Returns the number of extra attempts reserved for child attempts that have not ended. */
    [[nodiscard]] constexpr std::uint32_t reserved() const noexcept { return m_reserved; }

    /**
     * @brief Reserves half of the balance, rounded up, for a child attempt.
     * @return Number of extra attempts reserved.
     */
    [[nodiscard]] std::uint32_t reserve() noexcept;

    /**
     * @brief Adds unspent extra attempts of a child back to the balance, at most what is reserved for all children.
     * @param unspent Extra attempts left unspent by the child.
     */
    void release(std::uint32_t unspent) noexcept;

    /**
     * @brief Ends the reservation of one child and returns its unspent extra attempts to the balance.
     * @param reservation Extra attempts reserved for the child, as returned by `reserve`.
     * @param unspent Extra attempts left unspent by the child, capped at its reservation; zero if its answer was lost.
     */
    void release(std::uint32_t reservation, std::uint32_t unspent) noexcept;

    /**
     * @brief Spends one extra attempt.
     * @return False if none is left.
     */
    [[nodiscard]] bool spend() noexcept;

private:
    std::uint32_t m_balance;
    std::uint32_t m_reserved = 0;
};

} // namespace knapweedcroft

#endif
