#include "knapweedcroft/load/answer_check.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <charconv>

namespace knapweedcroft {

namespace internal {

static constexpr int firstErrorStatus = 300;
static constexpr int firstServerErrorStatus = 500;

[[nodiscard]] static std::optional<milliseconds> readRetryAfter(const http_response& response)
{
    const std::optional<std::string> text = findHeader(response.headers, "Knapweed-Retry-After-Ms");
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    const char* end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc {} || parsed.ptr != end || value < 0)
        return std::nullopt;
    return milliseconds { value };
}

[[nodiscard]] static attempt_end classify(const std::string& kind, int status)
{
    if (kind == "answered")
        return status < firstErrorStatus ? attempt_end::completed : attempt_end::failed_answer;
    if (kind == "refused_not_run")
        return status < firstServerErrorStatus ? attempt_end::rejected : attempt_end::refused_not_run;
    if (kind == "failed_after_start")
        return attempt_end::failed_after_start;
    if (kind == "outcome_unknown")
        return attempt_end::outcome_unknown;
    return attempt_end::unclassified;
}

[[nodiscard]] static std::string findChildFault(
    const answer_spec& spec, const std::string& token, const nlohmann::json& children)
{
    const std::size_t count = children.is_array() ? children.size() : 0;
    if (count != spec.subCalls)
        return "has " + std::to_string(count) + " sub-answers, not " + std::to_string(spec.subCalls);
    for (std::size_t index = 0; index < count; ++index) {
        const std::string expected = token + "." + std::to_string(index + 1);
        if (children[index] != expected)
            return "sub-answer " + std::to_string(index + 1) + " is " + children[index].dump() + ", not " + expected;
    }
    return {};
}

} // namespace internal

answer_spec answerSpecOf(const shape& on, const service_name& service, const std::string& operation)
{
    answer_spec spec { service, operation, 0, 0 };
    const shape_service* owner = findService(on, service);
    const auto position = owner->operations.find(operation);
    spec.payloadBytes = static_cast<std::size_t>(position->second.responseBytes);
    for (const std::vector<shape_call>& step : position->second.steps)
        spec.subCalls += step.size();
    return spec;
}

std::string makeRequestBody(const std::string& token, std::int64_t size)
{
    const std::string start = "{\"token\":\"" + token + "\",\"padding\":\"";
    const std::string end = "\"}";
    const std::size_t fixed = start.size() + end.size();
    const std::size_t wanted = static_cast<std::size_t>(std::max<std::int64_t>(size, 0));
    return start + std::string(wanted > fixed ? wanted - fixed : 0, 'x') + end;
}

classified_answer checkAnswer(const answer_spec& spec, const std::string& token, const http_response& response)
{
    classified_answer checked;
    const std::optional<std::string> kind = findHeader(response.headers, "Knapweed-Result");
    if (!kind) {
        checked.fault = "answer with status " + std::to_string(response.status) + " has no Knapweed-Result";
        return checked;
    }
    checked.end = internal::classify(*kind, response.status);
    checked.retryAfter = internal::readRetryAfter(response);
    if (checked.end == attempt_end::unclassified)
        checked.fault = "Knapweed-Result is \"" + *kind + "\"";
    if (checked.end != attempt_end::completed)
        return checked;
    checked.fault = findBodyFault(spec, token, response.body);
    if (!checked.fault.empty())
        checked.end = attempt_end::broken_answer;
    return checked;
}

std::string findBodyFault(const answer_spec& spec, const std::string& token, const std::string& body)
{
    const result<nlohmann::json> document = parseJson(body, "answer");
    if (!hasValue(document))
        return "answer of " + std::to_string(body.size()) + " bytes is not valid JSON";
    json_reader reader { valueOf(document), "answer" };
    const std::string service = reader.string("service");
    const std::string operation = reader.string("operation");
    const std::string echo = reader.string("echo");
    const std::string payload = reader.string("payload");
    const nlohmann::json& children = reader.child("children");
    if (std::optional<error> found = reader.finishLenient())
        return found->message;
    if (echo != token)
        return "answer echoes token " + echo + ", not " + token;
    if (service != spec.service || operation != spec.operation)
        return "answer is that of " + service + "." + operation;
    if (payload.size() != spec.payloadBytes)
        return "payload has " + std::to_string(payload.size()) + " bytes, not " + std::to_string(spec.payloadBytes);
    return internal::findChildFault(spec, token, children);
}

} // namespace knapweedcroft
