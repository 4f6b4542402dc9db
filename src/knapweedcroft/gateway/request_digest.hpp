#ifndef KNAPWEEDCROFT_GATEWAY_REQUEST_DIGEST_HPP
#define KNAPWEEDCROFT_GATEWAY_REQUEST_DIGEST_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/http/message.hpp"

#include <cstdint>
#include <string>

namespace knapweedcroft {

/**
 * @brief Identifies the content of a request: attempts with the same content have the same digest on all nodes.
 *
 * Covers host, method, target, body and the calling service, and neither the request id nor other headers, which differ
 * between attempts.
 * @param caller Service of the host on which the request originated.
 */
[[nodiscard]] std::uint64_t digestOf(const service_name& caller, const opaque_request& request);

/** @brief Returns a digest as text for logs: 16 hexadecimal digits. */
[[nodiscard]] std::string formatDigest(std::uint64_t digest);

} // namespace knapweedcroft

#endif
