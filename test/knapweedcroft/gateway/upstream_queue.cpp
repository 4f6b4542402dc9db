#include "knapweedcroft/gateway/upstream_queue.hpp"

#include <gtest/gtest.h>

#include <set>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

[[nodiscard]] slot_request request(std::uint64_t id, std::int64_t target, std::int64_t deadline)
{
    slot_request value;
    value.id = id;
    value.entry = "entry";
    value.target = at(target);
    value.deadline = at(deadline);
    return value;
}

[[nodiscard]] std::vector<std::uint64_t> started(const slot_decisions& decisions)
{
    std::vector<std::uint64_t> ids;
    for (const slot_decision& decision : decisions) {
        if (const start_request* start = std::get_if<start_request>(&decision))
            ids.push_back(start->id);
    }
    return ids;
}

[[nodiscard]] std::vector<std::uint64_t> refused(const slot_decisions& decisions)
{
    std::vector<std::uint64_t> ids;
    for (const slot_decision& decision : decisions) {
        if (const refuse_request* refuse = std::get_if<refuse_request>(&decision))
            ids.push_back(refuse->id);
    }
    return ids;
}

using id_list = std::vector<std::uint64_t>;

} // namespace

// The queue of the upstream itself sheds requests at random, so it must never receive more requests than it has slots.
TEST(UpstreamQueue, NeverStartsMoreThanTheSlots)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(2, at(0)));
    EXPECT_EQ(started(queue.offer(request(1, 1000, 2000), at(0))), id_list { 1 });
    EXPECT_EQ(started(queue.offer(request(2, 1000, 2000), at(0))), id_list { 2 });
    EXPECT_TRUE(queue.offer(request(3, 1000, 2000), at(0)).empty());
    EXPECT_EQ(queue.load(at(0)).running, 2U);
    EXPECT_EQ(started(queue.release(1, true, at(50))), id_list { 3 });
}

// A request with a short target latency must not wait behind requests that have more time left.
TEST(UpstreamQueue, StartsWhatIsDueFirst)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    static_cast<void>(queue.offer(request(1, 1000, 2000), at(0)));
    static_cast<void>(queue.offer(request(2, 900, 2000), at(0)));
    static_cast<void>(queue.offer(request(3, 300, 2000), at(0)));
    EXPECT_EQ(started(queue.release(1, true, at(20))), id_list { 3 });
}

TEST(UpstreamQueue, RefusesAtOnceWhatCannotMeetItsDeadline)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    const slot_decisions decisions = queue.offer(request(1, 1, 2), at(0));
    EXPECT_EQ(refused(decisions), id_list { 1 });
    EXPECT_LT(milliseconds {}, std::get<refuse_request>(decisions.front()).retryAfter);
}

// A request that would be late here is refused at once if another upstream can serve it.
TEST(UpstreamQueue, RefusesLateRequestsWithAnAlternativeAtOnce)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    static_cast<void>(queue.offer(request(1, 1000, 2000), at(0)));
    slot_request second = request(2, 25, 2000);
    second.hasAlternative = true;
    EXPECT_EQ(refused(queue.offer(second, at(0))), id_list { 2 });
}

// A request that cannot meet its target latency is held for at most an eighth of it.
TEST(UpstreamQueue, RefusesLateRequestsAfterAnEighthOfTheTarget)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    static_cast<void>(queue.offer(request(1, 1000, 5000), at(0)));
    for (std::uint64_t id = 2; id < 40; ++id)
        static_cast<void>(queue.offer(request(id, 160, 5000), at(0)));
    EXPECT_GT(queue.load(at(0)).queued, 30U);
    EXPECT_FALSE(refused(queue.poll(at(21))).empty());
    EXPECT_LT(queue.load(at(0)).queued, 10U);
}

// A sub-call waits until its deadline becomes unreachable, because refusing it wastes the work done for its caller.
TEST(UpstreamQueue, KeepsSubCallsUntilTheirDeadline)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    static_cast<void>(queue.offer(request(1, 1000, 5000), at(0)));
    slot_request call = request(2, 25, 700);
    call.isSubCall = true;
    EXPECT_TRUE(queue.offer(call, at(0)).empty());
    EXPECT_TRUE(queue.poll(at(600)).empty());
    EXPECT_EQ(refused(queue.poll(at(695))), id_list { 2 });
}

TEST(UpstreamQueue, RefusesAllForALeavingUpstream)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    for (std::uint64_t id = 1; id <= 3; ++id)
        static_cast<void>(queue.offer(request(id, 1000, 5000), at(0)));
    EXPECT_EQ(refused(queue.refuseAll(refusal_reason::draining, at(0))), (id_list { 2, 3 }));
    EXPECT_EQ(queue.load(at(0)).queued, 0U);
    EXPECT_EQ(queue.load(at(0)).running, 1U);
}

