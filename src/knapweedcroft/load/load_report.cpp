#include "knapweedcroft/load/load_report.hpp"

#include "knapweedcroft/load/oracle.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <numeric>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds windowLength { 500 };
static constexpr milliseconds maxStartDelay { 20 }; // Shorter delays are due to timers and the scheduler.
static constexpr double recoveredShare = 0.95;
static constexpr double millisecondsPerSecond = 1000.0;
static constexpr std::string_view reportFormat = "knapweed-report/1";

using entry_filter = std::function<bool(std::size_t entry)>;

[[nodiscard]] static std::uint64_t countOf(const attempt_counts& counts, attempt_end end) noexcept
{
    return counts[static_cast<std::size_t>(end)];
}

/** @brief Computes the lines of a report. */
class report_line_builder {
public:
    report_line_builder(const shape& on, const load_run& run)
        : m_shape { on }
        , m_run { run }
    {
        for (const phase_span& span : run.phases)
            m_oracles.push_back(oracleRates(on, offeredRates(m_oracles.size(), span), span.faults));
    }

    [[nodiscard]] report_line make(
        std::size_t phase, report_scope scope, std::string name, const entry_filter& isCounted) const
    {
        const phase_span& span = m_run.phases[phase];
        report_line line;
        line.phase = span.name;
        line.scope = scope;
        line.name = std::move(name);
        line.seconds = (span.end - span.start).count() / millisecondsPerSecond;
        std::vector<milliseconds> latencies;
        for (const action_record& action : m_run.actions) {
            if (!isCounted(action.entry))
                continue;
            const bool isCompleted = action.end == attempt_end::completed;
            if (isCompleted && action.endedAt >= span.start && action.endedAt < span.end)
                ++line.completions;
            if (action.phase != phase)
                continue;
            addAction(action, line);
            if (isCompleted)
                latencies.push_back(action.endedAt - action.arrivedAt);
        }
        line.latency = percentiles { std::move(latencies) };
        for (std::size_t entry = 0; entry < m_shape.entries.size(); ++entry)
            line.oracleRate += isCounted(entry) ? m_oracles[phase][entry] : 0.0;
        return line;
    }

private:
    [[nodiscard]] std::vector<double> offeredRates(std::size_t phase, const phase_span& span) const
    {
        const double seconds = (span.end - span.start).count() / millisecondsPerSecond;
        std::vector<double> rates(m_shape.entries.size(), 0.0);
        for (const action_record& action : m_run.actions) {
            const bool isDemand = action.phase == phase && action.expect == expected_answer::answered;
            if (isDemand && seconds > 0.0)
                rates[action.entry] += 1.0 / seconds;
        }
        return rates;
    }

    static void addAction(const action_record& action, report_line& line)
    {
        ++line.offered;
        ++line.ends[static_cast<std::size_t>(action.end)];
        for (std::size_t index = 0; index < attemptEndCount; ++index)
            line.attempts[index] += action.attempts[index];
    }

    const shape& m_shape;
    const load_run& m_run;
    std::vector<std::vector<double>> m_oracles;
};

[[nodiscard]] static std::vector<report_line> makeLines(const shape& on, const load_run& run)
{
    const report_line_builder maker { on, run };
    std::vector<report_line> lines;
    for (std::size_t phase = 0; phase < run.phases.size(); ++phase) {
        lines.push_back(maker.make(phase, report_scope::all, "all", [](std::size_t) { return true; }));
        for (const call_class importance :
            { call_class::critical, call_class::high, call_class::normal, call_class::low }) {
            const entry_filter isOfClass
                = [&on, importance](std::size_t entry) { return on.entries[entry].entry.importance() == importance; };
            lines.push_back(
                maker.make(phase, report_scope::class_of_importance, std::string { toString(importance) }, isOfClass));
        }
        for (std::size_t entry = 0; entry < on.entries.size(); ++entry) {
            const entry_filter isEntry = [entry](std::size_t other) { return other == entry; };
            lines.push_back(maker.make(phase, report_scope::entry, on.entries[entry].entry.name(), isEntry));
        }
    }
    lines.erase(std::remove_if(lines.begin(), lines.end(),
                    [](const report_line& line) { return line.offered == 0 && line.scope != report_scope::all; }),
        lines.end());
    return lines;
}

