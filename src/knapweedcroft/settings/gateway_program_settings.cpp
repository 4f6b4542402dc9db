#include "knapweedcroft/settings/gateway_program_settings.hpp"

#include "knapweedcroft/core/duration_text.hpp"
#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/core/json_reader.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

// The upstream is considered silent when three consecutive announcements are missing; the margin tolerates delays.
static constexpr std::int64_t missedAnnouncements = 3;
static constexpr milliseconds announcementMargin { 500 };

[[nodiscard]] static host_port readAddress(json_reader& reader, std::string_view field)
{
    const result<host_port> address = parseHostPort(reader.string(field));
    if (hasValue(address))
        return valueOf(address);
    reader.fail(error_kind::invalid_value,
        reader.context() + ": field \"" + std::string { field } + "\" must be an address of the form IP:PORT");
    return {};
}

[[nodiscard]] static milliseconds readDurationText(json_reader& reader, std::string_view field, milliseconds fallback)
{
    const std::string text = reader.string(field, std::to_string(fallback.whole()) + "ms");
    const std::optional<milliseconds> value = parseDuration(text);
    if (!value)
        reader.fail(error_kind::invalid_value,
            reader.context() + ": field \"" + std::string { field } + "\" must be a duration, such as 1500ms or 2.5s");
    return value.value_or(fallback);
}

// Reads a nested object of the document with `read`; an absent object is read as an empty one.
template <typename Read> static void readSection(json_reader& document, std::string_view field, Read&& read)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json& section = document.child(field);
    json_reader reader { section.is_null() ? empty : section, document.context() + "." + std::string { field } };
    read(reader);
    if (const std::optional<error> fault = reader.finish())
        document.fail(fault->kind, fault->message);
}

static void readGateway(json_reader& document, gateway_program_settings& settings)
{
    readSection(document, "node", [&settings](json_reader& reader) {
        settings.gateway.node = reader.string("name");
        settings.gateway.data_centre = reader.string("data_centre");
        settings.gateway.service = reader.string("service");
        settings.gateway.seed = hash64(settings.gateway.node);
    });
    readSection(document, "upstream", [&settings](json_reader& reader) {
        settings.gateway.upstreamAddress = formatHostPort(readAddress(reader, "address"));
        const milliseconds interval = readDurationText(reader, "announcement_interval", milliseconds { 1500 });
        settings.gateway.upstreamSilence = interval * missedAnnouncements + announcementMargin;
    });
    readSection(document, "links", [&settings](json_reader& reader) {
        constexpr std::int64_t maxLinks = 10'000;
        link_plan_settings& links = settings.gateway.links;
        links.minNodesPerService = static_cast<std::size_t>(
            reader.integer("nodes_per_service", 1, maxLinks, static_cast<std::int64_t>(links.minNodesPerService)));
        links.minRemoteNodesPerService = static_cast<std::size_t>(reader.integer(
            "remote_nodes_per_service", 0, maxLinks, static_cast<std::int64_t>(links.minRemoteNodesPerService)));
    });
    readSection(document, "retries", [&settings](json_reader& reader) {
        constexpr double maxSlack = 1e9;
        local_retry_budget_settings& retries = settings.gateway.retries;
        retries.ratio = reader.number("ratio", 0.0, 1000.0, retries.ratio);
        retries.slack = reader.number("slack", 0.0, maxSlack, retries.slack);
        retries.window = readDurationText(reader, "window", retries.window);
    });
}

static void readListen(json_reader& document, gateway_program_settings& settings)
{
    readSection(document, "listen", [&settings](json_reader& reader) {
        settings.clients = readAddress(reader, "clients");
        settings.readiness = readAddress(reader, "readiness");
        settings.announcements = readAddress(reader, "announcements");
        settings.peers = readAddress(reader, "peers");
        if (!reader.string("announced_peers", "").empty())
            settings.announcedPeers = readAddress(reader, "announced_peers");
        if (!reader.string("metrics", "").empty())
            settings.metrics = readAddress(reader, "metrics");
    });
}

} // namespace internal

result<gateway_program_settings> readGatewaySettings(const nlohmann::json& document, const std::string& context)
{
    gateway_program_settings settings;
    json_reader reader { document, context };
    internal::readGateway(reader, settings);
    internal::readListen(reader, settings);
    internal::readSection(reader, "store", [&settings](json_reader& section) {
        settings.store = formatHostPort(internal::readAddress(section, "address"));
        constexpr std::int64_t maxGroupSize = 10'000;
        store_read_settings& reads = settings.gateway.storeReads;
        reads.minGroupSize = static_cast<std::size_t>(
            section.integer("shared_reading_from", 0, maxGroupSize, static_cast<std::int64_t>(reads.minGroupSize)));
        reads.changeDeadline = internal::readDurationText(section, "change_deadline", reads.changeDeadline);
    });
    constexpr std::int64_t minMemoryMiB = 64;
    constexpr std::int64_t maxMemoryMiB = std::int64_t { 1024 } * 1024;
    settings.memoryMiB = static_cast<std::size_t>(
        reader.integer("memory_mb", minMemoryMiB, maxMemoryMiB, static_cast<std::int64_t>(settings.memoryMiB)));
    // A body takes up to twice its size while it is being received.
    settings.gateway.maxReservedBytes = settings.memoryMiB * 1024 * 1024 / 4;
    settings.grace = internal::readDurationText(reader, "grace", settings.grace);
    settings.chartsDirectory = reader.string("charts", settings.chartsDirectory);
    const std::string level = reader.string("log_level", "info");
    const std::optional<log_level> parsed = parseLogLevel(level);
    if (!parsed)
        reader.fail(error_kind::invalid_value,
            context + ": field \"log_level\" must be \"debug\", \"info\", \"warning\" or \"error\"");
    settings.logging.level = parsed.value_or(log_level::info);
    settings.logging.isOnStandardOutput = true;
    if (const std::optional<error> fault = reader.finish())
        return *fault;
    return settings;
}

} // namespace knapweedcroft
