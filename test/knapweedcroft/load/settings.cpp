#include "knapweedcroft/load/settings.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/load/deployment.hpp"
#include "test_shape.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(LoadSettings, DeployedFilesAreValid)
{
    for (const std::string name : { "hyggesnak", "sinya_mreja" }) {
        const result<nlohmann::json> document = readJsonFile(projectFile("deploy/" + name + "/trigger.json"));
        ASSERT_TRUE(hasValue(document));
        const result<load_settings> settings = parseLoadSettings(valueOf(document), name);
        ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
        ASSERT_EQ(valueOf(settings).phases.size(), 3U);
        const load_phase& trigger = valueOf(settings).phases[1];
        EXPECT_EQ(trigger.demand, 3.0);
        ASSERT_EQ(trigger.faults.size(), 1U);
        EXPECT_NE(findService(deployedShape(name), trigger.faults[0].service), nullptr);
    }
}

struct load_settings_fault {
    const char* name;
    const char* document;
    error_kind kind;
};

class load_settings_fault_test : public testing::TestWithParam<load_settings_fault> { };

// Guards against silently ignored or misread load settings.
TEST_P(load_settings_fault_test, IsReported)
{
    const result<load_settings> settings = parseLoadSettings(nlohmann::json::parse(GetParam().document), "load");
    ASSERT_FALSE(hasValue(settings));
    EXPECT_EQ(errorOf(settings).kind, GetParam().kind);
}

INSTANTIATE_TEST_SUITE_P(Table, load_settings_fault_test,
    testing::Values(
        load_settings_fault { "Format", R"({"format":"x","phases":[{"name":"a"}]})", error_kind::invalid_value },
        load_settings_fault { "NoPhases", R"({"format":"knapweed-load/1","phases":[]})", error_kind::wrong_type },
        load_settings_fault { "Unknown", R"({"format":"knapweed-load/1","phases":[{"name":"a","second":1}]})",
            error_kind::unknown_field },
        load_settings_fault { "Profile",
            R"({"format":"knapweed-load/1","clients":{"profile":"soft"},"phases":[{"name":"a"}]})",
            error_kind::invalid_value },
        load_settings_fault { "Fault",
            R"({"format":"knapweed-load/1","phases":[{"name":"a","faults":[{"slow_factor":5}]}]})",
            error_kind::missing_field },
        load_settings_fault { "Rate", R"({"format":"knapweed-load/1","rates":{"a.b":-1},"phases":[{"name":"a"}]})",
            error_kind::out_of_range }),
    [](const testing::TestParamInfo<load_settings_fault>& parameter) { return std::string { parameter.param.name }; });

TEST(Deployment, IsCollectedFromReadyLinesAndReadBack)
{
    const shape on = deployedShape("hyggesnak");
    const auto lines = [](const std::string& file) -> result<std::string> {
        return R"({"ready":true,"name":")" + file + R"(","pid":7,"http":"127.0.0.1:1","peer":"127.0.0.1:2"})";
    };
    const result<deployment> collected = collectDeployment(on, lines);
    ASSERT_TRUE(hasValue(collected)) << errorOf(collected).message;
    const result<deployment> read = parseDeployment(toJson(valueOf(collected)), "deployment");
    ASSERT_TRUE(hasValue(read)) << errorOf(read).message;
    EXPECT_EQ(valueOf(read).nodes.size(), 16U);
    EXPECT_EQ(valueOf(read).upstreams.size(), 16U);
    EXPECT_EQ(valueOf(read).nodes[4].name, "home_visits-1");
    EXPECT_EQ(valueOf(read).nodes[4].data_centre, "aarhus");
    EXPECT_EQ(valueOf(read).nodes[4].peerAddress, "127.0.0.1:2");
    EXPECT_EQ(toJson(valueOf(read)), toJson(valueOf(collected)));
    const auto broken = [](const std::string&) -> result<std::string> { return std::string { "{}" }; };
    EXPECT_FALSE(hasValue(collectDeployment(on, broken)));
    EXPECT_FALSE(hasValue(parseDeployment(nlohmann::json::object(), "deployment")));
}

} // namespace knapweedcroft
