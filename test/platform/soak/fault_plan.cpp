#include "soak/fault_plan.hpp"

#include <algorithm>
#include <random>

namespace knapweedcroft::platform {

namespace internal {

struct kind_name {
    fault_kind kind;
    std::string_view name;
};

static constexpr std::array<kind_name, 28> kindNames { { { fault_kind::node_kill, "node_kill" },
    { fault_kind::node_freeze, "node_freeze" }, { fault_kind::node_stop, "node_stop" },
    { fault_kind::kill_all, "kill_all" }, { fault_kind::links_silent, "links_silent" },
    { fault_kind::links_one_way, "links_one_way" }, { fault_kind::links_reset, "links_reset" },
    { fault_kind::links_slow, "links_slow" }, { fault_kind::store_refusing, "store_refusing" },
    { fault_kind::store_silent, "store_silent" }, { fault_kind::store_slow, "store_slow" },
    { fault_kind::store_answers_lost, "store_answers_lost" }, { fault_kind::store_forgets, "store_forgets" },
    { fault_kind::upstream_crash, "upstream_crash" }, { fault_kind::upstream_slow, "upstream_slow" },
    { fault_kind::upstream_answers_lost, "upstream_answers_lost" },
    { fault_kind::configuration_change, "configuration_change" }, { fault_kind::store_older_copy, "store_older_copy" },
    { fault_kind::store_away, "store_away" }, { fault_kind::store_away_refusing, "store_away_refusing" },
    { fault_kind::data_centre_turned_away, "data_centre_turned_away" },
    { fault_kind::connections_silenced, "connections_silenced" }, { fault_kind::kill_some, "kill_some" },
    { fault_kind::node_reload, "node_reload" }, { fault_kind::upstream_limited, "upstream_limited" },
    { fault_kind::upstream_leaving, "upstream_leaving" }, { fault_kind::upstream_left, "upstream_left" },
    { fault_kind::poison_requests, "poison_requests" } } };

// Kinds added later are drawn after the others, so that the faults of earlier seeds stay as they were.
static constexpr std::size_t firstKinds = 17;
static constexpr std::size_t allKinds = 18; // The kinds after these are only drawn for configuration plans.

// Draws numbers that depend only on the seed and on the order of the calls.
class bounded_random {
public:
    explicit bounded_random(std::uint64_t seed)
        : m_random { seed }
    {
    }

    [[nodiscard]] std::int64_t operator()(std::int64_t minValue, std::int64_t maxValue)
    {
        return std::uniform_int_distribution<std::int64_t> { minValue, maxValue }(m_random);
    }

private:
    std::mt19937_64 m_random;
};

static void sortByStart(std::vector<planned_fault>& faults)
{
    std::sort(faults.begin(), faults.end(),
        [](const planned_fault& lhs, const planned_fault& rhs) { return lhs.start < rhs.start; });
}

} // namespace internal

std::string_view toString(fault_kind kind)
{
    for (const internal::kind_name& item : internal::kindNames) {
        if (item.kind == kind)
            return item.name;
    }
    return "unknown";
}

fault_plan generateFaultPlan(std::uint64_t seed)
{
    internal::bounded_random draw { seed };
    constexpr std::int64_t minStartMs = 300;
    constexpr std::int64_t maxEndMs = 5500;
    constexpr std::int64_t minDurationMs = 200;
    constexpr std::int64_t maxDurationMs = 2500;
    fault_plan plan;
    const std::int64_t count = draw(4, 9);
    for (std::int64_t number = 0; number < count; ++number) {
        planned_fault fault;
        fault.kind = internal::kindNames[static_cast<std::size_t>(
                                             draw(0, static_cast<std::int64_t>(internal::firstKinds) - 1))]
                         .kind;
        fault.host = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(plan.hosts) - 1));
        const std::int64_t duration = draw(minDurationMs, maxDurationMs);
        fault.duration = milliseconds { duration };
        fault.start = milliseconds { draw(minStartMs, maxEndMs - duration) };
        plan.faults.push_back(fault);
    }
    for (std::size_t number = internal::firstKinds; number < internal::allKinds; ++number) {
        planned_fault fault;
        fault.kind = internal::kindNames[number].kind;
        fault.duration = milliseconds { minDurationMs };
        fault.start = milliseconds { draw(minStartMs, maxEndMs - minDurationMs) };
        if (draw(0, 1) == 1)
            plan.faults.push_back(fault);
    }
    internal::sortByStart(plan.faults);
    return plan;
}

