#include "knapweedcroft/chart/chart.hpp"

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/json_reader.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

struct chart_fault {
    const char* name;
    const char* document;
    const char* expectedName; /*!< Name that the message must contain in addition to the file name. */
};

class chart_fault_test : public testing::TestWithParam<chart_fault> { };

// Guards against invalid charts that are accepted at start-up and fail at run time.
TEST_P(chart_fault_test, IsReported)
{
    const result<nlohmann::json> document = parseJson(GetParam().document, "test.json");
    ASSERT_TRUE(hasValue(document));
    const result<chart> compiled = chart::compile(valueOf(document), "test.json", { { "a", "b" }, { "go" } });
    ASSERT_FALSE(hasValue(compiled));
    EXPECT_EQ(errorOf(compiled).kind, error_kind::invalid_chart);
    EXPECT_NE(errorOf(compiled).message.find("test.json"), std::string::npos);
    EXPECT_NE(errorOf(compiled).message.find(GetParam().expectedName), std::string::npos) << errorOf(compiled).message;
}

INSTANTIATE_TEST_SUITE_P(Table, chart_fault_test,
    testing::Values(
        chart_fault { "UnknownEvent",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"stop":"b"}},"b":{"final":true}}})", "\"stop\"" },
        chart_fault { "UnknownTarget",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"c"}},"b":{"final":true}}})", "\"c\"" },
        chart_fault { "MissingState", R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"b"}}}})", "\"b\"" },
        chart_fault { "UnknownState",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"b"}},"b":{"final":true},"c":{"final":true}}})",
            "\"c\"" },
        chart_fault { "Unreachable",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"a"}},"b":{"final":true}}})", "\"b\"" },
        chart_fault { "NoInitial", R"({"name":"t","states":{"a":{"on":{"go":"b"}},"b":{"final":true}}})", "initial" },
        chart_fault { "UnknownInitial",
            R"({"name":"t","initial":"c","states":{"a":{"on":{"go":"b"}},"b":{"final":true}}})", "\"c\"" },
        chart_fault { "NoWayOut", R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"b"}},"b":{}}})", "\"b\"" },
        chart_fault { "FinalWithTransitions",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"go":"b"}},"b":{"on":{"go":"a"},"final":true}}})",
            "\"b\"" },
        chart_fault { "UnknownField",
            R"({"name":"t","initial":"a","states":{"a":{"om":{"go":"b"}},"b":{"final":true}}})", "\"a\"" },
        chart_fault { "TargetNotText",
            R"({"name":"t","initial":"a","states":{"a":{"on":{"go":1}},"b":{"final":true}}})", "\"a\"" },
        chart_fault { "NoStates", R"({"name":"t","initial":"a"})", "states" }),
    [](const testing::TestParamInfo<chart_fault>& parameter) { return std::string { parameter.param.name }; });

// Guards against charts in the repository that are invalid or whose names do not match the enumerations in the code.
TEST(ChartSet, LoadsAndRunsTheCharts)
{
    const result<chart_set> charts = loadCharts(KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts");
    ASSERT_TRUE(hasValue(charts)) << errorOf(charts).message;
    upstream_chart_instance upstream { valueOf(charts).upstream };
    EXPECT_EQ(upstream.state(), upstream_chart_state::absent);
    EXPECT_FALSE(upstream.fire(upstream_chart_event::warmed_up));
    EXPECT_TRUE(upstream.fire(upstream_chart_event::announced_serving));
    EXPECT_TRUE(upstream.fire(upstream_chart_event::warmed_up));
    EXPECT_EQ(upstream.stateName(), "serving");
    EXPECT_TRUE(upstream.fire(upstream_chart_event::announcements_missed));
    EXPECT_EQ(upstream.state(), upstream_chart_state::silent);
    peer_link_instance link { valueOf(charts).peerLink };
    for (const peer_link_event event : { peer_link_event::connect, peer_link_event::opened,
             peer_link_event::ping_missed, peer_link_event::ping_missed })
        EXPECT_TRUE(link.fire(event));
    EXPECT_EQ(link.state(), peer_link_state::replacing);
    keyed_call_instance call { valueOf(charts).keyedCall };
    EXPECT_TRUE(call.fire(keyed_call_event::dispatched));
    EXPECT_TRUE(call.fire(keyed_call_event::lost));
    EXPECT_EQ(call.state(), keyed_call_state::unknown);
    EXPECT_FALSE(call.fire(keyed_call_event::answered));
    EXPECT_TRUE(call.fire(keyed_call_event::window_ended));
    EXPECT_TRUE(call.isFinal());
    drain_instance drain { valueOf(charts).drain };
    for (const drain_event event :
        { drain_event::leave_requested, drain_event::view_read, drain_event::handed_over, drain_event::calls_ended })
        EXPECT_TRUE(drain.fire(event));
    EXPECT_EQ(drain.state(), drain_state::done);
}

} // namespace knapweedcroft
