#include "knapweedcroft/admission/admission_controller.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

namespace knapweedcroft {

static const time_point s_start { milliseconds { 1000 } };

[[nodiscard]] static admission_request request(
    std::uint64_t id, call_class importance, std::int64_t deadline = 10000, std::uint32_t entryLimit = 0)
{
    return { call_id { id }, priority { importance, id }, s_start + milliseconds { deadline }, "s.op", entryLimit };
}

[[nodiscard]] static std::vector<std::uint64_t> startedCalls(const admission_decisions& decisions)
{
    std::vector<std::uint64_t> ids;
    for (const admission_decision& decision : decisions) {
        if (const start_call* start = std::get_if<start_call>(&decision))
            ids.push_back(start->id.value());
    }
    return ids;
}

[[nodiscard]] static std::vector<std::pair<std::uint64_t, refusal_reason>> refusedCalls(
    const admission_decisions& decisions)
{
    std::vector<std::pair<std::uint64_t, refusal_reason>> refusals;
    for (const admission_decision& decision : decisions) {
        if (const refuse_call* refusal = std::get_if<refuse_call>(&decision))
            refusals.emplace_back(refusal->id.value(), refusal->reason);
    }
    return refusals;
}

using ids = std::vector<std::uint64_t>;
using refusals = std::vector<std::pair<std::uint64_t, refusal_reason>>;

class admission_controller_test : public testing::Test {
protected:
    /** @brief Occupies the only slot with call 1 and fills the queue, bounded at two calls, with calls 2 and 3. */
    void fillSlotAndQueue(admission_controller& controller)
    {
        EXPECT_TRUE(controller.setSlots(1, s_start).empty());
        EXPECT_EQ(startedCalls(controller.offer(request(1, call_class::low), s_start)), ids { 1 });
        EXPECT_TRUE(controller.offer(request(2, call_class::low), s_start).empty());
        EXPECT_TRUE(controller.offer(request(3, call_class::low), s_start).empty());
    }

    static admission_settings settings()
    {
        admission_settings values;
        values.queueBound = milliseconds { 20 }; // two calls at the initial service time and one slot
        values.thresholdValidity = milliseconds { 200 };
        return values;
    }

    admission_controller m_controller { settings(), 1 };
};

// Guards against priority inversion: the least important call is evicted first, the most important one starts first.
TEST_F(admission_controller_test, OrdersByPriority)
{
    fillSlotAndQueue(m_controller);
    EXPECT_FALSE(m_controller.threshold(s_start));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(4, call_class::critical), s_start)),
        (refusals { { 3, refusal_reason::overloaded } }));
    EXPECT_EQ(m_controller.threshold(s_start), priority(call_class::low, 3));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(5, call_class::low), s_start)),
        (refusals { { 5, refusal_reason::overloaded } }));
    EXPECT_EQ(m_controller.thresholdValidity(s_start + milliseconds { 50 }), milliseconds { 150 });
    EXPECT_FALSE(m_controller.threshold(s_start + milliseconds { 200 }));
    EXPECT_EQ(m_controller.thresholdValidity(s_start + milliseconds { 200 }), milliseconds {});
    EXPECT_EQ(startedCalls(m_controller.complete(call_id { 1 }, completion::finished, s_start + milliseconds { 1 })),
        ids { 4 });
    EXPECT_EQ(m_controller.running(), 1U);
    EXPECT_EQ(m_controller.queued(), 1U);
}

// Guards against wasted work: a sub-call must not be evicted in favour of a root call of the same class, since other
// sub-calls of its action may already have run.
TEST_F(admission_controller_test, KeepsInvestedWorkWithinItsClass)
{
    fillSlotAndQueue(m_controller);
    admission_request deep = request(9, call_class::low);
    deep.depth = 1;
    EXPECT_EQ(refusedCalls(m_controller.offer(deep, s_start)), (refusals { { 3, refusal_reason::overloaded } }));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(4, call_class::low), s_start)),
        (refusals { { 4, refusal_reason::overloaded } }));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(5, call_class::normal), s_start)),
        (refusals { { 2, refusal_reason::overloaded } }));
    EXPECT_EQ(startedCalls(m_controller.complete(call_id { 1 }, completion::finished, s_start)), ids { 5 });
}