// The faults of `generateFaultPlan` stay as they are for each seed.
fault_plan generateUpstreamPlan(std::uint64_t seed)
{
    fault_plan plan = generateFaultPlan(seed);
    internal::bounded_random draw { seed };
    constexpr std::int64_t limitDurationMs = 5000; // A limit is checked over 4 s.
    const auto drawHost
        = [&plan, &draw] { return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(plan.hosts) - 1)); };
    const bool isLimited = draw(0, 1) == 1;
    const bool isLeaving = draw(0, 2) == 0;
    const bool isPoisoned = draw(0, 2) == 0;
    plan.upstreamRateLimit = static_cast<double>(draw(1, 30));
    if (isLimited)
        plan.faults.push_back({ fault_kind::upstream_limited, drawHost(), milliseconds { draw(300, 500) },
            milliseconds { limitDurationMs } });
    if (isLeaving)
        plan.faults.push_back({ fault_kind::upstream_leaving, drawHost(), milliseconds { draw(300, 2000) },
            milliseconds { draw(1000, 3500) } });
    if (isPoisoned)
        plan.faults.push_back({ fault_kind::poison_requests, drawHost(), milliseconds { draw(300, 1000) },
            milliseconds { draw(1000, 4500) } });
    // A leave beside restarts of the node that acknowledges it, some of them while the store is away.
    if (draw(0, 1) == 1) {
        const std::size_t host = drawHost();
        const std::int64_t start = draw(300, 1500);
        const std::int64_t end = draw(4500, 5500);
        plan.faults.push_back(
            { fault_kind::upstream_left, host, milliseconds { start }, milliseconds { end - start } });
        const std::int64_t restarts = draw(1, 2);
        for (std::int64_t number = 0; number < restarts; ++number)
            plan.faults.push_back({ draw(0, 1) == 1 ? fault_kind::node_kill : fault_kind::node_stop, host,
                milliseconds { start + draw(0, 600) }, milliseconds { draw(100, 400) } });
        if (draw(0, 1) == 1)
            plan.faults.push_back({ fault_kind::store_away_refusing, 0, milliseconds { start - draw(0, 300) },
                milliseconds { draw(500, 2500) } });
    }
    internal::sortByStart(plan.faults);
    return plan;
}

