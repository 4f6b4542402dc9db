#include "knapweedcroft/membership/records.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

static member memberNamed(const node_name& node) { return { node, incarnation_id { 7 }, "quota", "varna", "a:1" }; }

TEST(MembershipRecords, SurviveFormattingAndParsing)
{
    view_entry entry;
    entry.view = { "quota", 3, { memberNamed("a"), memberNamed("b") } };
    entry.kind = view_change_kind::evict;
    entry.changed = memberNamed("c");
    entry.wallTime = time_point { milliseconds { 9 } };
    const std::vector<membership_record> records { join_record { memberNamed("a") },
        leave_record { "a", incarnation_id { 1 } }, evict_record { "a", incarnation_id { 1 }, 5 },
        views_snapshot_record { 4, true, { service_history { true, { entry } } } } };
    for (const membership_record& record : records) {
        const std::string text = formatRecord(record);
        const result<membership_record> parsed = parseRecord(text);
        ASSERT_TRUE(hasValue(parsed)) << errorOf(parsed).message;
        EXPECT_EQ(valueOf(parsed).index(), record.index());
        EXPECT_EQ(formatRecord(valueOf(parsed)), text);
    }
}

class membership_record_fault : public testing::TestWithParam<const char*> { };

// Guards against a view change by a corrupted record or one that another program wrote.
TEST_P(membership_record_fault, IsRefused) { EXPECT_FALSE(hasValue(parseRecord(GetParam()))); }

INSTANTIATE_TEST_SUITE_P(Table, membership_record_fault,
    testing::Values("", "[]", R"({"type":"reset"})", R"({"type":"leave","node":"a"})",
        R"({"type":"leave","node":"a","incarnation":"1"})",
        R"({"type":"leave","node":"","incarnation":"0000000000000001"})",
        R"({"type":"evict","node":"a","incarnation":"0000000000000001","view_offset":-1})",
        R"({"type":"leave","node":"a","incarnation":"0000000000000001","more":1})",
        R"({"type":"snapshot","next_offset":1,"services":{}})",
        R"({"type":"snapshot","next_offset":1,"services":[{"service":"s","views":[]}]})"));

} // namespace knapweedcroft
