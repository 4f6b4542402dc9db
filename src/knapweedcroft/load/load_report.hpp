#ifndef KNAPWEEDCROFT_LOAD_LOAD_REPORT_HPP
#define KNAPWEEDCROFT_LOAD_LOAD_REPORT_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/effect_audit.hpp"
#include "knapweedcroft/load/load_run.hpp"
#include "knapweedcroft/load/percentiles.hpp"
#include "knapweedcroft/load/shape.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Which requests a line of a report counts. */
enum class report_scope : std::uint8_t { all, class_of_importance, entry };

/** @brief Figures for the requests that arrived in one phase. */
struct report_line {
    std::string phase;
    report_scope scope = report_scope::all;
    std::string name; /*!< `all`, the class or the entry. */
    double seconds = 0.0; /*!< Length of the phase. */
    std::uint64_t offered = 0;
    attempt_counts ends {}; /*!< Requests by the end of their last attempt. */
    attempt_counts attempts {}; /*!< Attempts by how they ended. */
    std::uint64_t completions = 0; /*!< Requests that completed during the phase, whenever they arrived. */
    double oracleRate = 0.0; /*!< Whole requests per second that the oracle completes. */
    percentiles latency { {} }; /*!< Of completed requests, from the arrival to the last answer. */

    /** @brief Returns completions during the phase per second. */
    [[nodiscard]] double goodput() const noexcept;

    /** @brief Returns attempts per request. */
    [[nodiscard]] double attemptsPerRequest() const noexcept;
};

/** @brief Time until goodput recovers after the last disturbed phase. */
struct recovery {
    bool isMeasured = false; /*!< False if no phase follows a disturbed one. */
    std::optional<milliseconds> time; /*!< Empty if goodput did not recover. */
};

/** @brief Request counts of one time window, by time of arrival. */
struct report_window {
    milliseconds start; /*!< Since the start of the run. */
    std::uint64_t offered = 0;
    std::uint64_t prompt = 0; /*!< Those that completed within the prompt time. */
    std::uint64_t completions = 0; /*!< Requests that completed in the window, whenever they arrived. */
};

/** @brief Figures of a run. */
struct load_report {
    std::string shapeName;
    std::vector<report_line> lines; /*!< By phase; all, then classes, then entries. */
    recovery all;
    recovery critical; /*!< Of requests of class critical. */
    std::vector<report_window> windows;
    percentiles startDelay { {} }; /*!< From arrivals to their first attempts; long if the load tool is too slow. */
    effect_audit audit;
    std::vector<violation> violations;
    bool isInterrupted = false;
};

/**
 * @brief Computes the figures of a run.
 *
 * A window of 500 ms is good when the share of its requests that complete within the prompt time is at least 0.95 of
 * that share in the first phase. The recovery time runs from the end of the last disturbed phase to the start of the
 * first window from which all are good.
 * @param prompt Time within which a request counts for the recovery time.
 * @return The figures, without violations.
 */
[[nodiscard]] load_report makeReport(const shape& on, const load_run& run, milliseconds prompt);

/** @brief Writes a report as JSON. */
[[nodiscard]] nlohmann::ordered_json toJson(const load_report& report);

/** @brief Formats a report as a human-readable table. */
[[nodiscard]] std::string formatTable(const load_report& report);

} // namespace knapweedcroft

#endif
