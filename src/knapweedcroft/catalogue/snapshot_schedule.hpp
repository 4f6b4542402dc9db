#ifndef KNAPWEEDCROFT_CATALOGUE_SNAPSHOT_SCHEDULE_HPP
#define KNAPWEEDCROFT_CATALOGUE_SNAPSHOT_SCHEDULE_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace knapweedcroft {

/** @brief Retention limits of the log, and the delay between append attempts. */
struct snapshot_schedule_settings {
    milliseconds retention { 86'400'000 }; /*!< Time for which the log retains a record. */
    std::int64_t retentionRecords = 0; /*!< Number of records that the log retains per stream; 0 means unlimited. */
    milliseconds retryDelay { 10'000 }; /*!< Delay of the next attempt while an appended snapshot has not been read. */
};

/**
 * @brief Decides when this node appends the next snapshot, so that a new reader always finds one in the stream.
 *
 * A snapshot is due when a random share of the retention, from a sixth to a third, has passed since the oldest record
 * that a new reader needs. All nodes follow this rule: the one with the shortest delay appends, and the others restart
 * their delays when they read its snapshot. All times are wall-clock times, since records carry no other timestamp.
 */
class snapshot_schedule {
public:
    /**
     * @brief Constructs a schedule without records to preserve.
     * @param seed Seed of the random delays; must differ between nodes.
     */
    snapshot_schedule(snapshot_schedule_settings settings, std::uint64_t seed);

    /**
     * @brief Adds a record to be preserved by a snapshot: an accepted change, or state received from a peer.
     * @param wallTime Time at which it was appended to the log.
     */
    void addRequiredRecord(std::int64_t offset, time_point wallTime);

    /**
     * @brief Handles a snapshot read from the stream, and draws a new random delay.
     * @param upTo The snapshot includes all records below this offset.
     * @param wallTime Time at which it was appended to the log.
     */
    void handleSnapshot(std::int64_t offset, std::int64_t upTo, time_point wallTime);

    /**
     * @brief Handles a trim of the log; if a record to be preserved was trimmed, a snapshot is due immediately.
     * @param first Oldest offset available in the log.
     */
    void handleTrim(std::int64_t first) noexcept { m_oldestOffset = first; }

    /** @brief Records an attempt to append a snapshot; the next attempt is delayed by `retryDelay`. */
    void recordAttempt(time_point wallNow);

    /** @brief Returns the time at which a snapshot is due, or nothing if there are no records to preserve. */
    [[nodiscard]] std::optional<time_point> dueAt() const;

    /**
     * @brief Returns whether a snapshot is due, by time or by number of records.
     * @param nextOffset Offset of the next record to be appended to the stream.
     */
    [[nodiscard]] bool isDue(time_point wallNow, std::int64_t nextOffset) const;

private:
    struct required_record {
        std::int64_t offset = 0;
        time_point wallTime;
    };

    void drawDelay();

    snapshot_schedule_settings m_settings;
    std::uint64_t m_seed;
    std::uint64_t m_drawCount = 0;
    std::int64_t m_oldestOffset = 0; /*!< Oldest offset available in the log. */
    double m_retentionShare = 0.0; /*!< Share of the retention after which a snapshot is due. */
    std::deque<required_record> m_requiredRecords; /*!< Records that a new reader needs, oldest first. */
    std::optional<time_point> m_nextAttempt;
};

} // namespace knapweedcroft

#endif