[[nodiscard]] static std::vector<report_window> makeWindows(
    const load_run& run, milliseconds start, milliseconds end, milliseconds prompt, const entry_filter& isCounted)
{
    std::vector<report_window> windows;
    for (milliseconds at = start; at + windowLength <= end; at = at + windowLength)
        windows.push_back({ at, 0, 0, 0 });
    const auto windowOf = [&windows, start](milliseconds at) -> report_window* {
        if (at < start)
            return nullptr;
        const std::size_t index = static_cast<std::size_t>((at - start).microseconds() / windowLength.microseconds());
        return index < windows.size() ? &windows[index] : nullptr;
    };
    for (const action_record& action : run.actions) {
        if (!isCounted(action.entry))
            continue;
        const bool isCompleted = action.end == attempt_end::completed;
        const bool isPrompt = isCompleted && action.endedAt - action.arrivedAt <= prompt;
        if (report_window* window = windowOf(action.arrivedAt)) {
            ++window->offered;
            window->prompt += isPrompt ? 1 : 0;
        }
        report_window* completionWindow = isCompleted ? windowOf(action.endedAt) : nullptr;
        if (completionWindow != nullptr)
            ++completionWindow->completions;
    }
    return windows;
}

[[nodiscard]] static double promptShare(const std::vector<report_window>& windows)
{
    std::uint64_t offered = 0;
    std::uint64_t prompt = 0;
    for (const report_window& window : windows) {
        offered += window.offered;
        prompt += window.prompt;
    }
    return offered == 0 ? 0.0 : static_cast<double>(prompt) / static_cast<double>(offered);
}

[[nodiscard]] static bool isDisturbed(const phase_span& span, const phase_span& usual)
{
    return !span.faults.empty() || span.demand > usual.demand;
}

[[nodiscard]] static recovery measureRecovery(const load_run& run, milliseconds prompt, const entry_filter& isCounted)
{
    recovery measured;
    std::size_t after = 0;
    for (std::size_t phase = 1; phase < run.phases.size(); ++phase) {
        if (isDisturbed(run.phases[phase], run.phases.front()))
            after = phase + 1;
    }
    if (after == 0 || after >= run.phases.size())
        return measured;
    measured.isMeasured = true;
    const milliseconds start = run.phases[after].start;
    const double usual
        = promptShare(makeWindows(run, run.phases.front().start, run.phases.front().end, prompt, isCounted));
    const std::vector<report_window> windows = makeWindows(run, start, run.phases.back().end, prompt, isCounted);
    milliseconds recoveredAt = start;
    for (const report_window& window : windows) {
        const double minPrompt = recoveredShare * usual * static_cast<double>(window.offered);
        if (static_cast<double>(window.prompt) < minPrompt)
            recoveredAt = window.start + windowLength;
    }
    const bool isBack = !windows.empty() && recoveredAt < windows.back().start + windowLength && usual > 0.0;
    if (isBack)
        measured.time = recoveredAt - start;
    return measured;
}

[[nodiscard]] static percentiles startDelays(const load_run& run)
{
    std::vector<milliseconds> delays;
    for (const action_record& action : run.actions)
        delays.push_back(action.startedAt - action.arrivedAt);
    return percentiles { std::move(delays) };
}

[[nodiscard]] static std::string_view scopeName(report_scope scope) noexcept
{
    switch (scope) {
    case report_scope::all:
        return "all";
    case report_scope::class_of_importance:
        return "class";
    case report_scope::entry:
        return "entry";
    }
    return "all";
}

[[nodiscard]] static nlohmann::ordered_json countsToJson(const attempt_counts& counts)
{
    nlohmann::ordered_json object = nlohmann::ordered_json::object();
    for (std::size_t index = 0; index < attemptEndCount; ++index)
        object[std::string { toString(static_cast<attempt_end>(index)) }] = counts[index];
    return object;
}

