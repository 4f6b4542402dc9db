#include "knapweedcroft/net/peer_hub.hpp"

#include "knapweedcroft/wire/codec.hpp"
#include "test_hub.hpp"
#include "test_servers.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace knapweedcroft {

class peer_hub_test : public testing::Test {
protected:
    void linkUp()
    {
        m_a.hub().open(open_link { "a2", m_b.address() });
        ASSERT_TRUE(m_loop.runUntil(
            [this] { return m_a.count<link_opened>() == 1 && m_b.count<link_opened>() == 1; }, testTimeout));
    }

    event_loop m_loop;
    hub_fixture m_a { m_loop, "a1", 1 };
    hub_fixture m_b { m_loop, "a2", 2 };
};

TEST_F(peer_hub_test, CarriesCallsAndAnswers)
{
    linkUp();
    m_a.hub().send(send_to_peer { "a2", callWithId(5) });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_b.count<message_received>() == 1; }, testTimeout));
    EXPECT_EQ(std::get<call_request>(m_b.last<message_received>().message).body, "body");
    call_answer answer;
    answer.id = call_id { 5 };
    answer.outcome = answered { 200, "text/plain", std::string(100'000, 'z') };
    m_b.hub().send(send_to_peer { "a1", answer });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<message_received>() == 1; }, testTimeout));
    EXPECT_EQ(std::get<call_answer>(m_a.last<message_received>().message).outcome, answer.outcome);
}

// Guards against two active links when both sides open one at the same time.
TEST_F(peer_hub_test, KeepsOneLinkWhenBothSidesOpen)
{
    m_a.hub().open(open_link { "a2", m_b.address() });
    m_b.hub().open(open_link { "a1", m_a.address() });
    ASSERT_TRUE(m_loop.runUntil(
        [this] {
            return m_a.count<link_opened>() > 0 && m_b.count<link_opened>() > 0 && m_a.hub().linkCount() == 1
                && m_b.hub().linkCount() == 1;
        },
        testTimeout));
    EXPECT_EQ(m_a.count<link_closed>() + m_b.count<link_closed>(), 0U);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        m_a.hub().send(send_to_peer { "a2", callWithId(id) });
        m_b.hub().send(send_to_peer { "a1", callWithId(id) });
    }
    EXPECT_TRUE(m_loop.runUntil(
        [this] { return m_a.count<message_received>() == 3 && m_b.count<message_received>() == 3; }, testTimeout));
}

// Guards against a call that is neither sent nor reported.
TEST_F(peer_hub_test, ReportsACallWithoutLinkAsUnwritten)
{
    m_a.hub().send(send_to_peer { "nobody", callWithId(7) });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_closed>() == 1; }, testTimeout));
    EXPECT_EQ(m_a.last<link_closed>().unwritten, std::vector<call_id> { call_id { 7 } });
}

// Guards against a peer that stays disconnected after it has restarted.
TEST_F(peer_hub_test, OpensALinkAgainAfterThePeerRestarted)
{
    std::unique_ptr<hub_fixture> peer = std::make_unique<hub_fixture>(m_loop, "c", 3);
    m_a.hub().open(open_link { "c", peer->address() });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_opened>() == 1; }, testTimeout));
    peer.reset();
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_closed>() == 1; }, testTimeout));
    peer = std::make_unique<hub_fixture>(m_loop, "c", 4);
    m_a.hub().open(open_link { "c", peer->address() });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_opened>() == 2; }, testTimeout));
    EXPECT_EQ(m_a.last<link_opened>().hello.incarnation, incarnation_id { 4 });
}

TEST_F(peer_hub_test, ClosesALinkThatIsNoLongerWanted)
{
    linkUp();
    m_a.hub().close(close_link { "a2" });
    EXPECT_TRUE(m_loop.runUntil(
        [this] {
            return m_a.count<link_closed>() == 1 && m_b.count<link_closed>() == 1 && m_a.hub().linkCount() == 0
                && m_b.hub().linkCount() == 0;
        },
        testTimeout));
}

