#include "knapweedcroft/wire/substitutes.hpp"

#include "knapweedcroft/wire/codec.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr const char* cause = "the message is beyond the limits of the links between nodes";

[[nodiscard]] static peer_message makeForwardAnswer(call_id call, forward_outcome outcome)
{
    forward_answer answer;
    answer.id = call;
    answer.outcome = std::move(outcome);
    return answer;
}

[[nodiscard]] static peer_message makeCallAnswer(call_id call, call_result outcome)
{
    call_answer answer;
    answer.id = call;
    answer.outcome = std::move(outcome);
    return answer;
}

} // namespace internal

message_subject subjectOf(const peer_message& message)
{
    message_subject subject { std::string { kindOf(message) }, requestedCall(message) };
    if (!subject.call)
        subject.call = answeredCall(message);
    return subject;
}

bool concernsCall(const message_subject& subject)
{
    const message_subject named { subject.kind, call_id {} };
    return refuseUntransferred(named).has_value() || failUntransferred(named).has_value();
}

std::optional<peer_message> refuseUntransferred(const message_subject& subject)
{
    if (!subject.call)
        return std::nullopt;
    if (subject.kind == "fwd" || subject.kind == "fwd_offer")
        return internal::makeForwardAnswer(*subject.call, forward_refusal { refusal_reason::bad_request, {}, false });
    if (subject.kind == "call")
        return internal::makeCallAnswer(
            *subject.call, refused_not_run { refusal_reason::bad_request, {}, internal::cause });
    return std::nullopt;
}

std::optional<peer_message> failUntransferred(const message_subject& subject)
{
    if (!subject.call)
        return std::nullopt;
    if (subject.kind == "fwd_ans" || subject.kind == "fwd_ans_offer")
        return internal::makeForwardAnswer(*subject.call, forward_failure { internal::cause });
    if (subject.kind == "answer")
        return internal::makeCallAnswer(*subject.call, failed_after_start { internal::cause });
    // The request waits for the grant, so it has not been sent.
    if (subject.kind == "fwd_grant")
        return internal::makeForwardAnswer(*subject.call, forward_refusal { refusal_reason::bad_request, {}, false });
    return std::nullopt;
}

} // namespace knapweedcroft
