#ifndef KNAPWEEDCROFT_LOAD_SETTINGS_HPP
#define KNAPWEEDCROFT_LOAD_SETTINGS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/client_request.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Name of the format of load settings. */
inline constexpr std::string_view loadFormat = "knapweed-load/1";

/** @brief Slows the upstreams of a service during a phase. */
struct load_fault {
    service_name service;
    std::string host; /*!< Only the upstream on this host; empty for all of the service. */
    double slowFactor = 1.0; /*!< Factor on the service time. */
};

/** @brief A part of a run with constant demand. */
struct load_phase {
    std::string name;
    milliseconds length { 10'000 };
    double demand = 1.0; /*!< Factor on the usual demand. */
    std::vector<load_fault> faults; /*!< Start and end with the phase. */
};

/** @brief Settings of a run of `knapweed-load`. */
struct load_settings {
    std::uint64_t seed = 1; /*!< Seed of arrival times, entries, data centres and keys. */
    double demand = 1.0; /*!< Factor on the demand of all phases. */
    std::map<std::string, double> rates; /*!< Calls per second by entry, in place of the shape's demand. */
    std::int64_t bodyBytes = 200; /*!< Size of request bodies. */
    client_settings client;
    milliseconds prompt { 1000 }; /*!< A request counts for the recovery time only if it completes within this time. */
    milliseconds settle { 3000 }; /*!< Maximum wait for executions to end before effects are counted. */
    std::vector<load_phase> phases; /*!< In order; at least one. */
};

/**
 * @brief Reads load settings from JSON.
 * @param context Name of the document, used in messages.
 * @return The settings, or an error of a `json_reader`.
 */
[[nodiscard]] result<load_settings> parseLoadSettings(const nlohmann::json& document, const std::string& context);

/**
 * @brief Parses the name of a client profile.
 * @param name `hard` or `polite`.
 * @return The profile, or an error of kind `invalid_value`.
 */
[[nodiscard]] result<client_profile> parseClientProfile(std::string_view name);

} // namespace knapweedcroft

#endif
