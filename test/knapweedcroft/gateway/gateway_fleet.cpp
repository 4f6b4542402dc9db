#include "gateway_group.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

constexpr int dataCentres = 6;

[[nodiscard]] std::shared_ptr<const entry_table> makeTable(std::int64_t version)
{
    return std::make_shared<const entry_table>(version,
        std::vector<forward_entry> { makeEntry("read", "s0", 1, true, milliseconds { 500 }, milliseconds { 1000 }) },
        client_limits {});
}

[[nodiscard]] std::unique_ptr<gateway_group> makeFleet(int size)
{
    std::unique_ptr<gateway_group> fleet = std::make_unique<gateway_group>(makeTable(3));
    for (int number = 0; number < size; ++number)
        fleet->add("n" + std::to_string(number), "s" + std::to_string(number / dataCentres % 3),
            "z" + std::to_string(number % dataCentres), 8);
    fleet->startOnStore();
    fleet->run(milliseconds { 6000 });
    return fleet;
}

[[nodiscard]] std::size_t versionsBehind(gateway_group& fleet, int size, std::int64_t version)
{
    std::size_t behind = 0;
    for (int number = 0; number < size; ++number) {
        const nlohmann::json state = fleet.core("n" + std::to_string(number)).describe();
        behind += state["catalogue_version"] != version ? 1U : 0U;
    }
    return behind;
}

} // namespace

// Load pattern: a fleet that has started and has nothing to do but wait for changes. The calls to the store must grow
// with the data centres and not with the nodes.
TEST(GatewayFleet, ReadsTheStoreOncePerDataCentre)
{
    constexpr std::size_t seconds = 10;
    constexpr std::size_t readsPerSecond = 2;
    for (const int size : { 73, 195 }) {
        const std::unique_ptr<gateway_group> fleet = makeFleet(size);
        const std::size_t before = fleet->traffic.storeReads;
        fleet->run(milliseconds { 1000 } * seconds);
        // One reader in each data centre, which polls every 500 ms.
        EXPECT_LE(fleet->traffic.storeReads - before, seconds * readsPerSecond * dataCentres + 1) << size;
    }
}

// Load pattern: a change of the catalogue. Every node must have it at once, and no copy may have to be asked for.
TEST(GatewayFleet, HandsOnAChangeWithinADataCentre)
{
    for (const int size : { 12, 73, 195 }) {
        const std::unique_ptr<gateway_group> fleet = makeFleet(size);
        const traffic_counts before = fleet->traffic;
        fleet->writeCatalogue(makeTable(4));
        fleet->run(milliseconds { 50 });
        EXPECT_EQ(versionsBehind(*fleet, size, 4), 0U) << size;
        EXPECT_EQ(fleet->traffic.catchUps, before.catchUps) << size;
        EXPECT_LE(fleet->traffic.messages - before.messages, static_cast<std::size_t>(size) * 3) << size;
    }
}

// Load pattern: one node after the other is stopped and started while the store is silent, as in a rolling restart.
// Each start made every peer send a copy of the whole directory, which cost the square of the fleet.
TEST(GatewayFleet, StartsNodesWithoutTheStoreFromOneCopyEach)
{
    for (const int size : { 73, 195 }) {
        const std::unique_ptr<gateway_group> fleet = makeFleet(size);
        fleet->setStoreAvailable(false);
        fleet->run(milliseconds { 2000 });
        const traffic_counts before = fleet->traffic;
        constexpr int restarted = 8;
        for (int number = 0; number < restarted; ++number) {
            fleet->restart("n" + std::to_string(number));
            fleet->run(milliseconds { 250 });
        }
        fleet->run(milliseconds { 2000 });
        EXPECT_EQ(versionsBehind(*fleet, size, 3), 0U) << size;
        // A copy of the directory takes about 240 bytes a node. Other nodes ask for news twice a second, in short
        // messages.
        const std::size_t copy = static_cast<std::size_t>(size) * 260;
        EXPECT_LE(fleet->traffic.remoteBytes - before.remoteBytes, copy * restarted * 2) << size;
    }
}

// Load pattern: the reader of a data centre dies at the moment of a change. Everyone else there has to have it within
// the deadline of 2 s.
TEST(GatewayFleet, ReplacesAReaderThatDiesAtAChange)
{
    const int size = 73;
    const std::unique_ptr<gateway_group> fleet = makeFleet(size);
    std::string reader;
    for (int number = 0; number < size; ++number) {
        const std::string name = "n" + std::to_string(number);
        if (number % dataCentres == 0 && fleet->readMode(name) == store_read_mode::reader)
            reader = name;
    }
    ASSERT_FALSE(reader.empty());
    for (int number = 0; number < size; number += dataCentres) {
        const std::string name = "n" + std::to_string(number);
        if (name != reader)
            fleet->handle(name, link_suspected { reader, true });
    }
    fleet->writeCatalogue(makeTable(4));
    fleet->run(milliseconds { 1900 });
    EXPECT_EQ(versionsBehind(*fleet, size, 4), 0U);
}

// The links between data centres, and with them the bytes of a restart of all nodes, must grow with the nodes.
TEST(GatewayFleet, LinksGrowWithTheNodes)
{
    for (const int size : { 73, 195 }) {
        const std::unique_ptr<gateway_group> fleet = makeFleet(size);
        std::size_t remote = 0;
        for (int number = 0; number < size; ++number) {
            const nlohmann::json state = fleet->core("n" + std::to_string(number)).describe();
            remote += state["planned_links"].get<std::size_t>();
        }
        // All nodes of the data centre, and in others at most eight nodes of each of the three services.
        EXPECT_LE(remote, static_cast<std::size_t>(size) * (static_cast<std::size_t>(size) / dataCentres + 24)) << size;
    }
}

} // namespace knapweedcroft
