#ifndef KNAPWEEDCROFT_CATALOGUE_CHANGE_RECORD_HPP
#define KNAPWEEDCROFT_CATALOGUE_CHANGE_RECORD_HPP

#include "knapweedcroft/catalogue/catalogue_entry.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Name of the log stream that holds the catalogue. */
inline constexpr std::string_view catalogueStream = "catalogue";

/** @brief Version of an entry that never existed; the base version of its first change. */
inline constexpr std::int64_t noVersion = -1;

/** @brief An operator's change of one entry. */
struct change_record {
    std::string changeId; /*!< Chosen by the operator's tool, never reused; 1 to 64 visible ASCII characters. */
    std::string operatorName; /*!< Who made the change; not blank, at most 128 bytes. */
    std::int64_t baseVersion = noVersion; /*!< Version of the entry that the operator saw. */
    std::string name; /*!< Name of the entry. */
    std::optional<catalogue_entry> entry; /*!< The new entry; nothing removes the entry. */

    friend bool operator==(const change_record& lhs, const change_record& rhs)
    {
        return lhs.changeId == rhs.changeId && lhs.operatorName == rhs.operatorName
            && lhs.baseVersion == rhs.baseVersion && lhs.name == rhs.name && lhs.entry == rhs.entry;
    }
    friend bool operator!=(const change_record& lhs, const change_record& rhs) { return !(lhs == rhs); }
};

/** @brief Present version of an entry, and the change that made it. */
struct entry_version {
    std::string name;
    std::int64_t version = noVersion; /*!< Offset of the accepted change. */
    std::string changeId;
    std::string operatorName;
    time_point wallTime; /*!< Time at which the log took the change. */
    std::optional<catalogue_entry> entry; /*!< Nothing if the entry was removed. */

    friend bool operator==(const entry_version& lhs, const entry_version& rhs)
    {
        return lhs.name == rhs.name && lhs.version == rhs.version && lhs.changeId == rhs.changeId
            && lhs.operatorName == rhs.operatorName && lhs.wallTime == rhs.wallTime && lhs.entry == rhs.entry;
    }
    friend bool operator!=(const entry_version& lhs, const entry_version& rhs) { return !(lhs == rhs); }
};

/** @brief The catalogue as of an offset of its stream. */
struct snapshot_record {
    std::int64_t upTo = 0; /*!< The snapshot includes all records below this offset. */
    std::vector<entry_version> versions; /*!< Entries and removals, in order of name. */
};

/** @brief A record of the catalogue stream. */
using catalogue_record = std::variant<change_record, snapshot_record>;

/**
 * @brief Formats a record as the JSON text that the log holds.
 * @param record The record.
 * @return JSON text.
 */
[[nodiscard]] std::string formatRecord(const catalogue_record& record);

/**
 * @brief Parses a record of the catalogue stream; unknown fields are ignored.
 * @param payload JSON text.
 * @return The record, or an error that names the field.
 */
[[nodiscard]] result<catalogue_record> parseRecord(std::string_view payload);

/**
 * @brief Returns the identifier of the change in a payload, even if the rest of the record is malformed.
 * @param payload JSON text.
 * @return The identifier, or an empty string if there is none.
 */
[[nodiscard]] std::string changeIdOf(std::string_view payload);

} // namespace knapweedcroft

#endif
