#include "store_client.hpp"
#include "fake_store.hpp"

#include <gtest/gtest.h>

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
            m_loop, m_store.address(), topic_settings { "keyed.t", milliseconds { 2000 }, {} }, 1,
            [this](const topic_update& update) {
                m_isComplete = m_isComplete || update.isComplete;
                for (const keyed_record& record : update.records)
                    m_keys.push_back(record.key);
            },
            [this](bool isAvailable) { m_isAvailable = isAvailable; });
        m_reader->start();
    }

    template <typename Condition> bool waitFor(Condition&& condition)
    {
        return m_loop.runUntil(condition, testTimeout);
    }

    event_loop m_loop;
    fake_store m_store { m_loop };
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

// An append without a response is retried until acknowledged; a newer value replaces one that is still pending.
TEST_F(store_client_test, WritesUntilTheStoreTakesIt)
{
    record_writer writer { m_loop, m_store.address(), "keyed.t", "key", 1 };
    m_store.appendsWithoutResponse = 1;
    writer.write("one");
    ASSERT_TRUE(waitFor([this] { return m_store.appendedBodies.size() == 2; }));
    EXPECT_EQ(m_store.appendedBodies[1], encodeRecord({ "key", "one" }));
    m_store.failureStatus = 429;
    writer.write("two");
    writer.write("three");
    ASSERT_TRUE(waitFor([this] { return m_store.appendCalls >= 5; }));
    m_store.failureStatus.reset();
    ASSERT_TRUE(waitFor([this] { return m_store.appendedBodies.back() == encodeRecord({ "key", "three" }); }));
}

} // namespace knapweedcroft::platform
