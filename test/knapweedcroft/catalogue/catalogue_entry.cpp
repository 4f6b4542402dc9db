#include "knapweedcroft/catalogue/catalogue_entry.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace knapweedcroft {

[[nodiscard]] static nlohmann::json bookEntry()
{
    return { { "name", "home_visits.book" }, { "service", "home_visits" }, { "operation", "book" },
        { "owner", "hyggesnak" }, { "class", "critical" }, { "idempotent", false }, { "deadline_ms", 2000 },
        { "retry_budget", 2 }, { "max_sub_calls", 8 }, { "max_body_bytes", 65536 }, { "window_ms", 600000 },
        { "max_concurrency", 0 } };
}

// Guards against fields that are lost or renamed when an entry is written to JSON and read back.
TEST(CatalogueEntry, SurvivesJsonBothWays)
{
    const nlohmann::json document = bookEntry();
    const result<catalogue_entry> entry = catalogue_entry::fromJson(document, "file", unknown_fields::refused);
    ASSERT_TRUE(hasValue(entry)) << errorOf(entry).message;
    EXPECT_EQ(valueOf(entry).toJson(), document);
    EXPECT_EQ(valueOf(entry).importance(), call_class::critical);
    EXPECT_EQ(valueOf(entry).deadline(), milliseconds { 2000 });
    const result<catalogue_entry> recreated = catalogue_entry::create(valueOf(entry).fields());
    EXPECT_EQ(valueOf(recreated), valueOf(entry));
    catalogue_entry_fields modified = valueOf(entry).fields();
    modified.maxConcurrency = 1;
    EXPECT_NE(valueOf(catalogue_entry::create(modified)), valueOf(entry));
}

// Guards against executing an operation twice because its file omits "idempotent".
TEST(CatalogueEntry, IsNotIdempotentUnlessStated)
{
    nlohmann::json document = bookEntry();
    document.erase("idempotent");
    EXPECT_FALSE(valueOf(catalogue_entry::fromJson(document, "file", unknown_fields::refused)).isIdempotent());
}

struct entry_fault {
    const char* name;
    const char* field;
    nlohmann::json value; /*!< Null removes the field. */
    error_kind kind;
};

class entry_fault_test : public testing::TestWithParam<entry_fault> { };

// Guards against invalid entries being distributed to all nodes.
TEST_P(entry_fault_test, IsReported)
{
    nlohmann::json document = bookEntry();
    if (GetParam().value.is_null())
        document.erase(GetParam().field);
    else
        document[GetParam().field] = GetParam().value;
    const result<catalogue_entry> entry = catalogue_entry::fromJson(document, "file", unknown_fields::refused);
    ASSERT_FALSE(hasValue(entry));
    EXPECT_EQ(errorOf(entry).kind, GetParam().kind) << errorOf(entry).message;
    EXPECT_NE(errorOf(entry).message.find(GetParam().field), std::string::npos) << errorOf(entry).message;
}

INSTANTIATE_TEST_SUITE_P(Table, entry_fault_test,
    testing::Values(entry_fault { "OtherName", "name", "home_visits.look", error_kind::invalid_value },
        entry_fault { "NoName", "name", nullptr, error_kind::missing_field },
        entry_fault { "NoService", "service", nullptr, error_kind::missing_field },
        entry_fault { "DotInService", "service", "home.visits", error_kind::invalid_value },
        entry_fault { "BlankOwner", "owner", " ", error_kind::invalid_value },
        entry_fault { "NoClass", "class", nullptr, error_kind::missing_field },
        entry_fault { "OtherClass", "class", "urgent", error_kind::invalid_value },
        entry_fault { "NoDeadline", "deadline_ms", nullptr, error_kind::missing_field },
        entry_fault { "DeadlineZero", "deadline_ms", 0, error_kind::out_of_range },
        entry_fault { "DeadlineLong", "deadline_ms", 600'001, error_kind::out_of_range },
        entry_fault { "BudgetBelow", "retry_budget", -1, error_kind::out_of_range },
        entry_fault { "BudgetAbove", "retry_budget", 17, error_kind::out_of_range },
        entry_fault { "SubCallsAbove", "max_sub_calls", 257, error_kind::out_of_range },
        entry_fault { "BodyAbove", "max_body_bytes", 16 * 1024 * 1024 + 1, error_kind::out_of_range },
        entry_fault { "WindowBelow", "window_ms", 999, error_kind::out_of_range },
        entry_fault { "WindowAbove", "window_ms", 86'400'001, error_kind::out_of_range },
        entry_fault { "ConcurrencyAbove", "max_concurrency", 100'001, error_kind::out_of_range },
        entry_fault { "Unknown", "retry_bugdet", 1, error_kind::unknown_field }),
    [](const testing::TestParamInfo<entry_fault>& parameter) { return std::string { parameter.param.name }; });

} // namespace knapweedcroft
