#include "knapweedcroft/gateway/room_control.hpp"

#include "knapweedcroft/gateway/call_dependence.hpp"
#include "knapweedcroft/gateway/caller_profile.hpp"
#include "knapweedcroft/gateway/downstream_room.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

// Offers work to a control for a while; the admitted part of it arrives after a delay, as whole requests do.
class deep_service {
public:
    explicit deep_service(milliseconds delay)
        : m_delayed(static_cast<std::size_t>(delay.whole() / stepTime), 0.0)
    {
    }

    // Returns the mean share of the capacity that was used.
    double run(room_control& control, double demand, std::int64_t from, std::int64_t to)
    {
        double used = 0.0;
        for (std::int64_t now = from; now < to; now += stepTime) {
            m_delayed.push_back(demand * control.share() * slots * stepTime);
            const double arriving = m_delayed.front();
            m_delayed.pop_front();
            control.offered(milliseconds::fromFraction(arriving));
            m_queued += arriving;
            const double served = std::min(m_queued, static_cast<double>(slots * stepTime));
            // Callers give up what has waited for long.
            m_queued = std::min(m_queued - served, static_cast<double>(slots) * longestWait);
            used += served;
            control.update({ slots, milliseconds::fromFraction(m_queued / slots) }, at(now));
        }
        return used / static_cast<double>(slots * (to - from));
    }

    [[nodiscard]] double wait() const { return m_queued / slots; }

private:
    static constexpr std::uint32_t slots = 10;
    static constexpr std::int64_t stepTime = 10;
    static constexpr double longestWait = 500.0;

    std::deque<double> m_delayed;
    double m_queued = 0.0;
};

} // namespace

TEST(RoomControl, AdmitsAllBelowTheCapacity)
{
    room_control control;
    deep_service service { milliseconds { 300 } };
    service.run(control, 0.8, 0, 10'000);
    EXPECT_DOUBLE_EQ(control.share(), 1.0);
}

// Twice the work that the deep service can do: it must stay busy, and its queue must not time out the callers.
TEST(RoomControl, KeepsADeepServiceBusyWithoutAQueueUnderTwiceItsCapacity)
{
    room_control control;
    deep_service service { milliseconds { 300 } };
    service.run(control, 2.0, 0, 5000);
    EXPECT_GT(service.run(control, 2.0, 5000, 15'000), 0.85);
    EXPECT_LT(service.wait(), 150.0);
    EXPECT_NEAR(control.share(), 0.5, 0.15);
}

// Recovery time: a share that climbs back slowly would itself be the outage.
TEST(RoomControl, ComesBackSoonAfterTheOverload)
{
    room_control control;
    deep_service service { milliseconds { 300 } };
    service.run(control, 3.0, 0, 10'000);
    ASSERT_LT(control.share(), 0.6);
    service.run(control, 0.7, 10'000, 13'000);
    EXPECT_DOUBLE_EQ(control.share(), 1.0);
}

TEST(RoomControl, CutsLessUrgentRanksFirst)
{
    EXPECT_DOUBLE_EQ(admittedShare(0.5, 2), 0.5);
    EXPECT_DOUBLE_EQ(admittedShare(0.5, 1), 1.0);
    EXPECT_DOUBLE_EQ(admittedShare(0.05, 0), 1.0);
    EXPECT_LT(admittedShare(0.05, 1), 1.0);
    EXPECT_LT(admittedShare(0.05, 7), admittedShare(0.05, 1));
}

// A deployment may have one rank only; its demand alone must not keep the deep service in overload.
TEST(RoomControl, CanCutTheMostUrgentRankAlone)
{
    room_control control;
    for (std::int64_t now = 0; now < 10'000; now += 10) {
        control.offered(milliseconds { 1000 });
        control.update({ 10, milliseconds { 500 } }, at(now));
    }
    EXPECT_LT(admittedShare(control.share(), 0), 0.2);
    EXPECT_GT(admittedShare(control.share(), 2), 0.0);
}

TEST(DownstreamRoom, FollowsTheLeastRoomAndForgetsIt)
{
    downstream_room room;
    EXPECT_DOUBLE_EQ(room.least(at(0)), 1.0);
    for (std::int64_t now = 0; now < 500; now += 5) {
        room.update("a", 0.2, at(now));
        room.update("b", 0.9, at(now));
    }
    EXPECT_NEAR(room.least(at(500)), 0.2, 0.01);
    EXPECT_DOUBLE_EQ(room.least(at(2000)), 1.0);
}

// A read of codes needs no quota; it must not be turned away because calls to quota are refused.
TEST(CallDependence, TellsIndependentEntriesWhileCallsAreBad)
{
    call_dependence dependence;
    EXPECT_TRUE(dependence.isDependent("codes"));
    for (std::int64_t now = 0; now < 4000; now += 10) {
        dependence.callEnded(now % 50 != 0, at(now));
        dependence.requestEnded("codes", true, at(now));
        dependence.requestEnded("filing", now % 20 != 0, at(now));
    }
    EXPECT_FALSE(dependence.isDependent("codes"));
    EXPECT_TRUE(dependence.isDependent("filing"));
}

TEST(CallDependence, LearnsNothingWhileCallsEndWell)
{
    call_dependence dependence;
    for (std::int64_t now = 0; now < 4000; now += 10) {
        dependence.callEnded(true, at(now));
        dependence.requestEnded("codes", true, at(now));
    }
    EXPECT_TRUE(dependence.isDependent("codes"));
}

TEST(CallerProfile, TellsCallsOfUpstreamsFromRequestsOfClients)
{
    caller_profile profile;
    profile.setServices({ "a", "b", "c", "d" });
    EXPECT_EQ(profile.originOf("entry"), entry_origin::unknown);
    for (int count = 0; count < 100; ++count) {
        profile.count("clients", std::string(1, static_cast<char>('a' + count % 4)));
        profile.count("calls", count % 2 == 0 ? "a" : "b");
    }
    // A stray request, such as a test of the catalogue, must not make an entry one of clients.
    profile.count("calls", "c");
    profile.count("calls", "d");
    EXPECT_EQ(profile.originOf("clients"), entry_origin::clients);
    EXPECT_EQ(profile.originOf("calls"), entry_origin::upstreams);
}

} // namespace knapweedcroft
