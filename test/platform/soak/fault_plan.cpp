#include "soak/fault_plan.hpp"

#include <algorithm>
#include <random>

namespace knapweedcroft::platform {

namespace internal {

struct kind_name {
    fault_kind kind;
    std::string_view name;
};

static constexpr std::array<kind_name, 18> kindNames { { { fault_kind::node_kill, "node_kill" },
    { fault_kind::node_freeze, "node_freeze" }, { fault_kind::node_stop, "node_stop" },
    { fault_kind::kill_all, "kill_all" }, { fault_kind::links_silent, "links_silent" },
    { fault_kind::links_one_way, "links_one_way" }, { fault_kind::links_reset, "links_reset" },
    { fault_kind::links_slow, "links_slow" }, { fault_kind::store_refusing, "store_refusing" },
    { fault_kind::store_silent, "store_silent" }, { fault_kind::store_slow, "store_slow" },
    { fault_kind::store_answers_lost, "store_answers_lost" }, { fault_kind::store_forgets, "store_forgets" },
    { fault_kind::upstream_crash, "upstream_crash" }, { fault_kind::upstream_slow, "upstream_slow" },
    { fault_kind::upstream_answers_lost, "upstream_answers_lost" },
    { fault_kind::configuration_change, "configuration_change" },
    { fault_kind::store_older_copy, "store_older_copy" } } };

// Kinds added later are drawn after the others, so that the faults of earlier seeds stay as they were.
static constexpr std::size_t firstKinds = 17;

} // namespace internal

std::string_view toString(fault_kind kind)
{
    for (const internal::kind_name& item : internal::kindNames) {
        if (item.kind == kind)
            return item.name;
    }
    return "unknown";
}

std::vector<planned_fault> generateFaultPlan(std::uint64_t seed, std::size_t hosts)
{
    std::mt19937_64 random { seed };
    const auto draw = [&random](std::int64_t minValue, std::int64_t maxValue) {
        return std::uniform_int_distribution<std::int64_t> { minValue, maxValue }(random);
    };
    constexpr std::int64_t minStartMs = 300;
    constexpr std::int64_t maxEndMs = 5500;
    constexpr std::int64_t minDurationMs = 200;
    constexpr std::int64_t maxDurationMs = 2500;
    std::vector<planned_fault> plan;
    const std::int64_t count = draw(4, 9);
    for (std::int64_t number = 0; number < count; ++number) {
        planned_fault fault;
        fault.kind = internal::kindNames[static_cast<std::size_t>(
                                             draw(0, static_cast<std::int64_t>(internal::firstKinds) - 1))]
                         .kind;
        fault.host = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(hosts) - 1));
        const std::int64_t duration = draw(minDurationMs, maxDurationMs);
        fault.duration = milliseconds { duration };
        fault.start = milliseconds { draw(minStartMs, maxEndMs - duration) };
        plan.push_back(fault);
    }
    for (std::size_t number = internal::firstKinds; number < internal::kindNames.size(); ++number) {
        planned_fault fault;
        fault.kind = internal::kindNames[number].kind;
        fault.duration = milliseconds { minDurationMs };
        fault.start = milliseconds { draw(minStartMs, maxEndMs - minDurationMs) };
        if (draw(0, 1) == 1)
            plan.push_back(fault);
    }
    std::sort(plan.begin(), plan.end(),
        [](const planned_fault& lhs, const planned_fault& rhs) { return lhs.start < rhs.start; });
    return plan;
}

std::string describe(const std::vector<planned_fault>& plan)
{
    std::string text;
    for (const planned_fault& fault : plan) {
        text += text.empty() ? "" : ", ";
        text += std::string { toString(fault.kind) } + " of host " + std::to_string(fault.host) + " from "
            + std::to_string(fault.start.whole()) + " for " + std::to_string(fault.duration.whole()) + " ms";
    }
    return text;
}

} // namespace knapweedcroft::platform
