#include "knapweedcroft/node/overload_trial.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <tuple>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds startUpTime { 8000 }; // for links, leases and the warm-up after a cold start
static constexpr milliseconds windowLength { 100 };
static constexpr milliseconds maxRequestTime { 1000 };
static constexpr double minSuccessShare = 0.95;

/** @brief Resources that a request of an entry uses, in particular those of the slow service. */
struct entry_cost {
    double slotTime = 0.0; /*!< Milliseconds for which the request holds slots of the slow service. */
    double holdTime = 0.0; /*!< Milliseconds for which the called upstream holds its own slot. */
    std::uint32_t calls = 1; /*!< Calls in the tree. */
    std::set<service_name> services;
};

[[nodiscard]] static const upstream_settings& hostOf(const group_shape& shape, const service_name& service)
{
    return *std::find_if(
        shape.hosts.begin(), shape.hosts.end(), [&](const upstream_settings& host) { return host.service == service; });
}

[[nodiscard]] static entry_cost costOf(const group_shape& shape, const service_name& service,
    const std::string& operation, const service_name& slow, double factor)
{
    const upstream_operation& called = hostOf(shape, service).operations.at(operation);
    entry_cost cost;
    cost.services.insert(service);
    cost.holdTime = called.serviceTime.count() * (service == slow ? factor : 1.0);
    for (const std::vector<upstream_sub_call>& step : called.steps) {
        double longest = 0.0;
        for (const upstream_sub_call& target : step) {
            const entry_cost child = costOf(shape, target.service, target.operation, slow, factor);
            longest = std::max(longest, child.holdTime + 2.0 * shape.linkLatency.count());
            cost.slotTime += child.slotTime;
            cost.calls += child.calls;
            cost.services.insert(child.services.begin(), child.services.end());
        }
        cost.holdTime += longest;
    }
    cost.slotTime += service == slow ? cost.holdTime : 0.0;
    return cost;
}

/** @brief Returns the total slots of the upstreams of a service. */
[[nodiscard]] static double slotsOf(const group_shape& shape, const service_name& service)
{
    double slots = 0.0;
    for (const upstream_settings& host : shape.hosts)
        slots += host.service == service ? host.slots : 0.0;
    return slots;
}

/** @brief Counts refusals of critical calls in windows in which the same node admitted a call of a lower class. */
class inversion_counter {
public:
    void refused(const node_name& node, const service_name& service, time_point now, std::uint64_t count)
    {
        m_windows[{ node, service, indexOf(now) }].refusedCritical += count;
    }

    void admitted(const node_name& node, const service_name& service, call_class importance, time_point now)
    {
        if (importance != call_class::critical)
            ++m_windows[{ node, service, indexOf(now) }].admittedLower;
    }

    [[nodiscard]] std::uint64_t count() const
    {
        std::uint64_t inversions = 0;
        for (const std::pair<const key, counts>& item : m_windows)
            inversions += item.second.admittedLower > 0 ? item.second.refusedCritical : 0;
        return inversions;
    }

private:
    struct counts {
        std::uint64_t refusedCritical = 0;
        std::uint64_t admittedLower = 0;
    };
    using key = std::tuple<node_name, service_name, std::int64_t>;

    [[nodiscard]] static std::int64_t indexOf(time_point now)
    {
        return now.sinceEpoch().whole() / windowLength.whole();
    }

    std::map<key, counts> m_windows;
};

/** @brief Runs one trial and computes its report. */
class trial {
public:
    trial(const group_settings& settings, const overload_trigger& trigger, const chart_set& charts)
        : m_settings { settings }
        , m_trigger { trigger }
        , m_group { settings, charts }
    {
        for (const catalogue_entry& entry : settings.shape.catalogue)
            m_costs[entry.name()]
                = costOf(settings.shape, entry.service(), entry.operation(), trigger.slowService, trigger.slowFactor);
        m_group.observe({ [this](const node_name& name, const node_event& event, const node_actions& actions,
                              time_point now) { observe(name, event, actions, now); } });
    }