[[nodiscard]] static nlohmann::ordered_json lineToJson(const report_line& line)
{
    nlohmann::ordered_json object;
    object["phase"] = line.phase;
    object["scope"] = scopeName(line.scope);
    object["name"] = line.name;
    object["seconds"] = line.seconds;
    object["offered"] = line.offered;
    object["completed"] = countOf(line.ends, attempt_end::completed);
    object["gave_up"] = line.offered - countOf(line.ends, attempt_end::completed);
    object["goodput_per_s"] = line.goodput();
    object["oracle_per_s"] = line.oracleRate;
    object["ends"] = countsToJson(line.ends);
    object["attempts"] = countsToJson(line.attempts);
    object["attempts_per_request"] = line.attemptsPerRequest();
    object["p50_ms"] = line.latency.at(0.5).count();
    object["p99_ms"] = line.latency.at(0.99).count();
    object["max_ms"] = line.latency.at(1.0).count();
    return object;
}

[[nodiscard]] static nlohmann::ordered_json recoveryToJson(const recovery& measured)
{
    nlohmann::ordered_json object;
    object["measured"] = measured.isMeasured;
    object["ms"] = measured.time ? nlohmann::ordered_json(measured.time->count()) : nlohmann::ordered_json();
    return object;
}

[[nodiscard]] static nlohmann::ordered_json auditToJson(const effect_audit& audit)
{
    nlohmann::ordered_json object;
    object["executions"] = audit.executions;
    object["whole_executions"] = audit.requiredExecutions;
    object["execution_bound"] = audit.executionBound;
    object["wasted_share"] = audit.wastedShare();
    object["keys_repeated"] = audit.repeatedKeys.size();
    object["keys_lost"] = audit.lostKeys.size();
    object["keys_refused_with_effect"] = audit.refusedKeys.size();
    object["answers_mismatched"] = audit.mismatched;
    object["calls_after_leave"] = audit.afterLeave;
    object["unaudited"] = audit.unaudited;
    return object;
}

[[nodiscard]] static std::string formatLine(const report_line& line)
{
    constexpr std::size_t width = 256;
    char text[width];
    const std::uint64_t refused
        = countOf(line.ends, attempt_end::refused_not_run) + countOf(line.ends, attempt_end::rejected);
    const std::uint64_t failed
        = countOf(line.ends, attempt_end::failed_after_start) + countOf(line.ends, attempt_end::failed_answer);
    const std::uint64_t unreachable
        = countOf(line.ends, attempt_end::timed_out) + countOf(line.ends, attempt_end::connection_failed);
    std::snprintf(text, width, "%-10s %-24s %7llu %9llu %9.1f %9.1f %7llu %7llu %7llu %7llu %6.2f %8.1f %8.1f %8.1f\n",
        line.phase.c_str(), line.name.c_str(), static_cast<unsigned long long>(line.offered),
        static_cast<unsigned long long>(countOf(line.ends, attempt_end::completed)), line.goodput(), line.oracleRate,
        static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
        static_cast<unsigned long long>(countOf(line.ends, attempt_end::outcome_unknown)),
        static_cast<unsigned long long>(unreachable), line.attemptsPerRequest(), line.latency.at(0.5).count(),
        line.latency.at(0.99).count(), line.latency.at(1.0).count());
    return text;
}

[[nodiscard]] static std::string formatHeading()
{
    constexpr std::size_t width = 256;
    char text[width];
    std::snprintf(text, width, "%-10s %-24s %7s %9s %9s %9s %7s %7s %7s %7s %6s %8s %8s %8s\n", "phase", "requests",
        "offered", "completed", "goodput/s", "oracle/s", "refused", "failed", "unknown", "no_answ", "att/rq", "p50 ms",
        "p99 ms", "max ms");
    return text;
}

[[nodiscard]] static std::string formatRecovery(const recovery& measured)
{
    if (!measured.isMeasured)
        return "not measured";
    return measured.time ? std::to_string(measured.time->whole()) + " ms" : "not within the run";
}

