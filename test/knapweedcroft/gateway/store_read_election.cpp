#include "knapweedcroft/gateway/store_read_election.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace knapweedcroft {

namespace {

constexpr time_point start { milliseconds { 10'000 } };
constexpr milliseconds changeDeadline { 2000 };

[[nodiscard]] std::vector<node_name> names(int count)
{
    std::vector<node_name> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        all.push_back("n" + std::to_string(number));
    return all;
}

} // namespace

/** @brief One election per node, all with the same view of the group. */
class store_read_election_test : public testing::Test {
protected:
    store_read_election_test()
    {
        for (const node_name& name : names(10)) {
            std::set<node_name> peers;
            for (const node_name& peer : names(10)) {
                if (peer != name)
                    peers.insert(peer);
            }
            store_read_election& added
                = m_elections.emplace(name, store_read_election { name, { 8, changeDeadline } }).first->second;
            added.setPeers(peers, start);
        }
    }

    void announce(const node_name& reader, time_point now)
    {
        for (std::pair<const node_name, store_read_election>& item : m_elections)
            item.second.recordPeerProgress(reader, now);
    }

    [[nodiscard]] std::vector<node_name> inMode(store_read_mode mode, time_point now) const
    {
        std::vector<node_name> found;
        for (const std::pair<const node_name, store_read_election>& item : m_elections) {
            if (item.second.mode(now) == mode)
                found.push_back(item.first);
        }
        return found;
    }

    std::map<node_name, store_read_election> m_elections;
};

// Without sharing, each node polls the store, so calls grow with the nodes and not with the data centres.
TEST_F(store_read_election_test, ElectsOneReaderForTheGroup)
{
    ASSERT_EQ(inMode(store_read_mode::reader, start).size(), 1U);
    EXPECT_EQ(inMode(store_read_mode::follower, start).size(), 9U);
    const node_name reader = inMode(store_read_mode::reader, start).front();
    for (int poll = 0; poll < 100; ++poll) {
        const time_point now = start + milliseconds { 500 } * poll;
        announce(reader, now);
        EXPECT_EQ(inMode(store_read_mode::reader, now + milliseconds { 499 }), std::vector<node_name> { reader });
    }
}

// Load pattern: the reader is killed, frozen or cut off from the store or from its peers right after an answer. A
// change acknowledged at that moment must be in force within the deadline, so another node has to read well before it.
TEST_F(store_read_election_test, ReplacesASilentReaderBeforeAChangeIsDue)
{
    const node_name reader = inMode(store_read_mode::reader, start).front();
    announce(reader, start);
    m_elections.erase(reader);
    EXPECT_TRUE(inMode(store_read_mode::reader, start + milliseconds { 500 }).empty());
    const time_point late = start + changeDeadline * 6 / 10;
    EXPECT_EQ(inMode(store_read_mode::reader, late).size(), 9U);
    // Once the first successor makes progress, the others follow it.
    const time_point takeover = start + changeDeadline * 45 / 100;
    const std::vector<node_name> successors = inMode(store_read_mode::reader, takeover);
    ASSERT_EQ(successors.size(), 1U);
    announce(successors.front(), takeover);
    EXPECT_EQ(inMode(store_read_mode::reader, late), successors);
}

// A reader that the store turns away must leave the reading to a node that the store serves, and not poll in vain.
TEST_F(store_read_election_test, FollowsAnyNodeThatMakesProgressWhileItsOwnReadsFail)
{
    const node_name first = inMode(store_read_mode::reader, start).front();
    m_elections.at(first).recordOwnRead(false, start);
    const node_name last = inMode(store_read_mode::follower, start).back();
    announce(last, start);
    EXPECT_EQ(m_elections.at(first).mode(start + milliseconds { 800 }), store_read_mode::follower);
    m_elections.at(first).recordOwnRead(true, start + milliseconds { 100 });
    EXPECT_EQ(m_elections.at(first).mode(start + milliseconds { 800 }), store_read_mode::reader);
}

// Load pattern: the store answers nobody for seconds. Calls in that time are charged like others, so only the first two
// nodes keep trying; the others retry at the interval of the deadline.
TEST_F(store_read_election_test, KeepsTwoNodesTryingWhileTheStoreIsAway)
{
    const time_point lost = start + changeDeadline;
    for (std::pair<const node_name, store_read_election>& item : m_elections)
        item.second.recordOwnRead(false, lost);
    EXPECT_EQ(inMode(store_read_mode::reader, lost + changeDeadline / 2).size(), 2U);
    EXPECT_EQ(inMode(store_read_mode::reader, lost + changeDeadline).size(), 10U);
}

TEST_F(store_read_election_test, LetsEachNodeReadInASmallGroup)
{
    store_read_election small { "a", { 8, changeDeadline } };
    small.setPeers({ "b", "c" }, start);
    EXPECT_EQ(small.mode(start + milliseconds { 60'000 }), store_read_mode::individual);
    EXPECT_FALSE(small.takeoverTime());
    store_read_election disabled { "a", { 0, changeDeadline } };
    disabled.setPeers({ "b", "c" }, start);
    EXPECT_EQ(disabled.mode(start), store_read_mode::individual);
}

// A message of a node outside the group, such as one whose link is suspected, must not keep this node from reading.
TEST_F(store_read_election_test, IgnoresProgressFromOutsideTheGroup)
{
    const node_name reader = inMode(store_read_mode::reader, start).front();
    store_read_election& other = m_elections.at(reader == "n0" ? "n1" : "n0");
    std::set<node_name> peers = other.peers();
    peers.erase(reader);
    other.setPeers(peers, start);
    other.recordPeerProgress(reader, start + changeDeadline);
    EXPECT_EQ(other.mode(start + changeDeadline), store_read_mode::reader);
}

} // namespace knapweedcroft
