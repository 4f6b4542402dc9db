#include "knapweedcroft/load/oracle.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr double roundingTolerance = 1e-9;

/** @brief Slot time of a service that one request takes, in slots x seconds. */
using slot_demand = std::map<service_name, double>;

[[nodiscard]] static double slowFactorOf(
    const service_name& service, const std::vector<load_fault>& faults, const std::string& host)
{
    double factor = 1.0;
    for (const load_fault& fault : faults) {
        if (fault.service == service && (fault.host.empty() || fault.host == host))
            factor *= fault.slowFactor;
    }
    return factor;
}

/** @brief Returns the slots of each service; a slot on a slowed upstream counts by its remaining throughput. */
[[nodiscard]] static slot_demand capacityOf(const shape& on, const std::vector<load_fault>& faults)
{
    slot_demand capacity;
    for (const shape_service& service : on.services) {
        for (const shape_host& host : service.hosts) {
            const double factor = std::max(slowFactorOf(service.name, faults, host.name), roundingTolerance);
            capacity[service.name] += static_cast<double>(service.slots) / factor;
        }
    }
    return capacity;
}

[[nodiscard]] static slot_demand demandOf(const shape& on, const shape_entry& item)
{
    constexpr double millisecondsPerSecond = 1000.0;
    slot_demand demand;
    const call_tree tree = callTree(on, item.entry.service(), item.entry.operation());
    for (const shape_service& service : on.services) {
        for (const std::pair<const std::string, shape_operation>& operation : service.operations) {
            const auto position = tree.find(entryName(service.name, operation.first));
            if (position == tree.end())
                continue;
            demand[service.name]
                += static_cast<double>(position->second) * operation.second.serviceTimeMs / millisecondsPerSecond;
        }
    }
    return demand;
}

/** @brief Raises the shares of one class until each of its entries is complete or a service that it needs is full. */
class class_filling {
public:
    class_filling(const std::vector<double>& offered, const std::vector<slot_demand>& demands, slot_demand& left)
        : m_offered { offered }
        , m_demands { demands }
        , m_left { left }
    {
    }

    void fill(std::vector<std::size_t> growing, std::vector<double>& rates)
    {
        double share = 0.0;
        while (!growing.empty() && share < 1.0) {
            const double step = std::min(1.0 - share, largestStep(growing));
            for (const std::size_t entry : growing)
                grow(entry, step, rates);
            share += step;
            growing.erase(std::remove_if(growing.begin(), growing.end(),
                              [this](std::size_t entry) { return needsFullService(entry); }),
                growing.end());
        }
    }

private:
    [[nodiscard]] double largestStep(const std::vector<std::size_t>& growing) const
    {
        slot_demand perShare;
        for (const std::size_t entry : growing) {
            for (const std::pair<const service_name, double>& item : m_demands[entry])
                perShare[item.first] += item.second * m_offered[entry];
        }
        double step = 1.0;
        for (const std::pair<const service_name, double>& item : perShare) {
            if (item.second > 0.0)
                step = std::min(step, m_left.at(item.first) / item.second);
        }
        return std::max(step, 0.0);
    }

    void grow(std::size_t entry, double step, std::vector<double>& rates)
    {
        rates[entry] += step * m_offered[entry];
        for (const std::pair<const service_name, double>& item : m_demands[entry])
            m_left.at(item.first) -= step * m_offered[entry] * item.second;
    }

    [[nodiscard]] bool needsFullService(std::size_t entry) const
    {
        return std::any_of(m_demands[entry].begin(), m_demands[entry].end(),
            [this](const std::pair<const service_name, double>& item) {
                return item.second > 0.0 && m_left.at(item.first) <= roundingTolerance;
            });
    }

    const std::vector<double>& m_offered;
    const std::vector<slot_demand>& m_demands;
    slot_demand& m_left;
};

} // namespace internal

std::vector<double> oracleRates(
    const shape& on, const std::vector<double>& offered, const std::vector<load_fault>& faults)
{
    std::vector<internal::slot_demand> demands;
    for (const shape_entry& item : on.entries)
        demands.push_back(internal::demandOf(on, item));
    internal::slot_demand left = internal::capacityOf(on, faults);
    std::vector<double> rates(on.entries.size(), 0.0);
    internal::class_filling filling { offered, demands, left };
    for (const call_class importance :
        { call_class::critical, call_class::high, call_class::normal, call_class::low }) {
        std::vector<std::size_t> growing;
        for (std::size_t entry = 0; entry < on.entries.size(); ++entry) {
            if (on.entries[entry].entry.importance() == importance && offered[entry] > 0.0)
                growing.push_back(entry);
        }
        filling.fill(std::move(growing), rates);
    }
    return rates;
}

} // namespace knapweedcroft
