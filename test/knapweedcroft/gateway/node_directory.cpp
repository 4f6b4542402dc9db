#include "knapweedcroft/gateway/node_directory.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] directory_record record(const std::string& node, std::int64_t startedAt, std::int64_t writtenAt)
{
    directory_record value;
    value.node = node;
    value.peerAddress = "127.0.0.1:1";
    value.data_centre = "z1";
    value.writtenAt = writtenAt;
    value.upstream.service = "visits";
    value.upstream.incarnation = { "u" + std::to_string(startedAt), startedAt };
    value.upstream.address = "127.0.0.1:2";
    value.upstream.slots = 8;
    return value;
}

[[nodiscard]] hello_message hello(const std::string& node)
{
    hello_message value;
    value.node = node;
    value.service = "visits";
    value.data_centre = "z1";
    value.peerAddress = "127.0.0.1:1";
    return value;
}

[[nodiscard]] upstream_status_message status(std::int64_t startedAt, bool isServing)
{
    upstream_status_message value;
    value.upstream = "u" + std::to_string(startedAt);
    value.startedAt = startedAt;
    value.isServing = isServing;
    value.load.slots = 8;
    return value;
}

} // namespace

// Stale reads of the store and late copies from peers must not restore a replaced upstream.
TEST(NodeDirectory, NewerRecordsWinWhicheverWayTheyCome)
{
    departed_upstreams departed;
    node_directory directory { departed };
    EXPECT_TRUE(directory.apply(record("n", 200, 10)));
    EXPECT_FALSE(directory.apply(record("n", 100, 20)));
    EXPECT_FALSE(directory.apply(record("n", 200, 9)));
    EXPECT_EQ(directory.find("n")->record.upstream.incarnation.startedAt, 200);
    EXPECT_TRUE(directory.apply(record("n", 300, 30)));
}

TEST(NodeDirectory, StatusFromTheLinkOverridesTheRecord)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.onLinkOpened(hello("n"));
    EXPECT_TRUE(directory.updateStatus("n", status(200, false), time_point {}));
    directory.apply(record("n", 200, 10));
    EXPECT_FALSE(directory.find("n")->isServing);
    EXPECT_TRUE(directory.updateStatus("n", status(200, true), time_point {}));
    EXPECT_TRUE(directory.find("n")->isServing);
}

// After the store came back from an older copy, its record may name an upstream that has been replaced since.
TEST(NodeDirectory, KeepsTheUpstreamOfTheLinkWhenTheStoreReturnsAnOlderRecord)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory_record old = record("n", 0, 10);
    directory.apply(old);
    directory.onLinkOpened(hello("n"));
    upstream_status_message replaced = status(0, false);
    replaced.upstream = "replacement";
    directory.updateStatus("n", replaced, time_point {});
    EXPECT_FALSE(directory.apply(old));
    EXPECT_EQ(directory.find("n")->record.upstream.incarnation.id, "replacement");
    EXPECT_FALSE(directory.find("n")->isServing);
}

TEST(NodeDirectory, KeepsALinkedNodeThatWithdrewItsRecord)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.apply(record("n", 200, 10));
    directory.onLinkOpened(hello("n"));
    directory.withdraw("n");
    EXPECT_NE(directory.find("n"), nullptr);
    directory.onLinkClosed("n");
    directory.withdraw("n");
    EXPECT_EQ(directory.find("n"), nullptr);
}

// When a host is removed and another one reuses its address, peers must drop the old node. They used to try to connect
// to it twice a second without end.
TEST(NodeDirectory, RemovesTheNodeWhoseAddressIsReused)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.apply(record("old", 100, 1));
    directory.onLinkOpened(hello("new"));
    EXPECT_EQ(directory.removeReplacedNodes("new"), std::vector<node_name> { "old" });
    EXPECT_EQ(directory.find("old"), nullptr);
    EXPECT_NE(directory.find("new"), nullptr);
    // The record is still in the store and may be read again.
    EXPECT_FALSE(directory.apply(record("old", 100, 1)));
    EXPECT_EQ(directory.find("old"), nullptr);
}

TEST(NodeDirectory, ParsesTheRecordsThatItFormats)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.apply(record("a", 100, 1));
    directory.apply(record("b", 200, 2));
    const result<std::vector<directory_record>> copies = node_directory::parseRecords(directory.format());
    ASSERT_TRUE(hasValue(copies));
    ASSERT_EQ(valueOf(copies).size(), 2U);
    EXPECT_EQ(valueOf(copies)[1].format(), record("b", 200, 2).format());
}

