#ifndef KNAPWEEDCROFT_MEMBERSHIP_RECORDS_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_RECORDS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/membership/view.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Name of the log stream for membership records. */
inline constexpr const char* membershipStream = "membership";

/**
 * @brief A node joins its service.
 *
 * A repeated join of a current member renews the view: eviction records that name the previous view become void, and
 * members may again grant leases to nodes that they had reported as suspect.
 */
struct join_record {
    member joined;
};

/** @brief A node has stopped admitting calls and leaves its service. */
struct leave_record {
    node_name node;
    incarnation_id incarnation;
};

/** @brief A node is considered failed; void unless `viewOffset` is the current view of its service. */
struct evict_record {
    node_name node;
    incarnation_id incarnation;
    std::int64_t viewOffset = -1;
};

/** @brief State after all records below `nextOffset`, from which readers of a trimmed log can start. */
struct views_snapshot_record {
    std::int64_t nextOffset = 0;
    bool isComplete = false; /*!< Includes every record from offset 0 on, directly or through snapshots. */
    std::vector<service_history> services;
};

/** @brief Any record of the `membership` stream. */
using membership_record = std::variant<join_record, leave_record, evict_record, views_snapshot_record>;

/** @brief Serializes a record to JSON. */
[[nodiscard]] std::string formatRecord(const membership_record& record);

/**
 * @brief Parses a record from JSON.
 * @return The record, or an error that names the invalid field.
 */
[[nodiscard]] result<membership_record> parseRecord(const std::string& payload);

} // namespace knapweedcroft

#endif
