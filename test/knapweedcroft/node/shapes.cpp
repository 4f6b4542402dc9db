#include "knapweedcroft/node/shapes.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr double serviceTimeSpread = 0.2;

using steps = std::vector<std::vector<upstream_sub_call>>;

[[nodiscard]] static upstream_operation operation(std::int64_t serviceTime, bool hasEffect, steps calls)
{
    upstream_operation created;
    created.serviceTime = milliseconds { serviceTime };
    created.spread = serviceTimeSpread;
    created.hasEffect = hasEffect;
    created.steps = std::move(calls);
    return created;
}

[[nodiscard]] static catalogue_entry entry(
    const std::string& service, const std::string& name, call_class importance, bool isIdempotent, bool isLong)
{
    catalogue_entry_fields fields;
    fields.service = service;
    fields.operation = name;
    fields.owner = "test";
    fields.importance = importance;
    fields.isIdempotent = isIdempotent;
    fields.deadline = milliseconds { isLong ? 2000 : 1000 };
    fields.retryBudget = isLong ? 2 : 1;
    fields.maxSubCalls = 8;
    return valueOf(catalogue_entry::create(fields));
}

static void addService(group_shape& shape, const std::string& service, std::uint32_t slots, std::uint32_t connections,
    const std::vector<std::string>& dataCentres, const std::map<std::string, upstream_operation>& operations)
{
    for (std::size_t index = 0; index < dataCentres.size(); ++index) {
        upstream_settings host;
        host.name = service + "-" + std::to_string(index + 1);
        host.service = service;
        host.data_centre = dataCentres[index];
        host.slots = slots;
        host.connections = connections;
        host.operations = operations;
        shape.hosts.push_back(std::move(host));
    }
}

} // namespace internal

group_shape hyggesnakShape()
{
    using internal::entry;
    using internal::operation;
    const std::vector<std::string> centres { "aarhus", "odense", "roskilde", "viborg" };
    const upstream_sub_call lookup { "member_register", "lookup", false };
    const upstream_sub_call notes { "call_diary", "last_notes", false };
    const upstream_sub_call reserve { "call_planning", "reserve", true };
    group_shape shape;
    internal::addService(shape, "call_planning", 70, 500, centres,
        { { "day_list", operation(12, false, { { lookup }, { notes } }) },
            { "list", operation(10, false, { { notes } }) }, { "reserve", operation(8, true, { { lookup } }) } });
    internal::addService(
        shape, "home_visits", 70, 500, centres, { { "book", operation(10, true, { { lookup }, { reserve } }) } });
    internal::addService(shape, "call_diary", 70, 500, centres, { { "last_notes", operation(15, false, {}) } });
    internal::addService(shape, "member_register", 10, 150, centres, { { "lookup", operation(25, false, {}) } });
    shape.catalogue = { entry("home_visits", "book", call_class::critical, false, true),
        entry("call_planning", "reserve", call_class::critical, false, true),
        entry("call_planning", "day_list", call_class::high, true, false),
        entry("call_diary", "last_notes", call_class::normal, true, false),
        entry("call_planning", "list", call_class::normal, true, false),
        entry("member_register", "lookup", call_class::low, true, false) };
    shape.demand = { { "home_visits", "book", 50.0 }, { "call_planning", "day_list", 200.0 },
        { "call_diary", "last_notes", 80.0 }, { "call_planning", "list", 80.0 },
        { "member_register", "lookup", 200.0 } };
    return shape;
}

group_shape sinyaMrejaShape()
{
    using internal::entry;
    using internal::operation;
    const std::vector<std::string> centres { "varna_a", "varna_b", "varna_c" };
    const upstream_sub_call vessel { "vessel_register", "lookup", false };
    const upstream_sub_call species { "species_codes", "lookup", false };
    const upstream_sub_call debit { "quota", "debit", true };
    group_shape shape;
    internal::addService(shape, "vessel_register", 150, 1000, centres, { { "lookup", operation(15, false, {}) } });
    internal::addService(shape, "logbook", 150, 1000, centres,
        { { "file_haul", operation(10, true, { { vessel, species }, { debit } }) },
            { "list", operation(12, false, { { vessel } }) } });
    internal::addService(shape, "species_codes", 110, 750, { "varna_a", "varna_b", "varna_c", "varna_a" },
        { { "lookup", operation(12, false, {}) } });
    internal::addService(shape, "quota", 45, 350, centres,
        { { "debit", operation(100, true, {}) }, { "balance", operation(100, false, { { vessel } }) } });
    shape.catalogue = { entry("logbook", "file_haul", call_class::critical, false, true),
        entry("quota", "debit", call_class::critical, false, true),
        entry("quota", "balance", call_class::critical, true, false),
        entry("logbook", "list", call_class::normal, true, false),
        entry("vessel_register", "lookup", call_class::low, true, false),
        entry("species_codes", "lookup", call_class::low, true, false) };
    shape.demand = { { "logbook", "file_haul", 80.0 }, { "quota", "balance", 200.0 }, { "logbook", "list", 120.0 },
        { "vessel_register", "lookup", 100.0 }, { "species_codes", "lookup", 60.0 } };
    shape.linkLatency = milliseconds::fromMicroseconds(1500);
    shape.clientLatency = milliseconds { 8 };
    return shape;
}

} // namespace knapweedcroft
