#include "knapweedcroft/membership/lease_table.hpp"

#include "knapweedcroft/membership/views.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace knapweedcroft {

/** @brief Three members that exchange heartbeats without delay, except those that are disconnected. */
class lease_table_test : public testing::Test {
protected:
    using named_table = std::pair<const node_name, lease_table>;

    lease_table_test()
    {
        for (const char* node : { "a", "b", "c" }) {
            log.join(node, 1);
            addTable(node, 1);
        }
        updateViews();
    }

    void addTable(const node_name& node, std::uint64_t incarnation)
    {
        tables.insert_or_assign(node, lease_table { log.settings, node, incarnation_id { incarnation }, log.now });
    }

    void updateViews()
    {
        for (named_table& item : tables)
            item.second.updateViews(log.history());
    }

    void exchangeHeartbeats()
    {
        for (named_table& sender : tables) {
            for (named_table& receiver : tables) {
                if (sender.first == receiver.first)
                    continue;
                const heartbeat_message heartbeat
                    = sender.second.makeHeartbeat(receiver.first, log.now, wallTime(sender.first));
                if (disconnected.count(sender.first) == 0 && disconnected.count(receiver.first) == 0)
                    receiver.second.receiveHeartbeat(sender.first, heartbeat, log.now, wallTime(receiver.first));
            }
        }
    }

    void runHeartbeats(std::int64_t heartbeats)
    {
        for (std::int64_t count = 0; count < heartbeats; ++count) {
            log.now = log.now + log.settings.heartbeatInterval;
            exchangeHeartbeats();
        }
    }

    [[nodiscard]] time_point wallTime(const node_name& node) const
    {
        const auto offset = clockOffsets.find(node);
        return log.now + (offset == clockOffsets.end() ? milliseconds {} : offset->second);
    }

    [[nodiscard]] bool isHeld(const node_name& node) const
    {
        return tables.at(node).heldUntil(log.view(), log.now, wallTime(node)).has_value();
    }

    [[nodiscard]] std::size_t evictableCount(const node_name& node) const
    {
        return tables.at(node).evictableMembers(log.view(), log.now).size();
    }

    view_log log;
    std::map<node_name, lease_table> tables;
    std::set<node_name> disconnected;
    std::map<node_name, milliseconds> clockOffsets;
};

TEST_F(lease_table_test, HoldsFromMajority)
{
    EXPECT_FALSE(isHeld("a"));
    runHeartbeats(2);
    EXPECT_TRUE(isHeld("a"));
    disconnected = { "c" };
    // The last grants to c answer its heartbeat of 500 ms before the disconnection, so they end 2470 ms after it.
    runHeartbeats(4);
    EXPECT_TRUE(isHeld("a"));
    EXPECT_TRUE(isHeld("c"));
    runHeartbeats(1);
    EXPECT_TRUE(isHeld("a"));
    EXPECT_FALSE(isHeld("c"));
}

