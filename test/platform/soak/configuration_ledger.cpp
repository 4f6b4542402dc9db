#include "soak/configuration_ledger.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft::platform {

void configuration_ledger::periods::set(bool isActive, time_point now)
{
    const bool wasActive = !m_all.empty() && !m_all.back().until;
    if (isActive && !wasActive)
        m_all.push_back({ now, std::nullopt });
    if (!isActive && wasActive)
        m_all.back().until = now;
}

bool configuration_ledger::periods::overlaps(time_point from, time_point until) const
{
    return std::any_of(m_all.begin(), m_all.end(),
        [from, until](const period& item) { return item.from <= until && (!item.until || from <= *item.until); });
}

std::optional<std::int64_t> configuration_ledger::requiredVersion(const std::string& node, time_point sentAt) const
{
    const time_point contactStart = sentAt - m_bounds.contact;
    const auto disturbances = m_disturbances.find(node);
    if (disturbances != m_disturbances.end() && disturbances->second.overlaps(contactStart, sentAt))
        return std::nullopt;
    const bool isStable = !m_outages.overlaps(contactStart, sentAt) && !m_refusals.overlaps(contactStart, sentAt);
    std::optional<std::int64_t> required;
    for (const std::pair<const std::int64_t, time_point>& change : m_acknowledgedAt) {
        const milliseconds age = sentAt - change.second;
        const bool isDue = isStable && age > m_bounds.apply;
        const bool isDueWhileTurnedAway = age > m_bounds.apply + m_bounds.stretch
            && !m_outages.overlaps(std::min(change.second, contactStart), sentAt);
        if (isDue || isDueWhileTurnedAway)
            required = change.first;
    }
    return required;
}

std::size_t configuration_ledger::checkedProbes() const
{
    return static_cast<std::size_t>(std::count_if(m_probes.begin(), m_probes.end(),
        [this](const configuration_probe& probe) { return requiredVersion(probe.node, probe.sentAt).has_value(); }));
}

std::optional<std::string> configuration_ledger::findFault(const configuration_probe& probe) const
{
    const std::optional<std::int64_t> required = requiredVersion(probe.node, probe.sentAt);
    if (!required)
        return std::nullopt;
    const std::string text = probe.node + ": version " + std::to_string(*required) + " was acknowledged "
        + std::to_string((probe.sentAt - m_acknowledgedAt.at(*required)).whole()) + " ms before a request that ";
    if (probe.isServed && probe.version < *required)
        return text + "was handled by version " + std::to_string(probe.version);
    // Until the probe had ended, no version without its route had been acknowledged.
    const auto next = m_acknowledgedAt.upper_bound(probe.version);
    const bool isNewest = next == m_acknowledgedAt.end() || probe.endedAt < next->second;
    if (!probe.isServed && probe.version == *required && isNewest)
        return text + "did not find its route";
    return std::nullopt;
}

std::vector<std::string> configuration_ledger::findRegressions() const
{
    std::vector<std::string> found;
    for (const configuration_probe& earlier : m_probes) {
        for (const configuration_probe& later : m_probes) {
            const bool isSameProcess = earlier.node == later.node && earlier.process == later.process;
            const bool isRegression = isSameProcess && earlier.isServed && later.isServed
                && later.version < earlier.version && earlier.endedAt + m_bounds.regression < later.sentAt;
            if (isRegression)
                found.push_back(later.node + ": handled by version " + std::to_string(later.version) + " after version "
                    + std::to_string(earlier.version));
        }
    }
    return found;
}

std::vector<std::string> configuration_ledger::violations() const
{
    std::vector<std::string> found = findRegressions();
    for (const configuration_probe& probe : m_probes) {
        if (std::optional<std::string> fault = findFault(probe))
            found.push_back(std::move(*fault));
    }
    return found;
}

} // namespace knapweedcroft::platform
