#include "knapweedcroft/control/change_publisher.hpp"

#include "knapweedcroft/control/text_table.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace knapweedcroft {

[[nodiscard]] static catalogue_entry makeEntry(std::int64_t deadline)
{
    catalogue_entry_fields fields;
    fields.service = "home_visits";
    fields.operation = "book";
    fields.owner = "hyggesnak";
    fields.deadline = milliseconds { deadline };
    return valueOf(catalogue_entry::create(fields));
}

/** @brief Fixture with a log that contains one entry of version 0 and a publisher that changes this entry. */
class change_publisher_test : public testing::Test {
protected:
    change_publisher_test() { append(formatRecord(record("first", noVersion, 10))); }

    [[nodiscard]] static change_record record(const std::string& id, std::int64_t base, std::int64_t deadline)
    {
        return { id, "anna", base, "home_visits.book", makeEntry(deadline) };
    }

    void append(const std::string& payload) { (void)m_state.apply({ m_state.nextOffset(), time_point {}, payload }); }

    void start(std::optional<catalogue_entry> entry, std::optional<std::int64_t> base = std::nullopt)
    {
        m_publisher.emplace(change_request { "home_visits.book", std::move(entry), base, "bo", "mine" });
        m_step = m_publisher->begin();
    }

    /** @brief Lets the publisher read the stream and returns the payload that it appends, or nothing. */
    [[nodiscard]] std::optional<std::string> readAndAppend()
    {
        EXPECT_TRUE(std::holds_alternative<read_stream>(m_step));
        m_step = m_publisher->handleStreamRead(m_state);
        const append_change* change = std::get_if<append_change>(&m_step);
        return change == nullptr ? std::nullopt : std::optional<std::string> { change->payload };
    }

    [[nodiscard]] std::string verdict() const
    {
        const publish_report* report = std::get_if<publish_report>(&m_step);
        return report == nullptr ? "none" : std::string { toString(report->verdict) };
    }

    catalogue_state m_state;
    std::optional<change_publisher> m_publisher;
    publish_step m_step;
};

// Guards against an outcome that is reported before the record was read back.
TEST_F(change_publisher_test, WaitsForOwnRecord)
{
    start(makeEntry(20));
    const std::optional<std::string> payload = readAndAppend();
    ASSERT_TRUE(payload);
    m_step = m_publisher->handleAppendReply(append_reply::accepted, "");
    EXPECT_FALSE(readAndAppend()); // The record is not yet visible.
    EXPECT_EQ(verdict(), "none");
    append(*payload);
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "accepted");
    EXPECT_EQ(std::get<publish_report>(m_step).version, 1);
}

// Guards against a change that lost a race with another operator's change and is not reported as void.
TEST_F(change_publisher_test, ReportsLostRace)
{
    start(makeEntry(20));
    const std::optional<std::string> payload = readAndAppend();
    append(formatRecord(record("theirs", 0, 30)));
    append(payload.value_or(""));
    m_step = m_publisher->handleAppendReply(append_reply::accepted, "");
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "void");
    EXPECT_EQ(std::get<publish_report>(m_step).version, 1);
}

// Guards against a change that is appended again although the first append succeeded and only its response was lost.
TEST_F(change_publisher_test, LooksForLostAnswerBeforeAppendingAgain)
{
    start(makeEntry(20));
    append(readAndAppend().value_or(""));
    m_step = m_publisher->handleAppendReply(append_reply::unknown, "timed out");
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "accepted");
}

// Guards against a change that is abandoned after its first append was lost, and against unlimited retries.
TEST_F(change_publisher_test, AppendsAgainUpToLimit)
{
    start(makeEntry(20));
    const std::optional<std::string> first = readAndAppend();
    for (std::uint32_t count = 1; count < change_publisher::maxAppends; ++count) {
        m_step = m_publisher->handleAppendReply(append_reply::unknown, "timed out");
        EXPECT_EQ(readAndAppend(), first);
    }
    m_step = m_publisher->handleAppendReply(append_reply::refused, "busy");
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "unknown");
}

// Guards against appends that cannot have an effect: the entry already has the requested state, or older records were
// removed from the log.
TEST_F(change_publisher_test, DoesNotAppendWithoutNeed)
{
    start(makeEntry(10));
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "unchanged");
    m_state.skipTo(100);
    start(makeEntry(20));
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "rejected");
}

// Guards against a base version given by the operator that is replaced by the current one.
TEST_F(change_publisher_test, KeepsGivenBaseVersion)
{
    append(formatRecord(record("theirs", 0, 30)));
    start(makeEntry(20), 0);
    append(readAndAppend().value_or(""));
    m_step = m_publisher->handleAppendReply(append_reply::accepted, "");
    EXPECT_FALSE(readAndAppend());
    EXPECT_EQ(verdict(), "void");
}

// Guards against reporting a change that may be in the log as not stored.
TEST_F(change_publisher_test, ReportsWhatIsKnownWhenGivenUp)
{
    start(std::nullopt);
    EXPECT_TRUE(readAndAppend());
    EXPECT_EQ(m_publisher->reportAbandoned().verdict, publish_verdict::unavailable);
    m_step = m_publisher->handleAppendReply(append_reply::refused, "busy");
    EXPECT_EQ(m_publisher->reportAbandoned().verdict, publish_verdict::unavailable);
    m_step = m_publisher->handleAppendReply(append_reply::unknown, "timed out");
    EXPECT_EQ(m_publisher->reportAbandoned().verdict, publish_verdict::unknown);
    m_step = m_publisher->handleAppendReply(append_reply::invalid, "too large");
    EXPECT_EQ(verdict(), "rejected");
}

// Guards against text from the log that injects escape sequences into the operator's terminal.
TEST(TextTable, AlignsAndCleansCells)
{
    text_table table { { "A", "B" } };
    table.add({ "long", "x\x1b[2J" });
    table.add({ "y" });
    EXPECT_EQ(table.format(), "A     B\nlong  x?[2J\ny\n");
}

} // namespace knapweedcroft
