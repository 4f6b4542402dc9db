#include "gateway_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace knapweedcroft {

namespace {

[[nodiscard]] std::shared_ptr<const entry_table> makeReadAndBookTable()
{
    const milliseconds target { 500 };
    const milliseconds timeout { 1000 };
    return std::make_shared<const entry_table>(3,
        std::vector<forward_entry> { makeEntry("read", "visits", 1, true, target, timeout),
            makeEntry("book", "visits", 0, false, target, timeout) },
        client_limits {});
}

[[nodiscard]] int statusOf(const answer_client& answer)
{
    if (const opaque_response* response = std::get_if<opaque_response>(&answer.answer))
        return response->status;
    return std::get<local_answer>(answer.answer).status;
}

} // namespace

class gateway_core_test : public testing::Test {
protected:
    gateway_core_test()
    {
        m_group.add("a", "visits", "z1", 4);
        m_group.add("b", "visits", "z1", 4);
        m_group.add("c", "planning", "z1", 4);
        m_group.answersAutomatically = false;
        m_group.start();
    }

    // Node that received the only request so far.
    [[nodiscard]] std::string target() { return m_group.exchanges("a").empty() ? "b" : "a"; }
    [[nodiscard]] static std::string other(const std::string& node) { return node == "a" ? "b" : "a"; }

    void endExchange(const std::string& node, std::variant<upstream_response, exchange_failure> outcome)
    {
        m_group.handle(node, exchange_ended { m_group.exchanges(node).back().id, std::move(outcome) });
        m_group.run(milliseconds { 1 });
    }

    void sendViaC(const std::string& entry)
    {
        m_group.send("c", entry);
        m_group.run(milliseconds { 1 });
    }

    // Sends a node a request for its upstream, which gives a response at once.
    void exchangeAt(const std::string& node, const upstream_response& response)
    {
        forward_request message;
        message.id = call_id { ++m_lastForwardId };
        message.service = "visits";
        message.entry = "read";
        message.deadline = milliseconds { 1000 };
        message.target = milliseconds { 500 };
        message.request.target = "/read/x";
        m_group.handle(node, message_received { "c", message });
        endExchange(node, response);
    }

    // A booking whose body is offered before it is sent.
    [[nodiscard]] static client_request largeBooking(request_handle handle, std::size_t bytes)
    {
        client_request event;
        event.handle = handle;
        event.host = "h";
        event.requestId = std::to_string(handle);
        event.deadline = milliseconds { 1000 };
        event.request = { "POST", "/book/x", {}, std::string(bytes, 'b') };
        return event;
    }

    [[nodiscard]] std::size_t reservedAt(const std::string& node)
    {
        return m_group.core(node).describe()["served_requests"]["reserved_bytes"].get<std::size_t>();
    }

    [[nodiscard]] std::size_t exchangeCount() { return m_group.exchanges("a").size() + m_group.exchanges("b").size(); }

    gateway_group m_group { makeReadAndBookTable() };
    std::uint64_t m_lastForwardId = 1000; // Above those that the nodes assign.
};

TEST_F(gateway_core_test, RefusesAsNotRunWithoutACatalogue)
{
    gateway_group group { makeReadAndBookTable() };
    group.add("a", "visits", "z1", 4);
    group.run(milliseconds { 1 });
    EXPECT_FALSE(group.core("a").isReady());
    group.send("a", "read");
    ASSERT_EQ(group.answers("a").size(), 1U);
    EXPECT_EQ(statusOf(group.answers("a").front()), 503);
}

TEST_F(gateway_core_test, PassesOnTheAnswerOfTheUpstreamUnchanged)
{
    sendViaC("read");
    ASSERT_EQ(exchangeCount(), 1U);
    const std::string node = target();
    EXPECT_EQ(m_group.exchanges(node).front().caller, "planning");
    EXPECT_EQ(m_group.exchanges(node).front().upstream, "upstream of " + node);
    upstream_response response;
    response.response = opaque_response { 418, { { "X", "y" } }, "body" };
    endExchange(node, response);
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(std::get<opaque_response>(m_group.answers("c").front().answer), response.response);
}

// Guards against a success that the upstream has not given and that reaches the client (MIXED). The request may have
// run.
TEST_F(gateway_core_test, PassesOnNoSuccessWithoutASignature)
{
    upstream_response unverified;
    unverified.isUnverified = true;
    sendViaC("book");
    endExchange(target(), unverified);
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(statusOf(m_group.answers("c").front()), 502);
    EXPECT_EQ(exchangeCount(), 1U);
}

TEST_F(gateway_core_test, AnswersAnUnknownEntryWith404)
{
    client_request event;
    event.handle = 77;
    event.host = "h";
    event.request.target = "/nothing/x";
    m_group.handle("c", event);
    EXPECT_EQ(statusOf(m_group.answers("c").back()), 404);
}

struct failure_case {
    const char* name;
    const char* entry;
    std::variant<upstream_response, exchange_failure> outcome;
    std::size_t exchanges; // Total number of exchanges with upstreams.
    int status; // Status of the final answer; 0 while another attempt is in progress.
};

[[nodiscard]] static std::vector<failure_case> failureCases()
{
    upstream_response shed;
    shed.response.status = 503;
    shed.isNotRun = true;
    upstream_response failed;
    failed.response.status = 500;
    const exchange_failure lost { true, error { error_kind::connection_failed, "reset" } };
    const exchange_failure unwritten { false, error { error_kind::connection_failed, "refused" } };
    return { { "a read whose answer was lost is retried", "read", lost, 2, 0 },
        { "a booking whose answer was lost may have run and is not retried", "book", lost, 1, 502 },
        { "a booking that the upstream shed is sent to another one", "book", shed, 2, 0 },
        { "a booking of which nothing was written is sent to another one", "book", unwritten, 2, 0 },
        { "an answer of the upstream is final, even an error", "book", failed, 1, 500 } };
}

TEST_F(gateway_core_test, SendsAgainOnlyWhatMayRunAgain)
{
    for (const failure_case& row : failureCases()) {
        gateway_group group { makeReadAndBookTable() };
        group.add("a", "visits", "z1", 4);
        group.add("b", "visits", "z1", 4);
        group.add("c", "planning", "z1", 4);
        group.answersAutomatically = false;
        group.start();
        group.send("c", row.entry);
        group.run(milliseconds { 1 });
        const std::string first = group.exchanges("a").empty() ? "b" : "a";
        group.handle(first, exchange_ended { group.exchanges(first).back().id, row.outcome });
        group.run(milliseconds { 1 });
        EXPECT_EQ(group.exchanges("a").size() + group.exchanges("b").size(), row.exchanges) << row.name;
        const std::vector<answer_client>& answers = group.answers("c");
        EXPECT_EQ(answers.empty() ? 0 : statusOf(answers.front()), row.status) << row.name;
    }
}

// The peer may have read a frame before the link closed, so a request that is not idempotent must not be retried.
TEST_F(gateway_core_test, FailsARequestOnALostLinkThatMayHaveRun)
{
    sendViaC("book");
    const std::string node = target();
    m_group.closeLink("c", node);
    m_group.run(milliseconds { 1 });
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(statusOf(m_group.answers("c").front()), 502);
    EXPECT_EQ(exchangeCount(), 1U);
}

// Guards against a peer that gets no requests any more because the status of its upstream was forgotten although a link
// to it is open (RECOVER).
TEST_F(gateway_core_test, KeepsThePeerWhoseCallsWereLost)
{
    sendViaC("book");
    const std::string node = target();
    m_group.handle("c", calls_lost { node, { call_id { 1 } }, {} });
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(statusOf(m_group.answers("c").front()), 502);
    m_group.handle("c", link_suspected { other(node), true });
    const std::size_t before = m_group.exchanges(node).size();
    sendViaC("book");
    EXPECT_EQ(m_group.exchanges(node).size(), before + 1);
}

