#include "knapweedcroft/gateway/upstream_selector.hpp"

#include <gtest/gtest.h>

#include <map>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

[[nodiscard]] upstream_candidate candidate(
    const std::string& node, const std::string& dataCentre, std::uint32_t running, std::uint32_t slots = 10)
{
    upstream_candidate value;
    value.node = node;
    value.data_centre = dataCentre;
    value.load.running = running;
    value.load.slots = slots;
    value.load.serviceTime = milliseconds { 50 };
    return value;
}

const selection_request defaultRequest { "entry", milliseconds { 1000 } };

[[nodiscard]] std::map<node_name, int> countSelections(
    upstream_selector& selector, const std::vector<upstream_candidate>& candidates, int rounds, std::int64_t time)
{
    std::map<node_name, int> chosen;
    for (int round = 0; round < rounds; ++round)
        ++chosen[candidates[*selector.choose(candidates, defaultRequest, at(time))].node];
    return chosen;
}

} // namespace

TEST(UpstreamSelector, HasNoChoiceWithoutCandidates)
{
    upstream_selector selector { "z1", 1 };
    EXPECT_FALSE(selector.choose({}, defaultRequest, at(0)));
}

// Traffic between data centres is expensive, so there must be none while the local upstream has free slots.
TEST(UpstreamSelector, StaysInTheOwnDataCentre)
{
    upstream_selector selector { "z1", 1 };
    const std::vector<upstream_candidate> candidates { candidate("far", "z2", 0), candidate("near", "z1", 6) };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["near"], 100);
}

// Guards against requests that queue for an upstream that limits its rate while another one is free. Once its next
// request is due it gets one, since only answers tell that the limit has ended.
TEST(UpstreamSelector, AvoidsALimitedUpstreamUntilItsNextRequestIsDue)
{
    upstream_selector selector { "z1", 1 };
    std::vector<upstream_candidate> candidates { candidate("far", "z2", 0), candidate("near", "z1", 0) };
    candidates[1].load.rate = 2.0;
    candidates[1].load.startDelay = milliseconds { 500 };
    candidates[1].loadAge = milliseconds { 499 };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["far"], 100);
    candidates[1].loadAge = milliseconds { 500 };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["near"], 100);
}

// A full data centre must not queue requests while another one uses a fifth of its slots.
TEST(UpstreamSelector, GoesToAFreeUpstreamElsewhereWhenTheOwnOneIsFull)
{
    upstream_selector selector { "z1", 1 };
    const std::vector<upstream_candidate> candidates { candidate("far", "z2", 2), candidate("near", "z1", 10) };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["far"], 100);
    const std::vector<upstream_candidate> full { candidate("far", "z2", 9), candidate("near", "z1", 10) };
    EXPECT_EQ(countSelections(selector, full, 100, 0)["near"], 100);
}

// Only answers report the load. An upstream that reported a high load once and then got no requests kept looking full
// indefinitely, while the queue of the local upstream grew to three times its slots.
TEST(UpstreamSelector, AsksAnUpstreamAgainThatLookedFullLongAgo)
{
    upstream_selector selector { "z1", 1 };
    std::vector<upstream_candidate> candidates { candidate("far", "z2", 9), candidate("near", "z1", 10) };
    candidates[0].loadAge = milliseconds { 2000 };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["far"], 100);
}

// A slow local upstream must not make a whole data centre late while a remote one has free slots.
TEST(UpstreamSelector, LeavesASlowUpstreamThatWouldMissTheTarget)
{
    upstream_selector selector { "z1", 1 };
    for (int sample = 0; sample < 50; ++sample) {
        selector.recordEnd("near", "entry", milliseconds { 700 }, at(0));
        selector.recordEnd("far", "entry", milliseconds { 100 }, at(0));
    }
    const std::vector<upstream_candidate> candidates { candidate("far", "z2", 2), candidate("near", "z1", 2) };
    EXPECT_EQ(countSelections(selector, candidates, 100, 0)["far"], 100);
    // Without new samples the estimate decays, so that a recovered upstream gets requests again.
    EXPECT_EQ(countSelections(selector, candidates, 100, 60'000)["near"], 100);
}

// Always selecting the best measured upstream would leave a newly joined one without requests.
TEST(UpstreamSelector, SharesRequestsAmongUpstreamsOfADataCentre)
{
    upstream_selector selector { "z1", 1 };
    for (int sample = 0; sample < 50; ++sample)
        selector.recordEnd("known", "entry", milliseconds { 50 }, at(0));
    upstream_candidate newNode = candidate("joined", "z1", 0);
    newNode.remainingWarmUp = milliseconds { 3000 };
    const std::vector<upstream_candidate> candidates { candidate("known", "z1", 0), newNode };
    std::map<node_name, int> chosen = countSelections(selector, candidates, 1000, 0);
    EXPECT_GT(chosen["joined"], 50);
    EXPECT_GT(chosen["known"], chosen["joined"]);
}

// An upstream that fails fast must not be preferred as fast.
TEST(UpstreamSelector, AvoidsAnUpstreamThatFails)
{
    upstream_selector selector { "z1", 1 };
    const std::vector<upstream_candidate> candidates { candidate("bad", "z1", 0), candidate("good", "z1", 0) };
    for (int failure = 0; failure < 20; ++failure)
        selector.recordFailure("bad", at(0));
    EXPECT_GT(countSelections(selector, candidates, 1000, 0)["good"], 950);
}

// In a small fleet, what a node measures itself is newer and counts only the requests that it sends.
TEST(UpstreamSelector, PrefersItsOwnMeasurementsWhileTheyAreRecent)
{
    upstream_selector selector { "z1", 1 };
    const upstream_candidate candidate { "n", "z1", {}, {}, {} };
    const time_point now { milliseconds { 10'000 } };
    selector.recordEnd("n", "read", milliseconds { 100 }, now);
    selector.recordReportedServiceTime("n", { "read", milliseconds { 900 } }, now + milliseconds { 300 });
    EXPECT_LT(selector.predictLatency(candidate, "read", now), milliseconds { 110 });
    const time_point later = now + milliseconds { 3000 };
    selector.recordReportedServiceTime("n", { "read", milliseconds { 900 } }, later);
    EXPECT_GT(selector.predictLatency(candidate, "read", later), milliseconds { 800 });
}

// A faulty peer must not decide where requests go.
TEST(UpstreamSelector, IgnoresImplausibleServiceTimes)
{
    upstream_selector selector { "z1", 1 };
    const upstream_candidate candidate { "n", "z1", {}, {}, {} };
    const time_point now { milliseconds { 10'000 } };
    selector.recordEnd("other", "read", milliseconds { 100 }, now);
    for (const milliseconds time : { milliseconds { -5 }, milliseconds { 0 }, milliseconds { 3'600'000 } })
        selector.recordReportedServiceTime("n", { "read", time }, now);
    selector.recordReportedServiceTime("n", { "unknown entry", milliseconds { 900 } }, now);
    EXPECT_LT(selector.predictLatency(candidate, "read", now), milliseconds { 110 });
}

} // namespace knapweedcroft
