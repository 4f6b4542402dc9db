#include "knapweedcroft/gateway/admission_ratio_controller.hpp"

#include "knapweedcroft/gateway/call_dependency_estimator.hpp"
#include "knapweedcroft/gateway/downstream_admission_ratio.hpp"
#include "knapweedcroft/gateway/entry_origin_classifier.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

// Simulates a service deep in the call tree: admitted work arrives after the delay that a request needs to reach it.
class simulated_service {
public:
    explicit simulated_service(milliseconds delay)
        : m_delayed(static_cast<std::size_t>(delay.whole() / stepMs), 0.0)
    {
    }

    // Returns the mean utilization of the slots.
    double run(admission_ratio_controller& control, double demand, std::int64_t from, std::int64_t to)
    {
        double used = 0.0;
        for (std::int64_t now = from; now < to; now += stepMs) {
            m_delayed.push_back(demand * control.admissionRatio() * slots * stepMs);
            const double arriving = m_delayed.front();
            m_delayed.pop_front();
            control.addOfferedWork(milliseconds::fromFraction(arriving));
            m_queued += arriving;
            const double served = std::min(m_queued, static_cast<double>(slots * stepMs));
            // Callers cancel requests that have waited too long.
            m_queued = std::min(m_queued - served, static_cast<double>(slots) * maxWaitMs);
            used += served;
            control.update({ slots, milliseconds::fromFraction(m_queued / slots) }, at(now));
        }
        return used / static_cast<double>(slots * (to - from));
    }

    [[nodiscard]] double wait() const { return m_queued / slots; }

private:
    static constexpr std::uint32_t slots = 10;
    static constexpr std::int64_t stepMs = 10;
    static constexpr double maxWaitMs = 500.0;

    std::deque<double> m_delayed;
    double m_queued = 0.0;
};

} // namespace

TEST(AdmissionRatioController, AdmitsAllBelowTheCapacity)
{
    admission_ratio_controller control;
    simulated_service service { milliseconds { 300 } };
    service.run(control, 0.8, 0, 10'000);
    EXPECT_DOUBLE_EQ(control.admissionRatio(), 1.0);
}

// At twice its capacity, a deep service must stay busy, and its queue must not grow until its callers time out.
TEST(AdmissionRatioController, KeepsADeepServiceBusyWithoutAQueueUnderTwiceItsCapacity)
{
    admission_ratio_controller control;
    simulated_service service { milliseconds { 300 } };
    service.run(control, 2.0, 0, 5000);
    EXPECT_GT(service.run(control, 2.0, 5000, 15'000), 0.85);
    EXPECT_LT(service.wait(), 150.0);
    EXPECT_NEAR(control.admissionRatio(), 0.5, 0.15);
}

// A ratio that recovers slowly would prolong the outage after the overload has ended.
TEST(AdmissionRatioController, RecoversSoonAfterTheOverload)
{
    admission_ratio_controller control;
    simulated_service service { milliseconds { 300 } };
    service.run(control, 3.0, 0, 10'000);
    ASSERT_LT(control.admissionRatio(), 0.6);
    service.run(control, 0.7, 10'000, 13'000);
    EXPECT_DOUBLE_EQ(control.admissionRatio(), 1.0);
}

TEST(AdmissionRatioController, ReducesLowerPrioritiesFirst)
{
    EXPECT_DOUBLE_EQ(rankAdmissionRatio(0.5, 2), 0.5);
    EXPECT_DOUBLE_EQ(rankAdmissionRatio(0.5, 1), 1.0);
    EXPECT_DOUBLE_EQ(rankAdmissionRatio(0.05, 0), 1.0);
    EXPECT_LT(rankAdmissionRatio(0.05, 1), 1.0);
    EXPECT_LT(rankAdmissionRatio(0.05, 7), rankAdmissionRatio(0.05, 1));
}

// In a deployment with a single rank, the demand of that rank must not keep a deep service overloaded.
TEST(AdmissionRatioController, CanReduceTheHighestPriorityAlone)
{
    admission_ratio_controller control;
    for (std::int64_t now = 0; now < 10'000; now += 10) {
        control.addOfferedWork(milliseconds { 1000 });
        control.update({ 10, milliseconds { 500 } }, at(now));
    }
    EXPECT_LT(rankAdmissionRatio(control.admissionRatio(), 0), 0.2);
    EXPECT_GT(rankAdmissionRatio(control.admissionRatio(), 2), 0.0);
}

TEST(DownstreamAdmissionRatio, ReturnsTheLowestRatioUntilItExpires)
{
    downstream_admission_ratio ratios;
    EXPECT_DOUBLE_EQ(ratios.minimum(at(0)), 1.0);
    for (std::int64_t now = 0; now < 500; now += 5) {
        ratios.update("a", 0.2, at(now));
        ratios.update("b", 0.9, at(now));
    }
    EXPECT_NEAR(ratios.minimum(at(500)), 0.2, 0.01);
    EXPECT_DOUBLE_EQ(ratios.minimum(at(2000)), 1.0);
}

// Requests that make no calls must not be refused because calls of other requests fail.
TEST(CallDependencyEstimator, TellsIndependentEntriesWhileCallsFail)
{
    call_dependency_estimator dependence;
    EXPECT_TRUE(dependence.isDependent("codes"));
    for (std::int64_t now = 0; now < 4000; now += 10) {
        dependence.recordCallEnd(now % 50 != 0, at(now));
        dependence.recordRequestOutcome("codes", true, at(now));
        dependence.recordRequestOutcome("filing", now % 20 != 0, at(now));
    }
    EXPECT_FALSE(dependence.isDependent("codes"));
    EXPECT_TRUE(dependence.isDependent("filing"));
}

TEST(CallDependencyEstimator, LearnsNothingWhileCallsEndWell)
{
    call_dependency_estimator dependence;
    for (std::int64_t now = 0; now < 4000; now += 10) {
        dependence.recordCallEnd(true, at(now));
        dependence.recordRequestOutcome("codes", true, at(now));
    }
    EXPECT_TRUE(dependence.isDependent("codes"));
}

TEST(EntryOriginClassifier, TellsCallsOfUpstreamsFromRequestsOfClients)
{
    entry_origin_classifier profile;
    profile.setServices({ "a", "b", "c", "d" });
    EXPECT_EQ(profile.originOf("entry"), entry_origin::unknown);
    for (int count = 0; count < 100; ++count) {
        profile.recordRequest("clients", std::string(1, static_cast<char>('a' + count % 4)));
        profile.recordRequest("calls", count % 2 == 0 ? "a" : "b");
    }
    // Single requests from other services, such as tests of the catalogue, must not change the classification.
    profile.recordRequest("calls", "c");
    profile.recordRequest("calls", "d");
    EXPECT_EQ(profile.originOf("clients"), entry_origin::clients);
    EXPECT_EQ(profile.originOf("calls"), entry_origin::upstreams);
}

} // namespace knapweedcroft