// Guards against a peer that never learns of a change because the status was lost with a link that it no longer used.
TEST_F(gateway_core_test, SendsItsStatusAgainAfterCallsWereLost)
{
    const gateway_actions actions = m_group.core("a").handle(calls_lost { "c", {}, {} }, m_group.now(), m_group.now());
    EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const gateway_action& action) {
        const send_to_peer* sent = std::get_if<send_to_peer>(&action);
        return sent != nullptr && sent->peer == "c" && std::holds_alternative<upstream_status_message>(sent->message);
    }));
}

TEST_F(gateway_core_test, SendsAnUnwrittenRequestToAnotherUpstream)
{
    sendViaC("book");
    const std::string node = target();
    const call_id id { 1 };
    m_group.handle("c", link_closed { node, { id } });
    m_group.run(milliseconds { 1 });
    EXPECT_TRUE(m_group.answers("c").empty());
    EXPECT_EQ(m_group.exchanges(other(node)).size(), 1U);
}

TEST_F(gateway_core_test, AnswersAtTheTimeoutOfTheEntryAndCancels)
{
    sendViaC("read");
    m_group.run(milliseconds { 1020 });
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(statusOf(m_group.answers("c").front()), 504);
    EXPECT_EQ(m_group.core(target()).describe()["served_requests"]["cancelled"], 1);
}

TEST_F(gateway_core_test, CancelsTheWorkOfAClientThatLeft)
{
    sendViaC("read");
    m_group.handle("c", client_disconnected { 1 });
    m_group.run(milliseconds { 1 });
    EXPECT_TRUE(m_group.answers("c").empty());
    EXPECT_EQ(m_group.core(target()).describe()["served_requests"]["cancelled"], 1);
}

// A leave takes effect as soon as it is acknowledged, even if peers have not yet been notified.
TEST_F(gateway_core_test, SendsNothingToALeavingUpstream)
{
    m_group.handle("a", leave_received { "upstream of a" });
    for (int count = 0; count < 20; ++count)
        m_group.send("c", "read");
    m_group.run(milliseconds { 1 });
    EXPECT_TRUE(m_group.exchanges("a").empty());
    EXPECT_EQ(m_group.core("b").describe()["upstream"]["running"], 4);
}

// Requests sent to a hung node after its first missed ping would wait for another second in vain.
TEST_F(gateway_core_test, AvoidsAPeerWhoseLinkIsSuspected)
{
    m_group.handle("c", link_suspected { "a", true });
    for (int count = 0; count < 4; ++count)
        sendViaC("read");
    EXPECT_TRUE(m_group.exchanges("a").empty());
    m_group.handle("c", link_suspected { "a", false });
    for (int count = 0; count < 4; ++count)
        sendViaC("read");
    EXPECT_FALSE(m_group.exchanges("a").empty());
}

// Clients honour a retry time of at most a third of their remaining deadline, which may exceed the entry's timeout.
TEST_F(gateway_core_test, LimitsTheRetryTimeByTheClientDeadline)
{
    m_group.handle("a", leave_received { "upstream of a" });
    m_group.handle("b", leave_received { "upstream of b" });
    client_request event;
    event.handle = 600;
    event.host = "h";
    event.deadline = milliseconds { 300 };
    event.request.target = "/read/x";
    m_group.handle("c", event);
    m_group.run(milliseconds { 1 });
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    const local_answer& answer = std::get<local_answer>(m_group.answers("c").front().answer);
    EXPECT_EQ(answer.status, 503);
    EXPECT_LE(answer.retryAfter, milliseconds { 100 });
    EXPECT_LT(milliseconds {}, answer.retryAfter);
}

// A stopping node refuses new requests from peers, which send them elsewhere, and finishes the accepted ones.
TEST_F(gateway_core_test, StopsWithoutLosingRequests)
{
    sendViaC("read");
    const std::string node = target();
    m_group.handle(node, stop_requested { milliseconds { 5000 } });
    EXPECT_FALSE(m_group.core(node).isReady());
    EXPECT_FALSE(m_group.core(node).isIdle());
    for (int count = 0; count < 4; ++count)
        sendViaC("read");
    EXPECT_EQ(m_group.exchanges(node).size(), 1U);
    endExchange(node, upstream_response {});
    EXPECT_TRUE(m_group.core(node).isIdle());
}

// A request that outlives the process would end without an answer.
TEST_F(gateway_core_test, RefusesRequestsThatCannotEndBeforeTheProcess)
{
    m_group.handle("c", stop_requested { milliseconds { 3000 } });
    sendViaC("read");
    EXPECT_EQ(exchangeCount(), 1U);
    m_group.run(milliseconds { 2600 });
    const std::size_t before = exchangeCount();
    sendViaC("read");
    EXPECT_EQ(exchangeCount(), before);
    EXPECT_EQ(statusOf(m_group.answers("c").back()), 503);
}

// Guards against requests that a stopping process leaves without an answer, or whose upstream goes on working for
// nobody.
TEST_F(gateway_core_test, AnswersTheRequestsThatItGivesUp)
{
    sendViaC("book");
    const std::string node = target();
    m_group.handle("c", stop_requested { milliseconds { 5000 } });
    m_group.handle("c", requests_given_up {});
    EXPECT_TRUE(m_group.answers("c").empty());
    m_group.handle("c", requests_given_up { { 1, 99 } });
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(statusOf(m_group.answers("c").front()), 502);
    EXPECT_TRUE(m_group.core("c").isIdle());
    m_group.run(milliseconds { 1 });
    EXPECT_TRUE(m_group.core(node).isIdle());
    sendViaC("book");
    EXPECT_EQ(statusOf(m_group.answers("c").back()), 503);
    EXPECT_EQ(exchangeCount(), 1U);
}

// Guards against requests that are answered as if they might have run, although they waited for their upstream.
TEST(GatewayStop, RefusesWhatWaitsAsNotRun)
{
    gateway_group group { makeReadAndBookTable() };
    group.add("a", "visits", "z1", 1);
    group.answersAutomatically = false;
    group.start();
    for (int count = 0; count < 2; ++count)
        group.send("a", "book");
    group.run(milliseconds { 1 });
    ASSERT_EQ(group.exchanges("a").size(), 1U);
    group.handle("a", stop_requested { milliseconds { 5000 } });
    group.handle("a", requests_given_up { { 1, 2 } });
    ASSERT_EQ(group.answers("a").size(), 2U);
    EXPECT_EQ(statusOf(group.answers("a").front()), 503);
    EXPECT_EQ(group.answers("a").front().handle, 2U);
    EXPECT_EQ(statusOf(group.answers("a").back()), 502);
    EXPECT_EQ(group.exchanges("a").size(), 1U);
}

// Guards against requests of other nodes that wait at a stopping node until it ends, and may then have run.
TEST_F(gateway_core_test, SendsElsewhereWhatWaitsAtAStoppingNode)
{
    constexpr int slots = 4;
    for (int count = 0; count < 2 * slots + 1; ++count)
        sendViaC("book");
    ASSERT_EQ(exchangeCount(), 2U * slots);
    const std::string stopping = m_group.core("a").describe()["upstream"]["queued"].get<int>() == 1 ? "a" : "b";
    ASSERT_EQ(m_group.core(stopping).describe()["upstream"]["queued"].get<int>(), 1);
    m_group.handle(stopping, stop_requested { milliseconds { 5000 } });
    m_group.handle(stopping, requests_given_up {});
    m_group.run(milliseconds { 1 });
    EXPECT_EQ(m_group.core(stopping).describe()["upstream"]["queued"].get<int>(), 0);
    EXPECT_EQ(m_group.core(other(stopping)).describe()["upstream"]["queued"].get<int>(), 1);
    EXPECT_TRUE(m_group.answers("c").empty());
}

