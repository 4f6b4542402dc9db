#include "knapweedcroft/wire/messages.hpp"

namespace knapweedcroft {

namespace internal {

struct kind_namer {
    std::string_view operator()(const hello_message&) const { return "hello"; }
    std::string_view operator()(const call_request&) const { return "call"; }
    std::string_view operator()(const call_answer&) const { return "answer"; }
    std::string_view operator()(const cancel_message&) const { return "cancel"; }
    std::string_view operator()(const ping_message&) const { return "ping"; }
    std::string_view operator()(const pong_message&) const { return "pong"; }
    std::string_view operator()(const heartbeat_message&) const { return "heartbeat"; }
    std::string_view operator()(const state_change_message&) const { return "state_change"; }
    std::string_view operator()(const hand_over_message&) const { return "hand_over"; }
    std::string_view operator()(const hand_over_ack_message&) const { return "hand_over_ack"; }
    std::string_view operator()(const catch_up_request_message&) const { return "catch_up_request"; }
    std::string_view operator()(const catch_up_message&) const { return "catch_up"; }
    std::string_view operator()(const store_progress_message&) const { return "store_progress"; }
    std::string_view operator()(const forward_request&) const { return "fwd"; }
    std::string_view operator()(const forward_answer&) const { return "fwd_ans"; }
    std::string_view operator()(const upstream_status_message&) const { return "upstream"; }
    std::string_view operator()(const entry_callers_message&) const { return "entry_callers"; }
    std::string_view operator()(const service_times_message&) const { return "service_times"; }
};

} // namespace internal

std::string_view kindOf(const peer_message& message) { return std::visit(internal::kind_namer {}, message); }

std::optional<call_id> requestedCall(const peer_message& message)
{
    if (const call_request* call = std::get_if<call_request>(&message))
        return call->id;
    if (const forward_request* forward = std::get_if<forward_request>(&message))
        return forward->id;
    return std::nullopt;
}

std::optional<call_id> answeredCall(const peer_message& message)
{
    if (const call_answer* answer = std::get_if<call_answer>(&message))
        return answer->id;
    if (const forward_answer* answer = std::get_if<forward_answer>(&message))
        return answer->id;
    return std::nullopt;
}

} // namespace knapweedcroft
