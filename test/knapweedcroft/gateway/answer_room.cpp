#include "knapweedcroft/gateway/answer_room.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace knapweedcroft {

namespace {

constexpr time_point start { milliseconds { 1000 } };

[[nodiscard]] std::vector<answer_grant> grants(const std::vector<std::pair<std::string, std::uint64_t>>& calls)
{
    std::vector<answer_grant> list;
    list.reserve(calls.size());
    for (const std::pair<std::string, std::uint64_t>& call : calls)
        list.push_back({ call.first, call_id { call.second } });
    return list;
}

} // namespace

TEST(AnswerRoom, GrantsInOrderWithinTheLimit)
{
    answer_room room { 100 };
    room.offer("a", call_id { 1 }, 60, start);
    room.offer("b", call_id { 1 }, 60, start);
    room.offer("a", call_id { 2 }, 10, start);
    EXPECT_EQ(room.takeGrants(0, start), grants({ { "a", 1 } }));
    EXPECT_TRUE(room.takeGrants(0, start).empty()) << "the second one comes first";
    room.remove("a", call_id { 1 });
    EXPECT_TRUE(room.takeGrants(60, start).empty()) << "the first one is held for its client now";
    EXPECT_EQ(room.takeGrants(30, start), grants({ { "b", 1 }, { "a", 2 } }));
    EXPECT_EQ(room.grantedBytes(), 70U);
}

// Guards against an answer larger than the limit that is never sent.
TEST(AnswerRoom, GrantsOneAnswerWhateverItsSize)
{
    answer_room room { 100 };
    room.offer("a", call_id { 1 }, 500, start);
    room.offer("a", call_id { 2 }, 500, start);
    EXPECT_EQ(room.takeGrants(0, start), grants({ { "a", 1 } }));
    room.remove("a", call_id { 1 });
    EXPECT_TRUE(room.takeGrants(1, start).empty());
    EXPECT_EQ(room.takeGrants(0, start), grants({ { "a", 2 } }));
}

// Guards against answers that wait in a circle: those that are held are sent only after the one that is offered.
TEST(AnswerRoom, GoesBeyondTheLimitForOneThatHasWaited)
{
    answer_room room { 100 };
    room.offer("a", call_id { 1 }, 40, start);
    room.offer("a", call_id { 2 }, 40, start);
    EXPECT_TRUE(room.takeGrants(100, start + milliseconds { 400 }).empty());
    const time_point later = start + milliseconds { 600 };
    EXPECT_EQ(room.takeGrants(100, later), grants({ { "a", 1 } }));
    EXPECT_TRUE(room.takeGrants(100, later).empty()) << "one at a time";
    room.remove("a", call_id { 1 });
    EXPECT_TRUE(room.takeGrants(140, later).empty()) << "not more than one and a half times the limit";
}

// Guards against room that stays taken by answers that never come.
TEST(AnswerRoom, IsFreedByCancellationsAndLostLinks)
{
    std::mt19937 random { 3 };
    answer_room room { 1000 };
    std::set<std::pair<std::string, std::uint64_t>> open;
    for (int step = 0; step < 20'000; ++step) {
        const std::string node(1, static_cast<char>('a' + random() % 4));
        const std::uint64_t call = random() % 20;
        switch (random() % 8) {
        case 0:
            room.remove(node);
            for (std::uint64_t number = 0; number < 20; ++number)
                open.erase({ node, number });
            break;
        case 1:
        case 2:
            room.remove(node, call_id { call });
            open.erase({ node, call });
            break;
        case 3:
            for (const answer_grant& grant : room.takeGrants(0, start))
                EXPECT_EQ(open.count({ grant.node, grant.call.value() }), 1U);
            break;
        default:
            room.offer(node, call_id { call }, 1 + random() % 300, start);
            open.insert({ node, call });
        }
        EXPECT_LE(room.grantedBytes(), 1000U);
        EXPECT_LE(room.waitingCount(), open.size());
    }
    for (const char* node : { "a", "b", "c", "d" })
        room.remove(node);
    EXPECT_EQ(room.grantedBytes(), 0U);
    EXPECT_EQ(room.waitingCount(), 0U);
}

} // namespace knapweedcroft
