#include "knapweedcroft/gateway/request_quarantine.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

} // namespace

// Guards against the innocent requests of a crash being refused with the one that caused it.
TEST(RequestQuarantine, HoldsOnlyWhatWasRunningAtTwoCrashes)
{
    request_quarantine quarantine;
    EXPECT_TRUE(quarantine.recordCrash("u1", { 1, 2, 3 }, at(0)));
    EXPECT_TRUE(quarantine.statusOf(1, at(0)).isSuspected());
    EXPECT_FALSE(quarantine.statusOf(1, at(0)).isHeld());
    EXPECT_TRUE(quarantine.recordCrash("u2", { 3, 4 }, at(100)));
    EXPECT_TRUE(quarantine.statusOf(3, at(100)).isHeld());
    EXPECT_FALSE(quarantine.statusOf(1, at(100)).isHeld());
    EXPECT_FALSE(quarantine.statusOf(5, at(100)).isSuspected());
    EXPECT_EQ(quarantine.heldCount(at(100)), 1U);
}

// The same crash is reported by the node beside the upstream and passed on by others.
TEST(RequestQuarantine, CountsEachCrashOnce)
{
    request_quarantine quarantine;
    EXPECT_TRUE(quarantine.recordCrash("u1", { 1, 1 }, at(0)));
    EXPECT_FALSE(quarantine.recordCrash("u1", { 1 }, at(1)));
    EXPECT_EQ(quarantine.statusOf(1, at(1)).crashes, 1U);
}

// Guards against a proper request that stays refused, and against one that may end an upstream every few seconds.
TEST(RequestQuarantine, HoldsForATimeThatEndsAndGrowsWithEachCrash)
{
    request_quarantine quarantine;
    std::int64_t time = 0;
    for (const std::int64_t hold : { 0, 30'000, 60'000, 120'000, 240'000, 480'000, 600'000, 600'000 }) {
        quarantine.recordCrash("u" + std::to_string(time), { 1 }, at(time));
        EXPECT_EQ(quarantine.statusOf(1, at(time)).holdLeft, milliseconds { hold });
        time += hold + 1;
        EXPECT_FALSE(quarantine.statusOf(1, at(time)).isHeld());
    }
}

TEST(RequestQuarantine, ForgetsWhatACompleteAnswerClears)
{
    request_quarantine quarantine;
    quarantine.recordCrash("u1", { 1, 2 }, at(0));
    EXPECT_TRUE(quarantine.clear(1));
    EXPECT_FALSE(quarantine.clear(1));
    quarantine.recordCrash("u2", { 1, 2 }, at(100));
    EXPECT_FALSE(quarantine.statusOf(1, at(100)).isHeld());
    EXPECT_TRUE(quarantine.statusOf(2, at(100)).isHeld());
}

TEST(RequestQuarantine, ForgetsSuspectsAfterTenMinutes)
{
    request_quarantine quarantine;
    quarantine.recordCrash("u1", { 1 }, at(0));
    quarantine.poll(at(599'999));
    EXPECT_FALSE(quarantine.empty());
    quarantine.poll(at(600'000));
    EXPECT_TRUE(quarantine.empty());
}

// Guards against a node that starts, learns nothing and sends a held request to the next upstream.
TEST(RequestQuarantine, TakesOverWhatAnotherNodeKnows)
{
    request_quarantine known;
    known.recordCrash("u1", { 1, 2 }, at(0));
    known.recordCrash("u2", { 1 }, at(1000));
    request_quarantine started;
    EXPECT_FALSE(started.merge(known.entries(at(2000)), at(50'000)));
    EXPECT_EQ(started.statusOf(1, at(50'000)).holdLeft, milliseconds { 29'000 });
    EXPECT_TRUE(started.statusOf(2, at(50'000)).isSuspected());
    EXPECT_TRUE(started.merge({ { 1, 0, {} } }, at(50'000)));
    EXPECT_FALSE(started.statusOf(1, at(50'000)).isSuspected());
    started.recordCrash("u3", { 2 }, at(60'000));
    EXPECT_FALSE(started.merge(known.entries(at(2000)), at(60'000)));
    EXPECT_EQ(started.statusOf(2, at(60'000)).crashes, 2U) << "an older report must not lower the count";
}

// Guards against memory without bound when each crash has other contents.
TEST(RequestQuarantine, KeepsTheContentsWithMostCrashesWhenItIsFull)
{
    request_quarantine quarantine;
    quarantine.recordCrash("u1", { 1 }, at(0));
    quarantine.recordCrash("u2", { 1 }, at(1));
    for (std::uint64_t number = 0; number < 5000; ++number)
        quarantine.recordCrash("v" + std::to_string(number), { 100 + number }, at(2));
    EXPECT_EQ(quarantine.size(), 4096U);
    EXPECT_TRUE(quarantine.statusOf(1, at(2)).isHeld());
}

} // namespace knapweedcroft
