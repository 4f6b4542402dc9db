#include "knapweedcroft/load/effect_audit.hpp"

#include "knapweedcroft/load/load_report.hpp"
#include "knapweedcroft/load/report_comparison.hpp"
#include "test_shape.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace knapweedcroft {

static constexpr const char* bookingKey = "01234567-89ab-7fff-8000-000000000001";

/** @brief A run with one completed booking and matching upstream counts. */
class effect_audit_test : public testing::Test {
protected:
    effect_audit_test()
    {
        m_run.phases = { { "normal", milliseconds {}, milliseconds { 1000 }, 1.0, {} } };
        m_run.actions = { action("home_visits.book", attempt_end::completed, bookingKey) };
        for (const std::string service : { "home_visits", "call_planning", "member_register" }) {
            upstream_counts counts;
            counts.host = service + "-1";
            counts.service = service;
            counts.isKnown = true;
            m_run.before.push_back(counts);
            m_run.after.push_back(counts);
        }
        m_run.after[0].executions["book"] = 1;
        m_run.after[0].keys[bookingKey] = 1;
        m_run.after[1].executions["reserve"] = 1;
        m_run.after[1].keys[std::string { bookingKey } + ".2"] = 1;
        m_run.after[2].executions["lookup"] = 2;
    }

    [[nodiscard]] action_record action(const std::string& entry, attempt_end end, const std::string& key) const
    {
        action_record record;
        record.entry = entryIndex(m_shape, entry);
        record.endedAt = milliseconds { 10 };
        record.end = end;
        record.attempts[static_cast<std::size_t>(end)] = 1;
        record.key = key;
        return record;
    }

    [[nodiscard]] std::string promises() const
    {
        std::string list;
        for (const violation& item : findViolations(m_run, auditEffects(m_shape, m_run)))
            list += item.promise + " ";
        return list;
    }

    shape m_shape = deployedShape("hyggesnak");
    load_run m_run;
};

TEST_F(effect_audit_test, AcceptsARunWithoutFault)
{
    const effect_audit audit = auditEffects(m_shape, m_run);
    EXPECT_EQ(audit.executions, 4U);
    EXPECT_EQ(audit.requiredExecutions, 4U);
    EXPECT_EQ(audit.executionBound, 6U);
    EXPECT_EQ(audit.wastedShare(), 0.0);
    EXPECT_EQ(promises(), "");
    EXPECT_TRUE(findUnexpectedEnds(m_shape, m_run).empty());
}

TEST_F(effect_audit_test, CountsTheExecutionsOfARepeatedKeyOnce)
{
    m_run.actions.push_back(m_run.actions.front());
    EXPECT_EQ(auditEffects(m_shape, m_run).requiredExecutions, 4U);
    EXPECT_EQ(promises(), "");
}

TEST_F(effect_audit_test, CountsWastedExecutions)
{
    m_run.actions.push_back(action("member_register.lookup", attempt_end::timed_out, ""));
    m_run.after[2].executions["lookup"] = 3;
    EXPECT_DOUBLE_EQ(auditEffects(m_shape, m_run).wastedShare(), 0.2);
}

TEST_F(effect_audit_test, FindsRepeatedEffects)
{
    m_run.after[1].keys[std::string { bookingKey } + ".2"] = 2;
    EXPECT_EQ(promises(), "P5 ");
}

// Two upstreams of a service may both have executed the same key.
TEST_F(effect_audit_test, AddsTheEffectsOfAllUpstreamsOfAService)
{
    upstream_counts second = m_run.after[0];
    second.host = "home_visits-2";
    second.executions.clear();
    m_run.before.push_back(m_run.before[0]);
    m_run.after.push_back(second);
    EXPECT_EQ(promises(), "P5 ");
}

TEST_F(effect_audit_test, FindsLostEffectsOfSubCalls)
{
    m_run.after[1].keys.clear();
    EXPECT_EQ(promises(), "lost ");
}

TEST_F(effect_audit_test, DoesNotJudgeLossAfterARestart)
{
    m_run.before[1].executions["reserve"] = 5;
    m_run.after[1].keys.clear();
    EXPECT_EQ(auditEffects(m_shape, m_run).unaudited, std::vector<std::string> { "call_planning-1" });
    EXPECT_EQ(promises(), "");
}

TEST_F(effect_audit_test, FindsRefusedKeysThatTookEffect)
{
    m_run.actions = { action("home_visits.book", attempt_end::refused_not_run, bookingKey) };
    m_run.after[0].unwound["book"] = 4;
    EXPECT_EQ(promises(), "P4 P4 ");
    // A key with another attempt whose outcome the client does not know may have taken effect.
    m_run.actions.push_back(action("home_visits.book", attempt_end::timed_out, bookingKey));
    EXPECT_EQ(promises(), "");
}

TEST_F(effect_audit_test, FindsMoreExecutionsThanTheBudgetAllows)
{
    m_run.after[2].executions["lookup"] = 5;
    EXPECT_EQ(promises(), "P1 ");
}

TEST_F(effect_audit_test, PassesOnFaultsSeenOnTheWay)
{
    m_run.answerFaults = { "call 1: partial" };
    m_run.interfaceFaults = { "call 2: no kind" };
    m_run.after[2].mismatched = 1;
    m_run.after[2].afterLeave = 1;
    EXPECT_EQ(promises(), "P3 P3 P6 interface ");
}

