#include "knapweedcroft/gateway/call_rate_estimator.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds windowDuration { 500 };
// Windows that no event closes within this time are discarded.
static constexpr milliseconds maxWindowDuration { 1500 };
static constexpr double windowMemory = 60.0; // Decay constant in windows; lets the fit follow changes.
static constexpr double minWindows = 6.0;
static constexpr std::size_t maxEntries = 16;
static constexpr int fitIterations = 20;

} // namespace internal

void call_rate_estimator::addHalfRequest(const std::string& entry, time_point now)
{
    advanceWindow(now);
    constexpr double half = 0.5;
    const auto known = m_indexes.find(entry);
    if (known != m_indexes.end()) {
        m_windowRequests[known->second] += half;
        return;
    }
    if (m_indexes.size() >= internal::maxEntries)
        return;
    m_indexes.emplace(entry, m_windowRequests.size());
    m_windowRequests.push_back(half);
    m_requestCallProducts.push_back(0.0);
    m_rates.push_back(0.0);
    m_requestProducts.emplace_back();
    for (std::vector<double>& row : m_requestProducts)
        row.resize(m_windowRequests.size(), 0.0);
}

void call_rate_estimator::recordCall(time_point now)
{
    advanceWindow(now);
    m_windowCalls += 1.0;
}

void call_rate_estimator::advanceWindow(time_point now)
{
    const milliseconds age = now - m_windowStart;
    if (age < internal::windowDuration)
        return;
    if (age < internal::maxWindowDuration)
        accumulateWindow();
    std::fill(m_windowRequests.begin(), m_windowRequests.end(), 0.0);
    m_windowCalls = 0.0;
    m_windowStart = now;
}

void call_rate_estimator::accumulateWindow()
{
    constexpr double decayFactor = 1.0 - 1.0 / internal::windowMemory;
    m_windowCount = m_windowCount * decayFactor + 1.0;
    m_totalCalls = m_totalCalls * decayFactor + m_windowCalls;
    m_totalRequests *= decayFactor;
    for (std::size_t row = 0; row < m_windowRequests.size(); ++row) {
        m_totalRequests += m_windowRequests[row];
        m_requestCallProducts[row] = m_requestCallProducts[row] * decayFactor + m_windowRequests[row] * m_windowCalls;
        for (std::size_t column = 0; column < m_windowRequests.size(); ++column)
            m_requestProducts[row][column]
                = m_requestProducts[row][column] * decayFactor + m_windowRequests[row] * m_windowRequests[column];
    }
    fit();
}

// Coordinate descent for non-negative least squares; a few iterations suffice, because it starts from the previous fit.
void call_rate_estimator::fit()
{
    for (int iteration = 0; iteration < internal::fitIterations; ++iteration) {
        for (std::size_t row = 0; row < m_rates.size(); ++row) {
            if (m_requestProducts[row][row] <= 0.0)
                continue;
            double residual = m_requestCallProducts[row];
            for (std::size_t column = 0; column < m_rates.size(); ++column) {
                if (column != row)
                    residual -= m_requestProducts[row][column] * m_rates[column];
            }
            m_rates[row] = std::max(0.0, residual / m_requestProducts[row][row]);
        }
    }
}

std::optional<double> call_rate_estimator::relativeRate(const std::string& entry) const
{
    const auto position = m_indexes.find(entry);
    if (position == m_indexes.end() || m_windowCount < internal::minWindows || m_totalCalls <= 0.0)
        return std::nullopt;
    return m_rates[position->second] * m_totalRequests / m_totalCalls;
}

} // namespace knapweedcroft
