#include "knapweedcroft/pressure/threshold_map.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

static const time_point s_start { milliseconds { 1000 } };
static const milliseconds s_validity { 200 };
static const priority s_strict { call_class::normal, 10 };
static const priority s_lenient { call_class::low, 10 };
static const priority s_normalCall { call_class::normal, 50 };
static const priority s_lowCall { call_class::low, 50 };

class threshold_map_test : public testing::Test {
protected:
    threshold_map_test()
    {
        m_map.setMemberCount("deep", 4);
        m_map.recordReachedServices("a.read", { "a", "deep" });
    }

    [[nodiscard]] static pressure_settings constantThresholds()
    {
        pressure_settings settings;
        settings.thresholdDoublingTime = milliseconds {};
        return settings;
    }

    threshold_map m_map { constantThresholds(), "own" };
};

// Guards against a threshold that ends at once for all calls, which would flood the queues.
TEST_F(threshold_map_test, ThresholdsRelaxBySmallSteps)
{
    pressure_settings settings;
    settings.thresholdDoublingTime = milliseconds { 100 };
    threshold_map relaxing { settings, "own" };
    relaxing.recordReachedServices("a.read", { "a", "deep" });
    const std::uint64_t half = std::uint64_t { 1 } << 63;
    relaxing.recordThreshold("deep", "n1", priority { call_class::critical, half }, milliseconds { 1000 }, s_start);
    const auto refuses = [&](call_class importance, std::uint64_t rank, std::int64_t after) {
        return relaxing.refusingService("a.read", priority { importance, rank }, s_start + milliseconds { after })
            .has_value();
    };
    EXPECT_TRUE(refuses(call_class::critical, half + half / 4, 0));
    EXPECT_FALSE(refuses(call_class::critical, half + half / 4, 50));
    EXPECT_TRUE(refuses(call_class::high, half, 100));
    EXPECT_FALSE(refuses(call_class::high, half, 200));
    EXPECT_TRUE(refuses(call_class::low, half, 200));
    EXPECT_FALSE(refuses(call_class::low, half, 300));
}

// Guards against refusals for a service of which only one member is overloaded.
TEST_F(threshold_map_test, NeedsHalfOfTheMembers)
{
    m_map.recordThreshold("deep", "n1", s_strict, s_validity, s_start);
    EXPECT_FALSE(m_map.refusingService("a.read", s_normalCall, s_start));
    m_map.recordThreshold("deep", "n2", s_lenient, s_validity, s_start);
    EXPECT_FALSE(m_map.refusingService("a.read", s_normalCall, s_start));
    EXPECT_EQ(m_map.refusingService("a.read", s_lowCall, s_start), "deep");
    EXPECT_FALSE(m_map.refusingService("other", s_lowCall, s_start));
    m_map.recordThreshold("deep", "n3", s_strict, s_validity, s_start);
    EXPECT_EQ(m_map.refusingService("a.read", s_normalCall, s_start), "deep");
    m_map.recordThreshold("deep", "n3", std::nullopt, s_validity, s_start);
    EXPECT_FALSE(m_map.refusingService("a.read", s_normalCall, s_start));
}

// Guards against priority inversion: an important call must not be refused within 100 ms before or after a less
// important one is admitted.
TEST_F(threshold_map_test, EntryKeepsClassOrder)
{
    const priority critical { call_class::critical, 50 };
    EXPECT_FALSE(m_map.admit("a.read", s_normalCall, s_start));
    m_map.recordReports({ { "deep", priority { call_class::critical, 10 }, s_validity } }, "a1", s_start);
    EXPECT_FALSE(m_map.admit("a.read", critical, s_start + milliseconds { 100 }));
    EXPECT_EQ(m_map.admit("a.read", critical, s_start + milliseconds { 101 }), "deep");
    m_map.recordReports(std::vector<service_threshold> {}, "a1", s_start + milliseconds { 101 });
    EXPECT_EQ(m_map.admit("a.read", s_normalCall, s_start + milliseconds { 150 }), "deep");
    EXPECT_FALSE(m_map.admit("a.read", critical, s_start + milliseconds { 150 }));
    EXPECT_FALSE(m_map.admit("a.read", s_normalCall, s_start + milliseconds { 251 }));
}

// Guards against thresholds that stay in use after the overload has ended.
TEST_F(threshold_map_test, ForgetsThresholdsInTime)
{
    m_map.recordReports({ { "deep", s_strict, milliseconds { 5000 } } }, "a1", s_start);
    EXPECT_TRUE(m_map.refusingService("a.read", s_normalCall, s_start + milliseconds { 999 }));
    EXPECT_FALSE(m_map.refusingService("a.read", s_normalCall, s_start + milliseconds { 1000 }));
    m_map.recordReports({ { "deep", s_strict, s_validity } }, "a1", s_start);
    m_map.recordReports(std::vector<service_threshold> {}, "a1", s_start);
    EXPECT_FALSE(m_map.refusingService("a.read", s_normalCall, s_start));
}

// Guards against thresholds that never expire because nodes report them to each other.
TEST_F(threshold_map_test, AdvertisesTheRemainingValidity)
{
    m_map.recordReports({ { "deep", s_strict, s_validity }, { "own", s_strict, s_validity } }, "a1", s_start);
    m_map.recordReports({ { "deep", s_lenient, s_validity } }, "a2", s_start);
    const std::vector<service_threshold> expected { { "deep", s_lenient, milliseconds { 150 } } };
    EXPECT_EQ(m_map.advertise(s_start + milliseconds { 50 }), expected);
    EXPECT_TRUE(m_map.advertise(s_start + s_validity).empty());
}

// Guards against refusals for a service that calls of the entry rarely reach.
TEST_F(threshold_map_test, KeepsTheUsualTree)
{
    m_map.recordReachedServices("a.read", { "a", "rare", "rare" });
    EXPECT_EQ(m_map.reachedServices("a.read"), (std::vector<service_name> { "a", "deep" }));
    for (int count = 0; count < 20; ++count)
        m_map.recordReachedServices("a.read", { "a", "rare" });
    EXPECT_EQ(m_map.reachedServices("a.read"), (std::vector<service_name> { "a", "rare" }));
}

} // namespace knapweedcroft
