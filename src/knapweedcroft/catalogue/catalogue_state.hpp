#ifndef KNAPWEEDCROFT_CATALOGUE_CATALOGUE_STATE_HPP
#define KNAPWEEDCROFT_CATALOGUE_CATALOGUE_STATE_HPP

#include "knapweedcroft/catalogue/catalogue_entry.hpp"
#include "knapweedcroft/catalogue/change_record.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Why a record of the catalogue stream was rejected. */
enum class rejection_reason : std::uint8_t {
    malformed, /*!< The record is not a valid change or snapshot. */
    version_conflict, /*!< The entry was modified after the operator read it. */
    duplicate /*!< A change with the same identifier was processed before. */
};

/** @brief Returns the stable name of a reason, in snake_case. */
[[nodiscard]] std::string_view toString(rejection_reason reason) noexcept;

/** @brief Rejection of a record, which then has no effect. */
struct change_rejection {
    rejection_reason reason = rejection_reason::malformed;
    std::string message; /*!< States the corrective action. */

    friend bool operator==(const change_rejection& lhs, const change_rejection& rhs)
    {
        return lhs.reason == rhs.reason && lhs.message == rhs.message;
    }
};

/** @brief Outcome of a change, an item of the audit trail; all readers accept the same changes. */
struct change_outcome {
    std::int64_t offset = 0;
    time_point wallTime; /*!< Time at which the record was appended to the log. */
    std::string changeId; /*!< Empty if the record contains none. */
    std::string operatorName; /*!< Empty if the record is malformed. */
    std::string name; /*!< Name of the entry; empty if the record is malformed. */
    std::int64_t baseVersion = noVersion;
    bool isRemoval = false;
    std::optional<change_rejection> voided; /*!< Empty if the change was accepted. */

    /** @brief Returns whether the change took effect; the offset is then the new version of the entry. */
    [[nodiscard]] bool isAccepted() const noexcept { return !voided; }

    friend bool operator==(const change_outcome& lhs, const change_outcome& rhs)
    {
        return lhs.offset == rhs.offset && lhs.wallTime == rhs.wallTime && lhs.changeId == rhs.changeId
            && lhs.operatorName == rhs.operatorName && lhs.name == rhs.name && lhs.baseVersion == rhs.baseVersion
            && lhs.isRemoval == rhs.isRemoval && lhs.voided == rhs.voided;
    }
};

/**
 * @brief State of the catalogue, computed by replaying the records of its stream.
 *
 * A change is accepted if its base version is the current version of its entry. Acceptance depends only on the
 * versions, so that all readers agree, whether they read the whole stream or started from a snapshot.
 *
 * If the log was trimmed before a reader read it, the reader keeps its state and buffers later records until a snapshot
 * covers the gap, because without the missing versions it cannot determine which of them are accepted.
 */
class catalogue_state {
public:
    using versions_type = std::map<std::string, entry_version, std::less<>>;

    /**
     * @brief Constructs an empty catalogue at offset 0.
     * @param historyLimit Maximum number of outcomes in `history`.
     */
    explicit catalogue_state(std::size_t historyLimit = defaultHistoryLimit);

    /**
     * @brief Applies a record of the stream; records below `nextOffset` are ignored.
     * @param record The record; an offset above `nextOffset` means that the records between are no longer in the log.
     * @return The outcomes in order of offset; several if a snapshot closed a gap, none if the record was buffered.
     */
    [[nodiscard]] std::vector<change_outcome> apply(const log_record& record);

    /**
     * @brief Installs a snapshot from a peer; the version of an entry never decreases.
     * @param snapshot JSON text as returned by `snapshot`.
     * @return Outcomes of buffered records that were applied, or an error if the record is malformed or not a snapshot.
     */
    [[nodiscard]] result<std::vector<change_outcome>> installSnapshot(std::string_view snapshot);

    /**
     * @brief Handles a trim of the log: records below an offset are no longer available.
     * @param first Oldest offset available in the log.
     */
    void skipTo(std::int64_t first);

    /** @brief Returns the entry of an operation, or null if there is none. */
    [[nodiscard]] const catalogue_entry* find(std::string_view service, std::string_view operation) const;

    /** @brief Returns the entry with the given name, or null if there is none. */
    [[nodiscard]] const catalogue_entry* find(std::string_view name) const;

    /** @brief Returns the version of an entry or of its removal; `noVersion` if it never existed. */
    [[nodiscard]] std::int64_t version(std::string_view name) const;

    /** @brief Returns the current versions by entry name, including those of removed entries. */
    [[nodiscard]] const versions_type& versions() const noexcept { return m_versions; }

    /** @brief Returns the offset to read next. */
    [[nodiscard]] std::int64_t nextOffset() const noexcept;

    /** @brief Returns the offset below which all records have been applied. */
    [[nodiscard]] std::int64_t appliedOffset() const noexcept { return m_appliedOffset; }

    /** @brief Returns whether records are buffered until a snapshot closes a gap. */
    [[nodiscard]] bool hasGap() const noexcept { return m_gap.has_value(); }

    /** @brief Returns a snapshot record of the catalogue as of `appliedOffset`, as JSON text. */
    [[nodiscard]] std::string snapshot() const;

    /** @brief Returns the most recent outcomes, oldest first. */
    [[nodiscard]] const std::deque<change_outcome>& history() const noexcept { return m_history; }

    /**
     * @brief Returns the outcome of a change: the accepted one if there is one, otherwise the first.
     * @return The outcome, or null if it is not in the history.
     */
    [[nodiscard]] const change_outcome* outcomeOf(std::string_view changeId) const;

    static constexpr std::size_t defaultHistoryLimit = 1000;

private:
    /** @brief Records after a gap, buffered until a snapshot covers it. */
    struct buffered_records {
        std::int64_t first = 0; /*!< Offset of the oldest record after the gap. */
        std::int64_t next = 0; /*!< Offset to read next. */
        std::vector<log_record> records;
    };

    [[nodiscard]] change_outcome processChange(const log_record& record, const change_record& change);
    [[nodiscard]] std::optional<change_rejection> validate(const change_record& change) const;
    void accept(const log_record& record, const change_record& change);
    void addToHistory(const change_outcome& outcome);
    void applyNext(const log_record& record, std::vector<change_outcome>& outcomes);
    void buffer(const log_record& record, std::vector<change_outcome>& outcomes);
    void installSnapshot(const snapshot_record& snapshot, std::vector<change_outcome>& outcomes);
    void applyBuffered(std::vector<change_outcome>& outcomes);

    std::size_t m_historyLimit;
    versions_type m_versions;
    std::int64_t m_appliedOffset = 0;
    std::optional<buffered_records> m_gap;
    std::deque<change_outcome> m_history;
};

} // namespace knapweedcroft

#endif
