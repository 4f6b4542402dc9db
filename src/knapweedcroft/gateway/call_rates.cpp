#include "knapweedcroft/gateway/call_rates.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds windowTime { 500 };
static constexpr milliseconds longestWindow { 1500 }; // A window that no event closed in time is not used.
static constexpr double windowsKept = 60.0; // Older windows fade, so that a changed pattern shows.
static constexpr double leastWindows = 6.0;
static constexpr std::size_t mostEntries = 16;
static constexpr int fitRounds = 20;

} // namespace internal

void call_rates::count(const std::string& entry, time_point now)
{
    advance(now);
    constexpr double half = 0.5;
    const auto known = m_positions.find(entry);
    if (known != m_positions.end()) {
        m_requests[known->second] += half;
        return;
    }
    if (m_positions.size() >= internal::mostEntries)
        return;
    m_positions.emplace(entry, m_requests.size());
    m_requests.push_back(half);
    m_callProducts.push_back(0.0);
    m_rates.push_back(0.0);
    m_products.emplace_back();
    for (std::vector<double>& row : m_products)
        row.resize(m_requests.size(), 0.0);
}

void call_rates::called(time_point now)
{
    advance(now);
    m_calls += 1.0;
}

void call_rates::advance(time_point now)
{
    const milliseconds age = now - m_windowStart;
    if (age < internal::windowTime)
        return;
    if (age < internal::longestWindow)
        closeWindow();
    std::fill(m_requests.begin(), m_requests.end(), 0.0);
    m_calls = 0.0;
    m_windowStart = now;
}

void call_rates::closeWindow()
{
    constexpr double kept = 1.0 - 1.0 / internal::windowsKept;
    m_windows = m_windows * kept + 1.0;
    m_allCalls = m_allCalls * kept + m_calls;
    m_allRequests *= kept;
    for (std::size_t row = 0; row < m_requests.size(); ++row) {
        m_allRequests += m_requests[row];
        m_callProducts[row] = m_callProducts[row] * kept + m_requests[row] * m_calls;
        for (std::size_t column = 0; column < m_requests.size(); ++column)
            m_products[row][column] = m_products[row][column] * kept + m_requests[row] * m_requests[column];
    }
    fit();
}

// Coordinate descent for non-negative least squares; few rounds do, since it starts from the last fit.
void call_rates::fit()
{
    for (int round = 0; round < internal::fitRounds; ++round) {
        for (std::size_t row = 0; row < m_rates.size(); ++row) {
            if (m_products[row][row] <= 0.0)
                continue;
            double rest = m_callProducts[row];
            for (std::size_t column = 0; column < m_rates.size(); ++column) {
                if (column != row)
                    rest -= m_products[row][column] * m_rates[column];
            }
            m_rates[row] = std::max(0.0, rest / m_products[row][row]);
        }
    }
}

std::optional<double> call_rates::relativeRate(const std::string& entry) const
{
    const auto position = m_positions.find(entry);
    if (position == m_positions.end() || m_windows < internal::leastWindows || m_allCalls <= 0.0)
        return std::nullopt;
    return m_rates[position->second] * m_allRequests / m_allCalls;
}

} // namespace knapweedcroft
