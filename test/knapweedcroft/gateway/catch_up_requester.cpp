#include "knapweedcroft/gateway/catch_up_requester.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

constexpr time_point start { milliseconds { 10'000 } };
constexpr milliseconds second { 1000 };
constexpr known_versions unread { -1, -1 };
constexpr known_versions current { 5, 100 };

[[nodiscard]] std::vector<catch_up_candidate> peers(int local, int remote)
{
    std::vector<catch_up_candidate> all;
    all.reserve(static_cast<std::size_t>(local) + static_cast<std::size_t>(remote));
    for (int number = 0; number < local + remote; ++number)
        all.push_back({ "n" + std::to_string(number), number < local });
    return all;
}

} // namespace

// Load pattern: a node starts while the store is silent, and 194 peers open links to it. Asking each of them for the
// whole directory made the bytes of such a start grow with the square of the fleet.
TEST(CatchUpRequester, AsksOnePeerOfTheSameDataCentreAtATime)
{
    catch_up_requester requester { 1 };
    for (const catch_up_candidate& peer : peers(30, 164))
        requester.recordPeerVersions(peer.node, current, start);
    EXPECT_FALSE(requester.next(unread, peers(30, 164), start));
    const std::optional<node_name> asked = requester.next(unread, peers(30, 164), start + second);
    ASSERT_TRUE(asked);
    EXPECT_LT(std::stoi(asked->substr(1)), 30);
    EXPECT_FALSE(requester.next(unread, peers(30, 164), start + second));
    requester.recordAnswer(*asked);
    EXPECT_FALSE(requester.next(current, peers(30, 164), start + second * 2));
}

TEST(CatchUpRequester, AsksAnotherPeerWhenNoAnswerArrives)
{
    catch_up_requester requester { 1 };
    requester.recordPeerVersions("n0", current, start);
    const std::optional<node_name> first = requester.next(unread, peers(2, 0), start + second);
    ASSERT_TRUE(first);
    const std::optional<node_name> other = requester.next(unread, peers(2, 0), start + second * 2);
    ASSERT_TRUE(other);
    EXPECT_NE(*first, *other);
}

// A node that is behind has to ask a peer that knows more; any other one would answer with nothing.
TEST(CatchUpRequester, AsksOnlyPeersThatKnowMoreWhenItIsBehind)
{
    catch_up_requester requester { 1 };
    requester.recordPeerVersions("n3", { 6, 100 }, start);
    EXPECT_EQ(requester.next(current, peers(3, 1), start + second), std::optional<node_name> { "n3" });
}

// The own answer of the store usually arrives within this time, which makes the question needless.
TEST(CatchUpRequester, AsksNobodyOnceItKnowsAsMuch)
{
    catch_up_requester requester { 1 };
    requester.recordPeerVersions("n0", { 6, 100 }, start);
    EXPECT_FALSE(requester.next({ 6, 100 }, peers(1, 0), start + second));
    EXPECT_FALSE(requester.nextWakeup());
}

// While the store does not answer, a change can only come from a peer that it still serves.
TEST(CatchUpRequester, AsksAtIntervalsWhileTheStoreIsUnavailable)
{
    catch_up_requester requester { 1 };
    requester.setStoreAvailable(false, start);
    int asked = 0;
    for (time_point now = start; now < start + second * 5; now = now + milliseconds { 10 }) {
        const std::optional<node_name> peer = requester.next(current, peers(5, 5), now);
        if (!peer)
            continue;
        ++asked;
        requester.recordAnswer(*peer);
    }
    EXPECT_EQ(asked, 10);
    requester.setStoreAvailable(true, start + second * 5);
    static_cast<void>(requester.next(current, peers(5, 5), start + second * 6));
    EXPECT_FALSE(requester.next(current, peers(5, 5), start + second * 7));
}

// Guards against a data centre that keeps an old catalogue because the store turns away all of its nodes, which ask
// only each other.
TEST(CatchUpRequester, AsksOtherDataCentresInTurnWhileTheStoreIsUnavailable)
{
    catch_up_requester requester { 1 };
    requester.setStoreAvailable(false, start);
    std::vector<bool> isLocal;
    for (time_point now = start; now < start + second * 2; now = now + second / 2) {
        const std::optional<node_name> peer = requester.next(current, peers(3, 3), now);
        ASSERT_TRUE(peer);
        isLocal.push_back(std::stoi(peer->substr(1)) < 3);
        requester.recordAnswer(*peer);
    }
    EXPECT_EQ(isLocal, (std::vector<bool> { true, false, true, false }));
}

TEST(CatchUpRequester, AsksAPeerThatKnowsMoreWhileTheStoreIsUnavailable)
{
    catch_up_requester requester { 1 };
    requester.setStoreAvailable(false, start);
    requester.recordPeerVersions("n5", { 6, 100 }, start);
    EXPECT_EQ(requester.next(current, peers(3, 3), start), std::optional<node_name> { "n5" });
}

// Guards against asking the same peer for ever whose report belongs to an earlier era of the store.
TEST(CatchUpRequester, AsksOthersOnceAPeerThatReportedMoreHasAnswered)
{
    catch_up_requester requester { 1 };
    requester.setStoreAvailable(false, start);
    requester.recordPeerVersions("n0", { 5, 900 }, start);
    EXPECT_EQ(requester.next(current, peers(1, 1), start), std::optional<node_name> { "n0" });
    requester.recordAnswer("n0");
    EXPECT_EQ(requester.next(current, peers(1, 1), start + second), std::optional<node_name> { "n1" });
}

} // namespace knapweedcroft
