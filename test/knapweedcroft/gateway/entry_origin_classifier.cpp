#include "knapweedcroft/gateway/entry_origin_classifier.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

const std::vector<service_name> services { "a", "b", "c", "d" };

void recordEqually(entry_origin_classifier& classifier, const std::string& entry, int requests)
{
    for (int number = 0; number < requests; ++number)
        classifier.recordRequest(entry, services[static_cast<std::size_t>(number) % services.size()]);
}

[[nodiscard]] entry_origin_classifier makeClassifier()
{
    entry_origin_classifier classifier;
    classifier.setServices({ services.begin(), services.end() });
    return classifier;
}

void exchangeCounts(std::vector<entry_origin_classifier>& replicas)
{
    for (entry_origin_classifier& sender : replicas) {
        for (const entry_caller_count& counted : sender.takeNewCounts()) {
            for (entry_origin_classifier& receiver : replicas) {
                if (&receiver != &sender)
                    receiver.recordPeerRequests(counted);
            }
        }
    }
}

} // namespace

TEST(EntryOriginClassifier, TellsClientsFromUpstreams)
{
    entry_origin_classifier classifier = makeClassifier();
    recordEqually(classifier, "read", 60);
    for (int number = 0; number < 60; ++number)
        classifier.recordRequest("inner", "a");
    EXPECT_EQ(classifier.originOf("read"), entry_origin::clients);
    EXPECT_EQ(classifier.originOf("inner"), entry_origin::upstreams);
    EXPECT_EQ(classifier.originOf("other"), entry_origin::unknown);
}

// Load pattern: an overload begins right after the start of a large fleet, where each node of a service sees ten
// requests of an entry a second. Alone, each would decide after six seconds and refuse nothing before.
TEST(EntryOriginClassifier, DecidesWithTheCountsOfItsTwins)
{
    std::vector<entry_origin_classifier> replicas(10, makeClassifier());
    for (entry_origin_classifier& replica : replicas) {
        recordEqually(replica, "read", 8);
        EXPECT_EQ(replica.originOf("read"), entry_origin::unknown);
    }
    exchangeCounts(replicas);
    for (const entry_origin_classifier& replica : replicas)
        EXPECT_EQ(replica.originOf("read"), entry_origin::clients);
}

// Telling each other counts without end would cost messages for nothing.
TEST(EntryOriginClassifier, TellsNothingOnceItHasDecided)
{
    entry_origin_classifier classifier = makeClassifier();
    recordEqually(classifier, "read", 60);
    EXPECT_FALSE(classifier.takeNewCounts().empty());
    recordEqually(classifier, "read", 100);
    EXPECT_TRUE(classifier.takeNewCounts().empty());
}

TEST(EntryOriginClassifier, TellsAPeerThatStartsEnoughToDecide)
{
    entry_origin_classifier running = makeClassifier();
    recordEqually(running, "read", 1900);
    entry_origin_classifier starting = makeClassifier();
    for (const entry_caller_count& counted : running.summary())
        starting.recordPeerRequests(counted);
    EXPECT_EQ(starting.originOf("read"), entry_origin::clients);
}

// Counts of peers that do not tell the truth must not outweigh what this node sees.
TEST(EntryOriginClassifier, LimitsImplausibleCounts)
{
    entry_origin_classifier classifier = makeClassifier();
    recordEqually(classifier, "read", 400);
    classifier.recordPeerRequests({ "read", "a", 4'000'000'000 });
    classifier.recordPeerRequests({ "read", "b", 0 });
    EXPECT_EQ(classifier.originOf("read"), entry_origin::clients);
    for (int number = 0; number < 5000; ++number)
        classifier.recordPeerRequests({ "entry " + std::to_string(number), "a", 1 });
    EXPECT_LE(classifier.summary().size(), 1100U);
}

} // namespace knapweedcroft