// Guards against a threshold that is relaxed by the eviction of a call below it, sent by a node that had not received
// the threshold yet.
TEST_F(admission_controller_test, UnimportantEvictionsDoNotLiftTheThreshold)
{
    fillSlotAndQueue(m_controller);
    for (const std::uint64_t id : { 4, 5, 6 })
        static_cast<void>(m_controller.offer(request(id, call_class::critical), s_start));
    const std::optional<priority> strict = m_controller.threshold(s_start);
    static_cast<void>(m_controller.offer(request(7, call_class::low), s_start));
    EXPECT_EQ(m_controller.threshold(s_start), strict);
    EXPECT_LT(*strict, *m_controller.threshold(s_start + milliseconds { 50 }));
}

// Guards against priority inversion over time: a critical call must not be evicted within 100 ms of the start of a less
// important one, nor a less important one started within 100 ms of the eviction of a critical call.
TEST_F(admission_controller_test, EvictionKeepsClassOrder)
{
    fillSlotAndQueue(m_controller);
    for (const std::uint64_t id : { 4, 5 })
        EXPECT_EQ(refusedCalls(m_controller.offer(request(id, call_class::critical), s_start)).size(), 1U);
    EXPECT_TRUE(m_controller.offer(request(6, call_class::critical), s_start + milliseconds { 100 }).empty());
    const time_point later = s_start + milliseconds { 101 };
    EXPECT_EQ(refusedCalls(m_controller.offer(request(7, call_class::critical), later)),
        (refusals { { 7, refusal_reason::overloaded }, { 6, refusal_reason::overloaded } }));
    for (const std::uint64_t id : { 1, 4, 5 })
        static_cast<void>(m_controller.complete(call_id { id }, completion::finished, later));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(8, call_class::low), later)),
        (refusals { { 8, refusal_reason::overloaded } }));
    EXPECT_EQ(startedCalls(m_controller.offer(request(9, call_class::low), later + milliseconds { 101 })), ids { 9 });
}

TEST_F(admission_controller_test, OrdersByArrivalIfAsked)
{
    admission_settings values = settings();
    values.order = arrival_order {};
    admission_controller controller { values, 1 };
    fillSlotAndQueue(controller);
    EXPECT_EQ(refusedCalls(controller.offer(request(4, call_class::critical), s_start)),
        (refusals { { 4, refusal_reason::overloaded } }));
    EXPECT_FALSE(controller.threshold(s_start));
    EXPECT_EQ(startedCalls(controller.complete(call_id { 1 }, completion::finished, s_start)), ids { 2 });
}

// Guards against calls that run although they would end after their deadline.
TEST_F(admission_controller_test, RefusesUnreachableDeadlines)
{
    EXPECT_TRUE(m_controller.setSlots(1, s_start).empty());
    EXPECT_EQ(startedCalls(m_controller.offer(request(1, call_class::low), s_start)), ids { 1 });
    EXPECT_TRUE(m_controller.complete(call_id { 1 }, completion::finished, s_start + milliseconds { 10 }).empty());
    const time_point now = s_start + milliseconds { 10 };
    EXPECT_EQ(startedCalls(m_controller.offer(request(2, call_class::low), now)), ids { 2 });
    EXPECT_EQ(refusedCalls(m_controller.offer(request(3, call_class::low, 19), now)),
        (refusals { { 3, refusal_reason::deadline_unreachable } }));
    EXPECT_TRUE(m_controller.offer(request(4, call_class::low, 40), now).empty());
    ASSERT_TRUE(m_controller.nextWakeup());
    EXPECT_TRUE(m_controller.poll(now).empty());
    EXPECT_EQ(refusedCalls(m_controller.poll(*m_controller.nextWakeup())),
        (refusals { { 4, refusal_reason::deadline_unreachable } }));
    EXPECT_FALSE(m_controller.nextWakeup());
}

// Guards against an overestimated service time, here after a time-out, that refuses every call and so gets no sample to
// correct it.
TEST_F(admission_controller_test, KeepsTryingAfterTimeOuts)
{
    EXPECT_TRUE(m_controller.setSlots(1, s_start).empty());
    EXPECT_EQ(startedCalls(m_controller.offer(request(1, call_class::low), s_start)), ids { 1 });
    const time_point now = s_start + milliseconds { 5000 };
    EXPECT_TRUE(m_controller.complete(call_id { 1 }, completion::timed_out, now).empty());
    EXPECT_EQ(startedCalls(m_controller.offer(request(2, call_class::low, 5100), now)), ids { 2 });
}