// Guards against invalid data, from a peer of another version or an unrelated client, that terminates the process.
TEST_F(peer_hub_test, ClosesALinkOnAnInvalidMessage)
{
    const std::vector<std::string> openings { "no frame", valueOf(encode(ping_message { 1 })) };
    for (const std::string& first : openings) {
        std::unique_ptr<peer_link> link;
        bool isClosed = false;
        peer_link_handlers handlers;
        handlers.opened = [&] { link->send(first, std::nullopt); };
        handlers.received = [](std::string_view) {};
        handlers.closed = [&isClosed](const link_end&) { isClosed = true; };
        link = valueOf(peer_link::connect(m_loop, m_a.address(), link_purpose::regular, handlers));
        EXPECT_TRUE(m_loop.runUntil([&isClosed] { return isClosed; }, testTimeout)) << first;
    }
    EXPECT_EQ(m_a.count<link_opened>(), 0U);
}

// Guards against an invalid message of one peer that closes the links to others.
TEST_F(peer_hub_test, KeepsOtherLinksWhenOneSendsAnInvalidMessage)
{
    linkUp();
    std::unique_ptr<peer_link> link;
    bool isClosed = false;
    peer_link_handlers handlers;
    handlers.opened = [&] {
        hello_message hello;
        hello.node = "stray";
        link->send(valueOf(encode(hello)), std::nullopt);
        link->send("no frame", std::nullopt);
    };
    handlers.received = [](std::string_view) {};
    handlers.closed = [&isClosed](const link_end&) { isClosed = true; };
    link = valueOf(peer_link::connect(m_loop, m_a.address(), link_purpose::regular, handlers));
    ASSERT_TRUE(m_loop.runUntil([&] { return isClosed && m_a.count<link_closed>() == 1; }, testTimeout));
    EXPECT_EQ(m_a.last<link_closed>().peer, "stray");
    m_a.hub().send(send_to_peer { "a2", callWithId(8) });
    EXPECT_TRUE(m_loop.runUntil([this] { return m_b.count<message_received>() == 1; }, testTimeout));
    EXPECT_EQ(m_b.count<link_closed>(), 0U);
}

// A peer that writes frames of its own, as one of another version or with a fault does.
class foreign_peer {
public:
    foreign_peer(event_loop& loop, const std::string& address, const std::string& name, bool grantsAnswers = false)
        : m_name { name }
        , m_grantsAnswers { grantsAnswers }
        , m_link { valueOf(peer_link::connect(loop, address, link_purpose::regular, handlers())) }
    {
    }

    void send(const std::string& frame, std::optional<call_id> call = std::nullopt) { m_link->send(frame, call); }
    [[nodiscard]] bool isOpen() const noexcept { return m_isOpen; }
    [[nodiscard]] const std::vector<peer_message>& received() const noexcept { return m_received; }

    /** @brief Returns the last message of a type, or null. */
    template <typename Message> [[nodiscard]] const Message* last() const
    {
        const Message* found = nullptr;
        for (const peer_message& message : m_received) {
            if (const Message* candidate = std::get_if<Message>(&message))
                found = candidate;
        }
        return found;
    }

private:
    [[nodiscard]] peer_link_handlers handlers()
    {
        peer_link_handlers receivers;
        receivers.opened = [this] {
            m_isOpen = true;
            hello_message hello;
            hello.node = m_name;
            hello.grantsAnswers = m_grantsAnswers;
            send(valueOf(encode(hello)));
        };
        receivers.received = [this](std::string_view frame) { m_received.push_back(valueOf(decode(frame))); };
        receivers.closed = [this](const link_end&) { m_isOpen = false; };
        return receivers;
    }

    std::string m_name;
    bool m_grantsAnswers;
    bool m_isOpen = false;
    std::vector<peer_message> m_received;
    std::unique_ptr<peer_link> m_link;
};

