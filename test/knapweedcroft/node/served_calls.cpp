#include "knapweedcroft/node/node_core.hpp"

#include "knapweedcroft/membership/views.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

/** @brief Returns the refusal reasons, and "dispatched" for each dispatched call, in the order of the actions. */
[[nodiscard]] static std::string decisions(const node_actions& actions)
{
    std::string text;
    for (const node_action& action : actions) {
        if (std::holds_alternative<dispatch_call>(action))
            text += "dispatched ";
        const send_to_peer* sent = std::get_if<send_to_peer>(&action);
        const call_answer* answer = sent == nullptr ? nullptr : std::get_if<call_answer>(&sent->message);
        if (answer != nullptr && std::holds_alternative<refused_not_run>(answer->outcome))
            text += std::string { toString(std::get<refused_not_run>(answer->outcome).reason) } + " ";
    }
    return text;
}

// Guards against a delegate that runs a keyed call after its holder was replaced, when the key may be in use again.
// This happens when the delegate was frozen before it read the request, since the time left in a request counts from
// then.
TEST(served_calls_test, DelegateNeedsALeaseForKeyedCallsOnly)
{
    const result<chart_set> charts = loadCharts(std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts");
    ASSERT_TRUE(hasValue(charts));
    node_settings settings;
    settings.name = "a";
    settings.service = "s";
    const time_point now { milliseconds { 1000 } };
    node_core node { settings, valueOf(charts), incarnation_id { 1 }, "a:1", now, now };
    view_log log;
    log.join("a", 1);
    log.join("b", 1);
    static_cast<void>(node.handle(upstream_announced { "s", "a:2", 4, 4, upstream_state::serving, 0.0, 1 }, now, now));
    static_cast<void>(node.handle(records_read { membershipStream, 0, 2, log.records }, now, now));
    call_request request;
    request.id = call_id { 1 };
    request.entry = "s.book";
    request.deadline = milliseconds { 2000 };
    request.key = "key-0001";
    request.role = keyed_role::delegate;
    EXPECT_EQ(decisions(node.handle(message_received { "b", request }, now, now)), "holder_unavailable ");
    request.id = call_id { 2 };
    request.role = keyed_role::none;
    EXPECT_EQ(decisions(node.handle(message_received { "b", request }, now, now)), "dispatched ");
}

} // namespace knapweedcroft
