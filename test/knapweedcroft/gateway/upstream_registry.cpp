#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

class upstream_registry_test : public testing::Test {
protected:
    upstream_registry_test()
        : m_charts { valueOf(loadCharts(KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts")) }
        , m_registry { m_charts.upstream, milliseconds { 5000 }, m_departed }
    {
    }

    [[nodiscard]] static time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

    [[nodiscard]] static upstream_announcement announcement(
        const std::string& id, std::int64_t startedAt, std::int64_t sequence)
    {
        upstream_announcement value;
        value.incarnation = { id, startedAt };
        value.slots = 8;
        value.sequence = sequence;
        return value;
    }

    chart_set m_charts;
    departed_upstreams m_departed;
    upstream_registry m_registry;
};

TEST_F(upstream_registry_test, ServesAfterTheFirstAnnouncement)
{
    EXPECT_FALSE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 1), at(1)), announcement_result::changed);
    EXPECT_TRUE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 2), at(2)), announcement_result::unchanged);
}

// A late announcement of `serving` must not make a draining upstream serve again.
TEST_F(upstream_registry_test, IgnoresAnnouncementsOutOfOrder)
{
    m_registry.announce(announcement("a", 100, 1), at(1));
    upstream_announcement leaving = announcement("a", 100, 3);
    leaving.state = upstream_state::draining;
    EXPECT_EQ(m_registry.announce(leaving, at(2)), announcement_result::changed);
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 2), at(3)), announcement_result::stale);
    EXPECT_FALSE(m_registry.isServing());
}

TEST_F(upstream_registry_test, IgnoresAnOlderStart)
{
    m_registry.announce(announcement("new", 200, 1), at(1));
    EXPECT_EQ(m_registry.announce(announcement("old", 100, 50), at(2)), announcement_result::stale);
    EXPECT_EQ(m_registry.current()->incarnation.id, "new");
}

// An upstream that restarts under the same identifier numbers its announcements from the start.
TEST_F(upstream_registry_test, TakesANewStartUnderTheSameIdentifier)
{
    m_registry.announce(announcement("a", 100, 40), at(1));
    m_registry.leave("a", at(2));
    EXPECT_EQ(m_registry.announce(announcement("a", 200, 1), at(3)), announcement_result::changed);
    EXPECT_TRUE(m_registry.isServing());
}

TEST_F(upstream_registry_test, RecognisesARestartWithoutAStartTimeByItsSequence)
{
    m_registry.announce(announcement("a", 0, 40), at(1));
    EXPECT_EQ(m_registry.announce(announcement("a", 0, 1), at(2)), announcement_result::stale);
    EXPECT_NE(m_registry.announce(announcement("a", 0, 2), at(3)), announcement_result::stale);
    EXPECT_EQ(m_registry.announce(announcement("a", 0, 3), at(4)), announcement_result::unchanged);
}

// An announcement of a terminated upstream may be delivered after the first one of its replacement.
TEST_F(upstream_registry_test, IgnoresAFormerUpstreamWithoutAStartTime)
{
    m_registry.announce(announcement("old", 0, 40), at(1));
    m_registry.announce(announcement("new", 0, 1), at(2));
    EXPECT_EQ(m_registry.announce(announcement("old", 0, 41), at(3)), announcement_result::stale);
    EXPECT_EQ(m_registry.current()->incarnation.id, "new");
}

TEST_F(upstream_registry_test, IgnoresAnnouncementsAfterItsLeave)
{
    m_registry.announce(announcement("a", 100, 1), at(1));
    EXPECT_FALSE(m_registry.leave("b", at(2)));
    EXPECT_TRUE(m_registry.leave("a", at(2)));
    EXPECT_FALSE(m_registry.leave("a", at(3)));
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 2), at(4)), announcement_result::stale);
    EXPECT_FALSE(m_registry.isServing());
}

// Guards against late announcements that are taken for a restart, and revive an upstream whose leave was acknowledged
// (DRAIN).
TEST_F(upstream_registry_test, IgnoresLateAnnouncementsAfterItsLeave)
{
    upstream_announcement leaving = announcement("b", 0, 7);
    leaving.state = upstream_state::draining;
    m_registry.announce(announcement("a", 0, 7), at(1));
    m_registry.leave("a", at(2));
    for (const std::int64_t late : { 5, 6, 8 })
        EXPECT_EQ(m_registry.announce(announcement("a", 0, late), at(3)), announcement_result::stale) << late;
    EXPECT_FALSE(m_registry.isServing());
    m_registry.announce(announcement("b", 0, 6), at(4));
    m_registry.announce(leaving, at(5));
    for (const std::int64_t late : { 4, 5, 8 })
        EXPECT_EQ(m_registry.announce(announcement("b", 0, late), at(6)), announcement_result::stale) << late;
    EXPECT_FALSE(m_registry.isServing());
}

