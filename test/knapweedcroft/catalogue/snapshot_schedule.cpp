#include "knapweedcroft/catalogue/snapshot_schedule.hpp"

#include <gtest/gtest.h>

#include <set>

namespace knapweedcroft {

static constexpr std::int64_t retention = 60'000;

[[nodiscard]] static time_point atTime(std::int64_t count) { return time_point { milliseconds { count } }; }

[[nodiscard]] static snapshot_schedule makeSchedule(std::uint64_t seed, std::int64_t retentionRecords = 0)
{
    return snapshot_schedule { { milliseconds { retention }, retentionRecords, milliseconds { 1000 } }, seed };
}

// Guards against the last snapshot or a change being trimmed before the next snapshot is appended.
TEST(SnapshotSchedule, IsDueBeforeThirdOfRetention)
{
    std::set<std::int64_t> dueTimes;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        snapshot_schedule schedule = makeSchedule(seed);
        EXPECT_FALSE(schedule.dueAt());
        EXPECT_FALSE(schedule.isDue(atTime(retention), 0));
        schedule.addRequiredRecord(0, atTime(100));
        schedule.addRequiredRecord(1, atTime(9000));
        ASSERT_TRUE(schedule.dueAt());
        EXPECT_GE(*schedule.dueAt(), atTime(100 + retention / 6));
        EXPECT_LE(*schedule.dueAt(), atTime(100 + retention / 3));
        EXPECT_FALSE(schedule.isDue(*schedule.dueAt() - milliseconds { 1 }, 2));
        EXPECT_TRUE(schedule.isDue(*schedule.dueAt(), 2));
        dueTimes.insert(schedule.dueAt()->sinceEpoch().microseconds());
    }
    EXPECT_GT(dueTimes.size(), 15U); // Nodes with different seeds must not append at the same time.
}

// Guards against redundant snapshots, one from each node.
TEST(SnapshotSchedule, SkipsWhenSnapshotWasSeen)
{
    snapshot_schedule schedule = makeSchedule(1);
    schedule.addRequiredRecord(0, atTime(0));
    schedule.handleSnapshot(1, 1, atTime(12'000));
    EXPECT_FALSE(schedule.isDue(atTime(retention / 3), 2));
    EXPECT_GE(*schedule.dueAt(), atTime(12'000 + retention / 6));
}

// Guards against trimming a change that was appended before a snapshot record but is not included in it.
TEST(SnapshotSchedule, KeepsRecordsThatSnapshotLacks)
{
    snapshot_schedule schedule = makeSchedule(1);
    schedule.addRequiredRecord(0, atTime(0));
    schedule.addRequiredRecord(1, atTime(2000));
    schedule.handleSnapshot(2, 1, atTime(12'000));
    EXPECT_LE(*schedule.dueAt(), atTime(2000 + retention / 3));
}

// Guards against appending many snapshots while the log is slow, and against never retrying a lost append.
TEST(SnapshotSchedule, RepeatsAfterDelay)
{
    snapshot_schedule schedule = makeSchedule(1);
    schedule.addRequiredRecord(0, atTime(0));
    const time_point due = *schedule.dueAt();
    schedule.recordAttempt(due);
    EXPECT_FALSE(schedule.isDue(due + milliseconds { 999 }, 1));
    EXPECT_TRUE(schedule.isDue(due + milliseconds { 1000 }, 1));
}

// Guards against a log with a record limit trimming the last snapshot when many records are appended.
TEST(SnapshotSchedule, IsDueByNumberOfRecords)
{
    snapshot_schedule schedule = makeSchedule(1, 60);
    schedule.addRequiredRecord(0, atTime(0));
    EXPECT_FALSE(schedule.isDue(atTime(1), 9));
    EXPECT_TRUE(schedule.isDue(atTime(1), 20));
}

} // namespace knapweedcroft
