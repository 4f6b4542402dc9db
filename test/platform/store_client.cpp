#include "store_client.hpp"
#include "fake_store.hpp"
#include "soak/fault_relay.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr milliseconds testTimeout { 10'000 };

} // namespace

class store_client_test : public testing::Test {
protected:
    void start()
    {
        m_reader = std::make_unique<topic_reader>(
            m_loop, m_address.empty() ? m_store.address() : m_address, m_era,
            topic_settings { "keyed.t", m_pollTimeout, {}, m_firstPollDelay }, 1,
            [this](const topic_update& update) {
                m_isComplete = m_isComplete || update.isComplete;
                for (const keyed_record& record : update.records)
                    m_keys.push_back(record.key);
            },
            [this](bool isAvailable) {
                m_isAvailable = isAvailable;
                m_losses += isAvailable ? 0U : 1U;
            });
        m_reader->start();
    }

    template <typename Condition> bool waitFor(Condition&& condition)
    {
        return m_loop.runUntil(condition, testTimeout);
    }

    [[nodiscard]] bool hasKey(const std::string& key) const
    {
        return std::find(m_keys.begin(), m_keys.end(), key) != m_keys.end();
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
    store_era m_era { [this](std::uint64_t era, bool isFirst) {
        m_eras.push_back(era);
        if (!isFirst)
            m_reader->restart();
    } };
    std::vector<std::uint64_t> m_eras;
    milliseconds m_pollTimeout { 2000 };
    milliseconds m_firstPollDelay;
    std::string m_address; /*!< That of the store if empty. */
    std::size_t m_losses = 0; /*!< Times at which the store was reported as unavailable. */
    std::unique_ptr<topic_reader> m_reader;
    std::vector<std::string> m_keys;
    bool m_isComplete = false;
    std::optional<bool> m_isAvailable;
};

TEST_F(store_client_test, ReadsTheNewestOnceAndThenWaitsForMore)
{
    m_store.append("keyed.t", { "a", "value" });
    start();
    ASSERT_TRUE(waitFor([this] { return m_isComplete && m_store.readCalls == 1; }));
    m_store.append("keyed.t", { "b", "value" });
    ASSERT_TRUE(waitFor([this] { return m_keys.size() == 2; }));
    EXPECT_EQ(m_keys, (std::vector<std::string> { "a", "b" }));
    EXPECT_EQ(m_store.snapshotCalls, 1U);
}

// Guards against a poll on a connection that has fallen silent during a pause: nothing but its timeout would tell, and
// changes would be in force too late.
TEST_F(store_client_test, PollsOnANewConnectionAfterAPause)
{
    fault_relay relay { m_loop, "127.0.0.1", m_store.address() };
    m_address = relay.address();
    m_firstPollDelay = milliseconds { 500 };
    start();
    ASSERT_TRUE(waitFor([this] { return m_isComplete; }));
    relay.silenceConnections();
    m_store.append("keyed.t", { "a", "value" });
    ASSERT_TRUE(waitFor([this] { return hasKey("a"); }));
    EXPECT_EQ(m_losses, 0U);
}

// The store may truncate its history at any time; the reader must then start over from the snapshot.
TEST_F(store_client_test, ReadsAnewWhenTheHistoryIsGone)
{
    m_store.append("keyed.t", { "a", "value" });
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    for (int count = 0; count < 3; ++count)
        m_store.appendWithoutNotify("keyed.t", { "b", "value" });
    m_store.truncateBefore("keyed.t", 3);
    m_store.append("keyed.t", { "c", "value" });
    ASSERT_TRUE(waitFor([this] { return !m_keys.empty() && m_keys.back() == "c"; }));
}

TEST_F(store_client_test, GoesOnAfterAnOutage)
{
    m_store.failureStatus = 503;
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.snapshotCalls >= 3; }));
    EXPECT_EQ(m_isAvailable, false);
    m_store.failureStatus.reset();
    m_store.append("keyed.t", { "a", "value" });
    ASSERT_TRUE(waitFor([this] { return m_isComplete; }));
    EXPECT_EQ(m_isAvailable, true);
}

// The store came back from an older copy, and its offsets are past the reader's again before the reader asks. Comparing
// offsets alone misses the records that were written in place of the lost ones.
TEST_F(store_client_test, ReadsAnewWhenTheStoreReturnsFromAnOlderCopy)
{
    m_store.append("keyed.t", { "a", "value" });
    m_store.append("keyed.t", { "lost", "value" });
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    m_store.failureStatus = 503;
    m_store.restoreOlderCopy("keyed.t", 1);
    for (const char* key : { "b", "c", "d" })
        m_store.appendWithoutNotify("keyed.t", { key, "value" });
    m_store.failureStatus.reset();
    ASSERT_TRUE(waitFor([this] { return hasKey("d"); }));
    EXPECT_TRUE(hasKey("b"));
    EXPECT_EQ(m_eras, (std::vector<std::uint64_t> { 1, 2 }));
}

// An offset that does not exist yet gets the same answer as one whose record was deleted.
TEST_F(store_client_test, ReadsAnewWhenItsOffsetIsPastTheEnd)
{
    m_store.era.reset();
    for (const char* key : { "a", "b", "c" })
        m_store.append("keyed.t", { key, "value" });
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    m_store.restoreOlderCopy("keyed.t", 2);
    m_store.era.reset();
    m_store.append("keyed.t", { "d", "value" });
    ASSERT_TRUE(waitFor([this] { return hasKey("d"); }));
}

