#include "knapweedcroft/wire/messages.hpp"

namespace knapweedcroft {

std::optional<call_id> requestedCall(const peer_message& message)
{
    if (const call_request* call = std::get_if<call_request>(&message))
        return call->id;
    if (const forward_request* forward = std::get_if<forward_request>(&message))
        return forward->id;
    if (const forward_offer* offer = std::get_if<forward_offer>(&message))
        return offer->id;
    return std::nullopt;
}

std::optional<call_id> answeredCall(const peer_message& message)
{
    if (const call_answer* answer = std::get_if<call_answer>(&message))
        return answer->id;
    if (const forward_answer* answer = std::get_if<forward_answer>(&message))
        return answer->id;
    if (const forward_grant* grant = std::get_if<forward_grant>(&message))
        return grant->id;
    return std::nullopt;
}

} // namespace knapweedcroft
