#include "knapweedcroft/gateway/placement.hpp"

#include <gtest/gtest.h>

#include <map>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

[[nodiscard]] placement_candidate candidate(
    const std::string& node, const std::string& dataCentre, std::uint32_t running, std::uint32_t slots = 10)
{
    placement_candidate value;
    value.node = node;
    value.data_centre = dataCentre;
    value.load.running = running;
    value.load.slots = slots;
    value.load.serviceTime = milliseconds { 50 };
    return value;
}

const placement_request usual { "entry", milliseconds { 1000 } };

[[nodiscard]] std::map<node_name, int> chosenNodes(
    placement& chooser, const std::vector<placement_candidate>& candidates, int rounds, std::int64_t time)
{
    std::map<node_name, int> chosen;
    for (int round = 0; round < rounds; ++round)
        ++chosen[candidates[*chooser.choose(candidates, usual, at(time))].node];
    return chosen;
}

} // namespace

TEST(Placement, HasNoChoiceWithoutCandidates)
{
    placement chooser { "z1", 1 };
    EXPECT_FALSE(chooser.choose({}, usual, at(0)));
}

// Bytes between data centres are dear, so a calm day must not cause any.
TEST(Placement, StaysInTheOwnDataCentre)
{
    placement chooser { "z1", 1 };
    const std::vector<placement_candidate> candidates { candidate("far", "z2", 0), candidate("near", "z1", 6) };
    EXPECT_EQ(chosenNodes(chooser, candidates, 100, 0)["near"], 100);
}

// One data centre's upstream stood at its slots while another's used a fifth of them.
TEST(Placement, GoesToAFreeUpstreamElsewhereWhenTheOwnOneIsFull)
{
    placement chooser { "z1", 1 };
    const std::vector<placement_candidate> candidates { candidate("far", "z2", 2), candidate("near", "z1", 10) };
    EXPECT_EQ(chosenNodes(chooser, candidates, 100, 0)["far"], 100);
    const std::vector<placement_candidate> full { candidate("far", "z2", 9), candidate("near", "z1", 10) };
    EXPECT_EQ(chosenNodes(chooser, full, 100, 0)["near"], 100);
}

// A slow upstream made a whole data centre late while the next one had time.
// An upstream that answered once while it was busy looked full for the rest of the day, as only answers tell the load;
// the own data centre's upstream had a queue of three times its slots meanwhile.
TEST(Placement, AsksAnUpstreamAgainThatLookedFullLongAgo)
{
    placement chooser { "z1", 1 };
    std::vector<placement_candidate> candidates { candidate("far", "z2", 9), candidate("near", "z1", 10) };
    candidates[0].loadAge = milliseconds { 2000 };
    EXPECT_EQ(chosenNodes(chooser, candidates, 100, 0)["far"], 100);
}

TEST(Placement, LeavesASlowUpstreamThatWouldMissTheTarget)
{
    placement chooser { "z1", 1 };
    for (int sample = 0; sample < 50; ++sample) {
        chooser.ended("near", "entry", milliseconds { 700 }, at(0));
        chooser.ended("far", "entry", milliseconds { 100 }, at(0));
    }
    const std::vector<placement_candidate> candidates { candidate("far", "z2", 2), candidate("near", "z1", 2) };
    EXPECT_EQ(chosenNodes(chooser, candidates, 100, 0)["far"], 100);
    // Without new samples the estimate fades, so that a mended upstream gets requests again.
    EXPECT_EQ(chosenNodes(chooser, candidates, 100, 60'000)["near"], 100);
}

// Always taking the best known upstream would leave one that has just joined without requests.
TEST(Placement, SharesRequestsAmongUpstreamsOfADataCentre)
{
    placement chooser { "z1", 1 };
    for (int sample = 0; sample < 50; ++sample)
        chooser.ended("known", "entry", milliseconds { 50 }, at(0));
    placement_candidate joined = candidate("joined", "z1", 0);
    joined.warmUpLeft = milliseconds { 3000 };
    const std::vector<placement_candidate> candidates { candidate("known", "z1", 0), joined };
    std::map<node_name, int> chosen = chosenNodes(chooser, candidates, 1000, 0);
    EXPECT_GT(chosen["joined"], 50);
    EXPECT_GT(chosen["known"], chosen["joined"]);
}

// Failing fast must not look like speed.
TEST(Placement, AvoidsAnUpstreamThatFails)
{
    placement chooser { "z1", 1 };
    const std::vector<placement_candidate> candidates { candidate("bad", "z1", 0), candidate("good", "z1", 0) };
    for (int failure = 0; failure < 20; ++failure)
        chooser.failed("bad", at(0));
    EXPECT_GT(chosenNodes(chooser, candidates, 1000, 0)["good"], 950);
}

} // namespace knapweedcroft
