#ifndef KNAPWEEDCROFT_SETTINGS_GATEWAY_PROGRAM_SETTINGS_HPP
#define KNAPWEEDCROFT_SETTINGS_GATEWAY_PROGRAM_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/net/http_types.hpp"
#include "knapweedcroft/telemetry/logger.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Settings of the program `knapweed-gateway`. */
struct gateway_program_settings {
    gateway_settings gateway;
    host_port clients; /*!< Listening address for requests of clients and of the upstream of this host. */
    host_port readiness; /*!< Listening address for health checks. */
    host_port announcements; /*!< Listening address for announcements of the upstream of this host. */
    host_port peers; /*!< Listening address for links from other nodes. */
    std::optional<host_port> announcedPeers; /*!< Address for links announced to other nodes, if not `peers`. */
    std::optional<host_port> metrics; /*!< Listening address for metrics, as text. */
    std::string store; /*!< `host:port` of the platform's store. */
    std::size_t memoryMiB = 256; /*!< Memory that the process may use; the sizes of its buffers follow from it. */
    milliseconds grace { 6000 }; /*!< Time from the stop signal to the end of the process. */
    std::string chartsDirectory = "charts";
    log_settings logging;
};

/**
 * @brief Reads the settings of a gateway from JSON; absent fields keep their defaults.
 * @param context Name of the document, used in error messages.
 * @return The settings, or an error that names the field and the remedy.
 */
[[nodiscard]] result<gateway_program_settings> readGatewaySettings(
    const nlohmann::json& document, const std::string& context);

} // namespace knapweedcroft

#endif
