#ifndef KNAPWEEDCROFT_CORE_DURATION_TEXT_HPP
#define KNAPWEEDCROFT_CORE_DURATION_TEXT_HPP

#include "knapweedcroft/core/time.hpp"

#include <optional>
#include <string_view>

namespace knapweedcroft {

/**
 * @brief Parses a duration: a decimal number followed by `ms` or `s`, such as `1500ms` or `2.5s`.
 * @return The duration, or nothing if the text is malformed, or if the duration is negative or exceeds ten years.
 */
[[nodiscard]] std::optional<milliseconds> parseDuration(std::string_view text) noexcept;

} // namespace knapweedcroft

#endif
