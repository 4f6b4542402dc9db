#ifndef KNAPWEEDCROFT_LOAD_EFFECT_AUDIT_HPP
#define KNAPWEEDCROFT_LOAD_EFFECT_AUDIT_HPP

#include "knapweedcroft/load/load_run.hpp"
#include "knapweedcroft/load/shape.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief A violation of a guarantee, found in a run. */
struct violation {
    std::string promise; /*!< `P1` to `P8` of the design, `lost`, `expectation` (of a trace) or `interface`. */
    std::string detail;

    friend bool operator==(const violation& lhs, const violation& rhs)
    {
        return lhs.promise == rhs.promise && lhs.detail == rhs.detail;
    }
};

/** @brief Comparison of the upstreams' executions and effects with the answers that clients got. */
struct effect_audit {
    std::uint64_t executions = 0; /*!< Executions by the upstreams during the run. */
    std::uint64_t requiredExecutions = 0; /*!< Executions required by the completed requests, from their call trees. */
    std::uint64_t executionBound = 0; /*!< Maximum executions that the retry budgets allow. */
    std::vector<std::string> repeatedKeys; /*!< Keys with more than one effect. */
    std::vector<std::string> lostKeys; /*!< Answered keys for which an effect is missing. */
    std::vector<std::string> refusedKeys; /*!< Keys with an effect although all attempts were refused as not run. */
    std::uint64_t mismatched = 0;
    std::uint64_t afterLeave = 0;
    std::vector<std::string> unaudited; /*!< Hosts whose upstream restarted or did not answer. */

    /** @brief Returns the share of executions that completed requests did not need. */
    [[nodiscard]] double wastedShare() const noexcept;
};

/**
 * @brief Compares the counts of the upstreams with the outcomes of the requests.
 *
 * Lost effects are checked only if all upstreams answered and none restarted.
 */
[[nodiscard]] effect_audit auditEffects(const shape& on, const load_run& run);

/** @brief Lists the violations of guarantees in a run. */
[[nodiscard]] std::vector<violation> findViolations(const load_run& run, const effect_audit& audit);

/**
 * @brief Lists the requests of a replayed trace whose outcome differs from the expected answer.
 * @return A violation of kind `expectation` for each of them.
 */
[[nodiscard]] std::vector<violation> findUnexpectedEnds(const shape& on, const load_run& run);

} // namespace knapweedcroft

#endif
