#ifndef KNAPWEEDCROFT_WIRE_INTERNAL_CBOR_HPP
#define KNAPWEEDCROFT_WIRE_INTERNAL_CBOR_HPP

#include "knapweedcroft/core/error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedcroft::internal {

/** @brief JSON value whose objects are vectors, which are cheaper to build than trees for a few fields. */
using wire_json = nlohmann::ordered_json;

/**
 * @brief Builds a map field by field.
 *
 * Avoids the overhead of nlohmann::json: an initializer list copies each value three times, and `operator[]` searches
 * the map before it inserts.
 */
class map_builder {
public:
    map_builder();

    /**
     * @brief Adds a field.
     * @param name Name that the map does not contain yet; not checked.
     * @return This builder, for chaining.
     */
    template <typename Value> map_builder& add(const char* name, Value&& value)
    {
        m_map.get_ref<wire_json::object_t&>().emplace_back(name, std::forward<Value>(value));
        return *this;
    }

    /** @brief Moves the map out of the builder. */
    [[nodiscard]] wire_json take() { return std::move(m_map); }

private:
    wire_json m_map;
};

/**
 * @brief Parses a CBOR map with limits on its depth and its number of values.
 * @param bytes The encoded map; trailing bytes are an error. Duplicate field names are accepted.
 * @return The map, or an error of kind `malformed_frame`.
 */
[[nodiscard]] result<wire_json> parseCborMap(std::string_view bytes);

/**
 * @brief Reads the fields of a decoded map. The first error is kept; a field that cannot be read yields a zero value.
 */
class field_reader {
public:
    /**
     * @brief Constructs a reader.
     * @param object The map, which must outlive the reader; a value of another type is recorded as an error.
     * @param name Name of the map in error messages.
     */
    field_reader(const wire_json& object, std::string_view name);

    /** @brief Returns the first error, if any. */
    [[nodiscard]] const std::optional<error>& fault() const noexcept { return m_fault; }

    /** @brief Returns whether a field is present. */
    [[nodiscard]] bool has(const char* field) const;

    /** @brief Returns an unsigned integer of at most `maxValue`. */
    [[nodiscard]] std::uint64_t unsignedInteger(const char* field, std::uint64_t maxValue = UINT64_MAX);

    /** @brief Returns a signed integer between `minValue` and `maxValue`, both inclusive. */
    [[nodiscard]] std::int64_t integer(const char* field, std::int64_t minValue, std::int64_t maxValue);

    /** @brief Returns a boolean. */
    [[nodiscard]] bool boolean(const char* field);

    /** @brief Returns a string. */
    [[nodiscard]] std::string text(const char* field);

    /** @brief Returns a list, or an empty list if the field is absent. */
    [[nodiscard]] const wire_json& list(const char* field);

    /** @brief Returns a nested value, or null if it is absent. */
    [[nodiscard]] const wire_json& child(const char* field);

    /** @brief Records an error unless one is already recorded. */
    void fail(std::string_view field, std::string_view requirement);

    /** @brief Records the error of a nested value's reader unless one is already recorded. */
    void mergeError(const field_reader& nested);

private:
    [[nodiscard]] const wire_json* lookUp(const char* field) const;
    [[nodiscard]] const wire_json* require(const char* field, std::string_view requirement);

    const wire_json& m_object;
    mutable std::size_t m_nextIndex = 0; /*!< Position to try first; fields are usually read in the order of writing. */
    std::string_view m_name;
    std::optional<error> m_fault;
};

} // namespace knapweedcroft::internal

#endif
