#include "knapweedcroft/gateway/link_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace knapweedcroft {

namespace {

constexpr int dataCentres = 6;

// Nodes of three services with many hosts and one with few, spread over six data centres.
[[nodiscard]] std::vector<link_target> makeFleet(int size)
{
    std::vector<link_target> fleet;
    for (int number = 0; number < size; ++number) {
        const std::string service = number % 15 == 0 ? "register" : "s" + std::to_string(number % 3);
        fleet.push_back(
            { "n" + std::to_string(number), "z" + std::to_string(number % dataCentres), service, true, false });
    }
    return fleet;
}

[[nodiscard]] std::set<node_name> planFor(const link_target& self, const std::vector<link_target>& fleet)
{
    std::vector<link_target> others;
    std::copy_if(fleet.begin(), fleet.end(), std::back_inserter(others),
        [&self](const link_target& target) { return target.node != self.node; });
    return planLinks(self.node, self.data_centre, others, {});
}

} // namespace

// With a link between any two nodes, 195 nodes hold 16,000 links between data centres, and each of them costs a
// handshake after a restart of all. The number has to grow with the nodes.
TEST(LinkPlan, LinksBetweenDataCentresGrowWithTheNodes)
{
    for (const int size : { 73, 195, 560 }) {
        const std::vector<link_target> fleet = makeFleet(size);
        std::size_t remote = 0;
        for (const link_target& self : fleet) {
            for (const node_name& node : planFor(self, fleet))
                remote
                    += std::stoi(node.substr(1)) % dataCentres != std::stoi(self.node.substr(1)) % dataCentres ? 1 : 0;
        }
        EXPECT_LE(remote, static_cast<std::size_t>(size) * 28) << size;
    }
}

TEST(LinkPlan, KeepsAllLinksOfASmallFleet)
{
    const std::vector<link_target> fleet = makeFleet(12);
    for (const link_target& self : fleet)
        EXPECT_EQ(planFor(self, fleet).size(), 11U);
}

TEST(LinkPlan, LinksAllNodesOfTheOwnDataCentre)
{
    const std::vector<link_target> fleet = makeFleet(195);
    const std::set<node_name> plan = planFor(fleet[0], fleet);
    for (const link_target& target : fleet) {
        const bool isLocal = target.data_centre == fleet[0].data_centre && target.node != fleet[0].node;
        EXPECT_TRUE(!isLocal || plan.count(target.node) != 0) << target.node;
    }
}

// A service with few hosts takes the calls of the whole fleet, so its nodes have to be used about evenly.
TEST(LinkPlan, SpreadsLinksOverTheNodesOfAService)
{
    const std::vector<link_target> fleet = makeFleet(195);
    std::map<node_name, int> users;
    for (const link_target& self : fleet) {
        for (const node_name& node : planFor(self, fleet))
            ++users[node];
    }
    int fewest = 1000;
    int most = 0;
    for (const link_target& target : fleet) {
        if (target.service != "register")
            continue;
        fewest = std::min(fewest, users[target.node]);
        most = std::max(most, users[target.node]);
    }
    EXPECT_LT(most, fewest * 2);
}

// A cut or dark host must not leave a service with fewer usable links.
TEST(LinkPlan, AddsANodeForEachUnreachableOne)
{
    std::vector<link_target> fleet = makeFleet(195);
    const std::set<node_name> before = planFor(fleet[0], fleet);
    std::set<node_name> lost;
    for (link_target& target : fleet) {
        target.isUnreachable = target.data_centre != fleet[0].data_centre && before.count(target.node) != 0;
        if (target.isUnreachable)
            lost.insert(target.node);
    }
    const std::set<node_name> after = planFor(fleet[0], fleet);
    EXPECT_EQ(after.size(), before.size() + lost.size());
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(), before.end()));
}

TEST(LinkPlan, SkipsRemoteNodesWhoseUpstreamDoesNotServe)
{
    std::vector<link_target> fleet = makeFleet(195);
    for (link_target& target : fleet)
        target.isServing = target.data_centre == fleet[0].data_centre;
    for (const node_name& node : planFor(fleet[0], fleet))
        EXPECT_EQ(std::stoi(node.substr(1)) % dataCentres, 0) << node;
}

} // namespace knapweedcroft
