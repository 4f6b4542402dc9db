#include "knapweedcroft/load/trace.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/load/call_key.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxTraceMs = 3'600'000;
static constexpr std::int64_t maxBodyBytes = std::int64_t { 16 } * 1024 * 1024;
static constexpr std::string_view answeredName = "answered";
static constexpr std::string_view refusedName = "refused_not_run";

[[nodiscard]] static std::string callContext(const std::string& context, std::size_t index)
{
    return context + ": call " + std::to_string(index + 1);
}

[[nodiscard]] static result<nlohmann::json> parseWithLine(std::string_view text, const std::string& context)
{
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error& fault) {
        const std::size_t length = std::min(fault.byte, text.size());
        const std::string_view before = text.substr(0, length);
        const std::ptrdiff_t line = std::count(before.begin(), before.end(), '\n') + 1;
        return error { error_kind::malformed_json,
            context + ": line " + std::to_string(line) + " is not valid JSON; correct it or make the trace again" };
    }
}

[[nodiscard]] static std::optional<std::string> readKey(json_reader& reader)
{
    const nlohmann::json& key = reader.child("key");
    if (key.is_null())
        return std::nullopt;
    if (!key.is_string() || !isCallKey(key.get_ref<const std::string&>())) {
        reader.fail(
            error_kind::invalid_trace, "field \"key\" must be null or a UUID of version 7 in lower case; correct it");
        return std::nullopt;
    }
    return key.get<std::string>();
}

[[nodiscard]] static expected_answer readExpectation(json_reader& reader)
{
    const std::string expect = reader.string("expect");
    if (expect != answeredName && expect != refusedName)
        reader.fail(error_kind::invalid_trace,
            "field \"expect\" is \"" + expect + "\"; use \"answered\" or \"refused_not_run\"");
    return expect == refusedName ? expected_answer::refused_not_run : expected_answer::answered;
}

[[nodiscard]] static std::optional<error> readTraceCall(
    const nlohmann::json& value, const std::string& context, trace_call& call)
{
    json_reader reader { value, context };
    call.atMs = reader.integer("at_ms", 0, maxTraceMs);
    call.entry = reader.string("entry");
    call.data_centre = reader.string("data_centre");
    call.key = readKey(reader);
    call.bodyBytes = reader.integer("body_bytes", 0, maxBodyBytes);
    call.expect = readExpectation(reader);
    return reader.finish();
}

/** @brief Checks each call against the calls before it. */
class sequence_check {
public:
    [[nodiscard]] std::optional<error> check(const trace_call& call, std::size_t index, const std::string& context)
    {
        if (call.atMs < m_lastMs)
            return error { error_kind::invalid_trace,
                context + ": is earlier than the call before it; sort the calls by \"at_ms\"" };
        m_lastMs = call.atMs;
        if (!call.key)
            return std::nullopt;
        const auto position = m_first.try_emplace(*call.key, first_use { call.entry, call.bodyBytes, index }).first;
        const first_use& first = position->second;
        if (first.entry != call.entry || first.bodyBytes != call.bodyBytes)
            return error { error_kind::invalid_trace,
                context + ": repeats the key of call " + std::to_string(first.index + 1)
                    + " with another entry or body; use a new key" };
        return std::nullopt;
    }

private:
    struct first_use {
        std::string entry;
        std::int64_t bodyBytes = 0;
        std::size_t index = 0;
    };

    std::map<std::string, first_use> m_first;
    std::int64_t m_lastMs = 0;
};

[[nodiscard]] static std::optional<error> readCalls(
    const nlohmann::json& calls, const std::string& context, std::vector<trace_call>& into)
{
    if (!calls.is_array() || calls.empty())
        return error { error_kind::invalid_trace,
            context + ": \"calls\" must be a list of at least one call; make the trace again" };
    sequence_check sequence;
    for (const nlohmann::json& item : calls) {
        trace_call call;
        const std::string itemContext = callContext(context, into.size());
        if (std::optional<error> found = readTraceCall(item, itemContext, call))
            return found;
        if (std::optional<error> found = sequence.check(call, into.size(), itemContext))
            return found;
        into.push_back(std::move(call));
    }
    return std::nullopt;
}

[[nodiscard]] static std::optional<std::string> findFault(const trace_call& call, const shape& on)
{
    const shape_entry* entry = findEntry(on, call.entry);
    if (entry == nullptr)
        return "entry \"" + call.entry + "\" is not in the catalogue; add it or choose another trace";
    if (std::find(on.data_centres.begin(), on.data_centres.end(), call.data_centre) == on.data_centres.end())
        return "data centre \"" + call.data_centre + "\" is not in the shape; add it or choose another trace";
    const bool lacksKey = !entry->entry.isIdempotent() && !call.key;
    if (lacksKey && call.expect == expected_answer::answered)
        return std::string { "is not idempotent and has no key, so it cannot be answered; add a key or expect "
                             "\"refused_not_run\"" };
    return std::nullopt;
}

} // namespace internal

result<trace> parseTrace(std::string_view text, const std::string& context)
{
    const result<nlohmann::json> document = internal::parseWithLine(text, context);
    if (!hasValue(document))
        return errorOf(document);
    trace parsed;
    json_reader reader { valueOf(document), context };
    const std::string format = reader.string("format");
    if (format != traceFormat)
        reader.fail(error_kind::invalid_trace,
            "format is \"" + format + "\"; this version reads \"" + std::string { traceFormat } + "\"");
    parsed.shapeName = reader.string("shape");
    const nlohmann::json& calls = reader.child("calls");
    if (std::optional<error> found = reader.finish())
        return *found;
    if (std::optional<error> found = internal::readCalls(calls, context, parsed.calls))
        return *found;
    return parsed;
}

result<trace> readTrace(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    if (!file)
        return error { error_kind::unreadable_file, "cannot read " + path + "; check the path and its permissions" };
    const std::string text { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
    return parseTrace(text, path);
}

std::optional<error> checkTrace(const trace& recorded, const shape& on)
{
    for (std::size_t index = 0; index < recorded.calls.size(); ++index) {
        const std::optional<std::string> fault = internal::findFault(recorded.calls[index], on);
        if (fault)
            return error { error_kind::invalid_trace, internal::callContext("trace", index) + ": " + *fault };
    }
    return std::nullopt;
}

std::string formatTrace(const trace& value)
{
    std::string text = "{\n  \"format\": \"" + std::string { traceFormat }
        + "\",\n  \"shape\": " + nlohmann::json(value.shapeName).dump() + ",\n  \"calls\": [\n";
    for (std::size_t index = 0; index < value.calls.size(); ++index) {
        const trace_call& call = value.calls[index];
        const bool isAnswered = call.expect == expected_answer::answered;
        nlohmann::ordered_json line;
        line["at_ms"] = call.atMs;
        line["entry"] = call.entry;
        line["data_centre"] = call.data_centre;
        line["key"] = call.key ? nlohmann::ordered_json(*call.key) : nlohmann::ordered_json();
        line["body_bytes"] = call.bodyBytes;
        line["expect"] = isAnswered ? internal::answeredName : internal::refusedName;
        text += "    " + line.dump() + (index + 1 < value.calls.size() ? ",\n" : "\n");
    }
    return text + "  ]\n}\n";
}

} // namespace knapweedcroft
