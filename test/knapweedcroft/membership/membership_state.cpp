#include "knapweedcroft/membership/membership_state.hpp"

#include "knapweedcroft/membership/views.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(MembershipState, KeepsViewsInOrderOfTheLog)
{
    view_log log;
    EXPECT_EQ(log.join("b", 1).changes.at(0).kind, view_change_kind::join);
    log.join("a", 2);
    EXPECT_EQ(log.join("a", 3).changes.at(0).kind, view_change_kind::new_incarnation);
    EXPECT_EQ(log.join("a", 3).changes.at(0).kind, view_change_kind::refresh);
    EXPECT_EQ(log.add(evict_record { "b", incarnation_id { 1 }, 3 }).changes.at(0).kind, view_change_kind::evict);
    EXPECT_EQ(log.view().offset, 4);
    ASSERT_EQ(log.state.members().size(), 1U);
    EXPECT_EQ(log.state.find("a")->incarnation, incarnation_id { 3 });
    EXPECT_EQ(log.state.find("b"), nullptr);
    EXPECT_TRUE(log.history().isFromGenesis);
    EXPECT_EQ(log.history().entries.size(), 5U);
}

// Guards against the eviction of a node on evidence that predates its restart or another view change.
TEST(MembershipState, VoidsStaleRecords)
{
    view_log log;
    log.join("a", 1);
    log.join("b", 1);
    EXPECT_TRUE(log.add(evict_record { "a", incarnation_id { 1 }, 0 }).voided);
    EXPECT_TRUE(log.add(evict_record { "a", incarnation_id { 2 }, 1 }).voided);
    EXPECT_TRUE(log.add(leave_record { "a", incarnation_id { 2 } }).voided);
    EXPECT_TRUE(log.add(join_record { { "a", incarnation_id { 1 }, "t", "", "" } }).voided);
    log.join("a", 2);
    // A node whose append was not answered repeats its join, possibly after the join of its next incarnation.
    EXPECT_TRUE(log.join("a", 1).voided);
    EXPECT_EQ(log.state.find("a")->incarnation, incarnation_id { 2 });
}

TEST(MembershipState, ReadsTrimmedLogFromSnapshot)
{
    view_log log;
    log.join("a", 1);
    log.join("b", 1);
    const std::string snapshot = log.state.snapshot();
    log.join("c", 1);
    log.add(valueOf(parseRecord(snapshot)));

    membership_state reader { log.settings };
    EXPECT_TRUE(reader.apply(log.records[2], log.now).isDeferred);
    EXPECT_TRUE(reader.hasGap());
    EXPECT_EQ(reader.apply(log.records[3], log.now).changes.size(), 1U);
    EXPECT_FALSE(reader.hasGap());
    EXPECT_EQ(reader.snapshot(), log.state.snapshot());
    EXPECT_TRUE(reader.history("s")->isFromGenesis);
    EXPECT_EQ(reader.nextOffset(), 4);
}

// Guards against keys that are treated as new because the log no longer shows who held them before.
TEST(MembershipState, StartWithoutHistoryIsNotGenesis)
{
    view_log log;
    log.join("a", 1);
    log.join("b", 1);
    membership_state reader { log.settings };
    reader.handleTrim(1);
    EXPECT_EQ(reader.nextOffset(), 1);
    reader.apply(log.records[1], log.now);
    EXPECT_EQ(reader.skipGap(log.now).changes.size(), 1U);
    EXPECT_FALSE(reader.history("s")->isFromGenesis);
}

TEST(MembershipState, AdoptNeverGoesBack)
{
    view_log log;
    log.join("a", 1);
    const std::string older = log.state.snapshot();
    log.join("b", 1);
    const std::string newer = log.state.snapshot();
    EXPECT_FALSE(log.state.installSnapshot(older, log.now));
    EXPECT_FALSE(log.state.installSnapshot("{", log.now));
    membership_state reader { log.settings };
    EXPECT_TRUE(reader.installSnapshot(older, log.now));
    EXPECT_TRUE(reader.installSnapshot(newer, log.now));
    EXPECT_EQ(*reader.view("s"), log.view());
}

TEST(MembershipState, ForgetsViewsBeyondTheWindow)
{
    view_log log;
    log.join("a", 1);
    log.join("b", 1);
    log.now = log.now + log.settings.viewRetentionTime + milliseconds { 1 };
    log.join("c", 1);
    EXPECT_EQ(log.history().entries.size(), 2U);
    EXPECT_FALSE(log.history().isFromGenesis);
}

} // namespace knapweedcroft
