#include "knapweedcroft/load/shape.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxChainLength = 16;
static constexpr std::int64_t maxTimeMs = 3'600'000;
static constexpr std::int64_t maxSlots = 1'000'000;
static constexpr std::int64_t maxAttempts = 16;
static constexpr std::int64_t maxResponseBytes = std::int64_t { 16 } * 1024 * 1024;
static constexpr double maxRate = 1'000'000.0;

[[nodiscard]] static std::string indexed(const std::string& context, std::string_view part, std::size_t index)
{
    return context + ": " + std::string { part } + " " + std::to_string(index + 1);
}

[[nodiscard]] static std::optional<error> readCall(
    const nlohmann::json& value, const std::string& context, shape_call& call)
{
    json_reader reader { value, context };
    call.service = reader.string("service");
    call.operation = reader.string("operation");
    call.isKeyed = reader.boolean("keyed", false);
    return reader.finish();
}

[[nodiscard]] static std::optional<error> readSteps(
    const nlohmann::json& value, const std::string& context, std::vector<std::vector<shape_call>>& steps)
{
    if (value.is_null())
        return std::nullopt;
    if (!value.is_array())
        return error { error_kind::wrong_type, context + ": \"calls\" must be a list of steps" };
    for (const nlohmann::json& step : value) {
        if (!step.is_array())
            return error { error_kind::wrong_type, context + ": each step in \"calls\" must be a list of calls" };
        std::vector<shape_call> calls;
        for (const nlohmann::json& item : step) {
            shape_call call;
            if (std::optional<error> found = readCall(item, indexed(context, "call", calls.size()), call))
                return found;
            calls.push_back(std::move(call));
        }
        steps.push_back(std::move(calls));
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readOperation(
    const nlohmann::json& value, const std::string& context, shape_operation& operation)
{
    json_reader reader { value, context };
    operation.serviceTimeMs = reader.number("service_time_ms", 0.0, static_cast<double>(maxTimeMs), 10.0);
    operation.spread = reader.number("spread", 0.0, 1.0, 0.2);
    operation.hasEffect = reader.boolean("effect", false);
    operation.responseBytes = reader.integer("response_bytes", 0, maxResponseBytes, 300);
    operation.attempts = reader.integer("attempts", 1, maxAttempts, 1);
    const nlohmann::json& calls = reader.child("calls");
    if (std::optional<error> found = reader.finish())
        return found;
    return readSteps(calls, context, operation.steps);
}

[[nodiscard]] static std::optional<error> readHosts(
    const nlohmann::json& value, const std::string& context, std::vector<shape_host>& hosts)
{
    if (!value.is_array() || value.empty())
        return error { error_kind::wrong_type, context + ": \"hosts\" must be a list of at least one host" };
    for (const nlohmann::json& item : value) {
        json_reader reader { item, indexed(context, "host", hosts.size()) };
        shape_host host;
        host.name = reader.string("name");
        host.data_centre = reader.string("data_centre");
        if (std::optional<error> found = reader.finish())
            return found;
        hosts.push_back(std::move(host));
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readService(
    const nlohmann::json& value, const std::string& context, shape_service& service)
{
    json_reader reader { value, context };
    service.name = reader.string("name");
    service.slots = reader.integer("slots", 1, maxSlots);
    service.connections = reader.integer("connections", 1, maxSlots);
    service.coldStartMs = reader.integer("cold_start_ms", 0, maxTimeMs, 0);
    const nlohmann::json& hosts = reader.child("hosts");
    const nlohmann::json& operations = reader.child("operations");
    if (std::optional<error> found = reader.finish())
        return found;
    const std::string named = context + " (" + service.name + ")";
    if (std::optional<error> found = readHosts(hosts, named, service.hosts))
        return found;
    if (!operations.is_object() || operations.empty())
        return error { error_kind::wrong_type,
            named + ": \"operations\" must be an object with at least one operation" };
    for (const auto& item : operations.items()) {
        const std::string operationContext = named + ": operation " + item.key();
        if (std::optional<error> found = readOperation(item.value(), operationContext, service.operations[item.key()]))
            return found;
    }
    return std::nullopt;
}

[[nodiscard]] static const shape_operation* findOperation(
    const shape& from, std::string_view service, std::string_view operation) noexcept
{
    const shape_service* owner = findService(from, service);
    if (owner == nullptr)
        return nullptr;
    const auto position = owner->operations.find(std::string { operation });
    return position == owner->operations.end() ? nullptr : &position->second;
}

[[nodiscard]] static std::optional<error> checkCalls(const shape& from, const std::string& context,
    const std::string& service, const std::string& operation, std::size_t depth)
{
    const std::string name = entryName(service, operation);
    if (depth > maxChainLength)
        return error { error_kind::invalid_value,
            context + ": the calls of " + name + " form a cycle or a chain of more than "
                + std::to_string(maxChainLength) + " calls; shorten it" };
    const shape_operation* found = findOperation(from, service, operation);
    if (found == nullptr)
        return error { error_kind::invalid_value,
            context + ": operation " + name + " is called but not described; add it to its service" };
    for (const std::vector<shape_call>& step : found->steps) {
        for (const shape_call& call : step) {
            if (std::optional<error> fault = checkCalls(from, context, call.service, call.operation, depth + 1))
                return fault;
        }
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> checkHosts(const shape& from, const std::string& context)
{
    std::set<std::string> names;
    for (const shape_service& service : from.services) {
        for (const shape_host& host : service.hosts) {
            if (!names.insert(host.name).second)
                return error { error_kind::invalid_value,
                    context + ": host " + host.name + " is listed twice; give each host its own name" };
            const bool isKnown = std::find(from.data_centres.begin(), from.data_centres.end(), host.data_centre)
                != from.data_centres.end();
            if (!isKnown)
                return error { error_kind::invalid_value,
                    context + ": host " + host.name + " is in data centre \"" + host.data_centre
                        + "\", which is not in \"data_centres\"; add it there" };
        }
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readEntries(
    const nlohmann::json& catalogue, const std::string& context, shape& into)
{
    if (!catalogue.is_array())
        return error { error_kind::wrong_type, context + ": the catalogue must be a list of entries" };
    for (const nlohmann::json& item : catalogue) {
        const std::string entryContext = indexed(context, "catalogue entry", into.entries.size());
        result<catalogue_entry> entry = catalogue_entry::fromJson(item, entryContext, unknown_fields::refused);
        if (!hasValue(entry))
            return errorOf(entry);
        if (findOperation(into, valueOf(entry).service(), valueOf(entry).operation()) == nullptr)
            return error { error_kind::invalid_value,
                entryContext + ": operation " + valueOf(entry).name() + " is not in the shape; add it to its service" };
        into.entries.push_back(shape_entry { valueOf(std::move(entry)), 0.0 });
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readDemand(
    const nlohmann::json& demand, const std::string& context, shape& into)
{
    json_reader reader { demand, context + ": demand" };
    for (shape_entry& item : into.entries)
        item.rate = reader.number(item.entry.name(), 0.0, maxRate, 0.0);
    return reader.finish();
}

[[nodiscard]] static std::optional<error> readServices(
    const nlohmann::json& services, const std::string& context, shape& into)
{
    if (!services.is_array() || services.empty())
        return error { error_kind::wrong_type, context + ": \"services\" must be a list of at least one service" };
    for (const nlohmann::json& item : services) {
        shape_service service;
        if (std::optional<error> found = readService(item, indexed(context, "service", into.services.size()), service))
            return found;
        into.services.push_back(std::move(service));
    }
    for (const shape_service& service : into.services) {
        for (const std::pair<const std::string, shape_operation>& item : service.operations) {
            if (std::optional<error> found = checkCalls(into, context, service.name, item.first, 1))
                return found;
        }
    }
    return checkHosts(into, context);
}

static void addCalls(const shape& from, std::string_view service, std::string_view operation, call_tree& tree)
{
    ++tree[entryName(service, operation)];
    const shape_operation* found = findOperation(from, service, operation);
    if (found == nullptr)
        return;
    for (const std::vector<shape_call>& step : found->steps) {
        for (const shape_call& call : step)
            addCalls(from, call.service, call.operation, tree);
    }
}

} // namespace internal

result<shape> parseShape(const nlohmann::json& document, const nlohmann::json& catalogue, const std::string& context)
{
    shape parsed;
    json_reader reader { document, context };
    const std::string format = reader.string("format");
    if (format != shapeFormat)
        reader.fail(error_kind::invalid_value,
            "format is \"" + format + "\"; this version reads \"" + std::string { shapeFormat } + "\"");
    parsed.name = reader.string("name");
    [[maybe_unused]] const std::string cataloguePath = reader.string("catalogue", "catalogue.json");
    parsed.data_centres = reader.strings("data_centres");
    const nlohmann::json& services = reader.child("services");
    const nlohmann::json& demand = reader.child("demand");
    if (std::optional<error> found = reader.finish())
        return *found;
    if (std::optional<error> found = internal::readServices(services, context, parsed))
        return *found;
    if (std::optional<error> found = internal::readEntries(catalogue, context, parsed))
        return *found;
    if (std::optional<error> found = internal::readDemand(demand, context, parsed))
        return *found;
    return parsed;
}

result<shape> readShape(const std::string& path)
{
    const result<nlohmann::json> document = readJsonFile(path);
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), path };
    const std::string catalogueName = reader.string("catalogue", "catalogue.json");
    if (std::optional<error> found = reader.finishLenient())
        return *found;
    const std::string cataloguePath = (std::filesystem::path { path }.parent_path() / catalogueName).string();
    const result<nlohmann::json> catalogue = readJsonFile(cataloguePath);
    if (!hasValue(catalogue))
        return errorOf(catalogue);
    result<shape> parsed = parseShape(valueOf(document), valueOf(catalogue), path);
    if (shape* value = std::get_if<shape>(&parsed))
        value->cataloguePath = cataloguePath;
    return parsed;
}

const shape_service* findService(const shape& from, std::string_view name) noexcept
{
    const auto position = std::find_if(from.services.begin(), from.services.end(),
        [name](const shape_service& service) { return service.name == name; });
    return position == from.services.end() ? nullptr : &*position;
}

const shape_entry* findEntry(const shape& from, std::string_view name) noexcept
{
    const auto position = std::find_if(from.entries.begin(), from.entries.end(),
        [name](const shape_entry& item) { return item.entry.name() == name; });
    return position == from.entries.end() ? nullptr : &*position;
}

call_tree callTree(const shape& from, std::string_view service, std::string_view operation)
{
    call_tree tree;
    internal::addCalls(from, service, operation, tree);
    return tree;
}

} // namespace knapweedcroft
