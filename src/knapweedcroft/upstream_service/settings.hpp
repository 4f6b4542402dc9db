#ifndef KNAPWEEDCROFT_UPSTREAM_SERVICE_SETTINGS_HPP
#define KNAPWEEDCROFT_UPSTREAM_SERVICE_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief A call that an operation makes to another service. */
struct upstream_sub_call {
    service_name service;
    std::string operation;
    bool isKeyed = false; /*!< Whether to send an idempotency key, derived from that of the parent call. */
};

/** @brief Behaviour of an operation of the emulated upstream. */
struct upstream_operation {
    milliseconds serviceTime { 10 }; /*!< Mean duration of its own work. */
    double spread = 0.0; /*!< Half-width of the uniform distribution of the duration, as a share of the mean; 0 to 1. */
    double workBefore = 0.0; /*!< Share of its own work done before the first step; 0 to 1. */
    bool hasEffect = false; /*!< Whether the call takes effect when its own work ends. */
    std::uint32_t responseBytes = 0; /*!< Size of the field `payload` of the answer. */
    std::uint32_t attempts = 1; /*!< Maximum number of attempts of a sub-call. */
    std::vector<std::vector<upstream_sub_call>> steps; /*!< Run in sequence; sub-calls of a step run in parallel. */
};

/** @brief Settings of the program `knapweed-upstream`. */
struct upstream_settings {
    std::string name;
    service_name service;
    std::string data_centre;
    std::string host = "127.0.0.1"; /*!< Address to listen on. */
    std::uint16_t port = 0; /*!< 0 lets the kernel choose. */
    std::string node; /*!< `host:port` of the HTTP interface of the node on this host. */
    std::uint32_t slots = 1; /*!< Maximum number of concurrent calls. */
    std::uint32_t connections = 1; /*!< Number of connections to announce. */
    milliseconds coldStart; /*!< Time after the start within which the service time falls to its normal value. */
    double coldFactor = 5.0; /*!< Factor on the service time at the start. */
    milliseconds loadLag { 3000 }; /*!< Age of the reported load. */
    milliseconds leaveTimeout { 60'000 }; /*!< Timeout of a planned stop. */
    std::uint64_t seed = 1;
    std::map<std::string, upstream_operation> operations;
};

/** @brief Faults injected into the emulated upstream; none by default. */
struct upstream_faults {
    double slowFactor = 1.0; /*!< Factor on the service time. */
    std::optional<double> lieLoad; /*!< Load to report instead of the measured one; 0 to 1. */
    milliseconds freeze; /*!< Time for which the process is blocked, once. */
    bool isMute = false; /*!< Whether calls run without being answered. */
};

/**
 * @brief Reads the settings of `knapweed-upstream`.
 * @param context Name of the document in error messages.
 * @return The settings, or an error that names the field.
 */
[[nodiscard]] result<upstream_settings> readUpstreamSettings(
    const nlohmann::json& document, const std::string& context);

/**
 * @brief Reads the body of `POST /faults`; an absent field means no fault.
 * @return The faults, or an error that names the field.
 */
[[nodiscard]] result<upstream_faults> readUpstreamFaults(const nlohmann::json& document);

} // namespace knapweedcroft

#endif
