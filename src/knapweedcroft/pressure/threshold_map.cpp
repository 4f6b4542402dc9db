#include "knapweedcroft/pressure/threshold_map.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr double callTreeSampleWeight = 0.1;
static constexpr double minReachShare = 0.5;
static constexpr double negligibleReachShare = 0.01;

} // namespace internal

threshold_map::threshold_map(const pressure_settings& settings, service_name ownService)
    : m_settings { settings }
    , m_ownService { std::move(ownService) }
{
}

void threshold_map::setMemberCount(const service_name& service, std::size_t count)
{
    if (count == 0)
        m_services.erase(service);
    else
        m_services[service].memberCount = count;
}

milliseconds threshold_map::clampedValidity(milliseconds validity) const
{
    return std::min(std::max(validity, milliseconds {}), m_settings.longestValidity);
}

threshold_map::received_threshold threshold_map::relaxed(received_threshold known, time_point now) const
{
    if (m_settings.thresholdDoublingTime > milliseconds {})
        known.value = known.value.relaxedBy(
            std::exp2((now - known.receivedAt).count() / m_settings.thresholdDoublingTime.count()));
    return known;
}

void threshold_map::recordThreshold(const service_name& service, const node_name& node,
    std::optional<priority> threshold, milliseconds validity, time_point now)
{
    service_state& state = m_services[service];
    const time_point expiry = now + clampedValidity(validity);
    state.memberThresholdsUntil = std::max(state.memberThresholdsUntil, expiry);
    if (threshold)
        state.members[node] = received_threshold { *threshold, now, expiry };
    else
        state.members.erase(node);
}

void threshold_map::recordReports(const std::vector<service_threshold>& reported, const node_name& via, time_point now)
{
    for (std::pair<const service_name, service_state>& service : m_services)
        service.second.reports.erase(via);
    for (const service_threshold& report : reported) {
        if (report.service == m_ownService)
            continue;
        const time_point expiry = now + clampedValidity(report.validity);
        m_services[report.service].reports[via] = received_threshold { report.threshold, now, expiry };
    }
}

void threshold_map::recordReachedServices(const std::string& entry, const std::vector<service_name>& reached)
{
    std::map<service_name, double>& shares = m_reachShares[entry];
    const double weight = shares.empty() ? 1.0 : internal::callTreeSampleWeight;
    for (std::pair<const service_name, double>& share : shares)
        share.second *= 1.0 - weight;
    for (const service_name& service : std::set<service_name> { reached.begin(), reached.end() })
        shares[service] += weight;
    for (auto position = shares.begin(); position != shares.end();)
        position = position->second < internal::negligibleReachShare ? shares.erase(position) : std::next(position);
}

void threshold_map::removeNode(const node_name& node)
{
    for (std::pair<const service_name, service_state>& service : m_services) {
        service.second.members.erase(node);
        service.second.reports.erase(node);
    }
}

std::optional<threshold_map::received_threshold> threshold_map::memberThreshold(
    const service_state& state, time_point now) const
{
    std::vector<received_threshold> valid;
    for (const std::pair<const node_name, received_threshold>& member : state.members) {
        if (member.second.expiry > now)
            valid.push_back(relaxed(member.second, now));
    }
    const std::size_t quorum = std::max<std::size_t>(1, (std::max(state.memberCount, state.members.size()) + 1) / 2);
    if (valid.size() < quorum)
        return std::nullopt;
    std::sort(valid.begin(), valid.end(),
        [](const received_threshold& lhs, const received_threshold& rhs) { return lhs.value < rhs.value; });
    received_threshold quorumThreshold = valid[quorum - 1];
    for (std::size_t index = 0; index < quorum; ++index)
        quorumThreshold.expiry = std::min(quorumThreshold.expiry, valid[index].expiry);
    return quorumThreshold;
}

std::optional<threshold_map::received_threshold> threshold_map::reportedThreshold(
    const service_state& state, time_point now) const
{
    std::optional<received_threshold> leastStrict;
    for (const std::pair<const node_name, received_threshold>& report : state.reports) {
        const received_threshold known = relaxed(report.second, now);
        if (known.expiry > now && (!leastStrict || leastStrict->value < known.value))
            leastStrict = known;
    }
    return leastStrict;
}

std::optional<threshold_map::received_threshold> threshold_map::serviceThreshold(
    const service_state& state, time_point now) const
{
    return state.memberThresholdsUntil > now ? memberThreshold(state, now) : reportedThreshold(state, now);
}

std::optional<service_name> threshold_map::refusingService(
    const std::string& entry, priority order, time_point now) const
{
    const auto shares = m_reachShares.find(entry);
    if (!m_settings.isEnabled || shares == m_reachShares.end())
        return std::nullopt;
    for (const std::pair<const service_name, double>& share : shares->second) {
        const auto service = m_services.find(share.first);
        if (share.second < internal::minReachShare || service == m_services.end())
            continue;
        const std::optional<received_threshold> known = serviceThreshold(service->second, now);
        if (known && known->value < order)
            return share.first;
    }
    return std::nullopt;
}

std::optional<service_name> threshold_map::admit(const std::string& entry, priority order, time_point now)
{
    if (!m_settings.isEnabled)
        return std::nullopt;
    const call_class importance = order.importance();
    const std::vector<service_name> services = reachedServices(entry);
    for (const service_name& name : services) {
        service_state& state = m_services[name];
        const std::optional<received_threshold> known = serviceThreshold(state, now);
        const bool isRefusedByThreshold
            = known && known->value < order && !state.recentActions.hasAdmittedBelow(importance, now);
        if (!isRefusedByThreshold && !state.recentActions.hasRefusedAbove(importance, now))
            continue;
        state.recentActions.recordRefused(importance, now);
        return name;
    }
    for (const service_name& name : services)
        m_services[name].recentActions.recordAdmitted(importance, now);
    return std::nullopt;
}

std::optional<service_threshold> threshold_map::threshold(const service_name& service, time_point now) const
{
    const auto position = m_services.find(service);
    if (position == m_services.end())
        return std::nullopt;
    const std::optional<received_threshold> known = serviceThreshold(position->second, now);
    if (!known)
        return std::nullopt;
    return service_threshold { service, known->value, known->expiry - now };
}

std::vector<service_threshold> threshold_map::advertise(time_point now) const
{
    std::vector<service_threshold> thresholds;
    for (const std::pair<const service_name, service_state>& service : m_services) {
        if (service.first == m_ownService)
            continue;
        if (const std::optional<received_threshold> known = serviceThreshold(service.second, now))
            thresholds.push_back({ service.first, known->value, known->expiry - now });
    }
    return thresholds;
}

std::vector<service_name> threshold_map::reachedServices(const std::string& entry) const
{
    std::vector<service_name> services;
    const auto shares = m_reachShares.find(entry);
    if (shares == m_reachShares.end())
        return services;
    for (const std::pair<const service_name, double>& share : shares->second) {
        if (share.second >= internal::minReachShare)
            services.push_back(share.first);
    }
    return services;
}

} // namespace knapweedcroft
