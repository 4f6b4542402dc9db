#include "knapweedcroft/net/large_frame_queue.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] large_frame request(std::uint64_t id, std::size_t bytes)
{
    return { large_frame_kind::request, call_id { id }, std::string(bytes, 'r') };
}

[[nodiscard]] large_frame answer(std::uint64_t id, std::size_t bytes)
{
    return { large_frame_kind::answer, call_id { id }, std::string(bytes, 'a') };
}

} // namespace

TEST(LargeFrameQueue, KeepsTheOrderAndCountsBytes)
{
    large_frame_queue queue;
    queue.push(answer(1, 10));
    queue.push(request(1, 20));
    queue.push(request(2, 30));
    EXPECT_EQ(queue.bytes(), 60U);
    EXPECT_EQ(queue.answerBytes(), 10U);
    const std::vector<call_id> calls { call_id { 1 }, call_id { 2 } };
    EXPECT_EQ(queue.requestedCalls(), calls);
    EXPECT_EQ(queue.pop()->bytes, std::string(10, 'a'));
    EXPECT_EQ(queue.pop()->call, call_id { 1 });
    EXPECT_EQ(queue.bytes(), 30U);
    EXPECT_EQ(queue.answerBytes(), 0U);
    EXPECT_EQ(queue.pop()->call, call_id { 2 });
    EXPECT_FALSE(queue.pop());
    EXPECT_TRUE(queue.empty());
}

// Guards against an answer that is dropped because the peer cancels a request of its own with the same number.
TEST(LargeFrameQueue, RemovesACallOfOneDirectionOnly)
{
    large_frame_queue queue;
    queue.push(answer(1, 10));
    queue.push(request(1, 20));
    queue.erase(large_frame_kind::answer, call_id { 1 });
    queue.erase(large_frame_kind::answer, call_id { 7 });
    EXPECT_EQ(queue.bytes(), 20U);
    EXPECT_EQ(queue.answerBytes(), 0U);
    EXPECT_EQ(queue.pop()->kind, large_frame_kind::request);
}

// Guards against an answer that is sent before its peer has room for it, and against others that wait behind it.
TEST(LargeFrameQueue, HoldsAnOfferedAnswerBack)
{
    large_frame_queue queue;
    large_frame offered = answer(1, 10);
    offered.isOffered = true;
    queue.push(offered);
    queue.push(request(1, 20));
    ASSERT_EQ(queue.offers().size(), 1U);
    EXPECT_EQ(queue.offers().front().bytes, 10U);
    EXPECT_EQ(queue.pop()->kind, large_frame_kind::request);
    EXPECT_FALSE(queue.pop());
    queue.grant(call_id { 7 });
    EXPECT_FALSE(queue.pop());
    queue.grant(call_id { 1 });
    EXPECT_TRUE(queue.offers().empty());
    EXPECT_EQ(queue.pop()->kind, large_frame_kind::answer);
}

TEST(LargeFrameQueue, TakesOverTheFramesOfAnother)
{
    large_frame_queue first;
    large_frame_queue second;
    first.push(answer(1, 10));
    second.push(request(2, 20));
    first.append(second);
    EXPECT_TRUE(second.empty());
    EXPECT_EQ(second.bytes(), 0U);
    EXPECT_EQ(first.bytes(), 30U);
    first.clear();
    EXPECT_EQ(first.bytes() + first.answerBytes(), 0U);
}

} // namespace knapweedcroft
