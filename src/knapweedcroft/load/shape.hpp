#ifndef KNAPWEEDCROFT_LOAD_SHAPE_HPP
#define KNAPWEEDCROFT_LOAD_SHAPE_HPP

#include "knapweedcroft/catalogue/catalogue_entry.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Name of the format of shape files. */
inline constexpr std::string_view shapeFormat = "knapweed-shape/1";

/** @brief A call that an operation makes to another service. */
struct shape_call {
    service_name service;
    std::string operation;
    bool isKeyed = false; /*!< The call carries an idempotency key. */

    friend bool operator==(const shape_call& lhs, const shape_call& rhs)
    {
        return lhs.service == rhs.service && lhs.operation == rhs.operation && lhs.isKeyed == rhs.isKeyed;
    }
};

/** @brief Behaviour of one operation of an emulated upstream. */
struct shape_operation {
    double serviceTimeMs = 10.0; /*!< Mean time for which a slot is held, excluding sub-calls. */
    double spread = 0.2; /*!< Maximum relative deviation from the mean. */
    bool hasEffect = false; /*!< Each execution changes state, so it must run at most once per key. */
    std::int64_t responseBytes = 300;
    std::int64_t attempts = 1; /*!< Attempts that the upstream makes for each of its calls. */
    std::vector<std::vector<shape_call>> steps; /*!< Steps in order; the calls of one step run in parallel. */
};

/** @brief One host with a node and an upstream. */
struct shape_host {
    std::string name; /*!< Unique in the shape; name of the node and of the upstream. */
    std::string data_centre;
};

/** @brief A service with identical upstreams on its hosts. */
struct shape_service {
    service_name name;
    std::int64_t slots = 1; /*!< Maximum concurrent calls of one upstream. */
    std::int64_t connections = 1; /*!< Maximum connections of one upstream. */
    std::int64_t coldStartMs = 0;
    std::vector<shape_host> hosts;
    std::map<std::string, shape_operation> operations;
};

/** @brief A catalogue entry with its usual demand. */
struct shape_entry {
    catalogue_entry entry;
    double rate = 0.0; /*!< Usual calls by clients, per second. */
};

/** @brief A deployment: services with their hosts, call trees, entries and usual demand. */
struct shape {
    std::string name;
    std::string cataloguePath; /*!< File of the catalogue entries. */
    std::vector<std::string> data_centres;
    std::vector<shape_service> services;
    std::vector<shape_entry> entries; /*!< In the order of the catalogue. */
};

/** @brief Executions that one whole request causes, by `service.operation`. */
using call_tree = std::map<std::string, std::uint64_t>;

/**
 * @brief Reads a shape from its JSON document.
 * @param catalogue List of catalogue entries.
 * @param context Name of the document, used in messages.
 * @return The shape without a catalogue path, or an error of kind `invalid_value` or of a `json_reader`.
 */
[[nodiscard]] result<shape> parseShape(
    const nlohmann::json& document, const nlohmann::json& catalogue, const std::string& context);

/**
 * @brief Reads a shape and the catalogue beside it from files.
 * @param path Path of the shape file; the catalogue's path is relative to its folder.
 * @return The shape, or an error of kind `unreadable_file`, `malformed_json` or as of `parseShape`.
 */
[[nodiscard]] result<shape> readShape(const std::string& path);

/**
 * @brief Finds a service of a shape.
 * @return The service, or null.
 */
[[nodiscard]] const shape_service* findService(const shape& from, std::string_view name) noexcept;

/**
 * @brief Finds an entry of a shape.
 * @return The entry, or null.
 */
[[nodiscard]] const shape_entry* findEntry(const shape& from, std::string_view name) noexcept;

/**
 * @brief Counts the executions that one whole request to an operation causes.
 * @param from A validated shape.
 * @return Executions by `service.operation`, the operation itself included.
 */
[[nodiscard]] call_tree callTree(const shape& from, std::string_view service, std::string_view operation);

} // namespace knapweedcroft

#endif