// An older catalogue must not replace a newer one, whether it comes from the store or from a peer.
TEST_F(gateway_core_test, IgnoresAnOlderCatalogue)
{
    const forward_entry later = makeEntry("later", "visits", 0, true, milliseconds { 500 }, milliseconds { 1000 });
    m_group.handle("c",
        catalogue_read {
            std::make_shared<const entry_table>(9, std::vector<forward_entry> { later }, client_limits {}) });
    m_group.handle("c", catalogue_read { makeReadAndBookTable() });
    catch_up_message old;
    old.catalogue = makeReadAndBookTable()->format();
    old.membership = "[]";
    m_group.handle("c", message_received { "a", old });
    EXPECT_EQ(m_group.core("c").describe()["catalogue_version"], 9);
}

// A node that starts while the store is unavailable gets the catalogue and the directory from a peer.
TEST_F(gateway_core_test, LearnsFromAPeerWhileTheStoreIsAway)
{
    m_group.add("d", "planning", "z1", 4);
    m_group.run(milliseconds { 1 });
    EXPECT_FALSE(m_group.core("d").isReady());
    m_group.handle("d", link_opened { m_group.core("a").makeHello() });
    m_group.run(milliseconds { 200 });
    EXPECT_TRUE(m_group.core("d").isReady());
    EXPECT_EQ(m_group.core("d").describe()["catalogue_version"], 3);
    EXPECT_EQ(m_group.core("d").describe()["known_nodes"], 4);
}

// Guards against logs in which the start of a process looks like the end of an outage.
TEST_F(gateway_core_test, LogsTheFirstAnswerOfTheStoreApartFromItsReturn)
{
    m_group.add("d", "planning", "z1", 4);
    gateway_core& core = m_group.core("d");
    const auto change = [&core, this](bool isAvailable, milliseconds after) {
        const time_point now = m_group.now() + after;
        const gateway_actions actions = core.handle(store_availability_changed { isAvailable }, now, now);
        for (const gateway_action& action : actions) {
            const write_log* line = std::get_if<write_log>(&action);
            if (line != nullptr && line->event.find("store_") == 0)
                return line->event + " " + line->fields.back().second;
        }
        return std::string { "nothing" };
    };
    EXPECT_EQ(change(true, milliseconds { 0 }), "store_reached -1");
    EXPECT_EQ(change(true, milliseconds { 10 }), "nothing");
    EXPECT_EQ(change(false, milliseconds { 100 }), "store_lost -1");
    EXPECT_EQ(change(true, milliseconds { 350 }), "store_regained 250");
}

TEST_F(gateway_core_test, GivesTheUpstreamNoMoreTimeThanIsLeft)
{
    client_request event;
    event.handle = 500;
    event.host = "h";
    event.requestId = "r";
    event.deadline = milliseconds { 300 };
    event.request.method = "GET";
    event.request.target = "/read/x";
    m_group.handle("c", event);
    m_group.run(milliseconds { 1 });
    const std::string node = target();
    ASSERT_EQ(m_group.exchanges(node).size(), 1U);
    EXPECT_LE(m_group.exchanges(node).front().deadline, milliseconds { 300 });
}

// Nodes that start later find this node only by its record, which an older copy of the store may lack.
TEST_F(gateway_core_test, PublishesItsRecordAgainAfterTheStoreLostIt)
{
    const auto publishedAfter = [this](const directory_read& snapshot) {
        const gateway_actions actions = m_group.core("a").handle(snapshot, m_group.now(), m_group.now());
        return std::count_if(actions.begin(), actions.end(),
            [](const gateway_action& action) { return std::holds_alternative<publish_record>(action); });
    };
    directory_read snapshot;
    snapshot.isComplete = true;
    EXPECT_EQ(publishedAfter(snapshot), 0);
    m_group.handle("a", store_era_changed { 1 });
    EXPECT_EQ(publishedAfter(snapshot), 0) << "the first era is no change";
    m_group.handle("a", store_era_changed { 2 });
    directory_record own;
    own.node = "a";
    own.peerAddress = "127.0.0.1:1";
    own.upstream.incarnation = { "upstream of a", 1 };
    snapshot.records = { own };
    EXPECT_EQ(publishedAfter(snapshot), 0) << "the record is still there";
    m_group.handle("a", store_era_changed { 3 });
    snapshot.records.clear();
    EXPECT_EQ(publishedAfter(snapshot), 1);
    EXPECT_EQ(publishedAfter(snapshot), 0) << "once for each era";
}

