#include "knapweedcroft/gateway/caller_profile.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr double leastRequests = 60.0;
static constexpr double mostRequests = 2000.0; // Counts are halved there, so that a changed pattern shows.
// A service whose hosts have clients sends about an equal share; one without sends only stray requests.
static constexpr double leastPartOfEqualShare = 0.12;
// Clients may be missing beside some service; calls between services come from at most two of three.
static constexpr double clientPart = 0.7;

} // namespace internal

void caller_profile::count(const std::string& entry, const service_name& caller)
{
    entry_counts& counts = m_entries[entry];
    counts.total += 1.0;
    counts.byCaller[caller] += 1.0;
    if (counts.total < internal::mostRequests)
        return;
    counts.total /= 2.0;
    for (std::pair<const service_name, double>& item : counts.byCaller)
        item.second /= 2.0;
}

entry_origin caller_profile::originOf(const std::string& entry) const
{
    const auto position = m_entries.find(entry);
    if (position == m_entries.end() || position->second.total < internal::leastRequests || m_services.size() < 2)
        return entry_origin::unknown;
    const entry_counts& counts = position->second;
    const double equalShare = counts.total / static_cast<double>(m_services.size());
    std::size_t callers = 0;
    for (const service_name& service : m_services) {
        const auto calls = counts.byCaller.find(service);
        const bool isCaller
            = calls != counts.byCaller.end() && calls->second >= equalShare * internal::leastPartOfEqualShare;
        callers += isCaller ? 1U : 0U;
    }
    const bool isMost = static_cast<double>(callers) >= internal::clientPart * static_cast<double>(m_services.size());
    return isMost ? entry_origin::clients : entry_origin::upstreams;
}

} // namespace knapweedcroft
