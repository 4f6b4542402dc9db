#include "knapweedcroft/core/json_reader.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(JsonReader, ReadsPresentFields)
{
    const nlohmann::json document = { { "name", "a" }, { "count", 3 } };
    json_reader reader { document, "settings" };
    EXPECT_EQ(reader.string("name"), "a");
    EXPECT_EQ(reader.integer("count", 0, 10), 3);
    EXPECT_FALSE(reader.finish());
}

struct json_reader_fault {
    const char* name;
    const char* document;
    error_kind kind;
};

class json_reader_fault_test : public testing::TestWithParam<json_reader_fault> { };

// Guards against invalid settings that are silently ignored or misinterpreted.
TEST_P(json_reader_fault_test, IsReported)
{
    const result<nlohmann::json> document = parseJson(GetParam().document, "settings");
    ASSERT_TRUE(hasValue(document));
    json_reader reader { valueOf(document), "settings" };
    [[maybe_unused]] const std::string name = reader.string("name");
    [[maybe_unused]] const std::int64_t count = reader.integer("count", 0, 10);
    const std::optional<error> reported = reader.finish();
    ASSERT_TRUE(reported);
    EXPECT_EQ(reported->kind, GetParam().kind);
}

INSTANTIATE_TEST_SUITE_P(Table, json_reader_fault_test,
    testing::Values(json_reader_fault { "NotAnObject", "[]", error_kind::wrong_type },
        json_reader_fault { "Missing", R"({"count":1})", error_kind::missing_field },
        json_reader_fault { "WrongType", R"({"name":1,"count":1})", error_kind::wrong_type },
        json_reader_fault { "BelowRange", R"({"name":"a","count":-1})", error_kind::out_of_range },
        json_reader_fault { "AboveSigned", R"({"name":"a","count":18446744073709551615})", error_kind::out_of_range },
        json_reader_fault { "Fraction", R"({"name":"a","count":1.5})", error_kind::wrong_type },
        json_reader_fault { "Unknown", R"({"name":"a","count":1,"cuont":2})", error_kind::unknown_field }),
    [](const testing::TestParamInfo<json_reader_fault>& parameter) { return std::string { parameter.param.name }; });

TEST(ParseJson, ReportsMalformedText)
{
    const result<nlohmann::json> document = parseJson("{", "settings");
    ASSERT_FALSE(hasValue(document));
    EXPECT_EQ(errorOf(document).kind, error_kind::malformed_json);
}

} // namespace knapweedcroft