    [[nodiscard]] overload_report run()
    {
        const double factor = normalFactor();
        m_group.run(startUpTime);
        m_group.setDemand(factor);
        m_group.run(m_trigger.durationBefore);
        m_start = m_group.now();
        sample();
        m_group.setDemand(factor * m_trigger.demandFactor);
        m_group.setSlow(m_trigger.slowService, m_trigger.slowFactor);
        m_group.run(m_trigger.duration);
        m_end = m_group.now();
        m_group.setDemand(factor);
        m_group.setSlow(m_trigger.slowService, 1.0);
        m_group.run(m_trigger.durationAfter);
        m_stop = m_group.now();
        m_group.setDemand(0.0);
        m_group.run(maxRequestTime * 5);
        return report();
    }

private:
    [[nodiscard]] double normalFactor() const
    {
        double used = 0.0;
        for (const entry_demand& demand : m_settings.shape.demand) {
            const entry_cost cost
                = costOf(m_settings.shape, demand.service, demand.operation, m_trigger.slowService, 1.0);
            used += demand.perSecond * cost.slotTime / 1000.0;
        }
        return m_trigger.load * slotsOf(m_settings.shape, m_trigger.slowService) / used;
    }

    [[nodiscard]] const catalogue_entry& entryOf(const request_record& request) const
    {
        return m_settings.shape.catalogue[request.entry];
    }

    /** @brief Samples the counts of refused critical calls, once per window. */
    void sample()
    {
        for (const node_name& name : m_group.names()) {
            const nlohmann::json state = m_group.describe(name);
            const std::uint64_t refused = state["counters"]["overloaded_critical"].get<std::uint64_t>();
            const std::uint64_t added = refused - std::exchange(m_refused[name], refused);
            if (added > 0)
                m_atUpstream.refused(name, "", m_group.now() - milliseconds { 1 }, added);
        }
        m_group.after(windowLength, [this] { sample(); });
    }

    void observe(const node_name& name, const node_event& event, const node_actions& actions, time_point now)
    {
        const call_arrived* arrived = std::get_if<call_arrived>(&event);
        const bool isEntry = arrived != nullptr && !arrived->context;
        bool isRefusedAtEntry = false;
        for (const node_action& action : actions) {
            if (const dispatch_call* dispatched = std::get_if<dispatch_call>(&action))
                m_atUpstream.admitted(name, "", dispatched->context.importance, now);
            const answer_caller* answer = std::get_if<answer_caller>(&action);
            if (isEntry && answer != nullptr && answer->handle == arrived->handle)
                isRefusedAtEntry = isRefusedAtEntry || countRefusal(name, *arrived, answer->outcome, now);
        }
        if (!isEntry || isRefusedAtEntry)
            return;
        const std::string entry = entryName(arrived->service, arrived->operation);
        for (const service_name& service : m_costs.at(entry).services)
            m_atEntry.admitted(name, service, classOf(entry), now);
    }

    [[nodiscard]] bool countRefusal(
        const node_name& name, const call_arrived& call, const call_result& outcome, time_point now)
    {
        const refused_not_run* refusal = std::get_if<refused_not_run>(&outcome);
        if (refusal == nullptr || refusal->message.find("further down") == std::string::npos)
            return false;
        const std::size_t begin = refusal->message.find('"') + 1;
        const service_name service = refusal->message.substr(begin, refusal->message.find('"', begin) - begin);
        if (classOf(entryName(call.service, call.operation)) == call_class::critical)
            m_atEntry.refused(name, service, now, 1);
        return true;
    }

    [[nodiscard]] call_class classOf(const std::string& entry) const
    {
        for (const catalogue_entry& known : m_settings.shape.catalogue) {
            if (known.name() == entry)
                return known.importance();
        }
        return call_class::low;
    }

