#include "knapweedcroft/wire/messages.hpp"

namespace knapweedcroft {

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
