#include "knapweedcroft/http/pipelined_server.hpp"

#include "raw_client.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace {

[[nodiscard]] std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

} // namespace

class pipelined_server_test : public testing::Test {
protected:
    pipelined_server_test()
    {
        pipelined_server_handlers handlers;
        handlers.onRequest = [this](std::uint64_t requestId, opaque_request request) {
            m_requestIds.emplace(request.target, requestId);
            m_bodies.emplace(request.target, request.body);
        };
        handlers.onAborted = [this](std::uint64_t requestId) { m_aborted.push_back(requestId); };
        handlers.makeErrorResponse = [](const parse_error& fault) {
            return opaque_response { fault.status, {}, "rejected" };
        };
        pipelined_server_limits limits;
        limits.message.maxBodyBytes = 100;
        limits.headerTime = milliseconds { 200 };
        m_server = std::make_unique<pipelined_server>(m_loop, limits, handlers);
        m_address = valueOf(m_server->listen("127.0.0.1", 0));
    }

    template <typename Condition> bool waitFor(Condition&& condition)
    {
        return m_loop.runUntil(condition, milliseconds { 5000 });
    }

    void answer(const std::string& path, bool shouldClose = false)
    {
        m_server->answer(m_requestIds.at(path), opaque_response { 200, {}, "answer to " + path }, shouldClose);
    }

    event_loop m_loop;
    std::unique_ptr<pipelined_server> m_server;
    std::string m_address;
    std::map<std::string, std::uint64_t> m_requestIds;
    std::map<std::string, std::string> m_bodies;
    std::vector<std::uint64_t> m_aborted;
};

// A slow request must not block the processing of later pipelined requests, but responses must stay in order.
TEST_F(pipelined_server_test, WorksOnPipelinedRequestsTogetherAndAnswersInOrder)
{
    raw_client client { m_loop, m_address };
    client.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 3; }));
    answer("/3");
    answer("/2");
    m_loop.runUntil([] { return false; }, milliseconds { 20 });
    EXPECT_EQ(client.received(), "");
    answer("/1");
    ASSERT_TRUE(waitFor([&client] { return client.received().find("answer to /3") != std::string::npos; }));
    EXPECT_LT(client.received().find("answer to /1"), client.received().find("answer to /2"));
    EXPECT_LT(client.received().find("answer to /2"), client.received().find("answer to /3"));
}

// Work for a disconnected client is wasted; its close must be noticed even behind unread pipelined bytes.
TEST_F(pipelined_server_test, ReportsTheCloseOfAClientForEachOpenRequest)
{
    raw_client client { m_loop, m_address };
    client.send(get("/1") + get("/2") + "GET /incomplete HT");
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 2; }));
    client.close();
    ASSERT_TRUE(waitFor([this] { return m_aborted.size() == 2; }));
    EXPECT_EQ(m_server->pendingCount(), 0U);
    EXPECT_EQ(m_server->connectionCount(), 0U);
}

// Requests after a response that closes the connection count as unread, so they must be aborted.
TEST_F(pipelined_server_test, AbandonsWhatIsBehindAClosingAnswer)
{
    raw_client client { m_loop, m_address };
    client.send(get("/1") + get("/2"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 2; }));
    answer("/1", true);
    ASSERT_TRUE(waitFor([&client] { return client.isClosed(); }));
    EXPECT_NE(client.received().find("Connection: close"), std::string::npos);
    ASSERT_EQ(m_aborted.size(), 1U);
    EXPECT_EQ(m_aborted.front(), m_requestIds.at("/2"));
}

TEST_F(pipelined_server_test, DecodesChunkedBodies)
{
    raw_client client { m_loop, m_address };
    client.send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    client.send("2\r\nde\r\n0\r\n\r\n" + get("/after"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 2; }));
    EXPECT_EQ(m_bodies.at("/c"), "abcde");
}