// Makes a frame whose header has a field of the wrong type, so that only the kind and the call can be read.
[[nodiscard]] static std::string makeUnreadableFrame(const std::string& kind, std::uint64_t call)
{
    const std::string header = "\xa3\x61k" + std::string(1, static_cast<char>(0x60 + kind.size())) + kind + "\x62id"
        + std::string(1, static_cast<char>(call)) + "\x61h\x01";
    return std::string(3, '\0') + static_cast<char>(header.size()) + header;
}

class foreign_peer_test : public testing::Test {
protected:
    void linkUp()
    {
        ASSERT_TRUE(m_loop.runUntil(
            [this] { return m_hub.count<link_opened>() == 1 && !m_peer.received().empty(); }, testTimeout));
    }

    event_loop m_loop;
    hub_fixture m_hub { m_loop, "a1", 1 };
    foreign_peer m_peer { m_loop, m_hub.address(), "a2" };
};

// Guards against a request that cannot be read and ends its link with all calls on it.
TEST_F(foreign_peer_test, RefusesOnlyTheRequestThatCannotBeRead)
{
    linkUp();
    m_peer.send(makeUnreadableFrame("fwd", 7));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_peer.last<forward_answer>() != nullptr; }, testTimeout));
    EXPECT_EQ(m_peer.last<forward_answer>()->id, call_id { 7 });
    EXPECT_TRUE(std::holds_alternative<forward_refusal>(m_peer.last<forward_answer>()->outcome));
    m_peer.send(makeUnreadableFrame("call", 8));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_peer.last<call_answer>() != nullptr; }, testTimeout));
    EXPECT_EQ(m_peer.last<call_answer>()->id, call_id { 8 });
    EXPECT_TRUE(std::holds_alternative<refused_not_run>(m_peer.last<call_answer>()->outcome));
    EXPECT_EQ(m_hub.count<link_closed>() + m_hub.count<message_received>(), 0U);
    EXPECT_EQ(m_hub.hub().faults().unreadableMessages, 2U);
}

// Guards against an answer that cannot be read and ends its link with all calls on it, or leaves its call waiting.
TEST_F(foreign_peer_test, FailsOnlyTheCallWhoseAnswerCannotBeRead)
{
    linkUp();
    m_hub.hub().send(send_to_peer { "a2", callWithId(5) });
    m_hub.hub().send(send_to_peer { "a2", callWithId(6) });
    m_peer.send(makeUnreadableFrame("fwd_ans", 5));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_hub.count<message_received>() == 1; }, testTimeout));
    const forward_answer& answer = std::get<forward_answer>(m_hub.last<message_received>().message);
    EXPECT_EQ(answer.id, call_id { 5 });
    EXPECT_TRUE(std::holds_alternative<forward_failure>(answer.outcome));
    EXPECT_EQ(m_hub.count<link_closed>(), 0U);
}

// Guards against a grant that cannot be read, for which a request would wait until its deadline.
TEST_F(foreign_peer_test, RefusesTheOfferWhoseGrantCannotBeRead)
{
    linkUp();
    m_peer.send(makeUnreadableFrame("fwd_grant", 5));
    // The grant has no further fields, so it can be read; one with a body cannot.
    m_peer.send(makeUnreadableFrame("fwd_grant", 6) + "body");
    ASSERT_TRUE(m_loop.runUntil([this] { return m_hub.count<message_received>() == 2; }, testTimeout));
    const forward_answer& answer = std::get<forward_answer>(m_hub.last<message_received>().message);
    EXPECT_EQ(answer.id, call_id { 6 });
    EXPECT_TRUE(std::holds_alternative<forward_refusal>(answer.outcome));
}

// Guards against messages of a later version, or faulty ones of no call, that end the link.
TEST_F(foreign_peer_test, DropsAMessageThatConcernsNoCall)
{
    linkUp();
    m_peer.send(makeUnreadableFrame("shout", 1));
    m_peer.send(makeUnreadableFrame("upstream", 1));
    m_peer.send(valueOf(encode(callWithId(9))));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_hub.count<message_received>() == 1; }, testTimeout));
    EXPECT_EQ(std::get<call_request>(m_hub.last<message_received>().message).id, call_id { 9 });
    EXPECT_EQ(m_hub.count<link_closed>(), 0U);
}

