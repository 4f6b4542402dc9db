#include "knapweedcroft/idempotency/key_table.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

class key_table_test : public testing::Test {
protected:
    key_table_test() { settings.maxKeys = 2; }

    [[nodiscard]] key_decision admit(key_table& table, const std::string& key, std::uint64_t bodyHash = 1) const
    {
        return table.admit(key, "book", bodyHash, window, now);
    }

    template <typename Alternative> [[nodiscard]] bool is(const key_decision& decision) const
    {
        return std::holds_alternative<Alternative>(decision);
    }

    [[nodiscard]] static refusal_reason reasonOf(const key_decision& decision)
    {
        return std::get<refuse_key>(decision).refusal.reason;
    }

    idempotency_settings settings;
    milliseconds window { 10'000 };
    time_point now;
    const answered bookedAnswer { 201, "text/plain", "booked" };
};

TEST_F(key_table_test, RunsOnceAndReplays)
{
    key_table table { settings };
    EXPECT_TRUE(is<run_key>(admit(table, "key-0001")));
    EXPECT_TRUE(is<join_key>(admit(table, "key-0001")));
    table.markRunning("key-0001");
    EXPECT_EQ(reasonOf(admit(table, "key-0001", 2)), refusal_reason::key_conflict);
    EXPECT_EQ(table.resolve("key-0001", bookedAnswer, now), resolve_outcome::recorded);
    table.resolve("key-0001", failed_after_start { "late" }, now);
    EXPECT_EQ(std::get<replay_key>(admit(table, "key-0001")).outcome, call_result { bookedAnswer });
    now = now + window + settings.timestampMargin();
    EXPECT_TRUE(is<run_key>(admit(table, "key-0001")));
    EXPECT_EQ(table.resolve("key-0001", refused_not_run {}, now), resolve_outcome::removed);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.answerBytes(), 0U);
}

// Guards against eviction of an unexpired key from a full table, after which a retry would run the call again.
TEST_F(key_table_test, FullTableRefusesNewKeys)
{
    key_table table { settings };
    EXPECT_TRUE(is<run_key>(admit(table, "key-0001")));
    EXPECT_TRUE(is<run_key>(admit(table, "key-0002")));
    EXPECT_EQ(reasonOf(admit(table, "key-0003")), refusal_reason::key_table_full);
    table.importRecord({ "key-0004", "book", 1, window, false, bookedAnswer }, now);
    EXPECT_TRUE(is<replay_key>(admit(table, "key-0004")));
    EXPECT_TRUE(is<join_key>(admit(table, "key-0001")));
}

TEST_F(key_table_test, AnswerBeyondBoundIsReplaced)
{
    settings.maxAnswerBytes = 3;
    key_table table { settings };
    EXPECT_TRUE(is<run_key>(admit(table, "key-0001")));
    table.resolve("key-0001", bookedAnswer, now);
    const call_result outcome = std::get<replay_key>(admit(table, "key-0001")).outcome;
    EXPECT_EQ(std::get<answered>(outcome).status, bookedAnswer.status);
    EXPECT_NE(std::get<answered>(outcome).body.find("answer_not_kept"), std::string::npos);
    EXPECT_TRUE(is<run_key>(admit(table, "key-0002")));
    EXPECT_EQ(table.resolve("key-0002", failed_after_start { "x" }, now), resolve_outcome::recorded);
}

TEST_F(key_table_test, HandsKeysOver)
{
    key_table sender { settings };
    key_table receiver { settings };
    EXPECT_TRUE(is<run_key>(admit(sender, "key-0001")));
    EXPECT_TRUE(is<run_key>(admit(sender, "key-0002")));
    sender.resolve("key-0001", bookedAnswer, now);
    const std::vector<key_record> records = sender.exportMoved([](const std::string&) { return true; }, now);
    ASSERT_EQ(records.size(), 2U);
    EXPECT_TRUE(sender.exportMoved([](const std::string&) { return true; }, now).empty());
    EXPECT_EQ(reasonOf(admit(sender, "key-0001")), refusal_reason::not_holder);
    EXPECT_FALSE(sender.contains("key-0001"));
    for (const key_record& record : records)
        receiver.importRecord(record, now);
    EXPECT_EQ(std::get<replay_key>(admit(receiver, "key-0001")).outcome, call_result { bookedAnswer });
    const call_result pending = std::get<replay_key>(admit(receiver, "key-0002")).outcome;
    EXPECT_GT(std::get<outcome_unknown>(pending).retryAfter, milliseconds {});
    EXPECT_EQ(sender.resolve("key-0002", bookedAnswer, now), resolve_outcome::handed_over);
    receiver.importRecord({ "key-0002", "book", 1, window, false, bookedAnswer }, now);
    EXPECT_EQ(std::get<replay_key>(admit(receiver, "key-0002")).outcome, call_result { bookedAnswer });
}

} // namespace knapweedcroft
