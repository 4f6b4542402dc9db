#include "store_client.hpp"
#include "store_stand_in.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr milliseconds testLimit { 10'000 };

} // namespace

class store_client_test : public testing::Test {
protected:
    void start()
    {
        m_reader = std::make_unique<topic_reader>(
            m_loop, m_store.address(), topic_settings { "keyed.t", milliseconds { 2000 }, {} }, 1,
            [this](const topic_news& news) {
                m_isComplete = m_isComplete || news.isComplete;
                for (const keyed_record& record : news.records)
                    m_keys.push_back(record.key);
            },
            [this](bool isAvailable) { m_isAvailable = isAvailable; });
        m_reader->start();
    }

    template <typename Condition> bool waitFor(Condition&& condition) { return m_loop.runUntil(condition, testLimit); }

    event_loop m_loop;
    store_stand_in m_store { m_loop };
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
    EXPECT_EQ(m_store.newestCalls, 1U);
}

// The store may drop its history at any time; the newest records are still there.
TEST_F(store_client_test, ReadsAnewWhenTheHistoryIsGone)
{
    m_store.append("keyed.t", { "a", "value" });
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    for (int count = 0; count < 3; ++count)
        m_store.addSilently("keyed.t", { "b", "value" });
    m_store.forgetBefore("keyed.t", 3);
    m_store.append("keyed.t", { "c", "value" });
    ASSERT_TRUE(waitFor([this] { return !m_keys.empty() && m_keys.back() == "c"; }));
}

TEST_F(store_client_test, GoesOnAfterAnOutage)
{
    m_store.failure = 503;
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.newestCalls >= 3; }));
    EXPECT_EQ(m_isAvailable, false);
    m_store.failure.reset();
    m_store.append("keyed.t", { "a", "value" });
    ASSERT_TRUE(waitFor([this] { return m_isComplete; }));
    EXPECT_EQ(m_isAvailable, true);
}

// A record whose answer was lost is sent again until the store takes it; a newer one replaces it.
TEST_F(store_client_test, WritesUntilTheStoreTakesIt)
{
    record_writer writer { m_loop, m_store.address(), "keyed.t", "key", 1 };
    m_store.lostAppends = 1;
    writer.write("one");
    ASSERT_TRUE(waitFor([this] { return m_store.appended.size() == 2; }));
    EXPECT_EQ(m_store.appended[1], encodeRecord({ "key", "one" }));
    m_store.failure = 429;
    writer.write("two");
    writer.write("three");
    ASSERT_TRUE(waitFor([this] { return m_store.appendCalls >= 5; }));
    m_store.failure.reset();
    ASSERT_TRUE(waitFor([this] { return m_store.appended.back() == encodeRecord({ "key", "three" }); }));
}

} // namespace knapweedcroft::platform
