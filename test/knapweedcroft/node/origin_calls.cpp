#include "knapweedcroft/node/origin_calls.hpp"

#include "knapweedcroft/catalogue/change_record.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

/** @brief Origin calls of a node with a link to one member of service "s", and one running parent call. */
class origin_calls_test : public testing::Test {
protected:
    origin_calls_test()
    {
        catalogue_entry_fields fields;
        fields.service = "s";
        fields.operation = "a";
        fields.owner = "owner";
        fields.isIdempotent = true;
        fields.deadline = milliseconds { 1000 };
        change_record change;
        change.changeId = "change-1";
        change.operatorName = "operator";
        change.name = "s.a";
        change.entry = valueOf(catalogue_entry::create(fields));
        static_cast<void>(m_catalogue.apply(log_record { 0, time_point {}, formatRecord(change) }));
        m_router.setMember(member_info { "n2", "s", "a", false }, m_now);
        m_router.setAvailable("n2", true);
        parent_call parent;
        parent.action = action_id { 7 };
        parent.deadline = m_now + milliseconds { 800 };
        parent.history = sub_call_history { 8 };
        m_parents.open(call_id { 5 }, parent);
    }

    /** @brief Sends a sub-call and returns the time left until its deadline; zero if it was not sent. */
    [[nodiscard]] milliseconds deadlineOfSubCall(std::optional<milliseconds> deadline)
    {
        call_context context;
        context.node = m_incarnation;
        context.action = action_id { 7 };
        context.call = call_id { 5 };
        call_arrived event;
        event.handle = ++m_lastHandle;
        event.service = "s";
        event.operation = "a";
        event.context = formatContext(context);
        event.deadline = deadline;
        event.body = std::to_string(event.handle);
        node_actions actions;
        m_calls.begin(event, m_now, actions);
        const send_to_peer* sent = actions.empty() ? nullptr : std::get_if<send_to_peer>(&actions.front());
        return sent == nullptr ? milliseconds {} : std::get<call_request>(sent->message).deadline;
    }

    time_point m_now { milliseconds { 1000 } };
    incarnation_id m_incarnation { 1 };
    request_handle m_lastHandle = 0;
    id_source m_ids { m_incarnation };
    catalogue_state m_catalogue;
    membership_state m_membership { membership_settings {} };
    router m_router { routing_settings {}, "a", 1 };
    threshold_map m_pressure { pressure_settings {}, "t" };
    parent_calls m_parents;
    origin_calls m_calls { "n1", m_incarnation, 1, m_ids, m_catalogue, m_membership, m_router, m_pressure, m_parents };
};

// Guards against sub-calls that keep running after the deadline of their caller: a sub-call gets the earliest of the
// deadlines of its parent, its entry and its request.
TEST_F(origin_calls_test, SubCallTakesTheLeastDeadline)
{
    EXPECT_EQ(deadlineOfSubCall(std::nullopt), milliseconds { 800 });
    EXPECT_EQ(deadlineOfSubCall(milliseconds { 5000 }), milliseconds { 800 });
    EXPECT_EQ(deadlineOfSubCall(milliseconds { 300 }), milliseconds { 300 });
}

} // namespace knapweedcroft
