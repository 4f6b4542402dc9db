#ifndef KNAPWEEDCROFT_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/membership/records.hpp"
#include "knapweedcroft/membership/settings.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief A change of the view of a service. */
struct view_change {
    service_name service;
    std::int64_t offset = -1;
    view_change_kind kind = view_change_kind::join;
    member changed;
};

/** @brief Effect of a log record on the membership state. */
struct membership_outcome {
    std::vector<view_change> changes; /*!< May be several if a snapshot closed a gap. */
    std::optional<error> voided; /*!< Reason why the record had no effect. */
    std::optional<std::int64_t> snapshotEnd; /*!< Set for a snapshot, which covers all records below this offset. */
    bool isDeferred = false; /*!< The record is kept until a snapshot closes the gap before it. */
};

/** @brief Views of all services, built from the records of the `membership` stream in order of offset. */
class membership_state {
public:
    /** @brief Constructs the state at offset 0, without services. */
    explicit membership_state(const membership_settings& settings);

    /**
     * @brief Applies the next record.
     *
     * A record beyond the next offset opens a gap: it is kept until a snapshot from the log or a peer covers the
     * missing records. A record below the next offset has no effect.
     * @param now Monotonic time.
     */
    membership_outcome apply(const log_record& record, time_point now);

    /**
     * @brief Installs a peer's snapshot, if it is newer than this state and covers any gap.
     * @param snapshot JSON text as returned by `snapshot`.
     * @param now Monotonic time.
     * @return True if the state changed.
     */
    bool installSnapshot(const std::string& snapshot, time_point now);

    /**
     * @brief Handles a log that was trimmed; opens a gap if records that are not yet read were removed.
     * @param first Oldest offset in the log.
     */
    void handleTrim(std::int64_t first);

    /**
     * @brief Skips the missing records of the gap; for use when neither the log nor a peer has a snapshot of them.
     * @param now Monotonic time.
     * @return Changes made by the records after the gap.
     */
    membership_outcome skipGap(time_point now);

    /** @brief Serializes the state as the payload of a snapshot record. */
    [[nodiscard]] std::string snapshot() const;

    /** @brief Returns the current view of a service, or null if no node has ever joined it. */
    [[nodiscard]] const service_view* view(const service_name& service) const;

    /** @brief Returns the retained views of a service, or null if no node has ever joined it. */
    [[nodiscard]] const service_history* history(const service_name& service) const;

    /** @brief Returns the members of all services, ordered by service and node name. */
    [[nodiscard]] std::vector<member> members() const;

    /** @brief Returns the member with the given name in any service, or null; valid until the state changes. */
    [[nodiscard]] const member* find(const node_name& node) const;

    /** @brief Returns the next offset to read. */
    [[nodiscard]] std::int64_t nextOffset() const noexcept;

    /** @brief Checks whether records are missing, so that later ones cannot be applied. */
    [[nodiscard]] bool hasGap() const noexcept { return m_gapStart.has_value(); }

private:
    [[nodiscard]] membership_outcome applyNext(const log_record& record, time_point now);
    [[nodiscard]] membership_outcome applyJoin(const member& joined, const log_record& record, time_point now);
    [[nodiscard]] membership_outcome removeMember(const node_identity& identity, view_change_kind kind,
        std::optional<std::int64_t> viewOffset, const log_record& record, time_point now);
    [[nodiscard]] membership_outcome appendView(service_history& history, view_entry entry);
    void pruneViews(service_history& history) const;
    [[nodiscard]] bool canInstall(const views_snapshot_record& snapshot) const;
    void install(const views_snapshot_record& snapshot, time_point now);
    [[nodiscard]] membership_outcome applyDeferred(time_point now);

    membership_settings m_settings;
    std::map<service_name, service_history> m_services;
    std::int64_t m_nextOffset = 0;
    bool m_isComplete = true;
    std::optional<std::int64_t> m_gapStart;
    std::vector<log_record> m_deferredRecords;
};

} // namespace knapweedcroft

#endif