// Guards against the eviction of a member while a lease granted before it fell silent is still valid.
TEST_F(lease_table_test, EvictsAfterSilenceAndLease)
{
    runHeartbeats(2);
    const time_point disconnectedAt = log.now;
    disconnected = { "c" };
    while (evictableCount("a") == 0 && log.now - disconnectedAt < milliseconds { 60'000 })
        runHeartbeats(1);
    // A grant may answer the heartbeat that c sent at the disconnection, and then ends one lease time later.
    EXPECT_GE(log.now - disconnectedAt, log.settings.leaseTime);
    EXPECT_LE(log.now - disconnectedAt, log.settings.leaseTime + log.settings.heartbeatInterval * 2);
    EXPECT_FALSE(isHeld("c"));
    EXPECT_EQ(evictableCount("c"), 0U);
}

// Guards against the eviction of b while c, which was evicted before but may still run at an old view, grants b a
// lease; and against delaying the eviction until that view is no longer retained.
TEST_F(lease_table_test, SecondMemberOfThreeIsEvictedIfItReportedTheFirst)
{
    runHeartbeats(2);
    disconnected = { "c" };
    while (evictableCount("a") == 0)
        runHeartbeats(1);
    log.add(evict_record { "c", incarnation_id { 1 }, log.view().offset });
    tables.at("a").updateViews(log.history());
    disconnected = { "b", "c" };
    const service_history& old = log.history();
    EXPECT_EQ(old.current().members.size(), 2U);
    const time_point disconnectedAt = log.now;
    while (evictableCount("a") == 0 && log.now - disconnectedAt < milliseconds { 60'000 })
        runHeartbeats(1);
    EXPECT_GE(log.now - disconnectedAt, log.settings.leaseTime);
    EXPECT_LE(log.now - disconnectedAt, log.settings.leaseTime + log.settings.heartbeatInterval * 2);
}

// Guards against a reporter that accepts a grant from its suspect; the eviction above relies on its refusal.
TEST_F(lease_table_test, ReporterTakesNoGrantFromSuspect)
{
    runHeartbeats(2);
    disconnected = { "b", "c" };
    runHeartbeats(6);
    EXPECT_FALSE(isHeld("a"));
    disconnected = { "c" };
    runHeartbeats(2);
    EXPECT_FALSE(isHeld("a"));
    log.join("a", 1);
    updateViews();
    runHeartbeats(2);
    EXPECT_TRUE(isHeld("a"));
}

// Guards against a grant that is still valid when an eviction record based on an earlier report takes effect.
TEST_F(lease_table_test, ReportedMemberIsGrantedOnlyAfterViewChange)
{
    runHeartbeats(2);
    disconnected = { "c" };
    runHeartbeats(13);
    EXPECT_EQ(evictableCount("a"), 1U);
    disconnected = {};
    runHeartbeats(3);
    EXPECT_FALSE(isHeld("c"));
    EXPECT_TRUE(tables.at("a").shouldRefreshView(log.now));
    EXPECT_FALSE(tables.at("c").heldUntil(log.view(), log.now, log.now));
    log.join("a", 1);
    updateViews();
    runHeartbeats(2);
    EXPECT_TRUE(isHeld("c"));
    EXPECT_FALSE(tables.at("a").shouldRefreshView(log.now));
}

TEST_F(lease_table_test, SuspicionEndsWithoutViewChangeWhileLogIsUnavailable)
{
    runHeartbeats(2);
    for (named_table& item : tables)
        item.second.setLogAvailable(false);
    disconnected = { "c" };
    runHeartbeats(13);
    EXPECT_TRUE(tables.at("a").isSuspect("c", log.now));
    EXPECT_EQ(evictableCount("a"), 0U);
    disconnected = {};
    runHeartbeats(3);
    EXPECT_TRUE(isHeld("c"));
}

TEST_F(lease_table_test, ClockAheadHoldsNothing)
{
    clockOffsets["b"] = log.settings.skewBound / 2 + milliseconds { 1 };
    runHeartbeats(3);
    EXPECT_TRUE(isHeld("a"));
    EXPECT_FALSE(isHeld("b"));
    // The clock of c is set after c received its lease.
    clockOffsets["c"] = log.settings.skewBound;
    EXPECT_FALSE(isHeld("c"));
}

// Guards against two incarnations of a node that hold a lease at the same time, granted by different peers.
TEST_F(lease_table_test, NewIncarnationWaitsForLeaseOfEarlierOne)
{
    runHeartbeats(2);
    log.join("c", 2);
    addTable("c", 2);
    updateViews();
    runHeartbeats(1);
    const node_identity previousIncarnation { "c", incarnation_id { 1 } };
    EXPECT_FALSE(tables.at("c").stoppedAt(previousIncarnation, log.view().offset, log.now));
    runHeartbeats(4);
    EXPECT_FALSE(isHeld("c"));
    runHeartbeats(3);
    EXPECT_TRUE(isHeld("c"));
    EXPECT_TRUE(tables.at("c").stoppedAt(previousIncarnation, log.view().offset, log.now));
}

// Guards against the eviction of a sole member that has not yet read the join of the second member.
TEST_F(lease_table_test, LoneMemberOfUnreadViewIsNotEvicted)
{
    view_log twoMembers;
    twoMembers.join("a", 1);
    twoMembers.join("b", 1);
    lease_table tableOfB { twoMembers.settings, "b", incarnation_id { 1 }, twoMembers.now };
    tableOfB.updateViews(twoMembers.history());
    for (std::int64_t count = 0; count < 40; ++count) {
        twoMembers.now = twoMembers.now + twoMembers.settings.heartbeatInterval;
        EXPECT_FALSE(tableOfB.makeHeartbeat("a", twoMembers.now, twoMembers.now).grant);
    }
    EXPECT_TRUE(tableOfB.evictableMembers(twoMembers.view(), twoMembers.now).empty());
}

} // namespace knapweedcroft