    /** @brief Returns the share of each class that an ideal scheduler completes, highest class first. */
    [[nodiscard]] std::array<double, 4> oracleShares(const std::vector<std::uint64_t>& offered, double seconds) const
    {
        double remaining = slotsOf(m_settings.shape, m_trigger.slowService) * seconds * 1000.0;
        std::array<double, 4> shares {};
        for (std::size_t importance = 0; importance < shares.size(); ++importance) {
            double needed = 0.0;
            for (std::size_t index = 0; index < offered.size(); ++index) {
                const catalogue_entry& entry = m_settings.shape.catalogue[index];
                if (static_cast<std::size_t>(entry.importance()) == importance)
                    needed += static_cast<double>(offered[index]) * m_costs.at(entry.name()).slotTime;
            }
            shares[importance] = needed <= remaining ? 1.0 : remaining / needed;
            remaining = std::max(0.0, remaining - needed);
        }
        return shares;
    }

    [[nodiscard]] overload_report report() const
    {
        overload_report summary;
        const time_point end = m_end - maxRequestTime;
        std::vector<std::uint64_t> offered(m_settings.shape.catalogue.size());
        std::uint64_t successes = 0;
        std::uint64_t wasted = 0;
        for (const request_record& request : m_group.requests()) {
            if (request.sentAt < m_start || request.sentAt >= m_end)
                continue;
            summary.executions += request.executions;
            const std::uint32_t needed = request.isSuccessful() ? m_costs.at(entryOf(request).name()).calls : 0;
            wasted += request.executions - std::min(request.executions, needed);
            if (request.sentAt >= end)
                continue;
            ++offered[request.entry];
            summary.successesByClass[static_cast<std::size_t>(entryOf(request).importance())]
                += request.isSuccessful() ? 1 : 0;
            successes += request.isSuccessful() ? 1 : 0;
        }
        const std::array<double, 4> shares = oracleShares(offered, (end - m_start).count() / 1000.0);
        double possible = 0.0;
        for (std::size_t importance = 0; importance < shares.size(); ++importance) {
            double oracle = 0.0;
            for (std::size_t index = 0; index < offered.size(); ++index) {
                const catalogue_entry& entry = m_settings.shape.catalogue[index];
                if (static_cast<std::size_t>(entry.importance()) != importance)
                    continue;
                const bool usesSlow = m_costs.at(entry.name()).slotTime > 0.0;
                oracle += static_cast<double>(offered[index]) * (usesSlow ? shares[importance] : 1.0);
            }
            summary.oracleByClass[importance] = static_cast<std::uint64_t>(oracle);
            summary.goodputByClass[importance]
                = oracle < 1.0 ? 1.0 : static_cast<double>(summary.successesByClass[importance]) / oracle;
            possible += oracle;
        }
        summary.goodput = static_cast<double>(successes) / std::max(1.0, possible);
        summary.wastedShare
            = static_cast<double>(wasted) / static_cast<double>(std::max<std::uint64_t>(1, summary.executions));
        summary.recovery = recovery();
        summary.inversionsAtUpstream = m_atUpstream.count();
        summary.inversionsAtEntry = m_atEntry.count();
        return summary;
    }

    [[nodiscard]] milliseconds recovery() const
    {
        std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> windows; // successful requests and all requests
        for (const request_record& request : m_group.requests()) {
            if (request.sentAt < m_end || request.sentAt >= m_stop)
                continue;
            std::pair<std::uint64_t, std::uint64_t>& counts
                = windows[(request.sentAt - m_end).whole() / windowLength.whole()];
            counts.first += request.isSuccessful() ? 1 : 0;
            ++counts.second;
        }
        milliseconds last;
        for (const std::pair<const std::int64_t, std::pair<std::uint64_t, std::uint64_t>>& item : windows) {
            if (static_cast<double>(item.second.first) < minSuccessShare * static_cast<double>(item.second.second))
                last = windowLength * (item.first + 1);
        }
        return last;
    }

    group_settings m_settings;
    overload_trigger m_trigger;
    node_group m_group;
    std::map<std::string, entry_cost> m_costs;
    std::map<node_name, std::uint64_t> m_refused;
    inversion_counter m_atUpstream;
    inversion_counter m_atEntry;
    time_point m_start;
    time_point m_end;
    time_point m_stop;
};

} // namespace internal

overload_report runOverloadTrial(
    const group_settings& settings, const overload_trigger& trigger, const chart_set& charts)
{
    internal::trial trial { settings, trigger, charts };
    return trial.run();
}

} // namespace knapweedcroft