// A node that no longer reads the store must still notice that the store came back from an older copy.
TEST_F(gateway_core_test, ReadsTheStoreAnewWhenAPeerHasSeenALaterEra)
{
    const auto rereadsAfter = [this](std::uint64_t era) {
        const gateway_actions actions = m_group.core("a").handle(
            message_received { "c", store_progress_message { era, 3, 0 } }, m_group.now(), m_group.now());
        return std::count_if(actions.begin(), actions.end(),
            [](const gateway_action& action) { return std::holds_alternative<reread_store>(action); });
    };
    m_group.handle("a", store_era_changed { 4 });
    EXPECT_EQ(rereadsAfter(3), 0);
    EXPECT_EQ(rereadsAfter(4), 0);
    EXPECT_EQ(rereadsAfter(4'000'000'000), 0) << "a faulty peer";
    EXPECT_EQ(rereadsAfter(5), 1);
    EXPECT_EQ(rereadsAfter(5), 0);
    EXPECT_EQ(m_group.core("a").describe()["store_era_changes"], 1);
}

// --- upstreams that name a rate

namespace {

[[nodiscard]] upstream_response responseWithRate(std::optional<double> rate)
{
    upstream_response response;
    response.notices.rateLimit = rate;
    return response;
}

[[nodiscard]] double rateOf(gateway_core& core)
{
    return core.describe()["upstream"]["rate_limit_per_s"].get<double>();
}

} // namespace

TEST_F(gateway_core_test, SendsALimitedUpstreamNoMoreThanItNames)
{
    for (const char* node : { "a", "b" })
        exchangeAt(node, responseWithRate(5.0));
    const std::size_t before = exchangeCount();
    for (int count = 0; count < 200; ++count) {
        sendViaC("book");
        m_group.run(milliseconds { 19 });
        for (const char* node : { "a", "b" }) {
            if (m_group.core(node).describe()["upstream"]["running"] > 0)
                endExchange(node, responseWithRate(5.0));
        }
    }
    // Two upstreams x 5 per second x 4 s.
    EXPECT_NEAR(static_cast<double>(exchangeCount() - before), 40.0, 6.0);
    EXPECT_GT(m_group.core("a").describe()["served_requests"]["rate_limited"], 20);
}

TEST_F(gateway_core_test, KeepsALimitForAsLongAsTheUpstreamNamesIt)
{
    exchangeAt("a", responseWithRate(4.0));
    EXPECT_EQ(rateOf(m_group.core("a")), 4.0);
    m_group.run(milliseconds { 1000 });
    upstream_response invalid;
    invalid.notices.hasInvalidRateLimit = true;
    exchangeAt("a", invalid);
    EXPECT_EQ(rateOf(m_group.core("a")), 4.0) << "a limit that is no number";
    m_group.run(milliseconds { 1000 });
    exchangeAt("a", responseWithRate(std::nullopt));
    EXPECT_FALSE(m_group.core("a").describe()["upstream"]["rate_limited"].get<bool>());
}

TEST_F(gateway_core_test, ForgetsTheLimitOfAnUpstreamThatWasReplaced)
{
    exchangeAt("a", responseWithRate(0.0));
    upstream_announcement successor;
    successor.incarnation = { "successor", 2 };
    successor.service = "visits";
    successor.address = "127.0.0.1:1";
    successor.slots = 4;
    m_group.handle("a", announcement_received { successor });
    EXPECT_FALSE(m_group.core("a").describe()["upstream"]["rate_limited"].get<bool>());
}

// Guards against a node that starts again beside a limited upstream and sends it everything until the first answer.
TEST_F(gateway_core_test, LearnsTheLimitOfItsUpstreamFromPeers)
{
    exchangeAt("a", responseWithRate(2.0));
    const gateway_actions actions
        = m_group.core("c").handle(link_opened { m_group.core("a").makeHello() }, m_group.now(), m_group.now());
    const auto report = std::find_if(actions.begin(), actions.end(), [](const gateway_action& action) {
        const send_to_peer* sent = std::get_if<send_to_peer>(&action);
        return sent != nullptr && std::holds_alternative<reported_notices_message>(sent->message);
    });
    ASSERT_NE(report, actions.end());
    const peer_message& message = std::get<send_to_peer>(*report).message;
    EXPECT_EQ(std::get<reported_notices_message>(message).upstream, "upstream of a");
    EXPECT_EQ(std::get<reported_notices_message>(message).rate, 2.0);

    m_group.add("d", "visits", "z1", 4);
    m_group.handle("d", directory_read { {}, {}, true });
    m_group.handle("d", message_received { "c", reported_notices_message { "upstream of d", 3.0, false, 1 } });
    m_group.run(milliseconds { 1 });
    EXPECT_EQ(rateOf(m_group.core("d")), 3.0);
    m_group.run(milliseconds { 400 });
    exchangeAt("d", responseWithRate(std::nullopt));
    m_group.handle("d", message_received { "c", reported_notices_message { "upstream of d", 3.0, false, 1 } });
    EXPECT_EQ(rateOf(m_group.core("d")), 0.0) << "the upstream has answered this process";
}

// Guards against forwarded bodies that take the node beside an upstream above its memory (LOST): each is offered first,
// and those without room are refused as not run before any of their bytes is sent.
TEST_F(gateway_core_test, SendsNoLargeBodyWithoutRoom)
{
    constexpr std::size_t bytesPerMiB = std::size_t { 1024 } * 1024;
    const std::size_t fitting = gateway_settings {}.maxReservedBytes / (10 * bytesPerMiB);
    for (std::size_t number = 0; number < 2 * fitting + 3; ++number) {
        m_group.handle("c", largeBooking(5000 + number, 10 * bytesPerMiB));
        m_group.run(milliseconds { 1 });
    }
    for (const char* node : { "a", "b" })
        EXPECT_EQ(reservedAt(node), fitting * 10 * bytesPerMiB);
    ASSERT_EQ(m_group.answers("c").size(), 3U);
    for (const answer_client& answer : m_group.answers("c"))
        EXPECT_EQ(statusOf(answer), 503);
    // A link that closes and a request that ends free what was reserved.
    m_group.closeLink("c", "a");
    m_group.run(milliseconds { 1 });
    EXPECT_EQ(reservedAt("a"), 0U);
    m_group.run(milliseconds { 1500 });
    EXPECT_EQ(reservedAt("b"), 0U);
}

// Guards against an offer that is lost with its link and keeps its client waiting, or counts as run.
TEST_F(gateway_core_test, SendsALargeBodyElsewhereWhenItsOfferIsLost)
{
    const client_request event = largeBooking(5000, std::size_t { 1 } << 20U);
    const gateway_actions actions = m_group.core("c").handle(event, m_group.now(), m_group.now());
    const auto isOffer = [](const gateway_action& action) {
        const send_to_peer* sent = std::get_if<send_to_peer>(&action);
        return sent != nullptr && std::holds_alternative<forward_offer>(sent->message);
    };
    const auto offer = std::find_if(actions.begin(), actions.end(), isOffer);
    ASSERT_NE(offer, actions.end());
    const std::string peer = std::get<send_to_peer>(*offer).peer;
    const forward_offer& message = std::get<forward_offer>(std::get<send_to_peer>(*offer).message);
    m_group.handle("c", calls_lost { peer, { message.id }, {} });
    m_group.run(milliseconds { 1 });
    EXPECT_EQ(m_group.exchanges(peer).size(), 0U);
    EXPECT_EQ(m_group.exchanges(other(peer)).size(), 1U);
}

// Guards against memory that stays reserved for a granted request that is lost when its link is replaced.
TEST_F(gateway_core_test, FreesTheRoomOfALargeBodyThatIsLost)
{
    const auto sentBy = [this](const std::string& node, const gateway_event& event) {
        const gateway_actions actions = m_group.core(node).handle(event, m_group.now(), m_group.now());
        return std::get<send_to_peer>(*std::find_if(actions.begin(), actions.end(),
            [](const gateway_action& action) { return std::holds_alternative<send_to_peer>(action); }));
    };
    const client_request event = largeBooking(5000, std::size_t { 1 } << 20U);
    const send_to_peer offer = sentBy("c", event);
    const send_to_peer grant = sentBy(offer.peer, message_received { "c", offer.message });
    const send_to_peer request = sentBy("c", message_received { offer.peer, grant.message });
    EXPECT_EQ(reservedAt(offer.peer), event.request.body.size());
    m_group.handle("c", calls_lost { offer.peer, { std::get<forward_request>(request.message).id }, {} });
    m_group.run(milliseconds { 1 });
    EXPECT_EQ(reservedAt(offer.peer), 0U);
}

// Guards against nodes that wait for an announcement although the upstream says in its answers that it leaves.
TEST_F(gateway_core_test, SendsNothingToAnUpstreamThatSaysItLeaves)
{
    upstream_response last;
    last.notices.isLeaving = true;
    exchangeAt("a", last);
    EXPECT_FALSE(m_group.core("a").describe()["upstream"]["serving"].get<bool>());
    const std::size_t before = m_group.exchanges("a").size();
    for (int count = 0; count < 20; ++count)
        sendViaC("read");
    EXPECT_EQ(m_group.exchanges("a").size(), before);
}

// Guards against a request that waits in the queue and starts when the answer with the notice frees a slot.
TEST_F(gateway_core_test, StartsNothingFromTheQueueOfAnUpstreamThatSaysItLeaves)
{
    m_group.handle("c", link_suspected { "b", true });
    for (int count = 0; count < 6; ++count)
        sendViaC("read");
    ASSERT_EQ(m_group.exchanges("a").size(), 4U);
    upstream_response last;
    last.notices.isLeaving = true;
    endExchange("a", last);
    EXPECT_EQ(m_group.exchanges("a").size(), 4U);
}

// --- acknowledgement of a leave

namespace {

void addLeaveNodes(gateway_group& group)
{
    group.add("a", "visits", "z1", 4);
    group.add("b", "visits", "z1", 4);
    group.add("c", "planning", "z1", 4);
    group.startOnStore();
    group.run(milliseconds { 3000 });
}

void sendReads(gateway_group& group)
{
    for (int count = 0; count < 20; ++count) {
        for (const char* node : { "a", "b", "c" })
            group.send(node, "read");
        group.run(milliseconds { 20 });
    }
}

} // namespace

class leave_test : public testing::Test {
protected:
    leave_test() { addLeaveNodes(m_group); }

    // Returns the number of requests that reach the upstream of node a.
    [[nodiscard]] std::size_t sendFromAllNodes()
    {
        const std::size_t before = m_group.exchanges("a").size();
        sendReads(m_group);
        return m_group.exchanges("a").size() - before;
    }

    gateway_group m_group { makeReadAndBookTable() };
};

// Guards against a leave that is acknowledged while only nodes know it: once all of them have ended, nobody does, and
// the upstream is offered again from its old record (DRAIN).
TEST_F(leave_test, IsAcknowledgedByTheStoreOnly)
{
    ASSERT_GT(sendFromAllNodes(), 0U);
    m_group.setStoreAvailable(false);
    m_group.leave("a");
    m_group.run(milliseconds { 1000 });
    ASSERT_EQ(m_group.leaveVerdicts("a"), (std::vector<leave_verdict> { { "upstream of a", false } }));
    EXPECT_EQ(sendFromAllNodes(), 0U) << "the leave holds before it is acknowledged";
    m_group.setStoreAvailable(true);
    m_group.leave("a");
    m_group.run(milliseconds { 1000 });
    ASSERT_EQ(m_group.leaveVerdicts("a").back(), (leave_verdict { "upstream of a", true }));
    m_group.restartAll();
    m_group.run(milliseconds { 3000 });
    EXPECT_EQ(sendFromAllNodes(), 0U);
    EXPECT_FALSE(m_group.core("a").describe()["upstream"]["serving"].get<bool>());
}

// Guards against a node that has just started, acknowledges a leave of an upstream that it does not know, and forgets
// it when it starts once more.
TEST_F(leave_test, OutlivesAProcessThatDidNotKnowTheUpstream)
{
    m_group.restart("a");
    m_group.leave("a");
    m_group.run(milliseconds { 400 });
    ASSERT_EQ(m_group.leaveVerdicts("a"), (std::vector<leave_verdict> { { "upstream of a", true } }));
    m_group.restartAll();
    m_group.run(milliseconds { 500 });
    m_group.announceLate("a");
    m_group.run(milliseconds { 3000 });
    EXPECT_EQ(sendFromAllNodes(), 0U);
}

// Guards against all nodes that are killed right after the acknowledgement: only the store remembers the leave.
TEST_F(leave_test, IsAcknowledgedAfterTheStoreHasIt)
{
    m_group.leave("a");
    m_group.run(milliseconds { 5 });
    ASSERT_EQ(m_group.leaveVerdicts("a"), (std::vector<leave_verdict> { { "upstream of a", true } }));
    for (const char* node : { "a", "b", "c" })
        m_group.restart(node);
    m_group.run(milliseconds { 3000 });
    EXPECT_EQ(sendFromAllNodes(), 0U);
}

// Guards against an acknowledgement of what nobody but the process itself knows.
TEST_F(leave_test, IsNotAcknowledgedWithoutStoreAndPeers)
{
    m_group.setStoreAvailable(false);
    for (const char* peer : { "b", "c" })
        m_group.handle("a", link_closed { peer, {} });
    m_group.leave("a");
    EXPECT_TRUE(m_group.leaveVerdicts("a").empty());
    for (int step = 0; step < 95; ++step) {
        for (const char* peer : { "b", "c" })
            m_group.handle("a", link_closed { peer, {} });
        m_group.run(milliseconds { 10 });
    }
    ASSERT_EQ(m_group.leaveVerdicts("a"), (std::vector<leave_verdict> { { "upstream of a", false } }));
    m_group.setStoreAvailable(true);
    m_group.run(milliseconds { 2000 });
    m_group.leave("a");
    m_group.run(milliseconds { 10 });
    EXPECT_EQ(m_group.leaveVerdicts("a").back(), (leave_verdict { "upstream of a", true }));
}

namespace {

struct leave_event {
    const char* name;
    void (*apply)(gateway_group&);
};

// Ways in which the upstream of node a leaves.
const std::vector<leave_event>& leaveWays()
{
    static const std::vector<leave_event> ways {
        { "DELETE", [](gateway_group& group) { group.leave("a"); } },
        { "draining", [](gateway_group& group) { group.drain("a"); } },
        { "draining, then DELETE",
            [](gateway_group& group) {
                group.drain("a");
                group.leave("a");
            } },
        { "DELETE, then draining",
            [](gateway_group& group) {
                group.leave("a");
                group.drain("a");
            } },
        { "DELETE at a new process",
            [](gateway_group& group) {
                group.restart("a");
                group.leave("a");
            } },
    };
    return ways;
}

// Events that an acknowledged leave outlives; see docs/md/leaves.md.
const std::vector<leave_event>& leaveEvents()
{
    static const std::vector<leave_event> events {
        { "the process ends", [](gateway_group& group) { group.restart("a"); } },
        { "all processes end", [](gateway_group& group) { group.restartAll(); } },
        { "a planned stop",
            [](gateway_group& group) {
                group.handle("a", stop_requested { milliseconds { 5000 } });
                group.run(milliseconds { 100 });
                group.restart("a");
            } },
        { "all processes end while the store is away",
            [](gateway_group& group) {
                group.setStoreAvailable(false);
                group.restartAll();
                group.run(milliseconds { 1000 });
                group.announceLate("a");
                group.setStoreAvailable(true);
            } },
        { "the store is away",
            [](gateway_group& group) {
                group.setStoreAvailable(false);
                group.run(milliseconds { 2000 });
                group.setStoreAvailable(true);
            } },
        { "an older copy of the store", [](gateway_group& group) { group.restoreCopy(); } },
        { "a late announcement", [](gateway_group& group) { group.announceLate("a"); } },
        { "a late announcement at once after a start",
            [](gateway_group& group) {
                group.restartAll();
                group.announceLate("a");
            } },
        { "the leave is repeated", [](gateway_group& group) { group.leave("a"); } },
        { "a successor that leaves",
            [](gateway_group& group) {
                group.announceSuccessor("a");
                group.run(milliseconds { 1000 });
                group.handle("a", leave_received { "successor at a" });
            } },
    };
    return events;
}

// Nodes on a store whose upstream beside node a has left with an acknowledgement; the store's copy is from before.
class left_deployment {
public:
    left_deployment(const leave_event& way, std::int64_t startedAt)
    {
        group.upstreamStartedAt = startedAt;
        addLeaveNodes(group);
        group.takeCopy();
        way.apply(group);
        group.run(milliseconds { 800 });
        const std::vector<leave_verdict>& verdicts = group.leaveVerdicts("a");
        EXPECT_TRUE(!verdicts.empty() && verdicts.back().isAcknowledged) << way.name;
    }

    gateway_group group { makeReadAndBookTable() };
};

} // namespace

// Guards against gaps between the mechanisms that keep an acknowledged leave: each pair of the events that it outlives,
// for each way of leaving, with and without start times in the announcements (DRAIN).
TEST(LeaveEvents, DoNotReviveAnUpstreamInPairs)
{
    for (const std::int64_t startedAt : { 0, 1 }) {
        for (const leave_event& way : leaveWays()) {
            for (const leave_event& first : leaveEvents()) {
                for (const leave_event& second : leaveEvents()) {
                    left_deployment left { way, startedAt };
                    const std::size_t before = left.group.exchanges("a").size();
                    first.apply(left.group);
                    left.group.run(milliseconds { 200 });
                    second.apply(left.group);
                    left.group.run(milliseconds { 3000 });
                    sendReads(left.group);
                    EXPECT_EQ(left.group.exchanges("a").size(), before)
                        << way.name << "; " << first.name << "; " << second.name << "; started at " << startedAt;
                }
            }
        }
    }
}

// Guards against a leave that shuts out the successor at the same address, or a new start of the same upstream.
TEST(LeaveEvents, LetASuccessorServeSoon)
{
    for (const std::int64_t startedAt : { 0, 1 }) {
        for (const leave_event& way : leaveWays()) {
            for (const leave_event& event : leaveEvents()) {
                left_deployment left { way, startedAt };
                event.apply(left.group);
                left.group.run(milliseconds { 2000 });
                upstream_announcement next;
                next.incarnation = { "next at a", startedAt == 0 ? 0 : startedAt + 2 };
                next.service = "visits";
                next.address = "127.0.0.1:1";
                next.slots = 4;
                const std::size_t before = left.group.exchanges("a").size();
                left.group.handle("a", announcement_received { next });
                left.group.run(milliseconds { 100 });
                sendReads(left.group);
                EXPECT_GT(left.group.exchanges("a").size(), before)
                    << way.name << "; " << event.name << "; " << startedAt;
            }
        }
    }
}

// --- requests that crash upstreams

class crash_test : public gateway_core_test {
protected:
    // Sends a request with a given target, and so a given content, from node c.
    void request(const std::string& target)
    {
        client_request event;
        event.handle = ++m_lastHandle;
        event.host = "h";
        event.requestId = "r" + std::to_string(event.handle);
        event.deadline = milliseconds { 1000 };
        event.request = { "GET", target, {}, "" };
        m_group.handle("c", event);
        m_group.run(milliseconds { 1 });
    }

    // Node at whose upstream a content runs; empty if it runs nowhere.
    [[nodiscard]] std::string runningAt(const std::string& target)
    {
        for (const char* node : { "a", "b" }) {
            for (const start_exchange& started : m_group.exchanges(node)) {
                if (started.request.target == target && m_ended.count({ node, started.id }) == 0)
                    return node;
            }
        }
        return {};
    }

    // Ends all exchanges of a node's upstream in the same way.
    void endAll(const std::string& node, const std::variant<upstream_response, exchange_failure>& outcome)
    {
        for (const start_exchange& started : std::vector<start_exchange> { m_group.exchanges(node) }) {
            if (m_ended.insert({ node, started.id }).second)
                m_group.handle(node, exchange_ended { started.id, outcome });
        }
    }

    // Ends all exchanges of a node's upstream without an answer.
    void breakOff(const std::string& node)
    {
        endAll(node, exchange_failure { true, error { error_kind::connection_failed, "closed" } });
        m_group.run(milliseconds { 5 });
    }

    void crash(const std::string& node)
    {
        m_group.setRefusing(node, true);
        breakOff(node);
    }

    void restart(const std::string& node)
    {
        m_group.setRefusing(node, false);
        upstream_announcement next;
        next.incarnation
            = { "restarted " + std::to_string(++m_lastHandle), 1 + static_cast<std::int64_t>(m_lastHandle) };
        next.service = "visits";
        next.address = "127.0.0.1:1";
        next.slots = 4;
        m_group.handle(node, announcement_received { next });
        m_group.run(milliseconds { 5 });
    }

    // Answers the requests that run at a node.
    void answer(const std::string& node)
    {
        endAll(node, upstream_response {});
        m_group.run(milliseconds { 150 });
    }

    [[nodiscard]] int count(const std::string& node, const char* name)
    {
        return m_group.core(node).describe()["quarantine"][name].get<int>();
    }

    [[nodiscard]] int lastStatus() { return statusOf(m_group.answers("c").back()); }

    request_handle m_lastHandle = 5000; // Above those that the group assigns.
    std::set<std::pair<std::string, std::uint64_t>> m_ended;
};

// Guards against one request that ends all upstreams of a service, as it is sent to the next one after each crash.
TEST_F(crash_test, HoldsAContentBackThatWasRunningAtTwoCrashes)
{
    request("/read/poison");
    const std::string first = runningAt("/read/poison");
    crash(first);
    const std::string second = runningAt("/read/poison");
    ASSERT_EQ(second, other(first)) << "it is repeated once, since it may be innocent";
    crash(second);
    EXPECT_EQ(lastStatus(), 502) << "it has run";
    for (const char* node : { "a", "b", "c" })
        EXPECT_EQ(count(node, "held"), 1) << node;
    restart(first);
    restart(second);
    request("/read/poison");
    EXPECT_EQ(runningAt("/read/poison"), "");
    const local_answer& refusal = std::get<local_answer>(m_group.answers("c").back().answer);
    EXPECT_EQ(refusal.status, 503);
    EXPECT_EQ(refusal.kind, "quarantined");
    EXPECT_GT(refusal.retryAfter, milliseconds { 29'000 });
    request("/read/other");
    EXPECT_NE(runningAt("/read/other"), "");
}

TEST_F(crash_test, RunsAHeldContentAgainOnceItsTimeIsOver)
{
    request("/read/poison");
    crash(runningAt("/read/poison"));
    const std::string second = runningAt("/read/poison");
    crash(second);
    restart(second);
    m_group.run(milliseconds { 30'000 });
    request("/read/poison");
    ASSERT_EQ(runningAt("/read/poison"), second);
    answer(second);
    EXPECT_EQ(lastStatus(), 200);
    for (const char* node : { "a", "b", "c" })
        EXPECT_EQ(count(node, "suspected"), 0) << node;
}

// Guards against several upstreams that end at the same time because of attempts with the same content.
TEST_F(crash_test, RunsASuspectedContentOnceAtATime)
{
    request("/read/poison");
    crash(runningAt("/read/poison"));
    const std::string second = runningAt("/read/poison");
    const std::size_t before = m_group.exchanges(second).size();
    request("/read/poison");
    EXPECT_EQ(m_group.exchanges(second).size(), before);
    EXPECT_EQ(lastStatus(), 503);
    answer(second);
    request("/read/poison");
    EXPECT_EQ(m_group.exchanges(second).size(), before + 1) << "cleared by the answer";
}

// Guards against suspicion after an answer that was lost.
TEST_F(crash_test, TakesABrokenConnectionToALivingUpstreamForNoCrash)
{
    request("/book/lost");
    breakOff(runningAt("/book/lost"));
    EXPECT_EQ(lastStatus(), 502);
    EXPECT_EQ(count("c", "suspected"), 0);
}

// Guards against suspicion of what a leaving upstream breaks off at its end.
TEST_F(crash_test, TakesTheEndOfALeavingUpstreamForNoCrash)
{
    request("/book/left");
    const std::string leaving = runningAt("/book/left");
    m_group.handle(leaving, leave_received { "upstream of " + leaving });
    crash(leaving);
    EXPECT_EQ(lastStatus(), 502);
    EXPECT_EQ(count("c", "suspected"), 0);
}

// Guards against suspicion of requests to an upstream that refuses connections because it has too many.
TEST_F(crash_test, TakesAnUpstreamThatGoesOnWithItsRequestsForAlive)
{
    request("/book/first");
    const std::string busy = runningAt("/book/first");
    m_group.handle("c", link_suspected { other(busy), true });
    request("/book/second");
    ASSERT_EQ(runningAt("/book/second"), busy);
    m_group.setRefusing(busy, true);
    const std::uint64_t id = m_group.exchanges(busy).back().id;
    m_group.handle(
        busy, exchange_ended { id, exchange_failure { true, error { error_kind::connection_failed, "closed" } } });
    m_group.run(milliseconds { 200 });
    EXPECT_EQ(count("c", "suspected"), 0);
    ASSERT_EQ(m_group.answers("c").size(), 1U);
    EXPECT_EQ(lastStatus(), 502);
}

// Guards against a crash that goes unnoticed because the next process listens before the check.
TEST_F(crash_test, NoticesACrashByTheNextProcess)
{
    request("/read/poison");
    const std::string first = runningAt("/read/poison");
    breakOff(first);
    EXPECT_EQ(count("c", "suspected"), 0);
    restart(first);
    EXPECT_EQ(count("c", "suspected"), 1);
}

TEST_F(crash_test, TakesAnUpstreamThatAnswersAgainAsAlive)
{
    request("/read/lost");
    const std::string first = runningAt("/read/lost");
    breakOff(first);
    exchangeAt(first, upstream_response {});
    restart(first);
    EXPECT_EQ(count("c", "suspected"), 0);
}

// Guards against a popular content that is refused because it is running at every crash.
TEST_F(crash_test, SuspectsNothingThatWasAnsweredJustBefore)
{
    request("/read/popular");
    const std::string first = runningAt("/read/popular");
    answer(first);
    m_group.handle("c", link_suspected { other(first), true });
    request("/read/popular");
    request("/read/rare");
    crash(first);
    EXPECT_EQ(count("c", "suspected"), 1);
}

TEST_F(crash_test, TellsANodeThatStarts)
{
    request("/read/poison");
    crash(runningAt("/read/poison"));
    const gateway_actions actions
        = m_group.core("c").handle(link_opened { m_group.core("a").makeHello() }, m_group.now(), m_group.now());
    EXPECT_EQ(std::count_if(actions.begin(), actions.end(),
                  [](const gateway_action& action) {
                      const send_to_peer* sent = std::get_if<send_to_peer>(&action);
                      return sent != nullptr && std::holds_alternative<quarantine_message>(sent->message);
                  }),
        1);
}

// Guards against nodes of a large fleet that are linked to no node of the data centre of the crash.
TEST(GatewayCrashReports, AreRelayedToTheReplicasOfTheDataCentre)
{
    gateway_group group { makeReadAndBookTable() };
    for (const char* node : { "near-1", "near-2", "far-1", "far-2" })
        group.add(node, "visits", std::string { node }.substr(0, std::string { node }.find('-')), 4);
    group.add("near-3", "planning", "near", 4);
    group.start();
    const auto relayedBy = [&group](const std::string& node, const std::string& sender, const std::string& upstream) {
        const gateway_actions actions = group.core(node).handle(
            message_received { sender, crash_report_message { upstream, { 7 } } }, group.now(), group.now());
        return std::count_if(actions.begin(), actions.end(), [](const gateway_action& action) {
            const send_to_peer* sent = std::get_if<send_to_peer>(&action);
            return sent != nullptr && sent->peer == "near-2";
        });
    };
    EXPECT_EQ(relayedBy("near-1", "far-1", "u1"), 1);
    EXPECT_EQ(relayedBy("near-1", "far-2", "u1"), 0) << "the same crash again";
    EXPECT_EQ(relayedBy("near-1", "near-2", "u2"), 0) << "from the own data centre";
    EXPECT_EQ(relayedBy("near-3", "far-1", "u3"), 0) << "of another service";
}

// --- load patterns

namespace {

// Call graph with a shared leaf service, `quota`: a lookup makes ten calls to it and a filing five; a balance is a
// single request to it.
[[nodiscard]] std::shared_ptr<const entry_table> makeCallGraphTable()
{
    const milliseconds target { 1000 };
    return std::make_shared<const entry_table>(1,
        std::vector<forward_entry> { makeEntry("lookup", "registry", 2, true, target, milliseconds { 1500 }),
            makeEntry("filing", "logbook", 0, false, target, milliseconds { 1500 }),
            makeEntry("codes", "logbook", 2, true, target, milliseconds { 1500 }),
            makeEntry("balance", "quota", 1, true, milliseconds { 200 }, milliseconds { 800 }),
            makeEntry("ledger", "quota", 3, true, milliseconds { 300 }, milliseconds { 700 }) },
        client_limits {});
}

void setCallGraphModels(gateway_group& group)
{
    group.setModel("lookup", { milliseconds { 50 }, "ledger", 10 });
    group.setModel("filing", { milliseconds { 50 }, "ledger", 5 });
    group.setModel("codes", { milliseconds { 100 }, "", 0 });
    group.setModel("balance", { milliseconds { 30 }, "", 0 });
    group.setModel("ledger", { milliseconds { 20 }, "", 0 });
}

void addCallGraph(gateway_group& group)
{
    for (const char* zone : { "z1", "z2" }) {
        group.add(std::string { "registry-" } + zone, "registry", zone, 100);
        group.add(std::string { "logbook-" } + zone, "logbook", zone, 100);
        group.add(std::string { "quota-" } + zone, "quota", zone, 10);
    }
    setCallGraphModels(group);
    group.start();
}
} // namespace

// Load pattern: the demand exceeds the capacity of the leaf service. Its 1,000 calls per second suffice for all filings
// and balances and for some of the lookups. Unless callers respect the capacity that it advertises, nearly every lookup
// fails after some of its calls.
TEST(GatewayLoad, AdmitsWhatTheLeafServiceCanFinish)
{
    gateway_group group { makeCallGraphTable() };
    addCallGraph(group);
    group.generateLoad(
        { { "lookup", 120.0 }, { "filing", 60.0 }, { "codes", 60.0 }, { "balance", 60.0 } }, milliseconds { 20'000 });
    group.run(milliseconds { 3000 });
    const outcome_counts& lookup = group.counts("lookup");
    const outcome_counts& filing = group.counts("filing");
    const outcome_counts& balance = group.counts("balance");
    const outcome_counts& codes = group.counts("codes");
    // 1,000 calls per second, less 300 for filings and 90 for balances, leave capacity for 61 lookups per second.
    EXPECT_GT(lookup.succeeded, 0.5 * 61 * 20);
    EXPECT_GT(filing.timely, 0.85 * filing.sent);
    EXPECT_GT(balance.timely, 0.85 * balance.sent);
    EXPECT_GT(codes.timely, 0.9 * codes.sent);
    EXPECT_LT(lookup.failed, 0.15 * lookup.sent);
    EXPECT_GT(lookup.refused, 0.2 * lookup.sent);
}

// Load pattern: the same overload from the first second on in a large fleet, where each node sees about ten requests a
// second. Nodes that need a minute's worth of requests to tell calls of upstreams from requests of clients refuse
// nothing meanwhile, so that whole call trees are begun and lost for seconds after each start.
TEST(GatewayLoad, AdmitsWhatTheLeafServiceCanFinishFromTheStartOfALargeFleet)
{
    gateway_group group { makeCallGraphTable() };
    constexpr int hostsPerZone = 12;
    for (const char* zone : { "z1", "z2" }) {
        for (int number = 0; number < hostsPerZone; ++number) {
            const std::string suffix = std::string { "-" } + zone + "-" + std::to_string(number);
            group.add("registry" + suffix, "registry", zone, 20);
            group.add("logbook" + suffix, "logbook", zone, 20);
            if (number < 2)
                group.add("quota" + suffix, "quota", zone, 10);
        }
    }
    setCallGraphModels(group);
    group.start();
    group.generateLoad(
        { { "lookup", 240.0 }, { "filing", 120.0 }, { "codes", 120.0 }, { "balance", 120.0 } }, milliseconds { 4000 });
    group.run(milliseconds { 2000 });
    const outcome_counts& lookup = group.counts("lookup");
    const outcome_counts& filing = group.counts("filing");
    // 2,000 calls per second, less 600 for filings and 180 for balances, leave capacity for 122 lookups per second.
    EXPECT_GT(lookup.succeeded, 0.5 * 122 * 4);
    EXPECT_GT(filing.timely, 0.85 * filing.sent);
    EXPECT_LT(lookup.failed, 0.15 * lookup.sent);
}

// Load pattern: the upstreams of all services lose a quarter of their answers. Guards against retries that add up from
// level to level of the call tree (BUDGET): the calls of a retry are retries for the service that they call.
TEST(GatewayLoad, KeepsTheRetryBudgetAlongACallTree)
{
    const milliseconds timeout { 5000 };
    gateway_group group { std::make_shared<const entry_table>(1,
        std::vector<forward_entry> { makeEntry("trip", "trips", 1, true, timeout, timeout),
            makeEntry("leg", "legs", 1, true, timeout, timeout),
            makeEntry("seat", "seats", 1, true, timeout, timeout) },
        client_limits {}) };
    for (const char* service : { "trips", "legs", "seats" }) {
        for (int number = 0; number < 4; ++number)
            group.add(std::string { service } + "-" + std::to_string(number), service, "z1", 200);
    }
    group.setModel("trip", { milliseconds { 20 }, "leg", 3 });
    group.setModel("leg", { milliseconds { 20 }, "seat", 3 });
    group.start();
    group.lostAnswerRatio = 0.25;
    group.generateLoad({ { "trip", 100.0 } }, milliseconds { 20'000 });
    const auto countFrom = [](const std::vector<time_point>& times, time_point start) {
        return std::lower_bound(times.begin(), times.end(), start + milliseconds { 10'000 })
            - std::lower_bound(times.begin(), times.end(), start);
    };
    for (const char* service : { "trips", "legs", "seats" }) {
        const service_arrivals& arrivals = group.arrivals(service);
        EXPECT_GT(arrivals.retries.size(), 100U) << service;
        for (std::int64_t start = 1000; start < 11'000; start += 500) {
            const time_point from { milliseconds { start } };
            const double requests = static_cast<double>(std::max(
                { countFrom(arrivals.requests, from), countFrom(arrivals.requests, from - milliseconds { 10'000 }),
                    countFrom(arrivals.requests, from - milliseconds { 5000 }) }));
            EXPECT_LE(static_cast<double>(countFrom(arrivals.retries, from)), 0.2 * requests + 50.0)
                << service << " from " << start << " ms";
        }
    }
}

// Load pattern: the leaf service is overloaded, then the load drops. From two seconds later on, requests must succeed
// again.
TEST(GatewayLoad, RecoversWithinTwoSecondsOfTheOverload)
{
    gateway_group group { makeCallGraphTable() };
    addCallGraph(group);
    group.generateLoad({ { "lookup", 250.0 }, { "filing", 60.0 } }, milliseconds { 10'000 });
    group.generateLoad({ { "lookup", 10.0 }, { "filing", 30.0 } }, milliseconds { 2000 });
    const outcome_counts before = group.counts("lookup");
    group.generateLoad({ { "lookup", 10.0 }, { "filing", 30.0 } }, milliseconds { 10'000 });
    group.run(milliseconds { 3000 });
    const outcome_counts& after = group.counts("lookup");
    EXPECT_GT(after.timely - before.timely, 0.9 * (after.sent - before.sent));
}

// Load pattern: 40 % of the upstreams of a service become twelve times slower, so that they answer after the timeout.
// In a large fleet a node sends each of them a request every few seconds, and one that is cancelled at its timeout used
// to count for nothing, so the slow upstreams kept their full share of the requests.
TEST(GatewayLoad, AvoidsUpstreamsThatAnswerAfterTheTimeout)
{
    gateway_group group { std::make_shared<const entry_table>(1,
        std::vector<forward_entry> {
            makeEntry("list", "planning", 2, true, milliseconds { 1000 }, milliseconds { 1200 }) },
        client_limits {}) };
    constexpr int hosts = 20;
    for (int number = 0; number < hosts; ++number) {
        group.add("planning-" + std::to_string(number), "planning", "z1", 30);
        group.add("diary-" + std::to_string(number), "diary", "z1", 30);
    }
    group.setModel("list", { milliseconds { 190 }, "", 0 });
    group.start();
    group.generateLoad({ { "list", 200.0 } }, milliseconds { 4000 });
    for (int number = 0; number < hosts * 4 / 10; ++number)
        group.setSlowdown("planning-" + std::to_string(number), 12);
    const outcome_counts before = group.counts("list");
    group.generateLoad({ { "list", 200.0 } }, milliseconds { 8000 });
    const outcome_counts slow = group.counts("list");
    EXPECT_GT(slow.timely - before.timely, 0.85 * (slow.sent - before.sent));
    for (int number = 0; number < hosts; ++number)
        group.setSlowdown("planning-" + std::to_string(number), 1);
    // After some seconds, upstreams that have recovered get their share of the requests again.
    group.generateLoad({ { "list", 200.0 } }, milliseconds { 12'000 });
    const auto startedAtFirst
        = [&group] { return group.core("planning-0").describe()["served_requests"]["started"].get<int>(); };
    const int startedBefore = startedAtFirst();
    group.generateLoad({ { "list", 200.0 } }, milliseconds { 6000 });
    EXPECT_GT(startedAtFirst() - startedBefore, 0.5 * 200 * 6 / hosts);
}

// Load pattern: without overload, admission control must refuse nothing.
TEST(GatewayLoad, RefusesNothingWithoutOverload)
{
    gateway_group group { makeCallGraphTable() };
    addCallGraph(group);
    group.generateLoad(
        { { "lookup", 30.0 }, { "filing", 30.0 }, { "codes", 60.0 }, { "balance", 30.0 } }, milliseconds { 10'000 });
    group.run(milliseconds { 3000 });
    for (const char* entry : { "lookup", "filing", "codes", "balance" }) {
        EXPECT_EQ(group.counts(entry).refused, 0) << entry;
        EXPECT_GE(group.counts(entry).timely, group.counts(entry).sent * 99 / 100) << entry;
    }
    // No request ran twice.
    EXPECT_TRUE(std::all_of(group.executions().begin(), group.executions().end(),
        [](const std::pair<const std::string, int>& item) { return item.second == 1; }));
}

// Load pattern: one of two upstreams in need takes a tenth of its share. The other one has room for the rest, so no
// request may wait for the first one or be refused.
TEST(GatewayLoad, MovesWhatALimitedUpstreamDoesNotTake)
{
    gateway_group group { makeReadAndBookTable() };
    for (const char* name : { "a", "b" })
        group.add(name, "visits", std::string { "z-" } + name, 20);
    group.setModel("read", { milliseconds { 50 }, "", 0 });
    group.start();
    group.setRateLimit("a", 10.0);
    group.generateLoad({ { "read", 200.0 } }, milliseconds { 1000 });
    const outcome_counts before = group.counts("read");
    const std::size_t startedBefore = group.exchanges("a").size();
    group.generateLoad({ { "read", 200.0 } }, milliseconds { 8000 });
    const outcome_counts& after = group.counts("read");
    EXPECT_GT(after.timely - before.timely, 0.98 * (after.sent - before.sent));
    EXPECT_EQ(after.refused, before.refused);
    const std::size_t started = group.exchanges("a").size() - startedBefore;
    EXPECT_LE(started, 82U);
    EXPECT_GE(started, 60U);
    group.setRateLimit("a", std::nullopt);
    group.generateLoad({ { "read", 200.0 } }, milliseconds { 2000 });
    EXPECT_GT(group.exchanges("a").size() - startedBefore - started, 150U);
}

// Load pattern: all upstreams of the leaf service are in need and take half of the calls together. Whole requests are
// refused where they enter, the least urgent ones first, in place of calls deep in the tree.
TEST(GatewayLoad, AdmitsWhatALimitedLeafServiceTakes)
{
    gateway_group group { makeCallGraphTable() };
    addCallGraph(group);
    for (const char* zone : { "z1", "z2" })
        group.setRateLimit(std::string { "quota-" } + zone, 250.0);
    const std::map<std::string, double> rates { { "lookup", 60.0 }, { "filing", 40.0 }, { "balance", 40.0 } };
    group.generateLoad(rates, milliseconds { 5000 });
    const std::map<std::string, outcome_counts> before { { "lookup", group.counts("lookup") },
        { "filing", group.counts("filing") }, { "balance", group.counts("balance") } };
    group.generateLoad(rates, milliseconds { 20'000 });
    group.run(milliseconds { 3000 });
    const auto timelyShare = [&](const char* entry) {
        const outcome_counts& after = group.counts(entry);
        return static_cast<double>(after.timely - before.at(entry).timely) / (after.sent - before.at(entry).sent);
    };
    // 500 calls per second, less 200 for filings and 40 for balances, leave capacity for 26 of 60 lookups per second.
    EXPECT_GT(timelyShare("filing"), 0.85);
    EXPECT_GT(timelyShare("balance"), 0.85);
    EXPECT_GT(timelyShare("lookup"), 0.5 * 26 / 60);
    EXPECT_LT(group.counts("lookup").failed, 0.15 * group.counts("lookup").sent);
}

} // namespace knapweedcroft