// Guards against a late announcement of a crashed upstream that shuts out the living one without end (RECOVER).
TEST_F(upstream_registry_test, ReturnsToTheUpstreamThatALateAnnouncementReplaced)
{
    m_registry.announce(announcement("living", 0, 10), at(1));
    EXPECT_EQ(m_registry.announce(announcement("crashed", 0, 40), at(2)), announcement_result::changed);
    EXPECT_EQ(m_registry.announce(announcement("living", 0, 11), at(3)), announcement_result::stale);
    EXPECT_TRUE(m_registry.markUnreachable("crashed"));
    EXPECT_EQ(m_registry.announce(announcement("living", 0, 12), at(4)), announcement_result::changed);
    EXPECT_TRUE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("crashed", 0, 41), at(5)), announcement_result::stale);
}

// Guards against an upstream that left, was replaced, and serves again while its successor is silent (DRAIN).
TEST_F(upstream_registry_test, RemembersTheLeaveOfAReplacedUpstream)
{
    m_registry.announce(announcement("a", 0, 7), at(1));
    m_registry.leave("a", at(2));
    m_registry.announce(announcement("b", 0, 1), at(3));
    m_registry.markUnreachable("b");
    EXPECT_EQ(m_registry.announce(announcement("a", 0, 8), at(4)), announcement_result::stale);
    EXPECT_FALSE(m_registry.isServing());
}

TEST_F(upstream_registry_test, BecomesSilentAndComesBack)
{
    m_registry.announce(announcement("a", 100, 1), at(0));
    EXPECT_FALSE(m_registry.poll(at(4999)));
    EXPECT_TRUE(m_registry.poll(at(5000)));
    EXPECT_FALSE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 2), at(6000)), announcement_result::changed);
    EXPECT_TRUE(m_registry.isServing());
}

// A node that restarts while its upstream keeps running forwards requests to it at once; the next announcement confirms
// or corrects the restored state.
TEST_F(upstream_registry_test, RestoresTheUpstreamOfAnEarlierProcess)
{
    EXPECT_TRUE(m_registry.restore(announcement("a", 100, 0), at(1)));
    EXPECT_TRUE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("a", 100, 17), at(2)), announcement_result::unchanged);
    EXPECT_FALSE(m_registry.restore(announcement("b", 200, 0), at(3)));
    EXPECT_TRUE(m_registry.markUnreachable("a"));
    EXPECT_FALSE(m_registry.isServing());
}

// Guards against a process that starts, acknowledges the leave of an upstream that it does not know yet, and then takes
// that upstream from the record of the process before it.
TEST_F(upstream_registry_test, RemembersTheLeaveOfAnUpstreamThatItDoesNotKnowYet)
{
    EXPECT_FALSE(m_registry.leave("a", at(1)));
    EXPECT_FALSE(m_registry.restore(announcement("a", 0, 0), at(2)));
    EXPECT_EQ(m_registry.announce(announcement("a", 0, 7), at(3)), announcement_result::stale);
    EXPECT_FALSE(m_registry.isServing());
    EXPECT_TRUE(m_registry.restore(announcement("b", 0, 0), at(4)));
    EXPECT_TRUE(m_registry.isServing());
}

// Guards against the report of a peer about an earlier start that ends the present one under the same identifier.
TEST_F(upstream_registry_test, IgnoresTheLeaveOfAnEarlierStart)
{
    m_registry.announce(announcement("a", 200, 1), at(1));
    EXPECT_FALSE(m_registry.leave("a", at(2), 100));
    EXPECT_TRUE(m_registry.isServing());
    EXPECT_EQ(m_registry.announce(announcement("a", 200, 2), at(3)), announcement_result::unchanged);
    EXPECT_TRUE(m_registry.leave("a", at(4), 200));
}

// Guards against a late announcement of a crashed upstream that says it leaves: after a restart of this process it took
// the place of its successor, whose own announcements were then ignored as those of a former upstream (RECOVER).
TEST_F(upstream_registry_test, KeepsASuccessorWhenItsPredecessorLeavesLate)
{
    ASSERT_TRUE(m_registry.restore(announcement("successor", 0, 0), at(1)));
    upstream_announcement late = announcement("crashed", 0, 40);
    late.state = upstream_state::draining;
    EXPECT_EQ(m_registry.announce(late, at(2)), announcement_result::stale);
    EXPECT_TRUE(m_registry.isServing());
    for (std::int64_t sequence = 7; sequence <= 9; ++sequence)
        EXPECT_NE(
            m_registry.announce(announcement("successor", 0, sequence), at(sequence)), announcement_result::stale);
    EXPECT_EQ(m_registry.current()->incarnation.id, "successor");
    EXPECT_TRUE(m_registry.isServing());
}

// Guards against the opposite: an upstream whose predecessor has fallen silent is taken at its first word.
TEST_F(upstream_registry_test, TakesALeavingUpstreamAfterASilentOne)
{
    ASSERT_TRUE(m_registry.restore(announcement("silent", 0, 0), at(1)));
    ASSERT_TRUE(m_registry.poll(at(6000)));
    upstream_announcement leaving = announcement("present", 0, 3);
    leaving.state = upstream_state::draining;
    EXPECT_EQ(m_registry.announce(leaving, at(6001)), announcement_result::changed);
    EXPECT_EQ(m_registry.current()->incarnation.id, "present");
    EXPECT_TRUE(m_registry.isLeaving());
}

} // namespace knapweedcroft
