#ifndef KNAPWEEDCROFT_LOG_SERVICE_SETTINGS_HPP
#define KNAPWEEDCROFT_LOG_SERVICE_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Retention and limits of the log. */
struct log_store_settings {
    milliseconds retention { 86'400'000 }; /*!< Time for which a record is retained. */
    std::uint32_t retentionRecords = 0; /*!< Maximum number of records retained for each stream; 0 means no limit. */
    std::uint32_t maxAppendsPerSecond = 300; /*!< Maximum number of appends to all streams together in any 1,000 ms. */
    std::uint32_t maxRecordBytes = 1'048'576;
};

/** @brief Settings of the program `knapweed-log`. */
struct log_service_settings {
    std::string name = "log";
    std::string host = "127.0.0.1"; /*!< Address to listen on. */
    std::uint16_t port = 0; /*!< 0 lets the kernel choose. */
    log_store_settings store;
};

/**
 * @brief Reads the settings of `knapweed-log`; absent fields keep their defaults.
 * @param context Name of the document in error messages.
 * @return The settings, or an error that names the field.
 */
[[nodiscard]] result<log_service_settings> readLogServiceSettings(
    const nlohmann::json& document, const std::string& context);

} // namespace knapweedcroft

#endif
