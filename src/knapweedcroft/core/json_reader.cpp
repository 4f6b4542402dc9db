#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

static const nlohmann::json nullJson;

[[nodiscard]] static std::string quoted(std::string_view field) { return "\"" + std::string { field } + "\""; }

} // namespace internal

json_reader::json_reader(const nlohmann::json& object, std::string context)
    : m_object { object }
    , m_context { std::move(context) }
{
    if (!m_object.is_object())
        fail(error_kind::wrong_type, "must be a JSON object");
}

void json_reader::fail(error_kind kind, std::string message)
{
    if (!m_error)
        m_error = error { kind, m_context + ": " + std::move(message) };
}

const nlohmann::json* json_reader::find(std::string_view field, bool isRequired)
{
    const std::string name { field };
    m_requestedFields.push_back(name);
    if (!m_object.is_object())
        return nullptr;
    const auto position = m_object.find(name);
    if (position != m_object.end())
        return &*position;
    if (isRequired)
        fail(error_kind::missing_field, "field " + internal::quoted(field) + " is missing; add it");
    return nullptr;
}

std::string json_reader::string(std::string_view field)
{
    const nlohmann::json* value = find(field, true);
    if (value == nullptr)
        return {};
    if (!value->is_string()) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::string json_reader::string(std::string_view field, std::string_view fallback)
{
    const nlohmann::json* value = find(field, false);
    if (value == nullptr)
        return std::string { fallback };
    if (!value->is_string()) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be a string");
        return std::string { fallback };
    }
    return value->get<std::string>();
}

std::int64_t json_reader::checkedInteger(
    std::string_view field, const nlohmann::json& value, std::int64_t minValue, std::int64_t maxValue)
{
    if (!value.is_number_integer()) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be an integer");
        return minValue;
    }
    const bool isAboveSigned
        = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t number = isAboveSigned ? INT64_MAX : value.get<std::int64_t>();
    if (isAboveSigned || number < minValue || number > maxValue) {
        fail(error_kind::out_of_range,
            "field " + internal::quoted(field) + " must be from " + std::to_string(minValue) + " to "
                + std::to_string(maxValue));
        return minValue;
    }
    return number;
}

std::int64_t json_reader::integer(std::string_view field, std::int64_t minValue, std::int64_t maxValue)
{
    const nlohmann::json* value = find(field, true);
    return value == nullptr ? minValue : checkedInteger(field, *value, minValue, maxValue);
}

std::int64_t json_reader::integer(
    std::string_view field, std::int64_t minValue, std::int64_t maxValue, std::int64_t fallback)
{
    const nlohmann::json* value = find(field, false);
    return value == nullptr ? fallback : checkedInteger(field, *value, minValue, maxValue);
}

double json_reader::number(std::string_view field, double minValue, double maxValue, double fallback)
{
    const nlohmann::json* value = find(field, false);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be a number");
        return fallback;
    }
    const double number = value->get<double>();
    if (!(number >= minValue && number <= maxValue)) {
        fail(error_kind::out_of_range,
            "field " + internal::quoted(field) + " must be from " + std::to_string(minValue) + " to "
                + std::to_string(maxValue));
        return fallback;
    }
    return number;
}

bool json_reader::boolean(std::string_view field, bool fallback)
{
    const nlohmann::json* value = find(field, false);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> json_reader::strings(std::string_view field)
{
    const nlohmann::json* value = find(field, false);
    std::vector<std::string> items;
    if (value == nullptr)
        return items;
    const bool isListOfStrings = value->is_array()
        && std::all_of(value->begin(), value->end(), [](const nlohmann::json& item) { return item.is_string(); });
    if (!isListOfStrings) {
        fail(error_kind::wrong_type, "field " + internal::quoted(field) + " must be a list of strings");
        return items;
    }
    for (const nlohmann::json& item : *value)
        items.push_back(item.get<std::string>());
    return items;
}

const nlohmann::json& json_reader::child(std::string_view field)
{
    const nlohmann::json* value = find(field, false);
    return value == nullptr ? internal::nullJson : *value;
}

std::optional<error> json_reader::finish()
{
    if (m_error || !m_object.is_object())
        return m_error;
    for (const auto& item : m_object.items()) {
        if (std::find(m_requestedFields.begin(), m_requestedFields.end(), item.key()) == m_requestedFields.end()) {
            fail(error_kind::unknown_field,
                "field " + internal::quoted(item.key()) + " is not known; remove it or correct its name");
            break;
        }
    }
    return m_error;
}

std::optional<error> json_reader::finishLenient() const { return m_error; }

result<nlohmann::json> parseJson(std::string_view text, std::string_view context, deep_values deepValues)
{
    constexpr int maxDepth = 64;
    bool isTooDeep = false;
    const auto isWithinDepth = [&isTooDeep](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return depth <= maxDepth;
    };
    nlohmann::json document = nlohmann::json::parse(text.begin(), text.end(), isWithinDepth, false);
    if (isTooDeep && deepValues == deep_values::refused)
        return error { error_kind::malformed_json,
            std::string { context } + ": is nested deeper than 64 levels; make it flatter" };
    if (document.is_discarded())
        return error { error_kind::malformed_json,
            std::string { context } + ": is not valid JSON; check it with a JSON parser" };
    return document;
}

result<nlohmann::json> readJsonFile(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    file.peek(); // Opening a directory succeeds; only reading fails.
    if (!file.is_open() || file.bad())
        return error { error_kind::unreadable_file, "cannot read " + path + "; check the path and its permissions" };
    const std::string text { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
    return parseJson(text, path);
}

} // namespace knapweedcroft
