#ifndef KNAPWEEDCROFT_WIRE_CODEC_HPP
#define KNAPWEEDCROFT_WIRE_CODEC_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/wire/limits.hpp"
#include "knapweedcroft/wire/messages.hpp"
#include "knapweedcroft/wire/substitutes.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedcroft {

/**
 * @brief Encodes a message as one frame: header length (u32, big-endian), CBOR header, raw body.
 *
 * Durations are encoded in microseconds. Only calls, opaque requests and the answers to them have a body.
 * Numbers beyond the limits of the wire are replaced by the closest one that it can carry.
 * @return The frame, or an error of kind `malformed_frame` if `decode` would refuse it for its size.
 */
[[nodiscard]] result<std::string> encode(const peer_message& message);

/** @brief Returns the name of a message's kind on the wire. */
[[nodiscard]] std::string_view kindOf(const peer_message& message);

/**
 * @brief Decodes one frame and validates every field; unknown fields are ignored.
 * @param frame Untrusted bytes; invalid input is reported as an error and never throws.
 * @return The message, or an error of kind `malformed_frame` or `unknown_message`.
 */
[[nodiscard]] result<peer_message> decode(std::string_view frame);

/**
 * @brief Finds out what a frame is about that `decode` refuses.
 * @return The kind of the message and the call that it names, or nothing if its header cannot be separated from the
 * rest or parsed.
 */
[[nodiscard]] std::optional<message_subject> subjectOfFrame(std::string_view frame);

} // namespace knapweedcroft

#endif
