#include "knapweedcroft/gateway/call_dependence.hpp"

#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double callHalfLife = 400.0; // In ms; about the time that a whole request takes.
static constexpr double leastCalls = 8.0;
static constexpr double badCallShare = 0.25;
static constexpr double leastEnded = 8.0;
static constexpr double mostEnded = 60.0; // Counts are halved there, so that a changed pattern shows.
// A dependent request makes at least one call, so its share of bad ends is about that of the calls or higher.
static constexpr double independentShare = 0.1;

} // namespace internal

void call_dependence::callEnded(bool isGood, time_point now)
{
    const double factor = std::exp2(-(now - m_decayedAt).count() / internal::callHalfLife);
    m_calls = m_calls * factor + 1.0;
    m_badCalls = m_badCalls * factor + (isGood ? 0.0 : 1.0);
    m_decayedAt = now;
}

bool call_dependence::areCallsBad(time_point now) const
{
    const double factor = std::exp2(-(now - m_decayedAt).count() / internal::callHalfLife);
    return m_calls * factor >= internal::leastCalls && m_badCalls >= internal::badCallShare * m_calls;
}

void call_dependence::requestEnded(const std::string& entry, bool isGood, time_point now)
{
    if (!areCallsBad(now))
        return;
    entry_counts& counts = m_entries[entry];
    counts.ended += 1.0;
    counts.bad += isGood ? 0.0 : 1.0;
    if (counts.ended < internal::mostEnded)
        return;
    counts.ended /= 2.0;
    counts.bad /= 2.0;
}

bool call_dependence::isDependent(const std::string& entry) const
{
    const auto position = m_entries.find(entry);
    if (position == m_entries.end() || position->second.ended < internal::leastEnded)
        return true;
    return position->second.bad > internal::independentShare * position->second.ended;
}

} // namespace knapweedcroft
