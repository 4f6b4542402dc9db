#include "knapweedcroft/gateway/call_dependence.hpp"

#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double callHalfLife = 400.0; // In ms; about the time that a whole request takes.
static constexpr double leastCalls = 8.0;
static constexpr double leastBadShare = 0.03; // Fewer bad calls do not stand out from other causes of bad ends.
static constexpr double leastExpected = 3.0;
static constexpr double mostExpected = 20.0; // Counts are halved there, so that a changed pattern shows.
// A dependent request makes at least one call; other causes alone stay far below the share of bad calls.
static constexpr double dependentPart = 0.25;
// An entry without calls is fitted to a rate near zero, one with calls to about the mean or above.
static constexpr double dependentRate = 0.3;

} // namespace internal

void call_dependence::callEnded(bool isGood, time_point now)
{
    const double factor = std::exp2(-(now - m_decayedAt).count() / internal::callHalfLife);
    m_calls = m_calls * factor + 1.0;
    m_badCalls = m_badCalls * factor + (isGood ? 0.0 : 1.0);
    m_decayedAt = now;
}

double call_dependence::badCallShare(time_point now) const
{
    const double factor = std::exp2(-(now - m_decayedAt).count() / internal::callHalfLife);
    return m_calls * factor < internal::leastCalls ? 0.0 : m_badCalls / m_calls;
}

void call_dependence::requestEnded(const std::string& entry, bool isGood, time_point now)
{
    const double share = badCallShare(now);
    if (share < internal::leastBadShare)
        return;
    entry_counts& counts = m_entries[entry];
    counts.expected += share;
    counts.bad += isGood ? 0.0 : 1.0;
    if (counts.expected < internal::mostExpected)
        return;
    counts.expected /= 2.0;
    counts.bad /= 2.0;
}

bool call_dependence::isDependent(const std::string& entry) const
{
    const auto position = m_entries.find(entry);
    if (position == m_entries.end() || position->second.expected < internal::leastExpected)
        return relativeCallRate(entry) >= internal::dependentRate;
    return position->second.bad >= internal::dependentPart * position->second.expected;
}

} // namespace knapweedcroft
