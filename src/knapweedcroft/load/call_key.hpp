#ifndef KNAPWEEDCROFT_LOAD_CALL_KEY_HPP
#define KNAPWEEDCROFT_LOAD_CALL_KEY_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace knapweedcroft {

/**
 * @brief Builds an idempotency key as a UUID of version 7 (RFC 9562).
 * @param issued Wall-clock time of issue.
 * @param high Random bits, of which 12 are used.
 * @param low Random bits, of which 62 are used.
 * @return The key, 36 characters in lower case.
 */
[[nodiscard]] std::string makeCallKey(time_point issued, std::uint64_t high, std::uint64_t low);

/** @brief Returns whether a text is a UUID of version 7 in lower case. */
[[nodiscard]] bool isCallKey(std::string_view text) noexcept;

/** @brief Replaces the time of issue of recorded keys by the current time; repeats of a key get the same result. */
class key_reissuer {
public:
    /**
     * @brief Returns a recorded key with its new time of issue.
     * @param recorded Key of the form checked by `isCallKey`.
     * @param wallNow Wall-clock time, used when the key is seen for the first time.
     * @return The key with a new time of issue and the same random bits.
     */
    [[nodiscard]] const std::string& reissue(const std::string& recorded, time_point wallNow);

private:
    std::unordered_map<std::string, std::string> m_reissued;
};

} // namespace knapweedcroft

#endif
