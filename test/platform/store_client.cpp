#include "store_client.hpp"

#include "knapweedcroft/net/http_server.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

namespace {

constexpr milliseconds testLimit { 10'000 };

// A keyed topic of the platform's store with the faults that its pages describe.
class store_stand_in {
public:
    explicit store_stand_in(event_loop& loop)
        : m_server { loop, http_server_settings {} }
    {
        m_server.route(http_method::get, "/knapweedcroft/log-newest",
            [this](std::uint64_t id, const http_request&) { onNewest(id); });
        m_server.route(http_method::get, "/knapweedcroft/log-read",
            [this](std::uint64_t id, const http_request& request) { onRead(id, request); });
        m_server.route(http_method::post, "/knapweedcroft/log-append",
            [this](std::uint64_t id, const http_request& request) { onAppend(id, request); });
        m_address = valueOf(m_server.listen("127.0.0.1", 0));
    }

    void append(const std::string& key, const std::string& value)
    {
        records.push_back({ key, value });
        std::vector<waiting_read> waiting;
        waiting.swap(m_waiting);
        for (const waiting_read& read : waiting)
            answerRead(read.id, read.from);
    }

    [[nodiscard]] const std::string& address() const { return m_address; }

    std::vector<keyed_record> records;
    std::size_t first = 0; // Oldest retained offset.
    std::size_t newestCalls = 0;
    std::size_t readCalls = 0;
    std::size_t appendCalls = 0;
    std::optional<int> failure; // Status of all answers while set.
    std::size_t lostAppends = 0; // Appends that take effect without an answer.
    std::vector<std::string> appended;

private:
    struct waiting_read {
        std::uint64_t id;
        std::size_t from;
    };

    void onNewest(std::uint64_t id)
    {
        ++newestCalls;
        if (fail(id))
            return;
        nlohmann::json items = nlohmann::json::array();
        for (const keyed_record& record : records) {
            // "dmFsdWU=" stands for "value" in base64; the tests use no other value here.
            items.push_back({ { "Key", record.key }, { "Value", "dmFsdWU=" }, { "Offset", 0 } });
        }
        const nlohmann::json body = { { "items", items }, { "More", false }, { "EndOffset", records.size() } };
        m_server.answer(id, jsonResponse(200, body.dump()));
    }

    void onRead(std::uint64_t id, const http_request& request)
    {
        ++readCalls;
        if (fail(id))
            return;
        const std::size_t from = std::stoul(*findQueryParameter(request, "From"));
        if (from < first)
            m_server.answer(id, jsonResponse(410, "{\"First\":" + std::to_string(first) + "}"));
        else if (from < records.size())
            answerRead(id, from);
        else
            m_waiting.push_back({ id, from });
    }

    void answerRead(std::uint64_t id, std::size_t from)
    {
        http_response response;
        response.body = std::string(16, '\0');
        response.body[7] = static_cast<char>(records.size());
        for (std::size_t offset = from; offset < records.size(); ++offset)
            response.body += encodeRecord(records[offset]);
        m_server.answer(id, response);
    }

    void onAppend(std::uint64_t id, const http_request& request)
    {
        ++appendCalls;
        if (fail(id))
            return;
        appended.push_back(request.body);
        if (lostAppends > 0) {
            --lostAppends;
            return;
        }
        m_server.answer(id, jsonResponse(200, R"({"Offset":0,"EndOffset":1})"));
    }

    bool fail(std::uint64_t id)
    {
        if (failure)
            m_server.answer(id, jsonResponse(*failure, "{}"));
        return failure.has_value();
    }

    http_server m_server;
    std::string m_address;
    std::vector<waiting_read> m_waiting;
};

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
    m_store.append("a", "value");
    start();
    ASSERT_TRUE(waitFor([this] { return m_isComplete && m_store.readCalls == 1; }));
    m_store.append("b", "value");
    ASSERT_TRUE(waitFor([this] { return m_keys.size() == 2; }));
    EXPECT_EQ(m_keys, (std::vector<std::string> { "a", "b" }));
    EXPECT_EQ(m_store.newestCalls, 1U);
}

// The store may drop its history at any time; the newest records are still there.
TEST_F(store_client_test, ReadsAnewWhenTheHistoryIsGone)
{
    m_store.append("a", "value");
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.readCalls == 1; }));
    for (int count = 0; count < 3; ++count)
        m_store.records.push_back({ "b", "value" });
    m_store.first = 3;
    m_store.append("c", "value");
    ASSERT_TRUE(waitFor([this] { return !m_keys.empty() && m_keys.back() == "c"; }));
}

TEST_F(store_client_test, GoesOnAfterAnOutage)
{
    m_store.failure = 503;
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.newestCalls >= 3; }));
    EXPECT_EQ(m_isAvailable, false);
    m_store.failure.reset();
    m_store.append("a", "value");
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
