#include "knapweedcroft/gateway/entry_table.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxTimeMs = 86'400'000;

[[nodiscard]] static std::string normalizeHost(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    std::string name { host.substr(0, colon) };
    std::transform(name.begin(), name.end(), name.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

[[nodiscard]] static nlohmann::json toJson(const forward_entry& entry)
{
    nlohmann::json services = nlohmann::json::array();
    for (const weighted_service& weighted : entry.services)
        services.push_back({ { "service", weighted.service }, { "weight", weighted.weight } });
    return { { "name", entry.name }, { "host", entry.host }, { "path_prefix", entry.pathPrefix },
        { "idempotent", entry.isIdempotent }, { "timeout_ms", entry.timeout.whole() },
        { "target_latency_ms", entry.targetLatency.whole() }, { "rank", entry.rank },
        { "max_attempts", entry.maxAttempts }, { "services", std::move(services) } };
}

[[nodiscard]] static result<forward_entry> parseEntry(const nlohmann::json& object)
{
    json_reader reader { object, "entry" };
    forward_entry entry;
    entry.name = reader.string("name");
    entry.host = reader.string("host");
    entry.pathPrefix = reader.string("path_prefix");
    entry.isIdempotent = reader.boolean("idempotent", false);
    entry.timeout = milliseconds { reader.integer("timeout_ms", 0, maxTimeMs) };
    entry.targetLatency = milliseconds { reader.integer("target_latency_ms", 0, maxTimeMs) };
    entry.rank = static_cast<std::uint32_t>(reader.integer("rank", 0, UINT32_MAX));
    entry.maxAttempts = static_cast<std::uint32_t>(reader.integer("max_attempts", 0, UINT32_MAX));
    for (const nlohmann::json& item : reader.child("services")) {
        json_reader nested { item, "services" };
        weighted_service weighted;
        weighted.service = nested.string("service");
        weighted.weight = static_cast<std::uint32_t>(nested.integer("weight", 0, UINT32_MAX));
        if (const std::optional<error> fault = nested.finish())
            return *fault;
        entry.services.push_back(std::move(weighted));
    }
    if (const std::optional<error> fault = reader.finish())
        return *fault;
    return entry;
}

} // namespace internal

entry_table::entry_table(std::int64_t version, std::vector<forward_entry> entries, const client_limits& limits)
    : m_version { version }
    , m_entries { std::move(entries) }
    , m_limits { limits }
{
    for (std::size_t position = 0; position < m_entries.size(); ++position) {
        const forward_entry& entry = m_entries[position];
        m_index[internal::normalizeHost(entry.host)].emplace(entry.pathPrefix, position);
    }
}

result<entry_table> entry_table::parse(std::string_view text)
{
    const result<nlohmann::json> document = parseJson(text, "catalogue snapshot from a peer");
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), "catalogue snapshot from a peer" };
    const std::int64_t version = reader.integer("version", 0, INT64_MAX / 2);
    client_limits limits;
    limits.maxHeaderBytes = static_cast<std::size_t>(reader.integer("max_header_bytes", 0, INT64_MAX / 2));
    limits.maxBodyBytes = static_cast<std::size_t>(reader.integer("max_body_bytes", 0, INT64_MAX / 2));
    limits.headerTime = milliseconds { reader.integer("header_time_ms", 0, internal::maxTimeMs) };
    limits.idleTime = milliseconds { reader.integer("idle_time_ms", 0, internal::maxTimeMs) };
    std::vector<forward_entry> entries;
    for (const nlohmann::json& item : reader.child("entries")) {
        const result<forward_entry> entry = internal::parseEntry(item);
        if (!hasValue(entry))
            return errorOf(entry);
        entries.push_back(valueOf(entry));
    }
    if (const std::optional<error> fault = reader.finish())
        return *fault;
    return entry_table { version, std::move(entries), limits };
}

std::string entry_table::format() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const forward_entry& entry : m_entries)
        entries.push_back(internal::toJson(entry));
    const nlohmann::json document = { { "version", m_version }, { "max_header_bytes", m_limits.maxHeaderBytes },
        { "max_body_bytes", m_limits.maxBodyBytes }, { "header_time_ms", m_limits.headerTime.whole() },
        { "idle_time_ms", m_limits.idleTime.whole() }, { "entries", std::move(entries) } };
    return document.dump();
}

const forward_entry* entry_table::find(std::string_view host, std::string_view target) const
{
    const auto prefixes = m_index.find(internal::normalizeHost(host));
    if (prefixes == m_index.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the path up to each slash has to be looked up, from the longest to the
    // shortest.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto position = prefixes->second.find(std::string { path.substr(0, slash + 1) });
        if (position != prefixes->second.end())
            return &m_entries[position->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

} // namespace knapweedcroft
