#include "knapweedcroft/gateway/entry_origin_classifier.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr double minRequests = 60.0;
static constexpr double maxRequests = 2000.0; // Counts are halved at this limit to follow changes.
// A service counts as a caller from this fraction of an equal share of the requests. A service with clients on its
// hosts sends about an equal share, and one without sends only single requests.
static constexpr double minCallerShare = 0.12;
// Share of the services that must be callers for an entry to be called by clients. Some services may have no clients on
// their hosts, and calls between services come from at most two thirds of the services.
static constexpr double minClientCallerShare = 0.7;

} // namespace internal

void entry_origin_classifier::recordRequest(const std::string& entry, const service_name& caller)
{
    request_counts& counts = m_entries[entry];
    counts.total += 1.0;
    counts.byCaller[caller] += 1.0;
    if (counts.total < internal::maxRequests)
        return;
    counts.total /= 2.0;
    for (std::pair<const service_name, double>& item : counts.byCaller)
        item.second /= 2.0;
}

entry_origin entry_origin_classifier::originOf(const std::string& entry) const
{
    const auto position = m_entries.find(entry);
    if (position == m_entries.end() || position->second.total < internal::minRequests || m_services.size() < 2)
        return entry_origin::unknown;
    const request_counts& counts = position->second;
    const double equalShare = counts.total / static_cast<double>(m_services.size());
    std::size_t callers = 0;
    for (const service_name& service : m_services) {
        const auto calls = counts.byCaller.find(service);
        const bool isCaller = calls != counts.byCaller.end() && calls->second >= equalShare * internal::minCallerShare;
        callers += isCaller ? 1U : 0U;
    }
    const bool isCalledByMostServices
        = static_cast<double>(callers) >= internal::minClientCallerShare * static_cast<double>(m_services.size());
    return isCalledByMostServices ? entry_origin::clients : entry_origin::upstreams;
}

} // namespace knapweedcroft
