#include "gateway_process.hpp"

#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr const char* topic = "keyed.nodes";

[[nodiscard]] nlohmann::json makeRecord(const std::string& node, const std::string& peerAddress)
{
    return { { "node", node }, { "peer_address", peerAddress }, { "data_centre", "south" }, { "written_ms", 1 },
        { "service", "shop" }, { "upstream", "i-" + node }, { "started_ms", 0 }, { "address", "127.0.0.1:1" },
        { "slots", 8 }, { "serving", true } };
}

[[nodiscard]] std::vector<keyed_record> makeOddRecords()
{
    const std::string text = makeRecord("odd", "127.0.0.1:1").dump();
    const auto withSlots = [&text](const std::string& slots) {
        std::string changed = text;
        return changed.replace(changed.find("\"slots\":8"), 9, "\"slots\":" + slots);
    };
    const std::string nested(100'000, '[');
    std::vector<keyed_record> records { { "odd", nested }, { "odd", withSlots(nested) },
        { "odd", withSlots(nested + std::string(nested.size(), ']')) }, { "odd", withSlots("1e999") },
        { "odd", withSlots("18446744073709551616") }, { "odd", withSlots("4294967297") }, { "odd", withSlots("-1") },
        { "odd", "\xff\xfe" }, { "odd", std::string(200'000, 'x') } };
    for (const char* address : { "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "[::1", "host:1", "" })
        records.push_back({ "odd", makeRecord("odd", address).dump() });
    nlohmann::json large = makeRecord("odd", "127.0.0.1:1");
    large["service"] = std::string(200'000, 's');
    records.push_back({ "odd", large.dump() });
    return records;
}

class odd_directory_records_test : public testing::Test {
protected:
    odd_directory_records_test()
    {
        m_store.append("keyed.op", { "config", makeLookConfiguration("shop", true, 1024) });
    }

    // Returns whether the node still reads the directory: a further record appears in it.
    [[nodiscard]] bool isFollowing()
    {
        const std::string name = "further-" + std::to_string(++m_furtherRecords);
        const double before = m_node.metric("knapweed_known_nodes");
        m_store.append(topic, { name, makeRecord(name, "127.0.0.1:" + std::to_string(m_furtherRecords)).dump() });
        return m_node.waitUntil([&] { return m_node.metric("knapweed_known_nodes") > before; });
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    int m_furtherRecords = 0;
    gateway_process m_node { m_loop, m_store, { "n1", loopbackNetwork() + "241", "shop", "127.0.0.1:1", 64 } };
};

} // namespace

// Guards against a node that ends, or follows the directory no longer, because of a record that another writer left.
TEST_F(odd_directory_records_test, AreLeftOutWhileTheNodeFollows)
{
    ASSERT_TRUE(m_node.waitUntil([this] { return m_node.isReady(); }));
    for (const keyed_record& record : makeOddRecords())
        m_store.append(topic, record);
    EXPECT_TRUE(isFollowing());
    EXPECT_FALSE(m_node.process().hasEnded());
    EXPECT_TRUE(m_node.isReady());
}

// Guards against a node that never becomes ready because of a record in the snapshot.
TEST_F(odd_directory_records_test, AreLeftOutOfTheSnapshot)
{
    for (const keyed_record& record : makeOddRecords()) {
        m_store.append(topic, record);
        gateway_process node { m_loop, m_store, { "n2", loopbackNetwork() + "242", "shop", "127.0.0.1:1", 64 } };
        EXPECT_TRUE(node.waitUntil([&node] { return node.isReady(); })) << record.value.substr(0, 200);
        EXPECT_FALSE(node.process().hasEnded()) << record.value.substr(0, 200);
    }
    EXPECT_TRUE(m_node.isReady());
    EXPECT_TRUE(isFollowing());
}

} // namespace knapweedcroft::platform