// Guards against calls that wait for ever because nobody knows which one a message belongs to.
TEST_F(foreign_peer_test, EndsTheLinkWhenTheCallIsUnknown)
{
    linkUp();
    m_hub.hub().send(send_to_peer { "a2", callWithId(5) });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_peer.last<call_request>() != nullptr; }, testTimeout));
    m_peer.send(std::string("\0\0\0\x0b\xa1\x61k\x67"
                            "fwd_ans",
        15));
    ASSERT_TRUE(m_loop.runUntil([this] { return m_hub.count<link_closed>() == 1; }, testTimeout));
    EXPECT_EQ(m_hub.hub().faults().endedLinks, 1U);
    EXPECT_EQ(m_hub.hub().faults().endedCalls, 1U);
    EXPECT_EQ(m_hub.hub().faults().unwrittenCalls, 0U);
}

// Guards against a request or an answer beyond the limits of the wire that ends the link, or is never answered.
TEST_F(peer_hub_test, AnswersOnlyTheCallThatIsBeyondTheLimits)
{
    linkUp();
    forward_request request;
    request.id = call_id { 5 };
    request.request.headers.assign(maxHeadBytes, { "a", "" });
    m_a.hub().send(send_to_peer { "a2", request });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<message_received>() == 1; }, testTimeout));
    const forward_answer refused = std::get<forward_answer>(m_a.last<message_received>().message);
    EXPECT_EQ(refused.id, call_id { 5 });
    EXPECT_TRUE(std::holds_alternative<forward_refusal>(refused.outcome));
    forward_answer answer;
    answer.id = call_id { 6 };
    answer.outcome = opaque_response { 200, request.request.headers, {} };
    m_b.hub().send(send_to_peer { "a1", answer });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<message_received>() == 2; }, testTimeout));
    const forward_answer failed = std::get<forward_answer>(m_a.last<message_received>().message);
    EXPECT_EQ(failed.id, call_id { 6 });
    EXPECT_TRUE(std::holds_alternative<forward_failure>(failed.outcome));
    EXPECT_EQ(m_a.count<link_closed>() + m_b.count<link_closed>(), 0U);
}

// Guards against a link that ends as soon as it opens because a node counts many entries and callers.
TEST_F(peer_hub_test, CarriesLongReports)
{
    linkUp();
    entry_callers_message callers;
    for (std::uint32_t number = 0; number < 1040; ++number)
        callers.counts.push_back({ "e" + std::to_string(number), "visits", number });
    m_a.hub().send(send_to_peer { "a2", callers });
    const auto received = [this] {
        std::size_t items = 0;
        for (const node_event& event : m_b.events()) {
            if (const message_received* message = std::get_if<message_received>(&event))
                items += std::get<entry_callers_message>(message->message).counts.size();
        }
        return items;
    };
    EXPECT_TRUE(m_loop.runUntil([&received, &callers] { return received() == callers.counts.size(); }, testTimeout));
    EXPECT_EQ(m_b.count<link_closed>(), 0U);
}

[[nodiscard]] static forward_answer largeAnswer(std::uint64_t id)
{
    forward_answer answer;
    answer.id = call_id { id };
    answer.outcome = opaque_response { 200, {}, std::string(std::size_t { 1024 } * 1024, 'x') };
    return answer;
}

[[nodiscard]] static forward_request largeRequest(std::uint64_t id)
{
    forward_request request;
    request.id = call_id { id };
    request.request.body.assign(std::size_t { 1024 } * 1024, 'x');
    return request;
}

