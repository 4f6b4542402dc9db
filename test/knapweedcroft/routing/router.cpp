#include "knapweedcroft/routing/router.hpp"

#include <gtest/gtest.h>

#include <map>

namespace knapweedcroft {

static const time_point s_start { milliseconds { 100000 } };
static const time_point s_ramped = s_start + milliseconds { 10000 };

class router_test : public testing::Test {
protected:
    void add(const node_name& node, const std::string& dataCentre, bool isAvailable = true)
    {
        m_router.setMember({ node, "s", dataCentre, false }, s_start);
        m_router.setAvailable(node, isAvailable);
    }

    void runCall(const node_name& node, attempt_outcome outcome, double latency, time_point now)
    {
        m_router.started(node, now);
        m_router.finished(node, outcome, milliseconds::fromFraction(latency), milliseconds {}, now);
    }

    std::map<node_name, int> countChoices(int calls, time_point now, const std::vector<node_name>& excluded = {})
    {
        std::map<node_name, int> counts;
        for (int call = 0; call < calls; ++call)
            ++counts[m_router.choose("s", excluded, now).value_or("none")];
        return counts;
    }

    routing_settings m_settings;
    router m_router { m_settings, "east", 7 };
};

// Guards against calls to members that are unavailable or already received the call.
TEST_F(router_test, ChoosesOnlyUsableMembers)
{
    EXPECT_FALSE(m_router.hasService("s"));
    EXPECT_FALSE(m_router.choose("s", {}, s_start));
    add("n1", "east");
    add("n2", "east", false);
    add("n3", "west");
    EXPECT_EQ(countChoices(100, s_ramped, { "n1" }), (std::map<node_name, int> { { "n3", 100 } }));
    EXPECT_EQ(countChoices(100, s_ramped, { "n1", "n3" }), (std::map<node_name, int> { { "none", 100 } }));
    EXPECT_EQ(m_router.members("s"), (std::vector<node_name> { "n1", "n2", "n3" }));
    m_router.removeMember("n3");
    EXPECT_EQ(m_router.members("s"), (std::vector<node_name> { "n1", "n2" }));
}

// Guards against calls that leave the data centre without need, and against overload of a member in it.
TEST_F(router_test, PrefersTheOwnDataCentreUnlessBusier)
{
    add("n1", "east");
    add("n2", "west");
    runCall("n1", attempt_outcome::succeeded, 10, s_ramped);
    runCall("n2", attempt_outcome::succeeded, 10, s_ramped);
    EXPECT_EQ(countChoices(50, s_ramped)["n1"], 50);
    m_router.started("n1", s_ramped);
    EXPECT_EQ(m_router.inFlight("n1"), 1U);
    EXPECT_EQ(countChoices(50, s_ramped)["n2"], 50);
}

// Guards against calls that keep going to a failing member, and against ejection of more than half of the members.
TEST_F(router_test, EjectsAtMostHalf)
{
    for (const char* node : { "n1", "n2", "n3" })
        add(node, "east");
    for (const char* node : { "n1", "n2", "n3" }) {
        for (std::uint32_t count = 0; count < m_settings.ejectionFailures; ++count)
            runCall(node, attempt_outcome::timed_out, 10, s_ramped);
    }
    EXPECT_TRUE(m_router.isEjected("n1"));
    EXPECT_FALSE(m_router.isEjected("n2"));
    EXPECT_FALSE(m_router.isEjected("n3"));
    EXPECT_EQ(countChoices(100, s_ramped).count("n1"), 0U);
    EXPECT_EQ(countChoices(1, s_ramped, { "n2", "n3" }).count("n1"), 1U);
}

// Guards against ejection of a member that answers: a refusal resets its count of consecutive failures.
TEST_F(router_test, DoesNotEjectOnRefusals)
{
    add("n1", "east");
    add("n2", "east");
    for (std::uint32_t count = 0; count < 10 * m_settings.ejectionFailures; ++count)
        runCall("n1", count % m_settings.ejectionFailures == 0 ? attempt_outcome::refused : attempt_outcome::failed, 1,
            s_ramped);
    EXPECT_FALSE(m_router.isEjected("n1"));
}

// Guards against more than one probe at a time of a failing member, and against probes without back-off.
TEST_F(router_test, ProbesOneCallWithBackOff)
{
    add("n1", "east");
    add("n2", "east");
    for (std::uint32_t count = 0; count < m_settings.ejectionFailures; ++count)
        runCall("n1", attempt_outcome::failed, 1, s_ramped);
    EXPECT_EQ(countChoices(100, s_ramped)["n2"], 100);
    const time_point ended = s_ramped + m_settings.firstEjection;
    EXPECT_EQ(m_router.choose("s", {}, ended), "n1");
    m_router.started("n1", ended);
    EXPECT_EQ(countChoices(100, ended)["n2"], 100);
    m_router.finished("n1", attempt_outcome::failed, milliseconds { 1 }, milliseconds {}, ended);
    EXPECT_EQ(countChoices(100, ended + m_settings.firstEjection)["n2"], 100);
    const time_point second = ended + m_settings.firstEjection * 2;
    EXPECT_EQ(m_router.choose("s", { "n2" }, second), "n1");
    EXPECT_EQ(m_router.choose("s", {}, second), "n1");
    runCall("n1", attempt_outcome::succeeded, 1, second);
    EXPECT_FALSE(m_router.isEjected("n1"));
}

// Guards against a new member that gets its full share of calls at once.
TEST_F(router_test, RampsNewMembersUp)
{
    add("n1", "east");
    m_router.setMember({ "n2", "s", "east", false }, s_ramped);
    m_router.setAvailable("n2", true);
    const int early = countChoices(4000, s_ramped)["n2"];
    const int late = countChoices(4000, s_ramped + m_settings.rampTime)["n2"];
    EXPECT_GT(early, 0);
    EXPECT_LT(early, late / 2);
}

} // namespace knapweedcroft
