#include "knapweedcroft/admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

/** @brief Factor applied to the limit when a call is shed. */
struct decrease_factor {
    double operator()(const fixed_limit&) const noexcept { return 1.0; }
    double operator()(const aimd_limit& policy) const noexcept { return policy.decrease; }
    double operator()(const gradient_limit& policy) const noexcept { return 1.0 - policy.smoothing; }
    double operator()(const queue_delay_limit&) const noexcept { return 1.0; }
};

/** @brief Increase of the limit per finished call after the initial ramp. */
struct increase_step {
    double limit;

    double operator()(const fixed_limit&) const noexcept { return 0.0; }
    double operator()(const aimd_limit&) const noexcept { return 1.0 / limit; }
    double operator()(const gradient_limit&) const noexcept { return 1.0 / std::sqrt(limit); }
    double operator()(const queue_delay_limit&) const noexcept { return 0.0; }
};

} // namespace internal

concurrency_limit::concurrency_limit(const limit_policy& policy, std::uint32_t initial) noexcept
    : m_policy { policy }
    , m_initial { static_cast<double>(std::max(initial, 1U)) }
    , m_limit { m_initial }
{
}

void concurrency_limit::setSlots(std::uint32_t slots) noexcept
{
    // A limit that was equal to the old slots follows an increase at once; a lower one grows with finished calls.
    const bool wasAtSlots = m_slots > 0 && !m_isWarmingUp && m_limit >= static_cast<double>(m_slots);
    m_slots = slots;
    if (slots > 0 && (wasAtSlots || !isAdaptive()))
        m_limit = static_cast<double>(slots);
    if (slots > 0 && m_limit >= static_cast<double>(slots))
        m_isWarmingUp = false;
}

bool concurrency_limit::isAdaptive() const noexcept
{
    return std::holds_alternative<aimd_limit>(m_policy) || std::holds_alternative<gradient_limit>(m_policy);
}

void concurrency_limit::resetLimit() noexcept
{
    if (!isAdaptive())
        return;
    m_limit = m_initial;
    m_isWarmingUp = true;
}

void concurrency_limit::record(completion outcome, milliseconds latency, std::uint32_t running, time_point now) noexcept
{
    if (!isAdaptive())
        return;
    if (outcome == completion::shed)
        return decreaseLimit(latency, now);
    // While less than half of the limit is in use, a finished call does not show that a higher limit would be safe.
    const bool isUtilized = 2 * running >= value();
    if (outcome != completion::finished || !isUtilized)
        return;
    increaseLimit(m_isWarmingUp ? 1.0 : std::visit(internal::increase_step { m_limit }, m_policy));
}

void concurrency_limit::decreaseLimit(milliseconds latency, time_point now) noexcept
{
    m_isWarmingUp = false;
    if (now < m_nextDecrease)
        return;
    // Calls that started before a decrease ran under the old limit, so the limit decreases once per round trip.
    m_nextDecrease = now + latency;
    m_limit = std::max(1.0, m_limit * std::visit(internal::decrease_factor {}, m_policy));
}

void concurrency_limit::increaseLimit(double step) noexcept
{
    m_limit = std::min(m_limit + step, static_cast<double>(std::max(m_slots, 1U)));
    if (m_limit >= static_cast<double>(m_slots))
        m_isWarmingUp = false;
}

std::uint32_t concurrency_limit::value() const noexcept
{
    return std::min(m_slots, static_cast<std::uint32_t>(m_limit));
}

} // namespace knapweedcroft