TEST_F(pipelined_server_test, AsksForTheBodyOfAClientThatWaits)
{
    raw_client client { m_loop, m_address };
    client.send("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(waitFor([&client] { return client.received().find("100 Continue") != std::string::npos; }));
    client.send("ab");
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 1; }));
    EXPECT_EQ(m_bodies.at("/e"), "ab");
}

TEST_F(pipelined_server_test, AnswersAnInvalidRequestAfterTheValidOnesBeforeIt)
{
    raw_client client { m_loop, m_address };
    client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 1; }));
    answer("/1");
    ASSERT_TRUE(waitFor([&client] { return client.isClosed(); }));
    EXPECT_LT(client.received().find("answer to /1"), client.received().find("HTTP/1.1 413"));
}

TEST_F(pipelined_server_test, AnswersAHeaderThatDoesNotEndInTime)
{
    raw_client client { m_loop, m_address };
    client.send("GET /slow HTTP/1.1\r\nHost:");
    ASSERT_TRUE(waitFor([&client] { return client.isClosed(); }));
    EXPECT_EQ(client.received().find("HTTP/1.1 408"), 0U);
}

// During a drain, the response must tell the client to reconnect to another node.
TEST_F(pipelined_server_test, ClosesConnectionsWhileDraining)
{
    raw_client busy { m_loop, m_address };
    raw_client idle { m_loop, m_address };
    busy.send(get("/1"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 1 && m_server->connectionCount() == 2; }));
    m_server->startDraining();
    m_server->closeIdle();
    ASSERT_TRUE(waitFor([&idle] { return idle.isClosed(); }));
    EXPECT_FALSE(busy.isClosed());
    answer("/1");
    ASSERT_TRUE(waitFor([&busy] { return busy.isClosed(); }));
    EXPECT_NE(busy.received().find("answer to /1"), std::string::npos);
}

// Guards against a planned stop that cuts requests which upstreams are running: those behind the first answer of a
// connection (LOST). What the client sends after that answer is left unread, so that it may send it elsewhere.
TEST_F(pipelined_server_test, AnswersWhatItHasReadBeforeItClosesWhileDraining)
{
    raw_client client { m_loop, m_address };
    client.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 3; }));
    m_server->startDraining();
    answer("/2");
    answer("/1");
    ASSERT_TRUE(waitFor([&client] { return client.received().find("answer to /2") != std::string::npos; }));
    client.send(get("/4"));
    m_loop.runUntil([] { return false; }, milliseconds { 50 });
    EXPECT_FALSE(client.isClosed());
    EXPECT_EQ(client.received().find("Connection: close"), std::string::npos);
    answer("/3");
    ASSERT_TRUE(waitFor([&client] { return client.isClosed(); }));
    EXPECT_LT(client.received().find("Connection: close"), client.received().find("answer to /3"));
    EXPECT_TRUE(m_aborted.empty());
    EXPECT_EQ(m_requestIds.size(), 3U);
}

// Guards against answers that are dropped at the end of a stop, since they are ready behind an unanswered request
// (LOST).
TEST_F(pipelined_server_test, TellsWhichRequestsHoldBackAnswers)
{
    raw_client client { m_loop, m_address };
    raw_client single { m_loop, m_address };
    client.send(get("/1") + get("/2") + get("/3") + get("/4"));
    single.send(get("/5"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 5; }));
    EXPECT_TRUE(m_server->blockingRequests().empty());
    answer("/3");
    const std::vector<std::uint64_t> blocking { m_requestIds.at("/1"), m_requestIds.at("/2") };
    EXPECT_EQ(m_server->blockingRequests(), blocking);
    EXPECT_EQ(m_server->pendingRequests().size(), 4U) << "all but the one that is answered";
    answer("/1");
    answer("/2");
    EXPECT_TRUE(m_server->blockingRequests().empty());
    ASSERT_TRUE(waitFor([&client] { return client.received().find("answer to /3") != std::string::npos; }));
}

