#ifndef KNAPWEEDCROFT_LOAD_SETTINGS_FILES_HPP
#define KNAPWEEDCROFT_LOAD_SETTINGS_FILES_HPP

#include "knapweedcroft/load/shape.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief Settings shared by the nodes of a shape. */
struct node_settings_template {
    std::string logAddress; /*!< `host:port` of the log. */
    std::string chartsDirectory;
    std::uint64_t seed = 1; /*!< Seed of the first node; each further one gets the next number. */
    nlohmann::json overlay = nlohmann::json::object(); /*!< Merged into the settings of each node (RFC 7396). */
};

/** @brief Settings shared by the upstreams of a shape. */
struct upstream_settings_template {
    std::uint64_t seed = 1; /*!< Seed of the first upstream; each further one gets the next number. */
    nlohmann::json overlay = nlohmann::json::object(); /*!< Merged into the settings of each upstream (RFC 7396). */
};

/**
 * @brief Builds the `knapweed-node` settings of a host.
 * @param index Number of the host in the shape, from 0.
 */
[[nodiscard]] nlohmann::json makeNodeSettings(
    const shape_service& service, const shape_host& host, std::uint64_t index, const node_settings_template& common);

/**
 * @brief Builds the `knapweed-upstream` settings of a host.
 * @param index Number of the host in the shape, from 0.
 * @param nodeAddress `host:port` of the HTTP interface of the node on the same host.
 */
[[nodiscard]] nlohmann::json makeUpstreamSettings(const shape_service& service, const shape_host& host,
    std::uint64_t index, const std::string& nodeAddress, const upstream_settings_template& common);

} // namespace knapweedcroft

#endif
