#include "knapweedcroft/settings/node_program_settings.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <functional>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr double maxDurationMs = 86'400'000.0;
static constexpr std::int64_t maxPort = 65'535;

[[nodiscard]] static milliseconds readDuration(
    json_reader& reader, std::string_view field, double minValue, milliseconds fallback)
{
    return milliseconds::fromFraction(reader.number(field, minValue, maxDurationMs, fallback.count()));
}

[[nodiscard]] static std::uint32_t readCount(
    json_reader& reader, std::string_view field, std::int64_t minValue, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(field, minValue, UINT32_MAX, fallback));
}

[[nodiscard]] static limit_policy readLimit(json_reader& reader)
{
    const std::string name = reader.string("limit", "gradient");
    const double decrease = reader.number("aimd_decrease", 0.01, 0.99, aimd_limit {}.decrease);
    const double smoothing = reader.number("gradient_smoothing", 0.001, 1.0, gradient_limit {}.smoothing);
    const milliseconds target = readDuration(reader, "queue_delay_target_ms", 0.1, queue_delay_limit {}.target);
    const milliseconds interval = readDuration(reader, "queue_delay_interval_ms", 1, queue_delay_limit {}.interval);
    if (name == "fixed")
        return fixed_limit {};
    if (name == "aimd")
        return aimd_limit { decrease };
    if (name == "queue_delay")
        return queue_delay_limit { target, interval };
    if (name != "gradient")
        reader.fail(
            error_kind::invalid_value, "field \"limit\" must be \"fixed\", \"aimd\", \"gradient\" or \"queue_delay\"");
    return gradient_limit { smoothing };
}

[[nodiscard]] static queue_order readOrder(json_reader& reader)
{
    const std::string name = reader.string("order", "priority");
    if (name == "arrival")
        return arrival_order {};
    if (name == "random")
        return random_order {};
    if (name != "priority")
        reader.fail(error_kind::invalid_value, "field \"order\" must be \"arrival\", \"priority\" or \"random\"");
    return priority_order {};
}

static void readAdmission(json_reader& reader, admission_settings& settings)
{
    settings.isEnabled = reader.boolean("enabled", settings.isEnabled);
    settings.limit = readLimit(reader);
    settings.order = readOrder(reader);
    settings.dropsUnreachableDeadlines
        = reader.boolean("drop_unreachable_deadlines", settings.dropsUnreachableDeadlines);
    settings.initialLimit = readCount(reader, "initial_limit", 1, settings.initialLimit);
    settings.queueBound = readDuration(reader, "queue_bound_ms", 0, settings.queueBound);
    settings.thresholdValidity = readDuration(reader, "threshold_validity_ms", 0, settings.thresholdValidity);
    settings.initialServiceTime = readDuration(reader, "initial_service_time_ms", 0.001, settings.initialServiceTime);
    settings.shortestRetryAfter = readDuration(reader, "shortest_retry_after_ms", 1, settings.shortestRetryAfter);
    settings.longestRetryAfter = readDuration(reader, "longest_retry_after_ms", 1, settings.longestRetryAfter);
    if (settings.longestRetryAfter < settings.shortestRetryAfter)
        reader.fail(
            error_kind::out_of_range, "field \"longest_retry_after_ms\" must not be below \"shortest_retry_after_ms\"");
}

static void readRouting(json_reader& reader, routing_settings& settings)
{
    settings.foreignPenalty = reader.number("foreign_penalty", 1.0, 1000.0, settings.foreignPenalty);
    settings.ejectionFailures = readCount(reader, "ejection_failures", 1, settings.ejectionFailures);
    settings.firstEjection = readDuration(reader, "first_ejection_ms", 1, settings.firstEjection);
    settings.longestEjection = readDuration(reader, "longest_ejection_ms", 1, settings.longestEjection);
    settings.rampTime = readDuration(reader, "ramp_time_ms", 0, settings.rampTime);
    if (settings.longestEjection < settings.firstEjection)
        reader.fail(error_kind::out_of_range, "field \"longest_ejection_ms\" must not be below \"first_ejection_ms\"");
}

static void readPressure(json_reader& reader, pressure_settings& settings)
{
    settings.isEnabled = reader.boolean("enabled", settings.isEnabled);
    settings.longestValidity = readDuration(reader, "longest_validity_ms", 1, settings.longestValidity);
}

static void readMembership(json_reader& reader, membership_settings& settings)
{
    settings.heartbeatInterval = readDuration(reader, "heartbeat_interval_ms", 10, settings.heartbeatInterval);
    settings.suspicionTime = readDuration(reader, "suspicion_time_ms", 10, settings.suspicionTime);
    settings.leaseTime = readDuration(reader, "lease_time_ms", 10, settings.leaseTime);
    settings.skewBound = readDuration(reader, "skew_bound_ms", 1, settings.skewBound);
    if (settings.suspicionTime < settings.heartbeatInterval * 2)
        reader.fail(
            error_kind::out_of_range, "field \"suspicion_time_ms\" must be at least twice \"heartbeat_interval_ms\"");
    if (settings.leaseTime < settings.heartbeatInterval * 2)
        reader.fail(
            error_kind::out_of_range, "field \"lease_time_ms\" must be at least twice \"heartbeat_interval_ms\"");
}

