#include "knapweedcroft/load/settings.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <optional>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxDurationMs = 3'600'000;
static constexpr std::int64_t maxBodyBytes = std::int64_t { 16 } * 1024 * 1024;
static constexpr double maxRate = 1'000'000.0;
static constexpr double maxFactor = 1'000.0;

[[nodiscard]] static milliseconds readDuration(
    json_reader& reader, std::string_view field, std::int64_t minMs, milliseconds fallback)
{
    return milliseconds { reader.integer(field, minMs, maxDurationMs, fallback.whole()) };
}

[[nodiscard]] static std::optional<error> readClient(
    const nlohmann::json& value, const std::string& context, client_settings& client)
{
    if (value.is_null())
        return std::nullopt;
    json_reader reader { value, context };
    const result<client_profile> profile = parseClientProfile(reader.string("profile", "hard"));
    if (hasValue(profile))
        client.profile = valueOf(profile);
    else
        reader.fail(errorOf(profile).kind, errorOf(profile).message);
    client.patience = readDuration(reader, "patience_ms", 1, client.patience);
    client.attemptTimeout = readDuration(reader, "attempt_timeout_ms", 1, client.attemptTimeout);
    client.retries = static_cast<std::uint32_t>(reader.integer("retries", 0, 100, client.retries));
    client.initialBackoff = readDuration(reader, "first_backoff_ms", 1, client.initialBackoff);
    return reader.finish();
}

[[nodiscard]] static std::optional<error> readFaults(
    const nlohmann::json& value, const std::string& context, std::vector<load_fault>& faults)
{
    if (value.is_null())
        return std::nullopt;
    if (!value.is_array())
        return error { error_kind::wrong_type, context + ": \"faults\" must be a list" };
    for (const nlohmann::json& item : value) {
        json_reader reader { item, context + ": fault " + std::to_string(faults.size() + 1) };
        load_fault fault;
        fault.service = reader.string("service");
        fault.host = reader.string("host", "");
        fault.slowFactor = reader.number("slow_factor", 0.0, maxFactor, 1.0);
        if (std::optional<error> found = reader.finish())
            return found;
        faults.push_back(std::move(fault));
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readPhases(
    const nlohmann::json& value, const std::string& context, std::vector<load_phase>& phases)
{
    constexpr double millisecondsPerSecond = 1000.0;
    if (!value.is_array() || value.empty())
        return error { error_kind::wrong_type, context + ": \"phases\" must be a list of at least one phase" };
    for (const nlohmann::json& item : value) {
        const std::string itemContext = context + ": phase " + std::to_string(phases.size() + 1);
        json_reader reader { item, itemContext };
        load_phase phase;
        phase.name = reader.string("name");
        phase.length
            = milliseconds::fromFraction(reader.number("seconds", 0.001, 3600.0, 10.0) * millisecondsPerSecond);
        phase.demand = reader.number("demand", 0.0, maxFactor, 1.0);
        const nlohmann::json& faults = reader.child("faults");
        if (std::optional<error> found = reader.finish())
            return found;
        if (std::optional<error> found = readFaults(faults, itemContext, phase.faults))
            return found;
        phases.push_back(std::move(phase));
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> readRates(
    const nlohmann::json& value, const std::string& context, std::map<std::string, double>& rates)
{
    if (value.is_null())
        return std::nullopt;
    if (!value.is_object())
        return error { error_kind::wrong_type, context + ": \"rates\" must be an object of calls per second by entry" };
    json_reader reader { value, context + ": rates" };
    for (const auto& item : value.items())
        rates[item.key()] = reader.number(item.key(), 0.0, maxRate, 0.0);
    return reader.finish();
}

} // namespace internal

result<load_settings> parseLoadSettings(const nlohmann::json& document, const std::string& context)
{
    load_settings parsed;
    json_reader reader { document, context };
    const std::string format = reader.string("format");
    if (format != loadFormat)
        reader.fail(error_kind::invalid_value,
            "format is \"" + format + "\"; this version reads \"" + std::string { loadFormat } + "\"");
    parsed.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    parsed.demand = reader.number("demand", 0.0, internal::maxFactor, 1.0);
    parsed.bodyBytes = reader.integer("body_bytes", 0, internal::maxBodyBytes, parsed.bodyBytes);
    parsed.prompt = internal::readDuration(reader, "prompt_ms", 1, parsed.prompt);
    parsed.settle = internal::readDuration(reader, "settle_ms", 0, parsed.settle);
    const nlohmann::json& rates = reader.child("rates");
    const nlohmann::json& clients = reader.child("clients");
    const nlohmann::json& phases = reader.child("phases");
    if (std::optional<error> found = reader.finish())
        return *found;
    if (std::optional<error> found = internal::readRates(rates, context, parsed.rates))
        return *found;
    if (std::optional<error> found = internal::readClient(clients, context + ": clients", parsed.client))
        return *found;
    if (std::optional<error> found = internal::readPhases(phases, context, parsed.phases))
        return *found;
    return parsed;
}

result<client_profile> parseClientProfile(std::string_view name)
{
    if (name == "hard")
        return client_profile::hard;
    if (name == "polite")
        return client_profile::polite;
    return error { error_kind::invalid_value,
        "client profile \"" + std::string { name } + "\" is not known; use hard or polite" };
}

} // namespace knapweedcroft
