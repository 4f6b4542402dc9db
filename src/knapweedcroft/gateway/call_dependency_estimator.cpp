#include "knapweedcroft/gateway/call_dependency_estimator.hpp"

#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double callHalfLifeMs = 400.0; // About the duration of a request with all of its calls.
static constexpr double minCalls = 8.0;
static constexpr double minFailureRatio = 0.03; // Below it, failures from other causes dominate.
static constexpr double minExpectedFailures = 3.0;
static constexpr double maxExpectedFailures = 20.0; // Counts are halved at this limit to follow changes.
// Share of the expected failures from which an entry counts as dependent. Its requests make at least one call each;
// failures from other causes stay far below the failure ratio of the calls.
static constexpr double dependentFailureShare = 0.25;
// The fitted relative rate is near 0 for an entry without calls, and about 1 or above for one with calls.
static constexpr double minDependentCallRate = 0.3;

} // namespace internal

void call_dependency_estimator::recordCallEnd(bool isTimelySuccess, time_point now)
{
    const double factor = std::exp2(-(now - m_lastDecay).count() / internal::callHalfLifeMs);
    m_calls = m_calls * factor + 1.0;
    m_failedCalls = m_failedCalls * factor + (isTimelySuccess ? 0.0 : 1.0);
    m_lastDecay = now;
}

double call_dependency_estimator::callFailureRatio(time_point now) const
{
    const double factor = std::exp2(-(now - m_lastDecay).count() / internal::callHalfLifeMs);
    return m_calls * factor < internal::minCalls ? 0.0 : m_failedCalls / m_calls;
}

void call_dependency_estimator::recordRequestOutcome(const std::string& entry, bool isTimelySuccess, time_point now)
{
    const double failureRatio = callFailureRatio(now);
    if (failureRatio < internal::minFailureRatio)
        return;
    failure_counts& counts = m_entries[entry];
    counts.expectedFailures += failureRatio;
    counts.failures += isTimelySuccess ? 0.0 : 1.0;
    if (counts.expectedFailures < internal::maxExpectedFailures)
        return;
    counts.expectedFailures /= 2.0;
    counts.failures /= 2.0;
}

bool call_dependency_estimator::isDependent(const std::string& entry) const
{
    const auto position = m_entries.find(entry);
    if (position == m_entries.end() || position->second.expectedFailures < internal::minExpectedFailures)
        return relativeCallRate(entry) >= internal::minDependentCallRate;
    return position->second.failures >= internal::dependentFailureShare * position->second.expectedFailures;
}

} // namespace knapweedcroft
