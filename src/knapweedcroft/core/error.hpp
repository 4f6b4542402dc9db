#ifndef KNAPWEEDCROFT_CORE_ERROR_HPP
#define KNAPWEEDCROFT_CORE_ERROR_HPP

#include "knapweedcroft/core/fwd.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace knapweedcroft {

/** @brief Machine-readable category of an error. */
enum class error_kind {
    unreadable_file,
    malformed_json,
    missing_field,
    unknown_field,
    wrong_type,
    out_of_range,
    invalid_value,
    unknown_service,
    unknown_operation,
    missing_idempotency_key,
    malformed_idempotency_key,
    malformed_context,
    body_too_large,
    header_too_large,
    malformed_frame,
    unknown_message,
    invalid_chart,
    invalid_trace,
    version_conflict,
    command_line,
    log_unavailable,
    log_trimmed,
    connection_failed,
    timed_out
};

/** @brief An error: its kind, and a message that states the cause and the corrective action. */
struct error {
    error_kind kind;
    std::string message;

    friend bool operator==(const error& lhs, const error& rhs)
    {
        return lhs.kind == rhs.kind && lhs.message == rhs.message;
    }
    friend bool operator!=(const error& lhs, const error& rhs) { return !(lhs == rhs); }
};

/** @brief Returns the stable snake_case name of an error kind, as used in logs and HTTP responses. */
[[nodiscard]] std::string_view toString(error_kind kind) noexcept;

/** @brief Returns whether a result holds a value. */
template <typename Type> [[nodiscard]] bool hasValue(const result<Type>& outcome) noexcept
{
    return std::holds_alternative<Type>(outcome);
}

/**
 * @brief Returns the value of a result.
 * @warning Throws `std::bad_variant_access` if the result holds an error.
 */
template <typename Type> [[nodiscard]] const Type& valueOf(const result<Type>& outcome)
{
    return std::get<Type>(outcome);
}

/** @copydoc valueOf(const result<Type>&) */
template <typename Type> [[nodiscard]] Type&& valueOf(result<Type>&& outcome)
{
    return std::get<Type>(std::move(outcome));
}

/**
 * @brief Returns the error of a result.
 * @warning Throws `std::bad_variant_access` if the result holds a value.
 */
template <typename Type> [[nodiscard]] const error& errorOf(const result<Type>& outcome)
{
    return std::get<error>(outcome);
}

} // namespace knapweedcroft

#endif
