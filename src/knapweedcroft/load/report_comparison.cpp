#include "knapweedcroft/load/report_comparison.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr double maxFigure = 1e12;
static constexpr std::size_t lineWidth = 256;

[[nodiscard]] static compared_phase& phaseNamed(std::vector<compared_phase>& phases, const std::string& name)
{
    const auto position = std::find_if(
        phases.begin(), phases.end(), [&name](const compared_phase& phase) { return phase.name == name; });
    if (position != phases.end())
        return *position;
    phases.push_back({ name });
    return phases.back();
}

[[nodiscard]] static std::optional<error> readLine(
    const nlohmann::json& value, const std::string& context, std::vector<compared_phase>& phases)
{
    json_reader reader { value, context };
    const std::string phase = reader.string("phase");
    const std::string scope = reader.string("scope");
    const std::string name = reader.string("name");
    const double goodput = reader.number("goodput_per_s", 0.0, maxFigure, 0.0);
    const double oracleRate = reader.number("oracle_per_s", 0.0, maxFigure, 0.0);
    if (std::optional<error> found = reader.finishLenient())
        return found;
    compared_phase& compared = phaseNamed(phases, phase);
    if (scope == "all") {
        compared.goodput = goodput;
        compared.oracleRate = oracleRate;
    } else if (scope == "class" && name == "critical") {
        compared.criticalGoodput = goodput;
        compared.criticalOracleRate = oracleRate;
    }
    return std::nullopt;
}

[[nodiscard]] static double shareOf(double part, double whole) noexcept { return whole > 0.0 ? part / whole : 0.0; }

[[nodiscard]] static std::string formatPhase(const compared_report& report, const compared_phase& phase)
{
    char text[lineWidth];
    std::snprintf(text, lineWidth, "%-24s %-10s %10.1f %10.3f %12.1f %12.3f\n", report.variant.c_str(),
        phase.name.c_str(), phase.goodput, shareOf(phase.goodput, phase.oracleRate), phase.criticalGoodput,
        shareOf(phase.criticalGoodput, phase.criticalOracleRate));
    return text;
}

[[nodiscard]] static std::string formatRecovery(const compared_report& report)
{
    if (!report.isRecoveryMeasured)
        return "-";
    return report.recoveryMs ? std::to_string(static_cast<std::int64_t>(*report.recoveryMs)) : "never";
}

[[nodiscard]] static std::string formatTotals(const compared_report& report)
{
    char text[lineWidth];
    std::snprintf(text, lineWidth, "%-24s %12s %10.2f %10zu\n", report.variant.c_str(), formatRecovery(report).c_str(),
        report.wastedShare * 100.0, report.violations);
    return text;
}

} // namespace internal

result<compared_report> parseComparedReport(const std::string& variant, const nlohmann::json& document)
{
    compared_report parsed;
    parsed.variant = variant;
    json_reader reader { document, "report of " + variant };
    const nlohmann::json& lines = reader.child("lines");
    const nlohmann::json& recovery = reader.child("recovery");
    const nlohmann::json& audit = reader.child("audit");
    parsed.violations = reader.child("violations").size();
    if (!lines.is_array())
        reader.fail(error_kind::wrong_type, "field \"lines\" must be a list; use a report of knapweed-load");
    if (std::optional<error> found = reader.finishLenient())
        return *found;
    for (const nlohmann::json& line : lines) {
        if (std::optional<error> found = internal::readLine(line, reader.context() + ": line", parsed.phases))
            return *found;
    }
    json_reader auditReader { audit, reader.context() + ": audit" };
    parsed.wastedShare = auditReader.number("wasted_share", 0.0, 1.0, 0.0);
    json_reader recoveryReader { recovery, reader.context() + ": recovery" };
    const nlohmann::json& all = recoveryReader.child("all");
    json_reader allReader { all, reader.context() + ": recovery of all" };
    parsed.isRecoveryMeasured = allReader.boolean("measured", false);
    if (!allReader.child("ms").is_null())
        parsed.recoveryMs = allReader.number("ms", 0.0, internal::maxFigure, 0.0);
    for (const json_reader* part : { &auditReader, &recoveryReader, &allReader }) {
        if (std::optional<error> found = part->finishLenient())
            return *found;
    }
    return parsed;
}

std::string formatComparison(const std::vector<compared_report>& reports)
{
    char heading[internal::lineWidth];
    std::snprintf(heading, internal::lineWidth, "%-24s %-10s %10s %10s %12s %12s\n", "variant", "phase", "goodput/s",
        "of oracle", "critical/s", "of oracle");
    std::string text = heading;
    for (const compared_report& report : reports) {
        for (const compared_phase& phase : report.phases)
            text += internal::formatPhase(report, phase);
    }
    std::snprintf(
        heading, internal::lineWidth, "\n%-24s %12s %10s %10s\n", "variant", "recovery ms", "wasted %", "violations");
    text += heading;
    for (const compared_report& report : reports)
        text += internal::formatTotals(report);
    return text;
}

} // namespace knapweedcroft
