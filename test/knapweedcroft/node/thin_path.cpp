#include "knapweedcroft/node/node_group.hpp"
#include "knapweedcroft/node/shapes.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds joinTime { 8000 }; // for links, leases and the ramp-up after a cold start
static constexpr milliseconds settleTime { 5000 };

[[nodiscard]] static const chart_set& testCharts()
{
    static const chart_set charts = valueOf(loadCharts(std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts"));
    return charts;
}

/** @brief Settings with a client timeout of 10 s and no retries, so that every call must be answered exactly once. */
[[nodiscard]] static group_settings hyggesnakSettings(std::uint64_t seed)
{
    group_settings settings;
    settings.shape = hyggesnakShape();
    settings.client.timeout = milliseconds { 10'000 };
    settings.client.retries = 0;
    settings.seed = seed;
    return settings;
}

/** @brief Returns the number of calls in the call tree of a request to an entry. */
[[nodiscard]] static std::uint32_t treeSize(const std::string& entry)
{
    static const std::map<std::string, std::uint32_t> sizes { { "home_visits.book", 4 }, { "call_planning.reserve", 2 },
        { "call_planning.day_list", 3 }, { "call_planning.list", 2 }, { "call_diary.last_notes", 1 },
        { "member_register.lookup", 1 } };
    return sizes.at(entry);
}

static void expectEachAnsweredOnce(const node_group& group)
{
    for (const request_record& request : group.requests()) {
        EXPECT_EQ(request.answers, 1U);
        EXPECT_FALSE(request.hasMismatchedAnswer);
    }
    EXPECT_EQ(group.unanswered(), 0U);
    EXPECT_EQ(group.duplicateAnswers(), 0U);
    EXPECT_EQ(group.inFlight(), 0U);
}

static void expectBoundedExecutions(const node_group& group, const group_shape& shape)
{
    for (const request_record& request : group.requests()) {
        const catalogue_entry& entry = shape.catalogue[request.entry];
        EXPECT_LE(request.executions, treeSize(entry.name()) + entry.retryBudget()) << entry.name();
        if (request.outcome && std::holds_alternative<refused_not_run>(*request.outcome)) {
            EXPECT_EQ(request.executions, 0U) << entry.name();
        }
    }
    for (const std::pair<const std::string, std::uint64_t>& effect : group.effects())
        EXPECT_EQ(effect.second, 1U) << effect.first;
}

} // namespace internal

class thin_path : public testing::TestWithParam<std::uint64_t> { };

// Guards against calls that are never answered, answered twice, or answered with the response of another call.
TEST_P(thin_path, EachCallOfATraceGetsItsOwnAnswerOnce)
{
    node_group group { internal::hyggesnakSettings(GetParam()), internal::testCharts() };
    group.run(internal::joinTime);
    group.setDemand(0.2);
    group.run(milliseconds { 2000 });
    group.setDemand(0.0);
    group.run(internal::settleTime);
    EXPECT_GT(group.requests().size(), 100U);
    internal::expectEachAnsweredOnce(group);
    for (const request_record& request : group.requests())
        EXPECT_TRUE(request.isSuccessful());
}

// Guards against refused calls that ran, and against retries that multiply along the call chain.
TEST_P(thin_path, AttemptsStayBoundedUnderOverload)
{
    const group_settings settings = internal::hyggesnakSettings(GetParam());
    node_group group { settings, internal::testCharts() };
    group.run(internal::joinTime);
    group.setDemand(6.0);
    group.setSlow("member_register", 5.0);
    group.run(milliseconds { 2000 });
    group.setDemand(0.0);
    group.run(internal::settleTime);
    internal::expectEachAnsweredOnce(group);
    internal::expectBoundedExecutions(group, settings.shape);
}

// Guards against calls that are lost, run twice or never answered when nodes freeze, links fail and a node leaves.
TEST_P(thin_path, FaultsLeaveNoCallWithoutAnAnswer)
{
    const group_settings settings = internal::hyggesnakSettings(GetParam());
    node_group group { settings, internal::testCharts() };
    group.run(internal::joinTime);
    group.setDemand(1.0);
    group.after(milliseconds { 300 }, [&] { group.blockLink("home_visits-1", "member_register-2"); });
    group.after(milliseconds { 500 }, [&] { group.makeLinkSilent("call_planning-1", "member_register-1"); });
    group.after(milliseconds { 700 }, [&] { group.freeze("call_planning-3", milliseconds { 900 }); });
    group.after(milliseconds { 900 }, [&] { group.freeze("home_visits-3", milliseconds { 4000 }); });
    group.after(milliseconds { 1500 }, [&] { group.restoreLink("home_visits-1", "member_register-2"); });
    group.after(milliseconds { 1800 }, [&] { group.leave("call_planning-2"); });
    group.run(milliseconds { 4000 });
    group.setDemand(0.0);
    group.run(milliseconds { 10'000 });
    internal::expectEachAnsweredOnce(group);
    internal::expectBoundedExecutions(group, settings.shape);
}

// Guards against a drain that cancels calls in flight or admits new ones.
TEST_P(thin_path, LeavingUpstreamEndsItsCallsAndGetsNoNewOnes)
{
    group_settings settings = internal::hyggesnakSettings(GetParam());
    node_group group { settings, internal::testCharts() };
    std::map<node_name, time_point> lastDispatch;
    group.observe({ [&](const node_name& name, const node_event&, const node_actions& actions, time_point now) {
        for (const node_action& action : actions) {
            if (std::holds_alternative<dispatch_call>(action))
                lastDispatch[name] = now;
        }
    } });
    group.run(internal::joinTime);
    group.setDemand(1.0);
    group.run(milliseconds { 1000 });
    const time_point asked = group.now();
    for (const char* name : { "home_visits-2", "call_planning-3", "member_register-1", "call_diary-4" })
        group.leave(name);
    group.run(milliseconds { 4000 });
    group.setDemand(0.0);
    group.run(internal::settleTime);
    for (const char* name : { "home_visits-2", "call_planning-3", "member_register-1", "call_diary-4" }) {
        ASSERT_TRUE(group.leftAt(name)) << name;
        EXPECT_LT(*group.leftAt(name) - asked, milliseconds { 2000 }) << name;
        EXPECT_LT(lastDispatch[name] - asked, milliseconds { 10 }) << name;
        EXPECT_EQ(group.upstream(name).afterLeave, 0U) << name;
        EXPECT_EQ(group.upstream(name).cancelled, 0U) << name;
    }
    internal::expectEachAnsweredOnce(group);
    internal::expectBoundedExecutions(group, settings.shape);
    for (const request_record& request : group.requests())
        EXPECT_TRUE(request.isSuccessful()) << settings.shape.catalogue[request.entry].name();
}

INSTANTIATE_TEST_SUITE_P(Seeds, thin_path, testing::Values(1U, 2U, 3U));

// Guards against sub-calls that start a new action with its own retry budget, class and deadline.
TEST(ThinPath, SubCallsBelongToTheActionOfTheirCaller)
{
    node_group group { internal::hyggesnakSettings(1), internal::testCharts() };
    std::vector<call_context> contexts;
    group.observe({ [&](const node_name&, const node_event&, const node_actions& actions, time_point) {
        for (const node_action& action : actions) {
            if (const dispatch_call* dispatched = std::get_if<dispatch_call>(&action))
                contexts.push_back(dispatched->context);
        }
    } });
    group.run(internal::joinTime);
    group.send("home_visits.book");
    group.run(milliseconds { 1000 });
    std::vector<std::uint32_t> depths;
    for (const call_context& context : contexts) {
        EXPECT_EQ(context.action, contexts.front().action);
        EXPECT_EQ(context.importance, call_class::critical);
        EXPECT_LE(context.deadline, contexts.front().deadline);
        depths.push_back(context.depth);
    }
    EXPECT_EQ(depths, (std::vector<std::uint32_t> { 0, 1, 1, 2 }));
}

// Guards against an upstream left idle by a lowered concurrency limit, because a service deeper in the call tree
// refuses its sub-calls.
TEST(ThinPath, RefusedSubCallsDoNotLowerTheLimitOfTheirCaller)
{
    node_group group { internal::hyggesnakSettings(1), internal::testCharts() };
    group.run(internal::joinTime);
    group.setDemand(2.0);
    group.run(milliseconds { 1000 });
    const nlohmann::json warm = group.describe("call_planning-1")["limit"];
    group.setDemand(6.0);
    group.setSlow("member_register", 5.0);
    group.run(milliseconds { 2000 });
    EXPECT_EQ(group.upstream("call_planning-1").shed, 0U);
    EXPECT_GE(group.describe("call_planning-1")["limit"], warm);
}

// Guards against a booking that takes effect twice because its client retried it.
TEST(ThinPath, RepeatOfAKeyJoinsOrReplays)
{
    node_group group { internal::hyggesnakSettings(1), internal::testCharts() };
    group.run(internal::joinTime);
    const std::string key = "booking-0000017";
    const std::size_t booking = group.send("home_visits.book", "call_diary-1", key);
    group.run(milliseconds { 20 });
    group.resend(booking, "home_visits-2");
    group.run(milliseconds { 1000 });
    EXPECT_EQ(group.requests()[booking].answers, 2U);
    group.resend(booking, "member_register-3");
    group.run(milliseconds { 1000 });
    EXPECT_EQ(group.requests()[booking].answers, 3U);
    EXPECT_TRUE(group.requests()[booking].isSuccessful());
    EXPECT_FALSE(group.requests()[booking].hasMismatchedAnswer);
    EXPECT_EQ(group.executions(), 4U);
    EXPECT_EQ(group.effects().at(key), 1U);
}

// Guards against a key that is reused for another request and gets the answer of the first one.
TEST(ThinPath, KeyOfAnotherRequestIsRefused)
{
    node_group group { internal::hyggesnakSettings(1), internal::testCharts() };
    group.run(internal::joinTime);
    const std::string key = "booking-0000017";
    group.send("home_visits.book", "call_diary-1", key);
    group.run(milliseconds { 1000 });
    const std::size_t other = group.send("home_visits.book", "home_visits-2", key);
    group.run(milliseconds { 1000 });
    ASSERT_TRUE(group.requests()[other].outcome);
    const refused_not_run* refusal = std::get_if<refused_not_run>(&*group.requests()[other].outcome);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason, refusal_reason::key_conflict);
}

} // namespace knapweedcroft
