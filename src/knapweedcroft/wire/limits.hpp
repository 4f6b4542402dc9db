#ifndef KNAPWEEDCROFT_WIRE_LIMITS_HPP
#define KNAPWEEDCROFT_WIRE_LIMITS_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedcroft {

/** @brief Maximum size of a frame in bytes. */
inline constexpr std::size_t maxFrameBytes = std::size_t { 16 } * 1024 * 1024;

/** @brief Maximum size in bytes of a name, an identifier or an explanation. */
inline constexpr std::size_t maxTextBytes = std::size_t { 64 } * 1024;

/**
 * @brief Maximum size in bytes of the head of an opaque request or response, with four bytes for each header line.
 *
 * The head is limited by its bytes and not by its lines, because HTTP parsers limit the bytes only.
 */
inline constexpr std::size_t maxHeadBytes = std::size_t { 1 } * 1024 * 1024;

/** @brief Maximum number of items in a list. */
inline constexpr std::size_t maxListItems = 65'536;

/** @brief Number of items from which a message that reports measurements is split. */
inline constexpr std::size_t maxItemsPerReport = 1024;

/** @brief Maximum status of a response. */
inline constexpr int maxStatus = 999;

/** @brief Maximum amount of a duration in microseconds; prevents an overflow when times are added. */
inline constexpr std::int64_t maxMicroseconds = 100'000'000'000'000'000;

/** @brief Maximum offset, version or start time. */
inline constexpr std::int64_t maxOffset = INT64_MAX / 2;

/**
 * @brief Compares the sizes of a message with the limits of this file; `encode` and `decode` both do so.
 * @return An error of kind `malformed_frame` that names the first field beyond its limit, or nothing.
 */
[[nodiscard]] std::optional<error> findExcess(const peer_message& message);

/**
 * @brief Splits a message that reports more than `maxItemsPerReport` measurements.
 * @return The parts in order, or an empty list if the message can be sent as it is.
 */
[[nodiscard]] std::vector<peer_message> splitReport(const peer_message& message);

} // namespace knapweedcroft

#endif
