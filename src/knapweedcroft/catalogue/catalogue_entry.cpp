#include "knapweedcroft/catalogue/catalogue_entry.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <optional>
#include <tuple>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxNameBytes = 64;
static constexpr std::size_t maxOwnerBytes = 128;
static constexpr std::int64_t maxDeadlineMs = 600'000;
static constexpr std::int64_t maxRetryBudget = 16;
static constexpr std::int64_t maxSubCallLimit = 256;
static constexpr std::int64_t maxBodyLimitBytes = std::int64_t { 16 } * 1024 * 1024;
static constexpr std::int64_t minWindowMs = 1'000;
static constexpr std::int64_t maxWindowMs = 86'400'000;
static constexpr std::int64_t maxConcurrencyLimit = 100'000;

static constexpr std::string_view nameCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-";

// Names are used in URL paths and, joined by ".", in entry names, so that neither "/" nor "." is allowed.
[[nodiscard]] static bool isName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maxNameBytes
        && text.find_first_not_of(nameCharacters) == std::string_view::npos;
}

[[nodiscard]] static bool isOwner(std::string_view text) noexcept
{
    return text.size() <= maxOwnerBytes && text.find_first_not_of(" \t\r\n") != std::string_view::npos;
}

[[nodiscard]] static bool isWithin(std::int64_t value, std::int64_t minValue, std::int64_t maxValue) noexcept
{
    return value >= minValue && value <= maxValue;
}

[[nodiscard]] static error rangeError(const std::string& field, std::int64_t minValue, std::int64_t maxValue)
{
    return error { error_kind::out_of_range,
        "field \"" + field + "\" must be from " + std::to_string(minValue) + " to " + std::to_string(maxValue) };
}

[[nodiscard]] static std::optional<error> checkNames(const catalogue_entry_fields& fields)
{
    if (!isName(fields.service))
        return error { error_kind::invalid_value, "field \"service\" must be 1 to 64 letters, digits, \"_\" or \"-\"" };
    if (!isName(fields.operation))
        return error { error_kind::invalid_value,
            "field \"operation\" must be 1 to 64 letters, digits, \"_\" or \"-\"" };
    if (!isOwner(fields.owner))
        return error { error_kind::invalid_value,
            "field \"owner\" must name the organisation or team that answers for the entry, in at most 128 bytes" };
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> checkLimits(const catalogue_entry_fields& fields)
{
    if (!isWithin(fields.deadline.whole(), 1, maxDeadlineMs))
        return rangeError("deadline_ms", 1, maxDeadlineMs);
    if (!isWithin(fields.retryBudget, 0, maxRetryBudget))
        return rangeError("retry_budget", 0, maxRetryBudget);
    if (!isWithin(fields.maxSubCalls, 0, maxSubCallLimit))
        return rangeError("max_sub_calls", 0, maxSubCallLimit);
    if (!isWithin(fields.maxBodyBytes, 0, maxBodyLimitBytes))
        return rangeError("max_body_bytes", 0, maxBodyLimitBytes);
    if (!isWithin(fields.window.whole(), minWindowMs, maxWindowMs))
        return rangeError("window_ms", minWindowMs, maxWindowMs);
    if (!isWithin(fields.maxConcurrency, 0, maxConcurrencyLimit))
        return rangeError("max_concurrency", 0, maxConcurrencyLimit);
    return std::nullopt;
}

[[nodiscard]] static std::uint32_t readCount(
    json_reader& reader, std::string_view field, std::int64_t maxValue, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(field, 0, maxValue, fallback));
}