// A malformed or missing era says nothing about the data, so reading goes on.
TEST_F(store_client_test, GoesOnWithoutAValidEra)
{
    for (const char* era : { "x", "-1", "1 2", "", "99999999999999999999999" }) {
        m_store.era = era;
        EXPECT_EQ(m_era.observe(http_response { 200, { { "Store-Era", era } }, {}, {} }), era_relation::same) << era;
    }
    m_store.era.reset();
    start();
    m_store.append("keyed.t", { "a", "value" });
    ASSERT_TRUE(waitFor([this] { return hasKey("a"); }));
    EXPECT_TRUE(m_eras.empty());
}

// A late answer of an earlier era holds records and offsets that are void.
TEST_F(store_client_test, DiscardsAnAnswerOfAnEarlierEra)
{
    EXPECT_EQ(m_era.observe(http_response { 200, { { "Store-Era", "7" } }, {}, {} }), era_relation::same);
    EXPECT_EQ(m_era.observe(http_response { 200, { { "Store-Era", "6" } }, {}, {} }), era_relation::outdated);
    EXPECT_EQ(m_era.value(), 7U);
}

// A long poll that was sent into an outage ended only after its whole timeout of over 4 s, so a change made right after
// the outage was not in force in time. Reads that follow a failure must not wait for records.
TEST_F(store_client_test, DoesNotLongPollUntilTheStoreAnswersAgain)
{
    m_pollTimeout = milliseconds { 100 };
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    EXPECT_EQ(m_store.lastReadWaitMs, 100);
    m_store.ignoresRequests = true;
    const std::size_t before = m_store.readCalls;
    ASSERT_TRUE(waitFor([this, before] { return m_isAvailable == false && m_store.readCalls > before + 1; }));
    EXPECT_EQ(m_store.lastReadWaitMs, 0);
    m_store.ignoresRequests = false;
    ASSERT_TRUE(waitFor([this] { return m_isAvailable == true && m_store.lastReadWaitMs == 100; }));
}

// A follower makes no calls, and has every record once it reads again.
TEST_F(store_client_test, PausesAndResumes)
{
    m_pollTimeout = milliseconds { 50 };
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    m_reader->setPolling(std::nullopt);
    m_loop.runUntil([] { return false; }, milliseconds { 300 });
    EXPECT_EQ(m_store.readCalls, 1U);
    m_store.append("keyed.t", { "a", "value" });
    m_reader->setPolling(milliseconds { 50 });
    ASSERT_TRUE(waitFor([this] { return hasKey("a"); }));
    EXPECT_EQ(m_store.snapshotCalls, 1U);
}

// A reader that takes over has to confirm at short intervals that the store answers, starting at once and not after the
// read in progress.
TEST_F(store_client_test, ShortensTheReadInProgress)
{
    m_pollTimeout = milliseconds { 3'600'000 };
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    m_reader->setPolling(milliseconds { 20 });
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls >= 3; }));
    EXPECT_EQ(m_store.lastReadWaitMs, 20);
}

// An append without a response is retried until acknowledged; a newer value replaces one that is still pending.
TEST_F(store_client_test, WritesUntilTheStoreTakesIt)
{
    int storedCount = 0;
    record_writer writer { m_loop, m_store.address(), m_era, { "keyed.t", "key" }, [&storedCount] { ++storedCount; } };
    m_store.appendsWithoutResponse = 1;
    writer.write("one");
    ASSERT_TRUE(waitFor([this] { return m_store.appendedBodies.size() == 2; }));
    EXPECT_EQ(m_store.appendedBodies[1], encodeRecord({ "key", "one" }));
    ASSERT_TRUE(waitFor([&storedCount] { return storedCount == 1; }));
    m_store.failureStatus = 429;
    writer.write("two");
    writer.write("three");
    ASSERT_TRUE(waitFor([this] { return m_store.appendCalls >= 5; }));
    EXPECT_EQ(storedCount, 1) << "the store has refused the latest value";
    m_store.failureStatus.reset();
    ASSERT_TRUE(waitFor([this] { return m_store.appendedBodies.back() == encodeRecord({ "key", "three" }); }));
    EXPECT_TRUE(waitFor([&storedCount] { return storedCount == 2; }));
}

// Guards against a write that the store runs seconds later, after it has acknowledged a newer value: a record from
// before a leave would replace the one that holds the leave (DRAIN).
TEST_F(store_client_test, KeepsTheNewestValueWhenAnEarlierWriteRunsLate)
{
    int storedCount = 0;
    record_writer writer { m_loop, m_store.address(), m_era, { "keyed.t", "key" }, [&storedCount] { ++storedCount; } };
    m_store.appendDelay = milliseconds { 2000 };
    writer.write("one");
    writer.write("two");
    ASSERT_TRUE(waitFor([&storedCount] { return storedCount == 1; }));
    ASSERT_TRUE(waitFor([this] { return m_store.fencedAppends == 1; }));
    EXPECT_EQ(m_store.size("keyed.t"), 1U);
    EXPECT_EQ(m_store.appendedBodies.back(), encodeRecord({ "key", "two" }));
}

// Guards against a node that never writes again after its clock was set back.
TEST_F(store_client_test, WritesAfterItsClockWasSetBack)
{
    int storedCount = 0;
    const std::uint64_t hour = 3'600'000;
    record_writer earlier { m_loop, m_store.address(), m_era, { "keyed.t", "key", 9 * hour },
        [&storedCount] { ++storedCount; } };
    earlier.write("one");
    ASSERT_TRUE(waitFor([&storedCount] { return storedCount == 1; }));
    record_writer later { m_loop, m_store.address(), m_era, { "keyed.t", "key", hour },
        [&storedCount] { ++storedCount; } };
    later.write("two");
    ASSERT_TRUE(waitFor([&storedCount] { return storedCount == 2; }));
    EXPECT_EQ(m_store.appendedBodies.back(), encodeRecord({ "key", "two" }));
}

} // namespace knapweedcroft::platform