TEST(NodeDirectory, RefusesMalformedRecords)
{
    for (const char* text : { "", "7", "{}", R"({"node":"n"})", R"({"node":7,"peer_address":"x"})" })
        EXPECT_FALSE(hasValue(directory_record::parse(text))) << text;
    for (const char* address : { "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1", "host:1", "" }) {
        directory_record odd = record("odd", 100, 1);
        odd.peerAddress = address;
        EXPECT_FALSE(hasValue(directory_record::parse(odd.format()))) << address;
    }
    directory_record odd = record("odd", 100, 1);
    odd.upstream.service = std::string(1025, 's');
    EXPECT_FALSE(hasValue(directory_record::parse(odd.format())));
    for (const char* text : { "", "7", "{}", R"({"node":"n"})" })
        EXPECT_FALSE(hasValue(node_directory::parseRecords(text))) << text;
}

// Guards against a node that takes nothing of a peer's copy because of one record in it.
TEST(NodeDirectory, LeavesOutMalformedRecordsOfACopy)
{
    directory_record odd = record("odd", 100, 1);
    odd.upstream.slots = UINT32_MAX;
    const result<std::vector<directory_record>> copies = node_directory::parseRecords(
        node_directory::formatRecords({ record("a", 100, 1), odd, record("b", 100, 1) }));
    ASSERT_TRUE(hasValue(copies));
    ASSERT_EQ(valueOf(copies).size(), 2U);
    EXPECT_EQ(valueOf(copies)[1].node, "b");
}

// Guards against a node that starts again beside a leaving upstream and offers it to nodes that know better.
TEST(NodeDirectory, KeepsALeavingUpstreamFromServingAgain)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.onLinkOpened(hello("n"));
    EXPECT_TRUE(directory.updateStatus("n", status(200, true), time_point {}));
    directory.markLeaving("n", { "u200", 200 });
    EXPECT_FALSE(directory.find("n")->isServing);
    directory.onLinkClosed("n");
    EXPECT_FALSE(directory.apply(record("n", 200, 40)));
    EXPECT_FALSE(directory.find("n")->isServing);
    directory.withdraw("n");
    directory.onLinkOpened(hello("n"));
    directory.updateStatus("n", status(200, true), time_point {});
    EXPECT_FALSE(directory.find("n")->isServing);
    directory.updateStatus("n", status(300, true), time_point {});
    EXPECT_TRUE(directory.find("n")->isServing);
}

// Guards against a node that starts from a peer's copy of the directory and does not learn which upstreams have left.
TEST(NodeDirectory, CopiesTheDepartedUpstreams)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory_record serving = record("a", 100, 1);
    serving.departed = { { "u90", 90 } };
    directory_record stopped = record("b", 200, 1);
    stopped.departed = { { "u200", 200 } };
    stopped.isWithdrawn = true;
    directory.apply(serving);
    directory.apply(stopped);
    EXPECT_EQ(directory.find("b"), nullptr);
    const result<std::vector<directory_record>> copies = node_directory::parseRecords(directory.format());
    ASSERT_TRUE(hasValue(copies));
    departed_upstreams copiedDeparted;
    node_directory copy { copiedDeparted };
    for (const directory_record& item : valueOf(copies))
        copy.apply(item);
    EXPECT_TRUE(copy.isLeaving({ "u90", 90 }));
    EXPECT_TRUE(copy.isLeaving({ "u200", 200 }));
    EXPECT_FALSE(copy.isLeaving({ "u100", 100 }));
    EXPECT_EQ(copy.find("b"), nullptr);
    directory.apply(record("b", 300, 2));
    EXPECT_NE(directory.find("b"), nullptr) << "the node has started again";
}

// Guards against an upstream that starts again under its identifier and stays shut out by its earlier leave.
TEST(NodeDirectory, ServesANewStartOfALeavingUpstream)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.onLinkOpened(hello("n"));
    directory.markLeaving("n", { "u", 200 });
    upstream_status_message restarted = status(300, true);
    restarted.upstream = "u";
    directory.updateStatus("n", restarted, time_point {});
    EXPECT_TRUE(directory.find("n")->isServing);
    EXPECT_FALSE(directory.noticesFor("n").has_value());
}

// Guards against memory that grows with each upstream that has ever left.
TEST(NodeDirectory, ForgetsTheEarliestOfManyLeavingUpstreams)
{
    departed_upstreams departed;
    node_directory directory { departed };
    directory.onLinkOpened(hello("n"));
    for (int number = 1; number <= 1025; ++number)
        directory.markLeaving("n", { "u" + std::to_string(number), number });
    directory.updateStatus("n", status(1, true), time_point {});
    EXPECT_TRUE(directory.find("n")->isServing);
    directory.updateStatus("n", status(2, true), time_point {});
    EXPECT_FALSE(directory.find("n")->isServing);
}

} // namespace knapweedcroft