// Guards against an entry that exceeds its concurrency limit, or whose blocked calls keep other entries from free
// slots.
TEST_F(admission_controller_test, KeepsTheLimitOfAnEntry)
{
    EXPECT_TRUE(m_controller.setSlots(3, s_start).empty());
    EXPECT_EQ(startedCalls(m_controller.offer(request(1, call_class::high, 10000, 1), s_start)), ids { 1 });
    EXPECT_TRUE(m_controller.offer(request(3, call_class::high, 10000, 1), s_start).empty());
    EXPECT_TRUE(m_controller.offer(request(2, call_class::high, 10000, 1), s_start).empty());
    EXPECT_EQ(startedCalls(m_controller.offer(request(4, call_class::low), s_start)), ids { 4 });
    EXPECT_EQ(startedCalls(m_controller.complete(call_id { 1 }, completion::finished, s_start)), ids { 2 });
    EXPECT_TRUE(m_controller.cancel(call_id { 3 }, s_start).empty());
    EXPECT_EQ(m_controller.queued(), 0U);
}

TEST_F(admission_controller_test, RefusesWhenUnavailableOrDraining)
{
    EXPECT_EQ(refusedCalls(m_controller.offer(request(9, call_class::critical), s_start)),
        (refusals { { 9, refusal_reason::no_upstream } }));
    fillSlotAndQueue(m_controller);
    EXPECT_EQ(refusedCalls(m_controller.setSlots(0, s_start)),
        (refusals { { 2, refusal_reason::no_upstream }, { 3, refusal_reason::no_upstream } }));
    EXPECT_TRUE(m_controller.setSlots(1, s_start).empty());
    EXPECT_TRUE(m_controller.offer(request(4, call_class::low), s_start).empty());
    EXPECT_EQ(refusedCalls(m_controller.stopAccepting(s_start)), (refusals { { 4, refusal_reason::draining } }));
    EXPECT_EQ(refusedCalls(m_controller.offer(request(5, call_class::low), s_start)),
        (refusals { { 5, refusal_reason::draining } }));
    EXPECT_EQ(m_controller.running(), 1U);
}

// Guards against a call that gets no decision or two, and against more running calls than slots.
TEST(AdmissionController, DecidesEachCallOnce)
{
    const bool isHolding = rc::check("each call has one decision", [] {
        admission_controller controller { admission_settings {}, 3 };
        std::map<std::uint64_t, int> decided;
        std::vector<std::uint64_t> running;
        std::uint64_t cancelled = 0;
        const auto apply = [&](const admission_decisions& decisions) {
            for (const std::uint64_t id : startedCalls(decisions)) {
                ++decided[id];
                running.push_back(id);
            }
            for (const std::pair<std::uint64_t, refusal_reason>& refusal : refusedCalls(decisions))
                ++decided[refusal.first];
        };
        time_point now = s_start;
        apply(controller.setSlots(4, now));
        const int steps = 300;
        for (int step = 1; step <= steps; ++step) {
            now = now + milliseconds { *rc::gen::inRange(0, 4) };
            const std::uint64_t id = static_cast<std::uint64_t>(step);
            const call_class importance = static_cast<call_class>(*rc::gen::inRange(0, 4));
            apply(
                controller.offer(request(id, importance, *rc::gen::inRange(1, 1200), *rc::gen::element(0U, 2U)), now));
            RC_ASSERT(controller.running() <= 4U);
            RC_ASSERT(controller.running() == running.size());
            if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
                const std::uint64_t ended = running.front();
                running.erase(running.begin());
                apply(controller.complete(
                    call_id { ended }, *rc::gen::element(completion::finished, completion::shed), now));
            }
            const std::uint64_t victim = static_cast<std::uint64_t>(*rc::gen::inRange(1, step + 1));
            if (decided[victim] == 0 && *rc::gen::inRange(0, 10) == 0) {
                apply(controller.cancel(call_id { victim }, now));
                decided[victim] = 1;
                ++cancelled;
            }
            apply(controller.poll(now));
        }
        apply(controller.setSlots(0, now));
        RC_ASSERT(controller.queued() == 0U);
        for (int step = 1; step <= steps; ++step)
            RC_ASSERT(decided[static_cast<std::uint64_t>(step)] == 1);
    });
    EXPECT_TRUE(isHolding);
}

} // namespace knapweedcroft
