#include "knapweedcroft/core/hash.hpp"

#include <xxhash.h>

namespace knapweedcroft {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash64(std::uint64_t value, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

} // namespace knapweedcroft
