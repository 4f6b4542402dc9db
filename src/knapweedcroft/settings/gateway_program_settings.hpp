#ifndef KNAPWEEDCROFT_SETTINGS_GATEWAY_PROGRAM_SETTINGS_HPP
#define KNAPWEEDCROFT_SETTINGS_GATEWAY_PROGRAM_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/net/http_types.hpp"
#include "knapweedcroft/telemetry/logger.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Settings of the program `knapweed-gateway`. */
struct gateway_program_settings {
    gateway_settings gateway;
    host_port clients; /*!< Clients and the upstream of this host send their requests here. */
    host_port readiness; /*!< Health checks of this node. */
    host_port announcements; /*!< The upstream of this host announces itself here. */
    host_port peers; /*!< Other nodes open links here. */
    std::optional<host_port> announcedPeers; /*!< Address for links that other nodes are told, if it is not `peers`. */
    std::optional<host_port> metrics; /*!< Counters and latencies, as text. */
    std::string store; /*!< `host:port` of the platform's store. */
    milliseconds grace { 6000 }; /*!< Time from the signal to stop to the end of the process. */
    std::string chartsDirectory = "charts";
    log_settings logging;
};

/**
 * @brief Reads the settings of a gateway from JSON; fields that are absent keep their defaults.
 * @param document The JSON document.
 * @param context Name of the document, used in messages.
 * @return The settings, or an error that names the field and the remedy.
 */
[[nodiscard]] result<gateway_program_settings> readGatewaySettings(
    const nlohmann::json& document, const std::string& context);

} // namespace knapweedcroft

#endif