TEST(UpstreamQueue, WithdrawsWaitingAndRunningRequests)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    for (std::uint64_t id = 1; id <= 3; ++id)
        static_cast<void>(queue.offer(request(id, 1000, 5000), at(0)));
    EXPECT_TRUE(queue.release(2, false, at(1)).empty());
    EXPECT_EQ(started(queue.release(1, false, at(2))), id_list { 3 });
    EXPECT_EQ(queue.serviceTime("entry"), milliseconds { 20 });
}

// If each new request postponed the wake-up, queued requests would never be reevaluated under load.
TEST(UpstreamQueue, IsDueAtAFixedTimeAfterTheLastReview)
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(1, at(0)));
    static_cast<void>(queue.poll(at(100)));
    static_cast<void>(queue.offer(request(1, 1000, 5000), at(101)));
    EXPECT_FALSE(queue.nextWakeup());
    static_cast<void>(queue.offer(request(2, 1000, 5000), at(110)));
    static_cast<void>(queue.offer(request(3, 1000, 5000), at(115)));
    ASSERT_TRUE(queue.nextWakeup());
    EXPECT_EQ(*queue.nextWakeup(), at(120));
}

// --- upstreams that name a rate

namespace {

// Queue of an upstream with 80 slots that has just named a rate of 10 requests per second.
[[nodiscard]] upstream_queue makeLimitedQueue()
{
    upstream_queue queue { 1 };
    static_cast<void>(queue.setSlots(80, at(0)));
    static_cast<void>(queue.setRate(10.0, at(0)));
    return queue;
}

} // namespace

TEST(UpstreamQueue, StartsRequestsAtTheNamedRate)
{
    upstream_queue queue = makeLimitedQueue();
    for (std::uint64_t id = 1; id <= 3; ++id)
        EXPECT_TRUE(queue.offer(request(id, 1000, 2000), at(0)).empty());
    EXPECT_TRUE(queue.poll(at(99)).empty());
    EXPECT_EQ(queue.nextWakeup(), at(100));
    EXPECT_EQ(started(queue.poll(at(100))), id_list { 1 });
    // A free slot starts nothing before its time.
    EXPECT_TRUE(queue.release(1, true, at(150)).empty());
    EXPECT_EQ(started(queue.poll(at(200))), id_list { 2 });
    EXPECT_EQ(started(queue.setRate(std::nullopt, at(201))), id_list { 3 });
}

// Guards against requests that wait for a limited upstream although another one is free.
TEST(UpstreamQueue, SendsRequestsWithAnAlternativeAwayFromALimitedUpstream)
{
    upstream_queue queue = makeLimitedQueue();
    slot_request first = request(1, 880, 2000);
    first.hasAlternative = true;
    EXPECT_FALSE(queue.isTooSlowFor(first, at(0)));
    static_cast<void>(queue.offer(first, at(0)));
    slot_request second = request(2, 880, 2000);
    second.hasAlternative = true;
    EXPECT_TRUE(queue.isTooSlowFor(second, at(0)));
    second.hasAlternative = false;
    EXPECT_FALSE(queue.isTooSlowFor(second, at(0)));
    // A lower rate sends away what waits already.
    EXPECT_EQ(refused(queue.setRate(1.0, at(10))), id_list { 1 });
}

// Guards against calls that wait until their deadline for an upstream that cannot take them before.
TEST(UpstreamQueue, RefusesSubCallsThatALimitedUpstreamCannotTakeInTime)
{
    upstream_queue queue = makeLimitedQueue();
    std::size_t refusals = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        slot_request call = request(id, 300, 700);
        call.isSubCall = true;
        refusals += refused(queue.offer(call, at(0))).size();
    }
    EXPECT_EQ(refusals, 14U);
    EXPECT_EQ(queue.load(at(0)).queued, 6U);
}

TEST(UpstreamQueue, ReportsTheDelayAndTheCapacityOfALimitedUpstream)
{
    upstream_queue queue = makeLimitedQueue();
    static_cast<void>(queue.offer(request(1, 1000, 2000), at(0)));
    EXPECT_EQ(queue.load(at(30)).startDelay, milliseconds { 170 });
    EXPECT_EQ(queue.load(at(30)).rate, 10.0);
    EXPECT_DOUBLE_EQ(queue.usableSlots(), 0.2);
    static_cast<void>(queue.setRate(std::nullopt, at(30)));
    EXPECT_DOUBLE_EQ(queue.usableSlots(), 80.0);
}

} // namespace knapweedcroft