fault_plan generateConfigurationPlan(std::uint64_t seed)
{
    internal::bounded_random draw { seed };
    constexpr std::uint64_t largeInterval = 10;
    constexpr std::size_t largeHosts = 100;
    constexpr std::array<std::size_t, 3> groupSizes { 0, 2, 8 };
    constexpr std::array<fault_kind, 9> kinds { fault_kind::store_away, fault_kind::store_away,
        fault_kind::store_away_refusing, fault_kind::data_centre_turned_away, fault_kind::data_centre_turned_away,
        fault_kind::connections_silenced, fault_kind::store_forgets, fault_kind::kill_some, fault_kind::kill_all };
    constexpr std::array<fault_kind, 5> nodeKinds { fault_kind::node_kill, fault_kind::node_freeze,
        fault_kind::node_stop, fault_kind::links_silent, fault_kind::node_reload };
    fault_plan plan;
    plan.hosts = seed % largeInterval == 0 ? largeHosts : static_cast<std::size_t>(draw(2, 6)) * 2;
    plan.sharedReadingFrom = groupSizes.at(static_cast<std::size_t>(draw(0, 2)));
    plan.loadDuration = milliseconds { 24'000 };
    plan.hasProbes = true;
    const auto add = [&plan, &draw](fault_kind kind, std::int64_t start, std::int64_t duration) {
        const std::int64_t host = draw(0, static_cast<std::int64_t>(plan.hosts) - 1);
        plan.faults.push_back(
            { kind, static_cast<std::size_t>(host), milliseconds { start }, milliseconds { duration } });
    };
    // The last fault ends 6 s before the load, so that the deadline of its changes passes under load.
    constexpr std::int64_t maxEndMs = 18'000;
    for (std::int64_t start = draw(500, 2000); start < maxEndMs - 1000; start += draw(2000, 7000)) {
        const fault_kind kind
            = kinds.at(static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kinds.size()) - 1)));
        // Nodes that are turned away have 7 s to apply a change.
        const std::int64_t minDuration = kind == fault_kind::data_centre_turned_away ? 8000 : 300;
        const std::int64_t duration = std::min<std::int64_t>(draw(minDuration, 10'000), maxEndMs - start);
        add(kind, start, duration);
        add(fault_kind::configuration_change, start + draw(0, draw(0, 1) == 1 ? 500 : duration), 0);
        add(fault_kind::configuration_change, start + duration + draw(0, 400), 0);
        const std::int64_t nodeFaults = draw(0, 3);
        for (std::int64_t number = 0; number < nodeFaults; ++number)
            add(nodeKinds.at(static_cast<std::size_t>(draw(0, 4))), start + draw(0, duration), draw(200, 1500));
    }
    internal::sortByStart(plan.faults);
    return plan;
}

fault_plan generateSignalPlan(std::uint64_t seed)
{
    internal::bounded_random draw { seed };
    constexpr std::uint64_t largeInterval = 10;
    constexpr std::size_t largeHosts = 60;
    constexpr std::array<fault_kind, 8> kinds { fault_kind::node_stop, fault_kind::node_stop, fault_kind::node_stop,
        fault_kind::node_reload, fault_kind::node_reload, fault_kind::node_kill, fault_kind::configuration_change,
        fault_kind::configuration_change };
    constexpr std::int64_t maxEndMs = 11'000;
    fault_plan plan;
    plan.hosts = seed % largeInterval == 0 ? largeHosts : static_cast<std::size_t>(draw(2, 5)) * 2;
    plan.loadDuration = milliseconds { 12'000 };
    for (std::int64_t start = draw(300, 800); start < maxEndMs - 1000; start += draw(500, 2500)) {
        const std::int64_t host = draw(0, static_cast<std::int64_t>(plan.hosts) - 1);
        const std::int64_t signals = draw(2, 6);
        for (std::int64_t number = 0; number < signals; ++number) {
            // Half of the signals of a series go to the same host.
            const std::int64_t target = draw(0, 1) == 1 ? host : draw(0, static_cast<std::int64_t>(plan.hosts) - 1);
            plan.faults.push_back(
                { kinds.at(static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kinds.size()) - 1))),
                    static_cast<std::size_t>(target), milliseconds { start + draw(0, 900) },
                    milliseconds { draw(50, 100) } });
        }
    }
    internal::sortByStart(plan.faults);
    return plan;
}

std::string describe(const fault_plan& plan)
{
    std::string text = std::to_string(plan.hosts) + " hosts, shared reading from "
        + std::to_string(plan.sharedReadingFrom) + " nodes, limits of " + std::to_string(plan.upstreamRateLimit)
        + " requests per second";
    for (const planned_fault& fault : plan.faults) {
        text += ", " + std::string { toString(fault.kind) } + " of host " + std::to_string(fault.host) + " from "
            + std::to_string(fault.start.whole()) + " for " + std::to_string(fault.duration.whole()) + " ms";
    }
    return text;
}

} // namespace knapweedcroft::platform
