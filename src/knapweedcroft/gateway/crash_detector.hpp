#ifndef KNAPWEEDCROFT_GATEWAY_CRASH_DETECTOR_HPP
#define KNAPWEEDCROFT_GATEWAY_CRASH_DETECTOR_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/recent_completions.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Request whose exchange with an upstream broke off. */
struct interrupted_content {
    std::uint64_t digest = 0;
    std::string requestId; /*!< Identifier of the attempt. */
    std::string entry; /*!< Name of its catalogue entry. */
    std::string target; /*!< Its path and query. */
};

/** @brief An upstream has ended while it was running requests. */
struct upstream_crash {
    std::string upstream; /*!< Identifier of the upstream. */
    std::vector<interrupted_content> interrupted; /*!< What it was running, without what it had just answered. */
};

/** @brief The upstream must be checked again. */
struct check_again { };

/** @brief The upstream goes on, as far as the check shows. */
struct upstream_alive { };

/** @brief What the check of an upstream shows. */
using check_verdict = std::variant<check_again, upstream_alive, upstream_crash>;

/**
 * @brief Tells the crash of the upstream of this host from exchanges that break off for other reasons.
 *
 * An upstream crashed if an exchange broke off, no process listens at its address any more, and no exchange that ran
 * then goes on. If the next process listens before the check, its announcement shows the crash.
 */
class crash_detector {
public:
    /**
     * @brief Records that an exchange broke off after its request was written.
     * @return True if the upstream must be checked; false if a check is pending.
     */
    [[nodiscard]] bool recordInterruption(const std::string& upstream, interrupted_content content, time_point now);

    /**
     * @brief Records a complete answer of an upstream.
     * @param startedAt Start of the exchange; interruptions before it are no crash.
     */
    void recordAnswer(const std::string& upstream, std::uint64_t digest, time_point startedAt, time_point now);

    /**
     * @brief Uses the result of a check.
     * @param isRefused True if no process listens at the address of the upstream.
     * @param oldestStart Start of the oldest exchange that still runs, if there is one.
     */
    [[nodiscard]] check_verdict handleCheck(
        bool isRefused, const std::optional<time_point>& oldestStart, time_point now);

    /**
     * @brief Handles the replacement of an upstream that did not leave.
     * @param upstream Identifier of the replaced upstream.
     * @return Its crash, if exchanges with it had broken off shortly before.
     */
    [[nodiscard]] std::optional<upstream_crash> handleReplacement(const std::string& upstream, time_point now);

    /** @brief Returns true if interruptions wait for the result of a check. */
    [[nodiscard]] bool isCheckPending() const noexcept { return !m_pending.empty(); }

    /** @brief Returns the time of the next check, if one has to be repeated. */
    [[nodiscard]] const std::optional<time_point>& nextCheck() const noexcept { return m_nextCheck; }

    /** @brief Returns true, once, if the repeated check is due. */
    [[nodiscard]] bool takeDueCheck(time_point now);

private:
    struct interruption {
        std::string upstream;
        interrupted_content content;
        time_point at;
    };

    std::vector<interruption> m_pending; /*!< In the order of time. */
    std::vector<interruption> m_unexplained; /*!< After which the upstream seemed to go on. */
    recent_completions m_completions;
    std::optional<time_point> m_nextCheck;
    int m_checks = 0; /*!< Since the first pending interruption. */
};

} // namespace knapweedcroft

#endif
