#ifndef KNAPWEEDCROFT_LOAD_CLIENT_REQUEST_HPP
#define KNAPWEEDCROFT_LOAD_CLIENT_REQUEST_HPP

#include "knapweedcroft/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace knapweedcroft {

/** @brief How one attempt of a client ended. */
enum class attempt_end : std::uint8_t {
    completed, /*!< Complete answer to this request, with a status below 300. */
    refused_not_run, /*!< Refused without being run; a later retry may succeed. */
    rejected, /*!< Refused with a status of 4xx; a retry cannot succeed. */
    failed_answer, /*!< The upstream answered with an error. */
    failed_after_start,
    outcome_unknown,
    timed_out, /*!< The client stopped waiting for an answer. */
    connection_failed,
    broken_answer, /*!< Partial answer, or the answer to another request. */
    unclassified /*!< Answer without `Knapweed-Result`. */
};

/** @brief Number of values of `attempt_end`. */
inline constexpr std::size_t attemptEndCount = 10;

/** @brief Number of attempts by how they ended. */
using attempt_counts = std::array<std::uint64_t, attemptEndCount>;

/**
 * @brief Returns the name of an attempt's end, as used in reports.
 * @return The name in snake_case.
 */
[[nodiscard]] std::string_view toString(attempt_end value) noexcept;

/** @brief Retry behaviour of a client after a failure or refusal. */
enum class client_profile : std::uint8_t {
    hard, /*!< Retries immediately and ignores `Retry-After`. */
    polite /*!< Waits for `Retry-After`; without it, does not retry final outcomes and backs off otherwise.
            */
};

/** @brief Settings of the clients. */
struct client_settings {
    client_profile profile = client_profile::hard;
    milliseconds patience { 3000 }; /*!< Total time limit of a request, from the user's action. */
    milliseconds attemptTimeout { 1000 }; /*!< Timeout of one attempt. */
    std::uint32_t retries = 3; /*!< Attempts after the first one. */
    milliseconds initialBackoff {
        100
    }; /*!< Delay of a polite client before its first retry; doubles with each retry. */
};

/** @brief Step: send the next attempt immediately. */
struct send_attempt {
    milliseconds timeout;
};

/** @brief Step: send the next attempt after a delay. */
struct wait_to_retry {
    time_point until;
};

/** @brief Step: none, since the request has ended. */
struct request_ended {
    attempt_end end = attempt_end::completed; /*!< End of the last attempt. */
};

/** @brief Next step of a client. */
using client_step = std::variant<send_attempt, wait_to_retry, request_ended>;

/** @brief A client request with its retries, which all use the same idempotency key. */
class client_request {
public:
    /**
     * @brief Constructs a request.
     * @param settings Must outlive the request.
     * @param start Time of the user's action.
     */
    client_request(const client_settings& settings, time_point start) noexcept
        : m_settings { settings }
        , m_start { start }
    {
    }

    /** @brief Starts the next attempt, the first one or one after a wait. */
    [[nodiscard]] client_step attempt(time_point now);

    /**
     * @brief Handles the end of the current attempt and returns the next step.
     * @param retryAfter Retry delay that the answer asks for, if any.
     */
    [[nodiscard]] client_step handleAttemptEnd(attempt_end end, std::optional<milliseconds> retryAfter, time_point now);

    /** @brief Returns the number of attempts sent. */
    [[nodiscard]] std::uint32_t attempts() const noexcept { return m_attempts; }

    /** @brief Returns the number of ended attempts by how they ended. */
    [[nodiscard]] const attempt_counts& counts() const noexcept { return m_counts; }

private:
    [[nodiscard]] bool isRetryable(attempt_end end, bool hasRetryAfter) const noexcept;
    [[nodiscard]] milliseconds retryDelay(std::optional<milliseconds> retryAfter) const noexcept;

    const client_settings& m_settings;
    time_point m_start;
    std::uint32_t m_attempts = 0;
    attempt_counts m_counts {};
    attempt_end m_lastEnd = attempt_end::timed_out;
};

} // namespace knapweedcroft

#endif
