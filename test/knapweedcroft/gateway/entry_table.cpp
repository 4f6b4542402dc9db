#include "knapweedcroft/gateway/entry_table.hpp"

#include "knapweedcroft/gateway/weighted_service_selector.hpp"

#include <gtest/gtest.h>

#include <map>

namespace knapweedcroft {

namespace {

[[nodiscard]] forward_entry entry(const std::string& name, const std::string& host, const std::string& prefix)
{
    forward_entry value;
    value.name = name;
    value.host = host;
    value.pathPrefix = prefix;
    value.services = { { "visits", 1 } };
    return value;
}

[[nodiscard]] entry_table table()
{
    return entry_table { 7,
        { entry("short", "a.example", "/x/"), entry("long", "a.example", "/x/y/"), entry("root", "b.example", "/") },
        client_limits {} };
}

struct match_case {
    const char* host;
    const char* target;
    const char* expected; // Empty if no entry matches.
};

} // namespace

TEST(EntryTable, FindsTheLongestPrefixOfTheHost)
{
    const std::vector<match_case> rows { { "a.example", "/x/1", "short" }, { "a.example", "/x/y/1", "long" },
        { "a.example", "/x/y/", "long" }, { "a.example", "/x/y", "short" }, { "a.example", "/x/yy/1", "short" },
        { "a.example", "/x", "" }, { "a.example", "/", "" }, { "a.example", "/x/1?path=/x/y/z", "short" },
        { "A.Example:80", "/x/1", "short" }, { "b.example", "/any/path", "root" }, { "c.example", "/x/1", "" },
        { "", "/x/1", "" }, { "a.example", "", "" }, { "a.example", "x/1", "" } };
    const entry_table entries = table();
    for (const match_case& row : rows) {
        const forward_entry* found = entries.find(row.host, row.target);
        EXPECT_EQ(found == nullptr ? "" : found->name, row.expected) << row.host << row.target;
    }
}

TEST(EntryTable, KeepsAllFieldsOnTheWayToAnotherNode)
{
    forward_entry full = entry("full", "a.example", "/x/");
    full.isIdempotent = true;
    full.timeout = milliseconds { 800 };
    full.targetLatency = milliseconds { 1500 };
    full.rank = 3;
    full.maxAttempts = 2;
    full.services = { { "visits", 90 }, { "planning", 10 } };
    client_limits limits;
    limits.maxBodyBytes = 123;
    limits.idleTime = milliseconds { 15'000 };
    const entry_table sent { 12, { full }, limits };
    const result<entry_table> received = entry_table::parse(sent.format());
    ASSERT_TRUE(hasValue(received));
    EXPECT_EQ(valueOf(received).version(), 12);
    EXPECT_EQ(valueOf(received).entries(), sent.entries());
    EXPECT_EQ(valueOf(received).limits(), limits);
}

TEST(EntryTable, RefusesMalformedText)
{
    for (const char* text : { "", "[]", "{}", R"({"version":-1})", R"({"version":1,"entries":[{"name":1}]})" })
        EXPECT_FALSE(hasValue(entry_table::parse(text))) << text;
}

// Independent random choices would deviate from the weights by several per cent over a few hundred requests.
TEST(WeightedServiceSelector, KeepsTheWeightsWithinOneRequest)
{
    forward_entry split = entry("split", "a.example", "/");
    split.services = { { "a", 70 }, { "b", 20 }, { "c", 10 } };
    weighted_service_selector chooser;
    std::map<service_name, int> chosen;
    for (int request = 1; request <= 500; ++request) {
        ++chosen[chooser.choose(split)];
        EXPECT_NEAR(chosen["a"], request * 0.7, 1.0);
        EXPECT_NEAR(chosen["b"], request * 0.2, 1.0);
    }
    EXPECT_EQ(chosen["c"], 50);
}

} // namespace knapweedcroft
