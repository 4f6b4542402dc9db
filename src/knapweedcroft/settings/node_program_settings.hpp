#ifndef KNAPWEEDCROFT_SETTINGS_NODE_PROGRAM_SETTINGS_HPP
#define KNAPWEEDCROFT_SETTINGS_NODE_PROGRAM_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/node/settings.hpp"
#include "knapweedcroft/telemetry/logger.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Settings of the program `knapweed-node`. */
struct node_program_settings {
    node_settings node;
    std::string host = "127.0.0.1"; /*!< IP address to listen on for callers and peers. */
    std::uint16_t httpPort = 0; /*!< 0 lets the system choose a port. */
    std::uint16_t peerPort = 0; /*!< 0 lets the system choose a port. */
    std::string log; /*!< `host:port` of the platform's log. */
    log_settings logging;
    std::size_t maxBodyBytes = std::size_t { 1024 } * 1024; /*!< Maximum size of a request body. */
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024; /*!< Maximum size of the headers of a request. */
};

/**
 * @brief Reads the settings of a node from JSON; absent fields keep their defaults.
 * @param context Name of the document, used in error messages.
 * @return The settings, or an error that names the field and the remedy.
 */
[[nodiscard]] result<node_program_settings> readNodeSettings(
    const nlohmann::json& document, const std::string& context);

} // namespace knapweedcroft

#endif
