#ifndef KNAPWEEDCROFT_RETRY_SUB_CALL_HISTORY_HPP
#define KNAPWEEDCROFT_RETRY_SUB_CALL_HISTORY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief First sub-call with this entry and input. */
struct first_sub_call { };

/** @brief Repeat of an earlier sub-call; costs one extra attempt. */
struct repeated_sub_call {
    std::uint32_t repeats = 1; /*!< Number of repeats so far, this one included. */
};

/** @brief The call has reached the number of sub-calls that its entry allows; the sub-call must be refused. */
struct sub_call_limit_reached { };

/** @brief Classification of a sub-call among the sub-calls of its parent. */
using sub_call_kind = std::variant<first_sub_call, repeated_sub_call, sub_call_limit_reached>;

/** @brief Record of the sub-calls that the upstream made for one running call. */
class sub_call_history {
public:
    /**
     * @brief Constructs an empty record.
     * @param maxSubCalls Number of sub-calls allowed, repeats included; zero allows none.
     */
    explicit sub_call_history(std::uint32_t maxSubCalls) noexcept
        : m_maxSubCalls { maxSubCalls }
    {
    }

    /**
     * @brief Records and classifies a sub-call.
     *
     * A sub-call repeats an earlier one if both have the same entry and the same idempotency key or, if neither has a
     * key, the same body hash.
     * @param key Idempotency key, if there is one.
     * @return Classification of the sub-call; once the limit is reached, nothing is recorded.
     */
    [[nodiscard]] sub_call_kind record(
        std::string_view entry, const std::optional<std::string>& key, std::uint64_t bodyHash);

    /** @brief Returns the number of recorded sub-calls, repeats included. */
    [[nodiscard]] std::uint32_t count() const noexcept { return m_count; }

private:
    struct sub_call_record {
        std::string entry;
        std::optional<std::string> key;
        std::uint64_t bodyHash = 0;
        std::uint32_t repeats = 0;
    };

    std::uint32_t m_maxSubCalls;
    std::uint32_t m_count = 0;
    std::vector<sub_call_record> m_records;
};

} // namespace knapweedcroft

#endif
