#ifndef KNAPWEEDCROFT_CORE_HASH_HPP
#define KNAPWEEDCROFT_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace knapweedcroft {

/**
 * @brief Hashes bytes with XXH3; the result is the same on every host.
 * @param seed Selects a member of a family of independent hash functions.
 */
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/**
 * @brief Hashes a number with XXH3; the result is the same on all hosts of the same byte order.
 * @param seed Selects a member of a family of independent hash functions.
 */
[[nodiscard]] std::uint64_t hash64(std::uint64_t value, std::uint64_t seed = 0) noexcept;

} // namespace knapweedcroft

#endif
