#include "knapweedcroft/node/key_service.hpp"

#include "knapweedcroft/membership/views.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace knapweedcroft {

/** @brief Nodes a, b and c join in turn. Each of them may have read a different prefix of the log. */
class key_service_test : public testing::Test {
protected:
    struct node {
        explicit node(const node_name& name)
            : leases { {}, name, incarnation_id { 1 }, {} }
            , keys { { name, incarnation_id { 1 } }, "s", {}, 1, views, leases }
        {
        }

        void read(const view_log& source)
        {
            for (const log_record& record : source.records)
                static_cast<void>(views.apply(record, {}));
            leases.updateViews(*views.history("s"));
            keys.handleViewChange();
        }

        membership_state views { membership_settings {} };
        lease_table leases;
        key_service keys;
    };

    key_service_test()
    {
        log.join("a", 1);
        a.read(log);
        log.join("b", 1);
        const service_view two = log.view();
        log.join("c", 1);
        const service_view three = log.view();
        while (key_placement::holder(two, key)->node != "b" || key_placement::holder(three, key)->node != "c")
            key += "x";
    }

    void readAll()
    {
        for (node* reader : { &a, &b, &c })
            reader->read(log);
    }

    [[nodiscard]] static std::vector<std::pair<node_name, hand_over_message>> handOvers(const node_actions& actions)
    {
        std::vector<std::pair<node_name, hand_over_message>> found;
        for (const node_action& action : actions) {
            const send_to_peer* sent = std::get_if<send_to_peer>(&action);
            if (sent != nullptr && std::holds_alternative<hand_over_message>(sent->message))
                found.emplace_back(sent->peer, std::get<hand_over_message>(sent->message));
        }
        return found;
    }

    [[nodiscard]] static std::vector<std::pair<node_name, hand_over_message>> sendHandOvers(node& from)
    {
        node_actions actions;
        from.keys.sendPendingHandOvers({ "a", "b", "c" }, actions);
        return handOvers(actions);
    }

    [[nodiscard]] std::size_t recordsFor(
        const std::vector<std::pair<node_name, hand_over_message>>& messages, const node_name& to) const
    {
        std::size_t count = 0;
        for (const std::pair<node_name, hand_over_message>& message : messages)
            count += message.first == to ? message.second.records.size() : 0;
        return count;
    }

    [[nodiscard]] key_decision admit(node& at) const { return at.keys.admit(key, "s.book", 1, window); }

    [[nodiscard]] static node_actions receive(node& at, const node_name& from, const hand_over_message& message)
    {
        node_actions actions;
        at.keys.receive(from, message, actions);
        return actions;
    }

    [[nodiscard]] node_actions resolve(node& at) const
    {
        node_actions actions;
        at.keys.resolve(key, "s.book", 1, window, booked, actions);
        return actions;
    }

    /** @brief Starts the key's call at a; then b and c join, and the key moves from a to b and from b to c. */
    void moveKeyTwice()
    {
        ASSERT_TRUE(std::holds_alternative<run_key>(admit(a)));
        b.read(log);
        c.read(log);
        log.records.pop_back();
        a.read(log);
        for (const std::pair<node_name, hand_over_message>& message : sendHandOvers(a))
            static_cast<void>(receive(b, "a", message.second));
        for (const std::pair<node_name, hand_over_message>& message : sendHandOvers(b))
            static_cast<void>(receive(c, "b", message.second));
    }

    view_log log;
    node a { "a" };
    node b { "b" };
    node c { "c" };
    std::string key = "key-0001";
    milliseconds window { 10'000 };
    const answered booked { 201, "text/plain", "booked" };
};

// Guards against a key that runs twice because a hand-over overtakes its records: if a sent the key straight to c, b
// could report its hand-over to c as complete while the key is still in transit, and c would run it again.
TEST_F(key_service_test, HandOverGoesByTheViewThatMovedTheKey)
{
    ASSERT_TRUE(std::holds_alternative<run_key>(admit(a)));
    static_cast<void>(resolve(a));
    readAll();
    const std::vector<std::pair<node_name, hand_over_message>> first = sendHandOvers(a);
    EXPECT_EQ(recordsFor(first, "b"), 1U);
    EXPECT_EQ(recordsFor(first, "c"), 0U);
    EXPECT_TRUE(sendHandOvers(b).empty());
    for (const std::pair<node_name, hand_over_message>& message : first) {
        if (message.first == "b")
            static_cast<void>(receive(b, "a", message.second));
    }
    EXPECT_EQ(recordsFor(sendHandOvers(b), "c"), 1U);
}

// Guards against a result that stays at a former holder, where no repeat finds it, because its sender had not read the
// latest view.
TEST_F(key_service_test, LateResultIsForwardedToThePresentHolder)
{
    moveKeyTwice();
    const std::vector<std::pair<node_name, hand_over_message>> late = handOvers(resolve(a));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].first, "b");
    const std::vector<std::pair<node_name, hand_over_message>> forwarded = handOvers(receive(b, "a", late[0].second));
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].first, "c");
    EXPECT_TRUE(receive(c, "b", forwarded[0].second).empty());
    const key_decision decision = admit(c);
    ASSERT_TRUE(std::holds_alternative<replay_key>(decision));
    EXPECT_EQ(std::get<replay_key>(decision).outcome, call_result { booked });
    // A node whose view is older than the sender's keeps the result, so that nodes with different views do not forward
    // it back and forth.
    EXPECT_TRUE(handOvers(receive(a, "b", forwarded[0].second)).empty());
}

// Guards against the loss of a result that arrives between the departure of the key's new holder and the hand-over that
// returns the key.
TEST_F(key_service_test, ResultOfKeyThatCameBackIsRecorded)
{
    moveKeyTwice();
    log.add(leave_record { "b", incarnation_id { 1 } });
    a.read(log);
    EXPECT_TRUE(resolve(a).empty());
    hand_over_message back;
    back.viewOffset = log.view().offset;
    back.records.push_back(key_record { key, "s.book", 1, window, true, {} });
    static_cast<void>(receive(a, "b", back));
    const key_decision decision = admit(a);
    ASSERT_TRUE(std::holds_alternative<replay_key>(decision));
    EXPECT_EQ(std::get<replay_key>(decision).outcome, call_result { booked });
}

} // namespace knapweedcroft
