#include "knapweedcroft/log_service/settings.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <optional>
#include <utility>

namespace knapweedcroft {

result<log_service_settings> readLogServiceSettings(const nlohmann::json& document, const std::string& context)
{
    constexpr std::int64_t maxRetention = 31'536'000'000; // one year
    constexpr std::int64_t maxCount = 100'000'000;
    constexpr std::int64_t maxPort = 65535;
    log_service_settings settings;
    log_store_settings& store = settings.store;
    json_reader reader { document, context };
    settings.name = reader.string("name", settings.name);
    settings.host = reader.string("host", settings.host);
    settings.port = static_cast<std::uint16_t>(reader.integer("port", 0, maxPort, settings.port));
    store.retention = milliseconds { reader.integer("retention_ms", 1, maxRetention, store.retention.whole()) };
    store.retentionRecords
        = static_cast<std::uint32_t>(reader.integer("retention_records", 0, maxCount, store.retentionRecords));
    store.maxAppendsPerSecond
        = static_cast<std::uint32_t>(reader.integer("max_appends_per_second", 1, maxCount, store.maxAppendsPerSecond));
    store.maxRecordBytes
        = static_cast<std::uint32_t>(reader.integer("max_record_bytes", 2, maxCount, store.maxRecordBytes));
    if (std::optional<error> fault = reader.finish())
        return *std::move(fault);
    return settings;
}

} // namespace knapweedcroft