TEST_F(effect_audit_test, FindsCallsThatDidNotEndAsRecorded)
{
    m_run.actions.push_back(action("home_visits.book", attempt_end::rejected, ""));
    m_run.actions.back().expect = expected_answer::refused_not_run;
    EXPECT_TRUE(findUnexpectedEnds(m_shape, m_run).empty());
    m_run.actions.push_back(action("call_planning.list", attempt_end::refused_not_run, ""));
    const std::vector<violation> found = findUnexpectedEnds(m_shape, m_run);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().promise, "expectation");
    EXPECT_NE(found.front().detail.find("call 3 (call_planning.list)"), std::string::npos);
}

/** @brief A run with a lookup every 10 ms, of which some fail. */
class load_report_test : public testing::Test {
protected:
    [[nodiscard]] load_report reportOf(const std::function<bool(std::int64_t)>& isFailed) const
    {
        load_run run;
        run.phases = { { "normal", milliseconds {}, milliseconds { 2000 }, 1.0, {} },
            { "trigger", milliseconds { 2000 }, milliseconds { 4000 }, 3.0, {} },
            { "after", milliseconds { 4000 }, milliseconds { 8000 }, 1.0, {} } };
        for (std::int64_t at = 0; at < 8000; at += 10) {
            action_record record;
            record.entry = entryIndex(m_shape, "member_register.lookup");
            record.phase = at < 2000 ? 0 : at < 4000 ? 1 : 2;
            record.arrivedAt = milliseconds { at };
            record.startedAt = milliseconds { at + m_startDelay };
            record.endedAt = milliseconds { at + 5 };
            record.end = isFailed(at) ? attempt_end::refused_not_run : attempt_end::completed;
            record.attempts[static_cast<std::size_t>(record.end)] = 2;
            run.actions.push_back(record);
        }
        return makeReport(m_shape, run, milliseconds { 1000 });
    }

    shape m_shape = deployedShape("hyggesnak");
    std::int64_t m_startDelay = 0;
};

// Guards against unreported delays of the load tool, which change the generated load.
TEST_F(load_report_test, SaysThatTheLoadToolWasLate)
{
    const auto none = [](std::int64_t) { return false; };
    EXPECT_EQ(formatTable(reportOf(none)).find("too slow"), std::string::npos);
    m_startDelay = 30;
    EXPECT_NE(formatTable(reportOf(none)).find("sent up to 30 ms late"), std::string::npos);
}

TEST_F(load_report_test, MeasuresTheRecoveryFromTheEndOfTheTrigger)
{
    const auto untilThen = [](std::int64_t end) { return [end](std::int64_t at) { return at >= 2000 && at < end; }; };
    EXPECT_EQ(reportOf(untilThen(4000)).all.time, milliseconds { 0 });
    EXPECT_EQ(reportOf(untilThen(4100)).all.time, milliseconds { 500 });
    EXPECT_EQ(reportOf(untilThen(5600)).all.time, milliseconds { 2000 });
    EXPECT_EQ(reportOf(untilThen(8000)).all.time, std::nullopt);
    EXPECT_TRUE(reportOf(untilThen(8000)).all.isMeasured);
    // Recovery requires that goodput does not drop again later.
    EXPECT_EQ(reportOf([](std::int64_t at) { return at >= 6000 && at < 6200; }).all.time, milliseconds { 2500 });
}

TEST_F(load_report_test, CountsByPhaseClassAndEntry)
{
    const load_report report = reportOf([](std::int64_t at) { return at >= 2000 && at < 3000; });
    ASSERT_EQ(report.lines.size(), 9U); // three phases with all, one class and one entry
    const report_line& trigger = report.lines[3];
    EXPECT_EQ(trigger.phase, "trigger");
    EXPECT_EQ(trigger.offered, 200U);
    EXPECT_EQ(trigger.ends[static_cast<std::size_t>(attempt_end::refused_not_run)], 100U);
    EXPECT_DOUBLE_EQ(trigger.goodput(), 50.0);
    EXPECT_NEAR(trigger.oracleRate, 100.0, 1e-6);
    EXPECT_DOUBLE_EQ(trigger.attemptsPerRequest(), 2.0);
    EXPECT_EQ(trigger.latency.at(0.99), milliseconds { 5 });
    EXPECT_EQ(report.lines[4].name, "low");
    EXPECT_EQ(report.lines[5].name, "member_register.lookup");
    EXPECT_NE(formatTable(report).find("recovery: all 0 ms"), std::string::npos);
}

TEST_F(load_report_test, IsReadBackForComparison)
{
    const load_report report = reportOf([](std::int64_t at) { return at >= 2000 && at < 4100; });
    const result<compared_report> read = parseComparedReport("off", nlohmann::json(toJson(report)));
    ASSERT_TRUE(hasValue(read)) << errorOf(read).message;
    EXPECT_EQ(valueOf(read).phases.size(), 3U);
    EXPECT_DOUBLE_EQ(valueOf(read).phases[0].goodput, 100.0);
    EXPECT_EQ(valueOf(read).recoveryMs, 500.0);
    EXPECT_NE(formatComparison({ valueOf(read) }).find("trigger"), std::string::npos);
    EXPECT_FALSE(hasValue(parseComparedReport("off", nlohmann::json::object())));
}

TEST(Percentiles, AreExact)
{
    std::vector<milliseconds> samples;
    for (std::int64_t value = 100; value >= 1; --value)
        samples.emplace_back(value);
    const percentiles sorted { samples };
    EXPECT_EQ(sorted.at(0.5), milliseconds { 50 });
    EXPECT_EQ(sorted.at(0.99), milliseconds { 99 });
    EXPECT_EQ(sorted.at(1.0), milliseconds { 100 });
    EXPECT_EQ(percentiles { {} }.at(0.5), milliseconds {});
}

} // namespace knapweedcroft
