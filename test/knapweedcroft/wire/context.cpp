#include "knapweedcroft/wire/context.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

TEST(Context, RoundTrip)
{
    const call_context context { incarnation_id { UINT64_MAX }, action_id { 1 }, call_id { 2 }, call_class::normal,
        milliseconds { 1500 }, 14 };
    const std::string text = formatContext(context);
    EXPECT_EQ(
        text, "v1;node=ffffffffffffffff;action=0000000000000001;call=0000000000000002;class=2;deadline=1500;depth=14");
    const result<call_context> parsed = parseContext(text);
    ASSERT_TRUE(hasValue(parsed));
    EXPECT_EQ(valueOf(parsed), context);
}

// Guards against headers that were modified by an upstream and would assign a call to the wrong action.
TEST(Context, RefusesMalformedHeaders)
{
    const std::string good
        = "v1;node=ffffffffffffffff;action=0000000000000001;call=0000000000000002;class=2;deadline=1500;depth=14";
    ASSERT_TRUE(hasValue(parseContext(good)));
    const std::vector<std::pair<std::string, std::string>> changes { { "v1;", "v2;" }, { "v1;", "v1x;" },
        { "class=2", "class=4" }, { "class=2", "class=-1" }, { "class=2", "class=" },
        { "deadline=1500", "deadline=1.5" }, { "deadline=1500", "deadline=99999999999999999999" },
        { "depth=14", "depth=4294967296" }, { "depth=14", "depth=14;" }, { "depth=14", "depth=14;x=1" },
        { "depth=14", "depth=14 " }, { ";depth=14", "" }, { "node=ffffffffffffffff", "node=FFFFFFFFFFFFFFFF" },
        { "node=f", "node=" }, { "action=", "call=" } };
    for (const std::pair<std::string, std::string>& change : changes) {
        std::string text = good;
        text.replace(text.find(change.first), change.first.size(), change.second);
        const result<call_context> parsed = parseContext(text);
        ASSERT_FALSE(hasValue(parsed)) << text;
        EXPECT_EQ(errorOf(parsed).kind, error_kind::malformed_context);
    }
    for (std::size_t size = 0; size < good.size() - 2; ++size)
        EXPECT_FALSE(hasValue(parseContext(std::string_view { good }.substr(0, size)))) << size;
}

} // namespace knapweedcroft
