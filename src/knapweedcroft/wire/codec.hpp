#ifndef KNAPWEEDCROFT_WIRE_CODEC_HPP
#define KNAPWEEDCROFT_WIRE_CODEC_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Maximum size of a frame in bytes. */
inline constexpr std::size_t maxFrameBytes = std::size_t { 16 } * 1024 * 1024;

/**
 * @brief Encodes a message as one frame: header length (u32, big-endian), CBOR header, raw body.
 *
 * Durations are encoded in microseconds. Only calls, opaque requests and the answers to them have a body.
 */
[[nodiscard]] std::string encode(const peer_message& message);

/** @brief Returns the name of a message's kind on the wire. */
[[nodiscard]] std::string_view kindOf(const peer_message& message);

/**
 * @brief Decodes one frame and validates every field; unknown fields are ignored.
 * @param frame Untrusted bytes; invalid input is reported as an error and never throws.
 * @return The message, or an error of kind `malformed_frame` or `unknown_message`.
 */
[[nodiscard]] result<peer_message> decode(std::string_view frame);

} // namespace knapweedcroft

#endif