static void readIdempotency(json_reader& reader, idempotency_settings& settings)
{
    constexpr std::int64_t maxKeys = 100'000'000;
    constexpr std::int64_t maxBytes = std::int64_t { 64 } * 1024 * 1024 * 1024;
    settings.maxKeys
        = static_cast<std::size_t>(reader.integer("max_keys", 1, maxKeys, static_cast<std::int64_t>(settings.maxKeys)));
    settings.maxAnswerBytes = static_cast<std::size_t>(
        reader.integer("max_answer_bytes", 0, maxBytes, static_cast<std::int64_t>(settings.maxAnswerBytes)));
    settings.skewBound = readDuration(reader, "skew_bound_ms", 1, settings.skewBound);
}

static void readLimits(json_reader& reader, node_program_settings& settings)
{
    // A body must fit into a frame between nodes, which has at most 16 MiB (see maxFrameBytes).
    constexpr std::int64_t maxBodyLimit = std::int64_t { 8 } * 1024 * 1024;
    constexpr std::int64_t minHeaderLimit = 1024;
    constexpr std::int64_t maxHeaderLimit = std::int64_t { 64 } * 1024;
    settings.maxBodyBytes = static_cast<std::size_t>(
        reader.integer("max_body_bytes", 1, maxBodyLimit, static_cast<std::int64_t>(settings.maxBodyBytes)));
    settings.maxHeaderBytes = static_cast<std::size_t>(reader.integer(
        "max_header_bytes", minHeaderLimit, maxHeaderLimit, static_cast<std::int64_t>(settings.maxHeaderBytes)));
}

// Reads a nested object if it is present; its error is stored in `fault` unless that holds an earlier one.
template <typename Settings>
static void readSection(json_reader& reader, const char* field, Settings& settings,
    void (*read)(json_reader&, Settings&), std::optional<error>& fault)
{
    const nlohmann::json& section = reader.child(field);
    if (section.is_null())
        return;
    json_reader nested { section, reader.context() + ": field \"" + field + "\"" };
    read(nested, settings);
    const std::optional<error> found = nested.finish();
    if (found && !fault)
        fault = found;
}

[[nodiscard]] static std::string readName(json_reader& reader, std::string_view field)
{
    constexpr std::size_t maxNameBytes = 128;
    std::string name = reader.string(field);
    const bool hasOnlyAllowedCharacters
        = name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-")
        == std::string::npos;
    if (name.empty() || name.size() > maxNameBytes || !hasOnlyAllowedCharacters)
        reader.fail(error_kind::invalid_value,
            "field \"" + std::string { field } + "\" must have 1 to 128 letters, digits, \"_\", \"-\" or \".\"");
    return name;
}

static void checkAddress(json_reader& reader, std::string_view field, const std::string& address)
{
    const result<host_port> parsed = parseHostPort(address);
    if (!hasValue(parsed))
        reader.fail(error_kind::invalid_value, "field \"" + std::string { field } + "\": " + errorOf(parsed).message);
}

} // namespace internal

result<node_program_settings> readNodeSettings(const nlohmann::json& document, const std::string& context)
{
    node_program_settings settings;
    json_reader reader { document, context };
    std::optional<error> nestedFault;
    settings.node.name = internal::readName(reader, "name");
    settings.node.service = internal::readName(reader, "service");
    settings.node.data_centre = internal::readName(reader, "data_centre");
    settings.host = reader.string("host", settings.host);
    internal::checkAddress(reader, "host", settings.host + ":0");
    settings.httpPort = static_cast<std::uint16_t>(reader.integer("http_port", 0, internal::maxPort, 0));
    settings.peerPort = static_cast<std::uint16_t>(reader.integer("peer_port", 0, internal::maxPort, 0));
    settings.log = reader.string("log");
    internal::checkAddress(reader, "log", settings.log);
    settings.node.seeds = reader.strings("seeds");
    for (const std::string& seed : settings.node.seeds)
        internal::checkAddress(reader, "seeds", seed);
    settings.node.chartsDirectory = reader.string("charts");
    settings.node.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    const std::optional<log_level> level = parseLogLevel(reader.string("log_level", "info"));
    if (!level)
        reader.fail(
            error_kind::invalid_value, "field \"log_level\" must be \"debug\", \"info\", \"warning\" or \"error\"");
    settings.logging.level = level.value_or(log_level::info);
    settings.logging.file = reader.string("log_file", "");
    internal::readSection(reader, "limits", settings, &internal::readLimits, nestedFault);
    internal::readSection(reader, "admission", settings.node.admission, &internal::readAdmission, nestedFault);
    internal::readSection(reader, "routing", settings.node.routing, &internal::readRouting, nestedFault);
    internal::readSection(reader, "pressure", settings.node.pressure, &internal::readPressure, nestedFault);
    internal::readSection(reader, "membership", settings.node.membership, &internal::readMembership, nestedFault);
    internal::readSection(reader, "idempotency", settings.node.idempotency, &internal::readIdempotency, nestedFault);
    const std::optional<error> fault = reader.finish();
    if (fault)
        return *fault;
    if (nestedFault)
        return *nestedFault;
    return settings;
}

} // namespace knapweedcroft
