#ifndef KNAPWEEDCROFT_LOAD_REPORT_COMPARISON_HPP
#define KNAPWEEDCROFT_LOAD_REPORT_COMPARISON_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Goodput of one phase. */
struct compared_phase {
    std::string name;
    double goodput = 0.0; /*!< Whole requests per second. */
    double oracleRate = 0.0; /*!< Whole requests per second of the oracle. */
    double criticalGoodput = 0.0; /*!< The same, of class critical. */
    double criticalOracleRate = 0.0;
};

/** @brief The compared figures of one report. */
struct compared_report {
    std::string variant;
    std::vector<compared_phase> phases;
    bool isRecoveryMeasured = false;
    std::optional<double> recoveryMs; /*!< Empty if goodput did not recover. */
    double wastedShare = 0.0;
    std::size_t violations = 0;
};

/**
 * @brief Reads the compared figures from a report.
 * @param variant Name of the variant that the report is of.
 * @param document Report as written by `knapweed-load`.
 * @return The figures, or an error of a `json_reader`.
 */
[[nodiscard]] result<compared_report> parseComparedReport(const std::string& variant, const nlohmann::json& document);

/**
 * @brief Formats reports as a table with a line for each phase of each report.
 * @param reports The reports, in the order in which they are shown.
 */
[[nodiscard]] std::string formatComparison(const std::vector<compared_report>& reports);

} // namespace knapweedcroft

#endif
