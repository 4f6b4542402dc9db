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
 * @brief Reads the fields of a JSON object with checks of presence, type and range.
 *
 * The first error is kept; later reads return their fallback. Callers read all fields, then call `finish` once.
 */
class json_reader {
public:
    /**
     * @brief Constructs a reader.
     * @param object JSON value to read; anything but an object is an error.
     * @param context Name of the document or part, used in messages.
     */
    json_reader(const nlohmann::json& object, std::string context);

    /**
     * @brief Reads a required string.
     * @param field Name of the field.
     * @return The string, or an empty one after an error.
     */
    [[nodiscard]] std::string string(std::string_view field);

    /**
     * @brief Reads an optional string.
     * @param field Name of the field.
     * @param fallback Value if the field is absent.
     * @return The string.
     */
    [[nodiscard]] std::string string(std::string_view field, std::string_view fallback);

    /**
     * @brief Reads a required integer.
     * @param field Name of the field.
     * @param least Least value allowed.
     * @param most Greatest value allowed.
     * @return The integer, or `least` after an error.
     */
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t least, std::int64_t most);

    /**
     * @brief Reads an optional integer.
     * @param field Name of the field.
     * @param least Least value allowed.
     * @param most Greatest value allowed.
     * @param fallback Value if the field is absent.
     * @return The integer.
     */
    [[nodiscard]] std::int64_t integer(
        std::string_view field, std::int64_t least, std::int64_t most, std::int64_t fallback);

    /**
     * @brief Reads an optional number.
     * @param field Name of the field.
     * @param least Least value allowed.
     * @param most Greatest value allowed.
     * @param fallback Value if the field is absent.
     * @return The number.
     */
    [[nodiscard]] double number(std::string_view field, double least, double most, double fallback);

    /**
     * @brief Reads an optional boolean.
     * @param field Name of the field.
     * @param fallback Value if the field is absent.
     * @return The boolean.
     */
    [[nodiscard]] bool boolean(std::string_view field, bool fallback);

    /**
     * @brief Reads an optional list of strings.
     * @param field Name of the field.
     * @return The strings; empty if the field is absent.
     */
    [[nodiscard]] std::vector<std::string> strings(std::string_view field);

    /**
     * @brief Returns a field as JSON, for nested objects and arrays.
     * @param field Name of the field.
     * @return The value, or null if the field is absent.
     */
    [[nodiscard]] const nlohmann::json& child(std::string_view field);

    /**
     * @brief Records an error found by the caller, unless one was found before.
     * @param kind What is wrong.
     * @param message Names the field and the remedy.
     */
    void fail(error_kind kind, std::string message);

    /**
     * @brief Ends reading and reports the first error; a field that was never asked for is an error.
     * @return The first error, if any.
     */
    [[nodiscard]] std::optional<error> finish();

    /**
     * @brief Ends reading and reports the first error; unknown fields are allowed.
     * @return The first error, if any.
     */
    [[nodiscard]] std::optional<error> finishLenient() const;

    /** @brief Returns the name of the document or part, as used in messages. */
    [[nodiscard]] const std::string& context() const noexcept { return m_context; }

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view field, bool isRequired);
    [[nodiscard]] std::int64_t checkedInteger(
        std::string_view field, const nlohmann::json& value, std::int64_t least, std::int64_t most);

    const nlohmann::json& m_object;
    std::string m_context;
    std::vector<std::string> m_known;
    std::optional<error> m_error;
};

/** @brief What becomes of values that are nested in more than 64 others, such as `[[[...]]]`. */
enum class deep_values : std::uint8_t {
    refused, /*!< The document is an error. */
    discarded /*!< For documents with parts of several origins, of which one must not spoil the others. */
};

/**
 * @brief Parses JSON text.
 *
 * The depth is bounded because copying and formatting a document of nlohmann::json need stack for each level.
 *
 * @param text The text.
 * @param context Name of the document, used in the message.
 * @param deep What becomes of values that are nested too deeply.
 * @return The document, or an error of kind `malformed_json`.
 */
[[nodiscard]] result<nlohmann::json> parseJson(
    std::string_view text, std::string_view context, deep_values deep = deep_values::refused);

/**
 * @brief Reads and parses a JSON file.
 * @param path Path of the file.
 * @return The document, or an error of kind `unreadable_file` or `malformed_json`.
 */
[[nodiscard]] result<nlohmann::json> readJsonFile(const std::string& path);

} // namespace knapweedcroft

#endif
