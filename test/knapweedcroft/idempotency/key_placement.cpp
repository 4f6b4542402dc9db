#include "knapweedcroft/idempotency/key_placement.hpp"

#include "knapweedcroft/membership/views.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace knapweedcroft {

class key_placement_test : public testing::Test {
protected:
    key_placement_test() { log.now = time_point { milliseconds { 1'700'000'000'000 } }; }

    [[nodiscard]] static std::string makeKey(time_point issuedAt, int number)
    {
        char text[64];
        const long long timestamp = issuedAt.sinceEpoch().whole();
        std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x",
            static_cast<unsigned long long>(timestamp >> 16U), static_cast<unsigned long long>(timestamp & 0xFFFF),
            static_cast<unsigned>(number));
        return text;
    }

    /** @brief Returns a key issued now that `before` held in the previous view and `after` holds in the current one. */
    [[nodiscard]] std::string makeMovedKey(const node_name& before, const node_name& after) const
    {
        const std::vector<view_entry>& entries = log.history().entries;
        for (int number = 0;; ++number) {
            std::string key = makeKey(log.now, number);
            const member* previousHolder = key_placement::holder(entries[entries.size() - 2].view, key);
            if (previousHolder->node == before && key_placement::holder(log.view(), key)->node == after)
                return key;
        }
    }

    [[nodiscard]] placement_decision check(const std::string& key)
    {
        leases.updateViews(log.history());
        return placement.check(key, log.history(), leases, window, log.now, log.now);
    }

    template <typename Alternative> [[nodiscard]] bool is(const placement_decision& verdict) const
    {
        return std::holds_alternative<Alternative>(verdict);
    }

    view_log log;
    milliseconds window { 600'000 };
    idempotency_settings settings;
    key_placement placement { settings, { "a", incarnation_id { 1 } } };
    lease_table leases { log.settings, "a", incarnation_id { 1 }, log.now };
};

TEST_F(key_placement_test, JoinMovesKeysOnlyToTheNewMember)
{
    log.join("a", 1);
    log.join("b", 1);
    log.join("c", 1);
    const std::vector<view_entry>& entries = log.history().entries;
    int moved = 0;
    for (int number = 0; number < 3000; ++number) {
        const std::string key = makeKey(log.now, number);
        const node_name before = key_placement::holder(entries[1].view, key)->node;
        const node_name after = key_placement::holder(entries[2].view, key)->node;
        EXPECT_TRUE(after == before || after == "c");
        moved += after == "c" ? 1 : 0;
    }
    EXPECT_NEAR(moved, 1000, 150);
}

TEST_F(key_placement_test, FirstViewAdmitsAllButInvalidTimestamps)
{
    log.join("a", 1);
    EXPECT_TRUE(is<admit_new>(check(makeKey(log.now, 1))));
    EXPECT_TRUE(is<admit_new>(check("opaque-key")));
    EXPECT_TRUE(is<refuse_clock_ahead>(check(makeKey(log.now + settings.skewBound + milliseconds { 1 }, 1))));
    EXPECT_TRUE(is<unknown_outcome>(check(makeKey(log.now - window - milliseconds { 1 }, 1))));
    log.join("b", 1);
    EXPECT_EQ(std::get<not_holder>(check(makeMovedKey("a", "b"))).holder, "b");
}

// Guards against a new member that runs a call while the previous holder of its key may still be running it.
TEST_F(key_placement_test, JoinerWaitsForHandOver)
{
    log.join("b", 1);
    log.join("a", 1);
    const std::string key = makeMovedKey("b", "a");
    EXPECT_TRUE(is<wait_for_hand_over>(check(key)));
    placement.registerHandOver("b", log.view().offset, time_point {}, false);
    EXPECT_TRUE(is<wait_for_hand_over>(check(key)));
    placement.registerHandOver("b", log.view().offset, time_point {}, true);
    EXPECT_TRUE(is<admit_new>(check(key)));
}

TEST_F(key_placement_test, IncompleteHandOverLeavesOlderKeysUnknown)
{
    log.join("b", 1);
    log.join("a", 1);
    placement.registerHandOver("b", log.view().offset, log.now + milliseconds { 10 }, true);
    EXPECT_TRUE(is<unknown_outcome>(check(makeMovedKey("b", "a"))));
    log.now = log.now + milliseconds { 11 };
    EXPECT_TRUE(is<admit_new>(check(makeMovedKey("b", "a"))));
}

TEST_F(key_placement_test, EvictedHolderLeavesOlderKeysUnknown)
{
    log.join("a", 1);
    log.join("b", 1);
    log.add(evict_record { "b", incarnation_id { 1 }, 1 });
    EXPECT_TRUE(is<unknown_outcome>(check(makeMovedKey("b", "a"))));
    log.now = log.now + settings.timestampMargin() + milliseconds { 1 };
    EXPECT_TRUE(is<admit_new>(check(makeMovedKey("b", "a"))));
}

TEST_F(key_placement_test, WaitsOneLeaseTimeForLeavingMember)
{
    log.join("a", 1);
    log.join("b", 1);
    log.add(leave_record { "b", incarnation_id { 1 } });
    const std::string key = makeMovedKey("b", "a");
    EXPECT_TRUE(is<wait_for_hand_over>(check(key)));
    log.now = log.now + log.settings.leaseTime;
    EXPECT_TRUE(is<unknown_outcome>(check(key)));
    placement.registerHandOver("b", log.view().offset, time_point {}, true);
    EXPECT_TRUE(is<admit_new>(check(key)));
}

// Guards against a restarted node that treats keys from its previous incarnation as new and runs their calls again.
TEST_F(key_placement_test, OwnRestartLosesTheTable)
{
    log.join("a", 9);
    log.join("a", 1);
    const std::string key = makeKey(log.now, 1);
    EXPECT_TRUE(is<wait_for_hand_over>(check(key)));
    log.now = log.now + log.settings.leaseTime;
    EXPECT_TRUE(is<unknown_outcome>(check(key)));
    EXPECT_TRUE(is<unknown_outcome>(check("opaque-key")));
}

TEST_F(key_placement_test, ReturnsHandOversOnceEarlierHoldersStopped)
{
    log.join("b", 1);
    log.join("a", 1);
    const std::int64_t ownOffset = log.view().offset;
    log.join("c", 1);
    leases.updateViews(log.history());
    EXPECT_TRUE(placement.pendingHandOvers(log.history(), leases, log.now, log.now).empty());
    placement.registerHandOver("b", ownOffset, time_point { milliseconds { 5 } }, true);
    const std::vector<pending_hand_over> owed = placement.pendingHandOvers(log.history(), leases, log.now, log.now);
    ASSERT_EQ(owed.size(), 1U);
    EXPECT_EQ(owed[0].to, "c");
    EXPECT_EQ(owed[0].completeSince, time_point { milliseconds { 5 } });
    EXPECT_TRUE(placement.isMovedTo(log.history(), owed[0].viewOffset, "c", makeMovedKey("a", "c")));
    EXPECT_FALSE(placement.isMovedTo(log.history(), owed[0].viewOffset, "c", makeMovedKey("b", "c")));
    placement.registerAcknowledgement("c", owed[0].viewOffset);
    EXPECT_TRUE(placement.pendingHandOvers(log.history(), leases, log.now, log.now).empty());
    log.add(leave_record { "a", incarnation_id { 1 } });
    leases.updateViews(log.history());
    EXPECT_EQ(placement.pendingHandOvers(log.history(), leases, log.now, log.now).size(), 2U);
}

} // namespace knapweedcroft