// Guards against a link that ends, with all calls on it, because of the large answers that its own node has put on it
// (LOST), and against short messages that wait behind them.
TEST_F(peer_hub_test, KeepsALinkWhateverItsNodeSends)
{
    constexpr std::uint64_t count = 80; // Beyond the limit of the output buffer of a link.
    linkUp();
    for (std::uint64_t id = 1; id <= count; ++id)
        m_a.hub().send(send_to_peer { "a2", largeAnswer(id) });
    m_a.hub().send(send_to_peer { "a2", callWithId(7) });
    EXPECT_GT(m_a.hub().waitingAnswerBytes(), (count - 2) * 1024 * 1024);
    ASSERT_TRUE(m_loop.runUntil([this] { return m_b.count<message_received>() == count + 1; }, testTimeout));
    EXPECT_EQ(m_a.count<link_closed>() + m_b.count<link_closed>(), 0U);
    EXPECT_EQ(m_a.hub().unwrittenBytes(), 0U);
    std::vector<std::uint64_t> answers;
    std::size_t answersBeforeCall = 0;
    for (const node_event& event : m_b.events()) {
        const message_received* received = std::get_if<message_received>(&event);
        if (received == nullptr)
            continue;
        if (const forward_answer* answer = std::get_if<forward_answer>(&received->message))
            answers.push_back(answer->id.value());
        else
            answersBeforeCall = answers.size();
    }
    EXPECT_LE(answersBeforeCall, 1U);
    EXPECT_TRUE(std::is_sorted(answers.begin(), answers.end()));
}

// Guards against a request that is sent after it has been cancelled, since the cancellation passes it.
TEST_F(peer_hub_test, SendsNoRequestThatWasCancelledWhileItWaited)
{
    linkUp();
    for (std::uint64_t id = 1; id <= 3; ++id)
        m_a.hub().send(send_to_peer { "a2", largeRequest(id) });
    m_a.hub().send(send_to_peer { "a2", cancel_message { call_id { 3 } } });
    m_a.hub().send(send_to_peer { "a2", largeRequest(4) });
    ASSERT_TRUE(m_loop.runUntil([this] { return m_b.count<message_received>() == 4; }, testTimeout));
    for (const node_event& event : m_b.events()) {
        if (const message_received* received = std::get_if<message_received>(&event)) {
            const forward_request* request = std::get_if<forward_request>(&received->message);
            EXPECT_FALSE(request != nullptr && request->id == call_id { 3 });
        }
    }
}

// Guards against large answers that arrive at a node without room for them (LOST), or at one that cannot grant them.
TEST_F(peer_hub_test, SendsALargeAnswerOnceItIsGranted)
{
    foreign_peer granting { m_loop, m_a.address(), "b1", true };
    foreign_peer other { m_loop, m_a.address(), "b2" };
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_opened>() == 2; }, testTimeout));
    for (std::uint64_t id = 1; id <= 3; ++id)
        m_a.hub().send(send_to_peer { "b1", largeAnswer(id) });
    m_a.hub().send(send_to_peer { "b2", largeAnswer(1) });
    const auto offer = [&granting] { return granting.last<forward_answer_offer>(); };
    ASSERT_TRUE(m_loop.runUntil(
        [&] { return offer() != nullptr && offer()->id == call_id { 3 } && other.last<forward_answer>() != nullptr; },
        testTimeout));
    EXPECT_GT(offer()->bytes, std::size_t { 1024 } * 1024);
    EXPECT_EQ(granting.last<forward_answer>(), nullptr);
    granting.send(valueOf(encode(cancel_message { call_id { 1 } })));
    granting.send(valueOf(encode(forward_answer_grant { call_id { 1 } })));
    granting.send(valueOf(encode(forward_answer_grant { call_id { 2 } })));
    ASSERT_TRUE(m_loop.runUntil([&granting] { return granting.last<forward_answer>() != nullptr; }, testTimeout));
    EXPECT_EQ(granting.last<forward_answer>()->id, call_id { 2 });
    const std::size_t waiting = m_a.hub().waitingAnswerBytes();
    EXPECT_GT(waiting, std::size_t { 1024 } * 1024);
    EXPECT_LT(waiting, std::size_t { 2 } * 1024 * 1024);
}

class peer_fault_test : public testing::Test {
protected:
    void linkUp()
    {
        m_a.hub().open(open_link { "a2", m_relay.address() });
        ASSERT_TRUE(m_loop.runUntil(
            [this] { return m_a.count<link_opened>() == 1 && m_b.count<link_opened>() == 1; }, testTimeout));
    }