TEST_F(pipelined_server_test, LeavesOutTheBodyOfAnAnswerToHead)
{
    raw_client client { m_loop, m_address };
    client.send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.size() == 2; }));
    m_server->answer(m_requestIds.at("/h"), opaque_response { 200, { { "Content-Length", "9" } }, "" });
    answer("/1");
    ASSERT_TRUE(waitFor([&client] { return client.received().find("answer to /1") != std::string::npos; }));
    EXPECT_NE(client.received().find("Content-Length: 9\r\n\r\nHTTP/1.1 200"), std::string::npos);
}

// Guards against answers that are cut because their clients read slowly: the idle timer and a planned stop took the
// connection for an idle one as soon as the answer was in the output buffer (LOST).
TEST_F(pipelined_server_test, FinishesAnswersThatAreReadSlowly)
{
    constexpr std::size_t bytesPerMiB = std::size_t { 1024 } * 1024;
    pipelined_server_limits limits;
    limits.idleTime = milliseconds { 200 };
    m_server->setLimits(limits);
    for (const bool isStopping : { false, true }) {
        raw_client client { m_loop, m_address };
        client.readAtRate(bytesPerMiB / 2);
        client.send(get("/a"));
        ASSERT_TRUE(waitFor([this] { return m_requestIds.count("/a") == 1; }));
        const std::string body(32 * bytesPerMiB, 'x');
        if (isStopping)
            m_server->startDraining();
        m_server->answer(m_requestIds.at("/a"), opaque_response { 200, {}, body });
        m_requestIds.clear();
        m_server->closeIdle();
        EXPECT_TRUE(waitFor([&] { return client.received().size() > body.size() || client.isClosed(); }));
        EXPECT_GT(client.received().size(), body.size()) << isStopping;
    }
}

// Guards against memory that a client fills by sending on while its requests are being run.
TEST_F(pipelined_server_test, KeepsNoInputBeyondTheRequestsInProgress)
{
    const std::string junk(std::size_t { 64 } << 20U, 'x');
    pipelined_server_limits limits;
    limits.maxPipelined = 1;
    m_server->setLimits(limits);
    raw_client paused { m_loop, m_address };
    paused.send(get("/paused") + junk);
    ASSERT_TRUE(waitFor([this] { return m_requestIds.count("/paused") == 1; }));
    m_loop.runUntil([] { return false; }, milliseconds { 500 });
    EXPECT_GT(paused.unsentBytes(), junk.size() / 2);
    raw_client closing { m_loop, m_address };
    closing.send("GET /closing HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + junk);
    ASSERT_TRUE(waitFor([this] { return m_requestIds.count("/closing") == 1; }));
    ASSERT_TRUE(waitFor([&closing] { return closing.unsentBytes() == 0; })) << "what is not read is dropped";
    answer("/closing");
    EXPECT_TRUE(waitFor([&closing] { return closing.isClosed(); }));
    EXPECT_NE(closing.received().find("answer to /closing"), std::string::npos);
}

// Guards against memory that clients hold by reading nothing.
TEST_F(pipelined_server_test, ClosesConnectionsWhoseClientReadsNothing)
{
    pipelined_server_limits limits;
    limits.idleTime = milliseconds { 200 };
    m_server->setLimits(limits);
    raw_client client { m_loop, m_address };
    client.readAtRate(1);
    client.send(get("/a"));
    ASSERT_TRUE(waitFor([this] { return m_requestIds.count("/a") == 1; }));
    m_server->answer(m_requestIds.at("/a"), opaque_response { 200, {}, std::string(std::size_t { 32 } << 20U, 'x') });
    EXPECT_TRUE(waitFor([this] { return m_server->connectionCount() == 0; }));
    EXPECT_EQ(m_server->bufferedBytes(), 0U);
}

} // namespace knapweedcroft
