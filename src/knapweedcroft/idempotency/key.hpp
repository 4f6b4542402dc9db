#ifndef KNAPWEEDCROFT_IDEMPOTENCY_KEY_HPP
#define KNAPWEEDCROFT_IDEMPOTENCY_KEY_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief A validated idempotency key. */
struct idempotency_key {
    std::string text;
    std::optional<time_point> issuedAt; /*!< Wall time at which the key was issued, if it is a UUIDv7 (RFC 9562). */
};

/**
 * @brief Extracts the timestamp of a UUIDv7 key, which may have sub-call suffixes such as ".1".
 * @return Wall time, or nothing if the key has another format.
 */
[[nodiscard]] std::optional<time_point> issueTime(std::string_view text) noexcept;

/**
 * @brief Validates the value of the `Idempotency-Key` header: a UUIDv7, or 8 to 128 visible ASCII characters.
 * @param header Header value; absent if the request has no such header.
 * @return The key, or an error of kind `missing_idempotency_key` or `malformed_idempotency_key`.
 */
[[nodiscard]] result<idempotency_key> parseKey(const std::optional<std::string>& header);

} // namespace knapweedcroft

#endif
