#include "knapweedcroft/gateway/entry_origin_classifier.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double minRequests = 60.0;
static constexpr std::size_t maxEntries = 1000;
static constexpr double maxPeerRequests = 60.0; // Of one caller, in one message.
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
    add(counts, caller, 1.0);
    if (counts.total <= internal::minRequests)
        ++counts.newByCaller[caller];
}

void entry_origin_classifier::recordPeerRequests(const entry_caller_count& counted)
{
    if (counted.count == 0 || (m_entries.size() >= internal::maxEntries && m_entries.count(counted.entry) == 0))
        return;
    add(m_entries[counted.entry], counted.caller, std::min<double>(counted.count, internal::maxPeerRequests));
}

std::vector<entry_caller_count> entry_origin_classifier::takeNewCounts()
{
    std::vector<entry_caller_count> taken;
    for (std::pair<const std::string, request_counts>& item : m_entries) {
        for (const std::pair<const service_name, std::uint32_t>& caller : item.second.newByCaller)
            taken.push_back({ item.first, caller.first, caller.second });
        item.second.newByCaller.clear();
    }
    return taken;
}

std::vector<entry_caller_count> entry_origin_classifier::summary() const
{
    std::vector<entry_caller_count> all;
    for (const std::pair<const std::string, request_counts>& item : m_entries) {
        const double scale = std::min(1.0, internal::minRequests / item.second.total);
        for (const std::pair<const service_name, double>& caller : item.second.byCaller)
            all.push_back({ item.first, caller.first, static_cast<std::uint32_t>(std::ceil(caller.second * scale)) });
    }
    return all;
}

void entry_origin_classifier::add(request_counts& counts, const service_name& caller, double requests)
{
    counts.total += requests;
    counts.byCaller[caller] += requests;
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
