#include "knapweedcroft/wire/internal_cbor.hpp"

#include <algorithm>
#include <vector>

namespace knapweedcroft::internal {

// Maximum nesting depth. The CBOR parser recurses once per level, so a peer could overflow the stack without a limit.
static constexpr std::size_t maxDepth = 6;

// Maximum number of values. A parsed value takes at least 16 bytes, so a short frame could otherwise exhaust memory.
static constexpr std::size_t maxValues = 1'000'000;

// Capacity reserved for the fields of a call or an answer, because keys are copied whenever a map grows.
static constexpr std::size_t typicalFieldCount = 16;

static const wire_json nullValue;
static const wire_json emptyList = wire_json::array();

// SAX handler that builds a value from parser events and stops the parser when a limit is exceeded.
class bounded_builder {
public:
    [[nodiscard]] wire_json& root() noexcept { return m_root; }

    bool null() { return add(wire_json {}) != nullptr; }
    bool boolean(bool value) { return add(value) != nullptr; }
    bool number_integer(std::int64_t value) { return add(value) != nullptr; } // NOLINT: parser API
    bool number_unsigned(std::uint64_t value) { return add(value) != nullptr; } // NOLINT: parser API
    bool number_float(double value, const std::string&) { return add(value) != nullptr; } // NOLINT: parser API
    bool string(std::string& value) { return add(std::move(value)) != nullptr; }
    bool binary(wire_json::binary_t&) { return false; }

    bool start_object(std::size_t size) // NOLINT: parser API
    {
        wire_json map = wire_json::object();
        map.get_ref<wire_json::object_t&>().reserve(std::min(size, typicalFieldCount));
        return open(std::move(map));
    }

    bool start_array(std::size_t) { return open(wire_json::array()); } // NOLINT: parser API
    bool end_object() { return close(); } // NOLINT: parser API
    bool end_array() { return close(); } // NOLINT: parser API
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) { return false; } // NOLINT

    bool key(std::string& name)
    {
        m_key = std::move(name);
        return true;
    }

private:
    template <typename Value> wire_json* add(Value&& value)
    {
        if (++m_valueCount > maxValues)
            return nullptr;
        if (m_openContainers.empty()) {
            m_root = std::forward<Value>(value);
            return &m_root;
        }
        wire_json& parent = *m_openContainers.back();
        if (parent.is_array()) {
            parent.push_back(wire_json(std::forward<Value>(value)));
            return &parent.back();
        }
        wire_json::object_t& fields = parent.get_ref<wire_json::object_t&>();
        fields.emplace_back(std::move(m_key), std::forward<Value>(value));
        return &fields.back().second;
    }

    bool open(wire_json container)
    {
        if (m_openContainers.size() >= maxDepth)
            return false;
        wire_json* added = add(std::move(container));
        if (added == nullptr)
            return false;
        m_openContainers.push_back(added);
        return true;
    }

    bool close()
    {
        m_openContainers.pop_back();
        return true;
    }

    wire_json m_root;
    std::vector<wire_json*> m_openContainers;
    std::string m_key;
    std::size_t m_valueCount = 0;
};

result<wire_json> parseCborMap(std::string_view bytes)
{
    bounded_builder builder;
    const bool isParsed = wire_json::sax_parse(bytes.begin(), bytes.end(), &builder, wire_json::input_format_t::cbor);
    if (!isParsed || !builder.root().is_object()) {
        return error { error_kind::malformed_frame,
            "the frame header is not a CBOR map within the limits on depth and number of values; run the same version "
            "on both nodes" };
    }
    return std::move(builder.root());
}

map_builder::map_builder()
    : m_map(wire_json::object()) // Brace initialization would create an array that contains the object.
{
    m_map.get_ref<wire_json::object_t&>().reserve(typicalFieldCount);
}

field_reader::field_reader(const wire_json& object, std::string_view name)
    : m_object { object }
    , m_name { name }
{
    if (!m_object.is_object())
        fail("", "a map");
}

void field_reader::fail(std::string_view field, std::string_view requirement)
{
    if (m_fault)
        return;
    std::string message { m_name };
    message.append(": field \"").append(field).append("\" must be ").append(requirement);
    m_fault = error { error_kind::malformed_frame, message + "; run the same version on both nodes" };
}

void field_reader::mergeError(const field_reader& nested)
{
    if (!m_fault)
        m_fault = nested.m_fault;
}

const wire_json* field_reader::lookUp(const char* field) const
{
    const wire_json::object_t* fields = m_object.get_ptr<const wire_json::object_t*>();
    if (fields == nullptr)
        return nullptr;
    if (m_nextIndex >= fields->size() || fields->begin()[static_cast<std::ptrdiff_t>(m_nextIndex)].first != field) {
        const auto position = fields->find(field);
        if (position == fields->end())
            return nullptr;
        m_nextIndex = static_cast<std::size_t>(position - fields->begin());
    }
    return &fields->begin()[static_cast<std::ptrdiff_t>(m_nextIndex++)].second;
}

bool field_reader::has(const char* field) const
{
    if (lookUp(field) == nullptr)
        return false;
    --m_nextIndex;
    return true;
}

const wire_json* field_reader::require(const char* field, std::string_view requirement)
{
    const wire_json* value = lookUp(field);
    if (value == nullptr)
        fail(field, requirement);
    return value;
}

std::uint64_t field_reader::unsignedInteger(const char* field, std::uint64_t maxValue)
{
    constexpr std::string_view requirement = "an unsigned integer within its limits";
    const wire_json* value = require(field, requirement);
    if (value == nullptr)
        return 0;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > maxValue) {
        fail(field, requirement);
        return 0;
    }
    return value->get<std::uint64_t>();
}

std::int64_t field_reader::integer(const char* field, std::int64_t minValue, std::int64_t maxValue)
{
    constexpr std::string_view requirement = "an integer within its limits";
    const wire_json* value = require(field, requirement);
    if (value == nullptr)
        return 0;
    const bool isTooLarge
        = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!value->is_number_integer() || isTooLarge) {
        fail(field, requirement);
        return 0;
    }
    const std::int64_t number = value->get<std::int64_t>();
    if (number < minValue || number > maxValue) {
        fail(field, requirement);
        return 0;
    }
    return number;
}

bool field_reader::boolean(const char* field)
{
    constexpr std::string_view requirement = "a boolean";
    const wire_json* value = require(field, requirement);
    if (value == nullptr)
        return false;
    if (!value->is_boolean()) {
        fail(field, requirement);
        return false;
    }
    return value->get<bool>();
}

std::string field_reader::text(const char* field)
{
    constexpr std::string_view requirement = "a string";
    const wire_json* value = require(field, requirement);
    if (value == nullptr)
        return {};
    const std::string* text = value->get_ptr<const std::string*>();
    if (text == nullptr) {
        fail(field, requirement);
        return {};
    }
    return *text;
}

const wire_json& field_reader::list(const char* field)
{
    const wire_json* value = lookUp(field);
    if (value == nullptr)
        return emptyList;
    if (!value->is_array()) {
        fail(field, "a list");
        return emptyList;
    }
    return *value;
}

const wire_json& field_reader::child(const char* field)
{
    const wire_json* value = lookUp(field);
    return value == nullptr ? nullValue : *value;
}

} // namespace knapweedcroft::internal
