#include "knapweedcroft/load/shape.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/load/settings_files.hpp"
#include "knapweedcroft/upstream_service/settings.hpp"
#include "test_shape.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(Shape, CountsTheExecutionsOfAWholeRequest)
{
    const shape hyggesnak = deployedShape("hyggesnak");
    const call_tree booking { { "home_visits.book", 1 }, { "member_register.lookup", 2 },
        { "call_planning.reserve", 1 } };
    EXPECT_EQ(callTree(hyggesnak, "home_visits", "book"), booking);
    const shape sinyaMreja = deployedShape("sinya_mreja");
    const call_tree filing { { "logbook.file_haul", 1 }, { "vessel_register.lookup", 1 }, { "species_codes.lookup", 1 },
        { "quota.debit", 1 } };
    EXPECT_EQ(callTree(sinyaMreja, "logbook", "file_haul"), filing);
}

// Guards against generated settings that knapweed-upstream rejects.
TEST(Shape, MakesSettingsThatUpstreamsAccept)
{
    for (const std::string name : { "hyggesnak", "sinya_mreja" }) {
        for (const shape_service& service : deployedShape(name).services) {
            const nlohmann::json settings
                = makeUpstreamSettings(service, service.hosts.front(), 3, "127.0.0.1:1", { 1, { { "port", 7 } } });
            const result<upstream_settings> read = readUpstreamSettings(settings, service.name);
            ASSERT_TRUE(hasValue(read)) << errorOf(read).message;
            EXPECT_EQ(valueOf(read).slots, static_cast<std::uint32_t>(service.slots));
            EXPECT_EQ(valueOf(read).operations.size(), service.operations.size());
            EXPECT_EQ(valueOf(read).port, 7);
            EXPECT_EQ(valueOf(read).seed, 4U);
        }
    }
}

TEST(Shape, MergesTheOverlayIntoNodeSettings)
{
    const shape hyggesnak = deployedShape("hyggesnak");
    const shape_service& service = hyggesnak.services.front();
    const nlohmann::json settings = makeNodeSettings(service, service.hosts.front(), 0,
        { "127.0.0.1:1", "charts", 1, nlohmann::json::parse(R"({"admission":{"enabled":false},"seed":9})") });
    EXPECT_EQ(settings["name"], "call_planning-1");
    EXPECT_EQ(settings["log"], "127.0.0.1:1");
    EXPECT_EQ(settings["seed"], 9);
    EXPECT_EQ(settings["admission"]["enabled"], false);
}

struct shape_fault {
    const char* name;
    const char* patch; /*!< Merged into the shape of Hyggesnak (RFC 7396). */
    error_kind kind;
    const char* part; /*!< Part of the message. */
};

class shape_fault_test : public testing::TestWithParam<shape_fault> { };

// Guards against accepting a misspelt or inconsistent shape.
TEST_P(shape_fault_test, IsReported)
{
    const std::string folder = projectFile("deploy/hyggesnak/");
    nlohmann::json document = valueOf(readJsonFile(folder + "shape.json"));
    document.merge_patch(nlohmann::json::parse(GetParam().patch));
    const result<shape> parsed = parseShape(document, valueOf(readJsonFile(folder + "catalogue.json")), "shape");
    ASSERT_FALSE(hasValue(parsed));
    EXPECT_EQ(errorOf(parsed).kind, GetParam().kind);
    EXPECT_NE(errorOf(parsed).message.find(GetParam().part), std::string::npos) << errorOf(parsed).message;
}

static constexpr const char* cyclicServices
    = R"({"services":[{"name":"a","slots":1,"connections":1,"hosts":[{"name":"a-1","data_centre":"aarhus"}],
    "operations":{"x":{"calls":[[{"service":"a","operation":"x"}]]}}}]})";
static constexpr const char* unknownCall
    = R"({"services":[{"name":"a","slots":1,"connections":1,"hosts":[{"name":"a-1","data_centre":"aarhus"}],
    "operations":{"x":{"calls":[[{"service":"b","operation":"y"}]]}}}]})";
static constexpr const char* twoHosts
    = R"({"services":[{"name":"a","slots":1,"connections":1,"hosts":[{"name":"a-1","data_centre":"aarhus"},
    {"name":"a-1","data_centre":"aarhus"}],"operations":{"x":{}}}]})";

INSTANTIATE_TEST_SUITE_P(Table, shape_fault_test,
    testing::Values(shape_fault { "Format", R"({"format":"other"})", error_kind::invalid_value, "knapweed-shape/1" },
        shape_fault { "Unknown", R"({"demnad":{}})", error_kind::unknown_field, "demnad" },
        shape_fault { "DataCentre", R"({"data_centres":["odense"]})", error_kind::invalid_value, "aarhus" },
        shape_fault { "NoServices", R"({"services":[]})", error_kind::wrong_type, "services" },
        shape_fault { "Cycle", cyclicServices, error_kind::invalid_value, "cycle" },
        shape_fault { "UnknownCall", unknownCall, error_kind::invalid_value, "b.y" },
        shape_fault { "HostTwice", twoHosts, error_kind::invalid_value, "a-1" },
        shape_fault { "Demand", R"({"demand":{"home_visits.bok":1}})", error_kind::unknown_field, "bok" }),
    [](const testing::TestParamInfo<shape_fault>& parameter) { return std::string { parameter.param.name }; });

} // namespace knapweedcroft