[[nodiscard]] static std::string formatAudit(const effect_audit& audit)
{
    constexpr std::size_t width = 320;
    char text[width];
    std::snprintf(text, width,
        "executions %llu, wasted %.2f %%; keys: %zu repeated, %zu lost, %zu refused but executed\n",
        static_cast<unsigned long long>(audit.executions), audit.wastedShare() * 100.0, audit.repeatedKeys.size(),
        audit.lostKeys.size(), audit.refusedKeys.size());
    std::string lines = text;
    if (!audit.unaudited.empty())
        lines += "not audited, because the upstream restarted or did not answer: "
            + std::accumulate(std::next(audit.unaudited.begin()), audit.unaudited.end(), audit.unaudited.front(),
                [](const std::string& list, const std::string& host) { return list + ", " + host; })
            + "\n";
    return lines;
}

} // namespace internal

double report_line::goodput() const noexcept
{
    return seconds > 0.0 ? static_cast<double>(completions) / seconds : 0.0;
}

double report_line::attemptsPerRequest() const noexcept
{
    if (offered == 0)
        return 0.0;
    const std::uint64_t all = std::accumulate(attempts.begin(), attempts.end(), std::uint64_t { 0 });
    return static_cast<double>(all) / static_cast<double>(offered);
}

load_report makeReport(const shape& on, const load_run& run, milliseconds prompt)
{
    const internal::entry_filter isAny = [](std::size_t) { return true; };
    const internal::entry_filter isCritical
        = [&on](std::size_t entry) { return on.entries[entry].entry.importance() == call_class::critical; };
    load_report report;
    report.shapeName = on.name;
    report.lines = internal::makeLines(on, run);
    report.all = internal::measureRecovery(run, prompt, isAny);
    report.critical = internal::measureRecovery(run, prompt, isCritical);
    const milliseconds end = run.phases.empty() ? milliseconds {} : run.phases.back().end;
    report.startDelay = internal::startDelays(run);
    report.windows = internal::makeWindows(run, milliseconds {}, end, prompt, isAny);
    report.audit = auditEffects(on, run);
    report.isInterrupted = run.isInterrupted;
    return report;
}

nlohmann::ordered_json toJson(const load_report& report)
{
    nlohmann::ordered_json object;
    object["format"] = internal::reportFormat;
    object["shape"] = report.shapeName;
    object["ok"] = report.violations.empty() && !report.isInterrupted;
    object["interrupted"] = report.isInterrupted;
    object["lines"] = nlohmann::ordered_json::array();
    for (const report_line& line : report.lines)
        object["lines"].push_back(internal::lineToJson(line));
    object["recovery"] = { { "all", internal::recoveryToJson(report.all) },
        { "critical", internal::recoveryToJson(report.critical) } };
    object["start_delay"]
        = { { "p99_ms", report.startDelay.at(0.99).count() }, { "max_ms", report.startDelay.at(1.0).count() } };
    object["audit"] = internal::auditToJson(report.audit);
    object["violations"] = nlohmann::ordered_json::array();
    for (const violation& item : report.violations)
        object["violations"].push_back({ { "promise", item.promise }, { "detail", item.detail } });
    object["windows"] = nlohmann::ordered_json::array();
    for (const report_window& window : report.windows)
        object["windows"].push_back({ { "start_ms", window.start.whole() }, { "offered", window.offered },
            { "prompt", window.prompt }, { "completions", window.completions } });
    return object;
}

std::string formatTable(const load_report& report)
{
    constexpr std::size_t maxListedViolations = 20;
    std::string text = internal::formatHeading();
    for (const report_line& line : report.lines) {
        if (line.scope != report_scope::class_of_importance)
            text += internal::formatLine(line);
    }
    text += "recovery: all " + internal::formatRecovery(report.all) + ", critical "
        + internal::formatRecovery(report.critical) + "\n" + internal::formatAudit(report.audit);
    if (report.startDelay.at(0.99) > internal::maxStartDelay)
        text += "the load tool was too slow: calls were sent up to " + std::to_string(report.startDelay.at(1.0).whole())
            + " ms late\n";
    if (report.isInterrupted)
        text += "interrupted: the figures are partial\n";
    text += std::to_string(report.violations.size()) + " violations\n";
    for (std::size_t index = 0; index < std::min(report.violations.size(), maxListedViolations); ++index)
        text += "  " + report.violations[index].promise + ": " + report.violations[index].detail + "\n";
    return text;
}

} // namespace knapweedcroft
