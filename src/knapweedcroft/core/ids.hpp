#ifndef KNAPWEEDCROFT_CORE_IDS_HPP
#define KNAPWEEDCROFT_CORE_IDS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Formats a number as 16 lower-case hexadecimal digits. */
[[nodiscard]] std::string toHex(std::uint64_t value);

/**
 * @brief Parses 16 lower-case hexadecimal digits.
 * @return The number, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<std::uint64_t> parseHex(std::string_view text) noexcept;

/**
 * @brief A strongly typed 64-bit identifier; identifiers with different tags do not convert to each other.
 * @tparam Tag Distinguishes the kinds of identifier.
 */
template <typename Tag> class basic_id {
public:
    constexpr basic_id() noexcept = default;

    /** @brief Constructs an identifier from its numeric value. */
    explicit constexpr basic_id(std::uint64_t value) noexcept
        : m_value { value }
    {
    }

    /** @brief Returns the numeric value. */
    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return m_value; }

    friend constexpr bool operator==(basic_id lhs, basic_id rhs) noexcept { return lhs.m_value == rhs.m_value; }
    friend constexpr bool operator!=(basic_id lhs, basic_id rhs) noexcept { return !(lhs == rhs); }
    friend constexpr bool operator<(basic_id lhs, basic_id rhs) noexcept { return lhs.m_value < rhs.m_value; }

private:
    std::uint64_t m_value = 0;
};

/** @brief Identifies a user action throughout the call graph. */
using action_id = basic_id<struct action_id_tag>;

/** @brief Identifies a call; unique only within the node incarnation that issued it. */
using call_id = basic_id<struct call_id_tag>;

/** @brief Identifies one run of a node process; changes on every restart. */
using incarnation_id = basic_id<struct incarnation_id_tag>;

} // namespace knapweedcroft

template <typename Tag> struct std::hash<knapweedcroft::basic_id<Tag>> {
    std::size_t operator()(knapweedcroft::basic_id<Tag> id) const noexcept
    {
        return static_cast<std::size_t>(id.value());
    }
};

#endif
