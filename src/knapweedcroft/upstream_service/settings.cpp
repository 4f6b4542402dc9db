#include "knapweedcroft/upstream_service/settings.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxTime = 600'000;
static constexpr std::int64_t maxCount = 100'000;
static constexpr std::int64_t maxResponse = std::int64_t { 16 } * 1024 * 1024;
static constexpr std::int64_t maxAttempts = 100;
static constexpr double maxFactor = 1000.0;

static void keepError(json_reader& outer, const std::optional<error>& fault)
{
    if (fault)
        outer.fail(fault->kind, fault->message);
}

[[nodiscard]] static std::uint32_t readCount(
    json_reader& reader, std::string_view field, std::int64_t least, std::int64_t most, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(field, least, most, fallback));
}

[[nodiscard]] static upstream_sub_call readSubCall(json_reader& outer, const nlohmann::json& object)
{
    json_reader reader { object, "sub-call" };
    upstream_sub_call call;
    call.service = reader.string("service");
    call.operation = reader.string("operation");
    call.isKeyed = reader.boolean("keyed", false);
    keepError(outer, reader.finish());
    return call;
}

[[nodiscard]] static std::vector<std::vector<upstream_sub_call>> readSteps(
    json_reader& outer, const nlohmann::json& list)
{
    std::vector<std::vector<upstream_sub_call>> steps;
    if (list.is_null())
        return steps;
    if (!list.is_array()) {
        outer.fail(error_kind::wrong_type, "field \"calls\" must be a list of steps, each a list of sub-calls");
        return steps;
    }
    for (const nlohmann::json& item : list) {
        if (!item.is_array() || item.empty()) {
            outer.fail(error_kind::wrong_type, "each step of \"calls\" must be a list of at least one sub-call");
            return steps;
        }
        std::vector<upstream_sub_call> step;
        for (const nlohmann::json& call : item)
            step.push_back(readSubCall(outer, call));
        steps.push_back(std::move(step));
    }
    return steps;
}

[[nodiscard]] static upstream_operation readOperation(
    json_reader& outer, const std::string& name, const nlohmann::json& object)
{
    upstream_operation operation;
    json_reader reader { object, "operation " + name };
    operation.serviceTime
        = milliseconds::fromFraction(reader.number("service_time_ms", 0.0, static_cast<double>(maxTime), 10.0));
    operation.spread = reader.number("spread", 0.0, 1.0, operation.spread);
    operation.workBefore = reader.number("work_before", 0.0, 1.0, operation.workBefore);
    operation.hasEffect = reader.boolean("effect", operation.hasEffect);
    operation.responseBytes = readCount(reader, "response_bytes", 0, maxResponse, operation.responseBytes);
    operation.attempts = readCount(reader, "attempts", 1, maxAttempts, operation.attempts);
    operation.steps = readSteps(reader, reader.child("calls"));
    keepError(outer, reader.finish());
    return operation;
}

[[nodiscard]] static std::map<std::string, upstream_operation> readOperations(
    json_reader& outer, const nlohmann::json& object)
{
    std::map<std::string, upstream_operation> operations;
    if (!object.is_object() || object.empty()) {
        outer.fail(error_kind::wrong_type, "field \"operations\" must be an object with at least one operation");
        return operations;
    }
    for (const auto& item : object.items())
        operations.emplace(item.key(), readOperation(outer, item.key(), item.value()));
    return operations;
}

} // namespace internal

result<upstream_settings> readUpstreamSettings(const nlohmann::json& document, const std::string& context)
{
    constexpr std::int64_t maxPort = 65535;
    constexpr std::int64_t maxSeed = INT64_MAX;
    upstream_settings settings;
    json_reader reader { document, context };
    settings.name = reader.string("name");
    settings.service = reader.string("service");
    settings.data_centre = reader.string("data_centre", "");
    settings.host = reader.string("host", settings.host);
    settings.port = static_cast<std::uint16_t>(reader.integer("port", 0, maxPort, settings.port));
    settings.node = reader.string("node", "");
    settings.slots = internal::readCount(reader, "slots", 1, internal::maxCount, settings.slots);
    settings.connections = internal::readCount(reader, "connections", 1, internal::maxCount, settings.connections);
    settings.coldStart = milliseconds { reader.integer("cold_start_ms", 0, internal::maxTime, 0) };
    settings.coldFactor = reader.number("cold_factor", 1.0, internal::maxFactor, settings.coldFactor);
    settings.loadLag = milliseconds { reader.integer("load_lag_ms", 0, internal::maxTime, settings.loadLag.whole()) };
    settings.leaveTimeout
        = milliseconds { reader.integer("leave_timeout_ms", 1, internal::maxTime, settings.leaveTimeout.whole()) };
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, maxSeed, 1));
    settings.operations = internal::readOperations(reader, reader.child("operations"));
    if (std::optional<error> fault = reader.finish())
        return *std::move(fault);
    return settings;
}

result<upstream_faults> readUpstreamFaults(const nlohmann::json& document)
{
    constexpr double minFactor = 0.01;
    upstream_faults faults;
    json_reader reader { document, "faults" };
    faults.slowFactor = reader.number("slow_factor", minFactor, internal::maxFactor, faults.slowFactor);
    if (!reader.child("lie_load").is_null())
        faults.lieLoad = reader.number("lie_load", 0.0, 1.0, 0.0);
    faults.freeze = milliseconds { reader.integer("freeze_ms", 0, internal::maxTime, 0) };
    faults.isMute = reader.boolean("mute", faults.isMute);
    if (std::optional<error> fault = reader.finish())
        return *std::move(fault);
    return faults;
}

} // namespace knapweedcroft
