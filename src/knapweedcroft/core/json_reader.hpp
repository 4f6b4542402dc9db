#ifndef KNAPWEEDCROFT_CORE_JSON_READER_HPP
#define KNAPWEEDCROFT_CORE_JSON_READER_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Reads the fields of a JSON object and checks their presence, type and range.
 *
 * Only the first error is kept. Callers read all fields and then check for an error with `finish` or `finishLenient`.
 */
class json_reader {
public:
    /**
     * @brief Constructs a reader.
     * @param object JSON value to read; must outlive the reader. Anything but an object is reported as an error.
     * @param context Name of the document or of its part, for error messages.
     */
    json_reader(const nlohmann::json& object, std::string context);

    /**
     * @brief Reads a required string.
     * @return The string, or an empty one after an error.
     */
    [[nodiscard]] std::string string(std::string_view field);

    /**
     * @brief Reads an optional string.
     * @param fallback Value if the field is absent or invalid.
     */
    [[nodiscard]] std::string string(std::string_view field, std::string_view fallback);

    /**
     * @brief Reads a required integer within inclusive limits.
     * @return The integer, or `minValue` after an error.
     */
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t minValue, std::int64_t maxValue);

    /**
     * @brief Reads an optional integer within inclusive limits.
     * @param fallback Value if the field is absent.
     * @return The integer; `minValue` if the field is invalid.
     */
    [[nodiscard]] std::int64_t integer(
        std::string_view field, std::int64_t minValue, std::int64_t maxValue, std::int64_t fallback);

    /**
     * @brief Reads an optional number within inclusive limits.
     * @param fallback Value if the field is absent or invalid.
     */
    [[nodiscard]] double number(std::string_view field, double minValue, double maxValue, double fallback);

    /**
     * @brief Reads an optional boolean.
     * @param fallback Value if the field is absent or invalid.
     */
    [[nodiscard]] bool boolean(std::string_view field, bool fallback);

    /**
     * @brief Reads an optional list of strings.
     * @return The strings; empty if the field is absent or invalid.
     */
    [[nodiscard]] std::vector<std::string> strings(std::string_view field);

    /**
     * @brief Returns a field as JSON, for nested objects and arrays.
     * @return The value, or null if the field is absent.
     */
    [[nodiscard]] const nlohmann::json& child(std::string_view field);

    /**
     * @brief Records an error found by the caller, unless an earlier one was recorded.
     * @param message Names the field and states the corrective action; the context is prepended.
     */
    void fail(error_kind kind, std::string message);

    /** @brief Returns the first error, if any; a field that was never read is an error. */
    [[nodiscard]] std::optional<error> finish();

    /** @brief Returns the first error, if any; unknown fields are allowed. */
    [[nodiscard]] std::optional<error> finishLenient() const;

    /** @brief Returns the name of the document or of its part, as used in error messages. */
    [[nodiscard]] const std::string& context() const noexcept { return m_context; }

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view field, bool isRequired);
    [[nodiscard]] std::int64_t checkedInteger(
        std::string_view field, const nlohmann::json& value, std::int64_t minValue, std::int64_t maxValue);

    const nlohmann::json& m_object;
    std::string m_context;
    std::vector<std::string> m_requestedFields;
    std::optional<error> m_error;
};

/** @brief How `parseJson` handles values nested more than 64 levels deep. */
enum class deep_values : std::uint8_t {
    refused, /*!< The whole document is rejected. */
    discarded /*!< Only these values are dropped; for documents that combine data of several sources, so that one
                source cannot invalidate the others. */
};

/**
 * @brief Parses JSON text.
 *
 * The depth is limited because copying and serializing an nlohmann::json value recurse for each level.
 *
 * @param context Name of the document, for the error message.
 * @return The document, or an error of kind `malformed_json`.
 */
[[nodiscard]] result<nlohmann::json> parseJson(
    std::string_view text, std::string_view context, deep_values deepValues = deep_values::refused);

/**
 * @brief Reads and parses a JSON file.
 * @return The document, or an error of kind `unreadable_file` or `malformed_json`.
 */
[[nodiscard]] result<nlohmann::json> readJsonFile(const std::string& path);

} // namespace knapweedcroft

#endif