    [[nodiscard]] std::vector<call_id> receivedCalls() const
    {
        std::vector<call_id> calls;
        for (const node_event& event : m_b.events()) {
            const message_received* message = std::get_if<message_received>(&event);
            if (message != nullptr)
                calls.push_back(std::get<call_request>(message->message).id);
        }
        return calls;
    }

    event_loop m_loop;
    hub_fixture m_a { m_loop, "a1", 1 };
    hub_fixture m_b { m_loop, "a2", 2 };
    test_relay m_relay { m_loop, m_b.address() };
};

// Guards against a link that stays active although its connection no longer delivers data, and against resending a call
// of that link although it may have been executed.
TEST_F(peer_fault_test, ReplacesASilentLink)
{
    linkUp();
    m_relay.discardBytes();
    m_a.hub().send(send_to_peer { "a2", callWithId(5) });
    ASSERT_TRUE(m_loop.runUntil(
        [this] { return m_a.count<link_opened>() == 2 && m_b.count<link_opened>() == 2; }, testTimeout));
    EXPECT_EQ(m_a.hub().linkState("a2"), peer_link_state::open);
    EXPECT_EQ(m_a.count<link_closed>(), 1U);
    EXPECT_TRUE(m_a.last<link_closed>().unwritten.empty());
    m_a.hub().send(send_to_peer { "a2", callWithId(6) });
    ASSERT_TRUE(m_loop.runUntil([this] { return !receivedCalls().empty(); }, testTimeout));
    EXPECT_EQ(receivedCalls(), std::vector<call_id> { call_id { 6 } });
}

// Guards against calls that are reported as unwritten although they were delivered, or that are lost without a report.
TEST_F(peer_fault_test, ReportsTheFramesLeftUnwrittenWhenALinkFails)
{
    constexpr std::uint64_t calls = 40; // Together larger than the socket buffers.
    linkUp();
    m_relay.stopReading();
    for (std::uint64_t id = 1; id <= calls; ++id) {
        call_request call = callWithId(id);
        call.body.assign(std::size_t { 1024 } * 1024, 'x');
        m_a.hub().send(send_to_peer { "a2", call });
    }
    m_loop.runUntil([] { return false; }, milliseconds { 50 });
    m_relay.closeConnections();
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_closed>() == 1; }, testTimeout));
    const std::vector<call_id> unwritten = m_a.last<link_closed>().unwritten;
    ASSERT_FALSE(unwritten.empty());
    EXPECT_EQ(unwritten.back(), call_id { calls });
    EXPECT_EQ(std::count(unwritten.begin(), unwritten.end(), call_id { 1 }), 0);
    for (const call_id id : receivedCalls())
        EXPECT_EQ(std::count(unwritten.begin(), unwritten.end(), id), 0) << id.value();
}

// Guards against large requests that count as sent although they still wait, so that they are not sent elsewhere.
TEST_F(peer_fault_test, ReportsTheRequestsThatWaitWhenALinkFails)
{
    constexpr std::uint64_t calls = 40; // Together larger than the socket buffers.
    linkUp();
    m_relay.stopReading();
    for (std::uint64_t id = 1; id <= calls; ++id)
        m_a.hub().send(send_to_peer { "a2", largeRequest(id) });
    m_loop.runUntil([] { return false; }, milliseconds { 50 });
    m_relay.closeConnections();
    ASSERT_TRUE(m_loop.runUntil([this] { return m_a.count<link_closed>() == 1; }, testTimeout));
    const std::vector<call_id> unwritten = m_a.last<link_closed>().unwritten;
    ASSERT_GT(unwritten.size(), calls / 2);
    EXPECT_EQ(unwritten.back(), call_id { calls });
    EXPECT_EQ(std::count(unwritten.begin(), unwritten.end(), call_id { 1 }), 0);
    EXPECT_EQ(m_a.hub().unwrittenBytes(), 0U);
}

} // namespace knapweedcroft