[[nodiscard]] static catalogue_entry_fields readFields(json_reader& reader)
{
    catalogue_entry_fields fields;
    fields.service = reader.string("service");
    fields.operation = reader.string("operation");
    fields.owner = reader.string("owner");
    const std::optional<call_class> importance = parseCallClass(reader.string("class"));
    if (!importance)
        reader.fail(error_kind::invalid_value, "field \"class\" must be critical, high, normal or low");
    fields.importance = importance.value_or(call_class::low);
    fields.isIdempotent = reader.boolean("idempotent", fields.isIdempotent);
    fields.deadline = milliseconds { reader.integer("deadline_ms", 1, maxDeadlineMs) };
    fields.retryBudget = readCount(reader, "retry_budget", maxRetryBudget, fields.retryBudget);
    fields.maxSubCalls = readCount(reader, "max_sub_calls", maxSubCallLimit, fields.maxSubCalls);
    fields.maxBodyBytes = readCount(reader, "max_body_bytes", maxBodyLimitBytes, fields.maxBodyBytes);
    fields.window = milliseconds { reader.integer("window_ms", minWindowMs, maxWindowMs, fields.window.whole()) };
    fields.maxConcurrency = readCount(reader, "max_concurrency", maxConcurrencyLimit, fields.maxConcurrency);
    return fields;
}

} // namespace internal

catalogue_entry::catalogue_entry(catalogue_entry_fields fields)
    : m_name { entryName(fields.service, fields.operation) }
    , m_fields { std::move(fields) }
{
}

result<catalogue_entry> catalogue_entry::create(catalogue_entry_fields fields)
{
    if (std::optional<error> failure = internal::checkNames(fields))
        return *std::move(failure);
    if (std::optional<error> failure = internal::checkLimits(fields))
        return *std::move(failure);
    return catalogue_entry { std::move(fields) };
}

result<catalogue_entry> catalogue_entry::fromJson(
    const nlohmann::json& object, std::string_view context, unknown_fields unknown)
{
    json_reader reader { object, std::string { context } };
    const std::string name = reader.string("name");
    catalogue_entry_fields fields = internal::readFields(reader);
    if (name != entryName(fields.service, fields.operation))
        reader.fail(error_kind::invalid_value,
            "field \"name\" must be \"" + entryName(fields.service, fields.operation)
                + "\", the service, a dot and the operation");
    std::optional<error> failure = unknown == unknown_fields::refused ? reader.finish() : reader.finishLenient();
    if (failure)
        return *std::move(failure);
    result<catalogue_entry> entry = create(std::move(fields));
    if (!hasValue(entry))
        return error { errorOf(entry).kind, std::string { context } + ": " + errorOf(entry).message };
    return entry;
}

nlohmann::json catalogue_entry::toJson() const
{
    return { { "name", m_name }, { "service", m_fields.service }, { "operation", m_fields.operation },
        { "owner", m_fields.owner }, { "class", toString(m_fields.importance) },
        { "idempotent", m_fields.isIdempotent }, { "deadline_ms", m_fields.deadline.whole() },
        { "retry_budget", m_fields.retryBudget }, { "max_sub_calls", m_fields.maxSubCalls },
        { "max_body_bytes", m_fields.maxBodyBytes }, { "window_ms", m_fields.window.whole() },
        { "max_concurrency", m_fields.maxConcurrency } };
}

bool operator==(const catalogue_entry& lhs, const catalogue_entry& rhs) noexcept
{
    const catalogue_entry_fields& left = lhs.m_fields;
    const catalogue_entry_fields& right = rhs.m_fields;
    return std::tie(left.service, left.operation, left.owner, left.importance, left.isIdempotent, left.deadline,
               left.retryBudget, left.maxSubCalls, left.maxBodyBytes, left.window, left.maxConcurrency)
        == std::tie(right.service, right.operation, right.owner, right.importance, right.isIdempotent, right.deadline,
            right.retryBudget, right.maxSubCalls, right.maxBodyBytes, right.window, right.maxConcurrency);
}

std::string entryName(std::string_view service, std::string_view operation)
{
    std::string name;
    name.reserve(service.size() + operation.size() + 1);
    name.append(service).append(1, '.').append(operation);
    return name;
}

} // namespace knapweedcroft
