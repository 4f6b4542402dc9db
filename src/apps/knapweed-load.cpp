#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/load/arrivals.hpp"
#include "knapweedcroft/load/deployment.hpp"
#include "knapweedcroft/load/latency_probe.hpp"
#include "knapweedcroft/load/load_engine.hpp"
#include "knapweedcroft/load/load_report.hpp"
#include "knapweedcroft/load/report_comparison.hpp"
#include "knapweedcroft/load/settings.hpp"
#include "knapweedcroft/load/settings_files.hpp"
#include "knapweedcroft/load/shape.hpp"
#include "knapweedcroft/load/trace.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/settings/command_line.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft {

static constexpr int exitSuccess = 0;
static constexpr int exitViolations = 1;
static constexpr int exitFailure = 2;

static constexpr std::string_view usage = R"(usage:
  knapweed-load run SHAPE --deployment FILE --settings FILE [options]
      generates calls from the demand of a shape, with phases and faults
  knapweed-load replay TRACE --shape SHAPE --deployment FILE [options]
      replays a recorded trace
  knapweed-load make-trace SHAPE --out FILE [--seed N] [--seconds N] [--calls N]
      generates a trace from the demand of a shape
  knapweed-load latency --direct URL --through URL [--count N] [--warmup N] [--keyed]
      measures the latency that the nodes add to a call
  knapweed-load expand-shape SHAPE --out FOLDER --log ADDRESS --charts FOLDER [--overlay JSON]
      writes the settings of all nodes to FOLDER/HOST.node.json
  knapweed-load expand-shape SHAPE --out FOLDER --upstreams [--overlay JSON]
      writes the settings of all upstreams to FOLDER/HOST.upstream.json; reads FOLDER/HOST.node.ready
  knapweed-load wait-ready SHAPE --deployment FILE [--timeout SECONDS]
      calls each entry from each data centre until every call of a round completes
  knapweed-load compare NAME=REPORT...
      prints the results of several reports side by side
  knapweed-load hosts SHAPE
      prints the names of the hosts of a shape, one per line
  knapweed-load collect SHAPE --out FOLDER
      prints the deployment as one line of JSON; reads log.ready, HOST.node.ready and HOST.upstream.ready in FOLDER
Exit status: 0 on success, 1 if a guarantee was violated or a call of a trace did not end as recorded, 2 on any
other failure.
options:
)";

[[nodiscard]] static const std::vector<option_spec>& loadOptions()
{
    static const std::vector<option_spec> options { { "settings", "FILE", "JSON load settings file" },
        { "deployment", "FILE", "JSON file with the addresses of the processes, as printed by scripts/demo --hold" },
        { "shape", "FILE", "shape against which a trace is replayed" },
        { "seed", "N", "seed of the random number generators" },
        { "demand", "FACTOR", "factor by which the demand of all phases is multiplied" },
        { "profile", "NAME", "behaviour of clients: hard or polite" },
        { "retries", "N", "maximum number of retries of a client" },
        { "patience-ms", "MS", "time after which a user gives up" },
        { "attempt-timeout-ms", "MS", "time for which a client waits for the response to one attempt" },
        { "report", "FILE", "write the report to FILE as JSON" },
        { "json", "", "print the report as JSON instead of a table" }, { "out", "PATH", "file or folder to write" },
        { "seconds", "N", "duration of the trace to generate" },
        { "calls", "N", "number of calls in the trace to generate" }, { "log", "ADDRESS", "HTTP address of the log" },
        { "charts", "FOLDER", "folder of the state charts" },
        { "overlay", "JSON", "JSON object that is merged into the settings of each node or upstream" },
        { "upstreams", "", "write the settings of the upstreams" },
        { "direct", "URL", "URL of an operation at an upstream" },
        { "through", "URL", "URL of the same operation at a node" },
        { "count", "N", "number of calls of each kind to measure" },
        { "warmup", "N", "number of warm-up calls of each kind before the measurement" },
        { "timeout", "SECONDS", "time for which to wait until the deployment is ready; default: 60" },
        { "keyed", "", "send an idempotency key with each call" }, { "help", "", "this text" },
        { "version", "", "print the version" } };
    return options;
}

static int reportError(const error& cause)
{
    std::cerr << "knapweed-load: " << cause.message << "\n";
    return exitFailure;
}

[[nodiscard]] static error missingOptionError(const std::string& name)
{
    return { error_kind::command_line, "option --" + name + " is missing; see --help" };
}

[[nodiscard]] static result<std::string> readTextFile(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    if (!file)
        return error { error_kind::unreadable_file, "cannot read " + path + "; check the path and its permissions" };
    return std::string { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
}

[[nodiscard]] static std::optional<error> writeTextFile(const std::string& path, const std::string& text)
{
    std::ofstream file { path, std::ios::binary };
    file << text;
    file.close();
    if (!file)
        return error { error_kind::unreadable_file, "cannot write " + path + "; check the folder and its permissions" };
    return std::nullopt;
}

/** @brief Reads a non-negative integer from an option. */
[[nodiscard]] static result<std::uint64_t> readCount(
    const command_line& line, const std::string& name, std::uint64_t defaultValue)
{
    if (!line.has(name))
        return defaultValue;
    const std::optional<std::int64_t> value = parseInteger(line.value(name), 0, INT64_MAX);
    if (!value)
        return error { error_kind::command_line, "option --" + name + " must be an integer of at least 0" };
    return static_cast<std::uint64_t>(*value);
}

/** @brief Sets a field of a JSON object to the number given by an option, if the option is present. */
[[nodiscard]] static std::optional<error> overrideNumber(
    const command_line& line, const std::string& option, const std::string& field, nlohmann::json& object)
{
    if (!line.has(option))
        return std::nullopt;
    const nlohmann::json value = nlohmann::json::parse(line.value(option), nullptr, false);
    if (!value.is_number())
        return error { error_kind::command_line, "option --" + option + " must be a number" };
    object[field] = value;
    return std::nullopt;
}

[[nodiscard]] static std::optional<error> overrideSettings(const command_line& line, nlohmann::json& document)
{
    nlohmann::json& clients = document["clients"];
    if (clients.is_null())
        clients = nlohmann::json::object();
    if (!clients.is_object())
        return error { error_kind::wrong_type, "load settings: \"clients\" must be a JSON object" };
    if (line.has("profile"))
        clients["profile"] = line.value("profile");
    for (const std::pair<const char*, const char*>& item :
        { std::pair { "seed", "seed" }, std::pair { "demand", "demand" } }) {
        if (std::optional<error> failure = overrideNumber(line, item.first, item.second, document))
            return failure;
    }
    for (const std::pair<const char*, const char*>& item : { std::pair { "retries", "retries" },
             std::pair { "patience-ms", "patience_ms" }, std::pair { "attempt-timeout-ms", "attempt_timeout_ms" } }) {
        if (std::optional<error> failure = overrideNumber(line, item.first, item.second, clients))
            return failure;
    }
    return std::nullopt;
}

/** @brief Returns the load settings of a replay without a settings file. */
[[nodiscard]] static nlohmann::json replayDefaults()
{
    return { { "format", loadFormat },
        { "clients",
            { { "profile", "polite" }, { "patience_ms", 8000 }, { "attempt_timeout_ms", 3000 }, { "retries", 8 } } },
        { "phases", { { { "name", "replay" } } } } };
}

[[nodiscard]] static result<load_settings> readLoadSettings(const command_line& line, nlohmann::json document)
{
    if (line.has("settings")) {
        result<nlohmann::json> file = readJsonFile(line.value("settings"));
        if (!hasValue(file))
            return errorOf(file);
        document = valueOf(std::move(file));
    }
    if (!document.is_object())
        return error { error_kind::wrong_type, "load settings: must be a JSON object" };
    if (std::optional<error> failure = overrideSettings(line, document))
        return *failure;
    return parseLoadSettings(document, line.value("settings", "load settings"));
}

[[nodiscard]] static result<deployment> readDeployment(const command_line& line)
{
    if (!line.has("deployment"))
        return missingOptionError("deployment");
    const result<nlohmann::json> document = readJsonFile(line.value("deployment"));
    if (!hasValue(document))
        return errorOf(document);
    return parseDeployment(valueOf(document), line.value("deployment"));
}

[[nodiscard]] static load_plan makePlan(std::vector<arrival> arrivals, const load_settings& settings)
{
    return { std::move(arrivals), settings.phases, settings.client, settings.settle, settings.seed };
}

static void printProgress(const load_progress& progress)
{
    std::fprintf(stderr, "\r%-12s %6.1f s  %zu arrived, %zu completed, %zu in flight   ", progress.phase.c_str(),
        progress.elapsed.count() / 1000.0, progress.arrived, progress.completed, progress.inFlight);
}

static void clearProgress() { std::fprintf(stderr, "\r%-78s\r", ""); }

[[nodiscard]] static result<load_run> runLoad(const shape& graph, const deployment& target, load_plan plan)
{
    const bool shouldShowProgress = isatty(STDERR_FILENO) != 0;
    const load_engine::progress_handler handler = shouldShowProgress ? printProgress : load_engine::progress_handler {};
    const clock time { system_time_source {} };
    event_loop loop;
    load_engine engine { loop, time, graph, target, std::move(plan), handler };
    loop.setFaultHandler([](const std::string& text) { std::cerr << "knapweed-load: " << text << "\n"; });
    loop.onSignal(SIGINT, [&engine] { engine.interrupt(); });
    loop.onSignal(SIGTERM, [&engine] { engine.interrupt(); });
    result<load_run> run = engine.run();
    if (shouldShowProgress)
        clearProgress();
    return run;
}

static int outputReport(const command_line& line, const load_report& results)
{
    const std::string json = toJson(results).dump(2) + "\n";
    if (line.has("report")) {
        if (std::optional<error> failure = writeTextFile(line.value("report"), json))
            return reportError(*failure);
    }
    std::cout << (line.has("json") ? json : formatTable(results)) << std::flush;
    if (results.isInterrupted)
        return exitFailure;
    return results.violations.empty() ? exitSuccess : exitViolations;
}

static int runShape(const command_line& line, const std::string& path)
{
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    const result<deployment> target = readDeployment(line);
    if (!hasValue(target))
        return reportError(errorOf(target));
    if (!line.has("settings"))
        return reportError(missingOptionError("settings"));
    const result<load_settings> settings = readLoadSettings(line, {});
    if (!hasValue(settings))
        return reportError(errorOf(settings));
    result<std::vector<arrival>> arrivals = drawArrivals(valueOf(graph), valueOf(settings));
    if (!hasValue(arrivals))
        return reportError(errorOf(arrivals));
    const result<load_run> run
        = runLoad(valueOf(graph), valueOf(target), makePlan(valueOf(std::move(arrivals)), valueOf(settings)));
    if (!hasValue(run))
        return reportError(errorOf(run));
    load_report results = makeReport(valueOf(graph), valueOf(run), valueOf(settings).prompt);
    results.violations = findViolations(valueOf(run), results.audit);
    return outputReport(line, results);
}

static int replayTrace(const command_line& line, const std::string& path)
{
    if (!line.has("shape"))
        return reportError(missingOptionError("shape"));
    const result<trace> recordedTrace = readTrace(path);
    if (!hasValue(recordedTrace))
        return reportError(errorOf(recordedTrace));
    const result<shape> graph = readShape(line.value("shape"));
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    if (std::optional<error> failure = checkTrace(valueOf(recordedTrace), valueOf(graph)))
        return reportError(*failure);
    const result<deployment> target = readDeployment(line);
    if (!hasValue(target))
        return reportError(errorOf(target));
    result<load_settings> settings = readLoadSettings(line, replayDefaults());
    if (!hasValue(settings))
        return reportError(errorOf(settings));
    load_settings replaySettings = valueOf(std::move(settings));
    const milliseconds length = milliseconds { valueOf(recordedTrace).calls.back().atMs + 1 };
    replaySettings.phases = { load_phase { "replay", length, 1.0, {} } };
    const result<load_run> run = runLoad(valueOf(graph), valueOf(target),
        makePlan(replayArrivals(valueOf(graph), valueOf(recordedTrace)), replaySettings));
    if (!hasValue(run))
        return reportError(errorOf(run));
    load_report results = makeReport(valueOf(graph), valueOf(run), replaySettings.prompt);
    results.violations = findViolations(valueOf(run), results.audit);
    const std::vector<violation> unexpected = findUnexpectedEnds(valueOf(graph), valueOf(run));
    results.violations.insert(results.violations.end(), unexpected.begin(), unexpected.end());
    return outputReport(line, results);
}

static int waitReady(const command_line& line, const std::string& path)
{
    constexpr std::size_t roundsPerProbe = 12;
    const milliseconds probeDuration { 500 };
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    const result<deployment> target = readDeployment(line);
    if (!hasValue(target))
        return reportError(errorOf(target));
    const result<std::uint64_t> seconds = readCount(line, "timeout", 60);
    if (!hasValue(seconds))
        return reportError(errorOf(seconds));
    const clock time { system_time_source {} };
    const time_point end = time.now() + milliseconds { static_cast<std::int64_t>(valueOf(seconds)) * 1000 };
    load_settings settings;
    settings.client
        = { client_profile::polite, milliseconds { 3000 }, milliseconds { 3000 }, 10, milliseconds { 100 } };
    settings.phases = { load_phase { "probe", probeDuration, 1.0, {} } };
    settings.settle = milliseconds {};
    for (std::uint64_t round = 0; time.now() < end; ++round) {
        settings.seed = round;
        const result<load_run> run = runLoad(valueOf(graph), valueOf(target),
            makePlan(probeArrivals(valueOf(graph), roundsPerProbe, probeDuration, round), settings));
        if (!hasValue(run))
            return reportError(errorOf(run));
        if (valueOf(run).isInterrupted)
            return exitFailure;
        const std::vector<action_record>& actions = valueOf(run).actions;
        const bool isReady = std::all_of(actions.begin(), actions.end(),
            [](const action_record& action) { return action.end == attempt_end::completed; });
        if (isReady)
            return exitSuccess;
    }
    return reportError({ error_kind::timed_out,
        "deployment not ready after " + std::to_string(valueOf(seconds)) + " s; check the logs of its nodes" });
}

static int compareReports(const std::vector<std::string>& arguments)
{
    std::vector<compared_report> reports;
    for (const std::string& argument : arguments) {
        const std::size_t separator = argument.find('=');
        if (separator == std::string::npos)
            return reportError({ error_kind::command_line, "\"" + argument + "\" must have the form NAME=REPORT" });
        const result<nlohmann::json> document = readJsonFile(argument.substr(separator + 1));
        if (!hasValue(document))
            return reportError(errorOf(document));
        result<compared_report> report = parseComparedReport(argument.substr(0, separator), valueOf(document));
        if (!hasValue(report))
            return reportError(errorOf(report));
        reports.push_back(valueOf(std::move(report)));
    }
    std::cout << formatComparison(reports);
    return exitSuccess;
}

static int makeTraceFile(const command_line& line, const std::string& path)
{
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    if (!line.has("out"))
        return reportError(missingOptionError("out"));
    trace_recipe recipe;
    const result<std::uint64_t> seed = readCount(line, "seed", recipe.seed);
    const result<std::uint64_t> seconds = readCount(line, "seconds", 10);
    const result<std::uint64_t> calls = readCount(line, "calls", recipe.calls);
    for (const result<std::uint64_t>* option : { &seed, &seconds, &calls }) {
        if (!hasValue(*option))
            return reportError(errorOf(*option));
    }
    if (valueOf(seconds) == 0 || valueOf(seconds) > 3600 || valueOf(calls) == 0)
        return reportError({ error_kind::command_line, "--seconds must be from 1 to 3600 and --calls at least 1" });
    recipe.seed = valueOf(seed);
    recipe.length = milliseconds { static_cast<std::int64_t>(valueOf(seconds)) * 1000 };
    recipe.calls = valueOf(calls);
    const result<trace> generated = makeTrace(valueOf(graph), recipe);
    if (!hasValue(generated))
        return reportError(errorOf(generated));
    if (std::optional<error> failure = writeTextFile(line.value("out"), formatTrace(valueOf(generated))))
        return reportError(*failure);
    return exitSuccess;
}

static int measureLatency(const command_line& line)
{
    probe_settings settings;
    for (const std::string name : { "direct", "through" }) {
        if (!line.has(name))
            return reportError(missingOptionError(name));
        const result<probe_target> target = parseProbeTarget(line.value(name));
        if (!hasValue(target))
            return reportError(errorOf(target));
        (name == "direct" ? settings.direct : settings.through) = valueOf(target);
    }
    const result<std::uint64_t> count = readCount(line, "count", settings.count);
    const result<std::uint64_t> warmup = readCount(line, "warmup", settings.warmup);
    if (!hasValue(count) || !hasValue(warmup))
        return reportError(errorOf(hasValue(count) ? warmup : count));
    settings.count = valueOf(count);
    settings.warmup = valueOf(warmup);
    settings.isKeyed = line.has("keyed");
    const clock time { system_time_source {} };
    event_loop loop;
    const probe_result probeResult = runProbe(loop, time, settings);
    std::cout << toJson(probeResult).dump(2) << "\n";
    return probeResult.failures == 0 ? exitSuccess : exitFailure;
}

/** @brief Calls a function for each host of a shape with the index of the host, counted from 0 over all services. */
[[nodiscard]] static std::optional<error> forEachHost(const shape& graph,
    const std::function<std::optional<error>(const shape_service&, const shape_host&, std::uint64_t)>& visit)
{
    std::uint64_t index = 0;
    for (const shape_service& service : graph.services) {
        for (const shape_host& host : service.hosts) {
            if (std::optional<error> failure = visit(service, host, index))
                return failure;
            ++index;
        }
    }
    return std::nullopt;
}

[[nodiscard]] static result<nlohmann::json> readOverlay(const command_line& line)
{
    result<nlohmann::json> overlay = parseJson(line.value("overlay", "{}"), "option --overlay");
    if (hasValue(overlay) && !valueOf(overlay).is_object())
        return error { error_kind::command_line, "option --overlay must be a JSON object" };
    return overlay;
}

[[nodiscard]] static std::optional<error> writeNodeSettings(
    const command_line& line, const shape& graph, const nlohmann::json& overlay)
{
    for (const char* name : { "log", "charts" }) {
        if (!line.has(name))
            return missingOptionError(name);
    }
    const node_settings_template settingsTemplate { line.value("log"), line.value("charts"), 1, overlay };
    return forEachHost(graph, [&](const shape_service& service, const shape_host& host, std::uint64_t index) {
        const nlohmann::json settings = makeNodeSettings(service, host, index, settingsTemplate);
        return writeTextFile(line.value("out") + "/" + host.name + ".node.json", settings.dump(2) + "\n");
    });
}

[[nodiscard]] static std::optional<error> writeUpstreamSettings(
    const command_line& line, const shape& graph, const nlohmann::json& overlay)
{
    const upstream_settings_template settingsTemplate { 1, overlay };
    const std::string folder = line.value("out") + "/";
    return forEachHost(
        graph, [&](const shape_service& service, const shape_host& host, std::uint64_t index) -> std::optional<error> {
            const result<std::string> text = readTextFile(folder + host.name + ".node.ready");
            if (!hasValue(text))
                return errorOf(text);
            const result<running_process> node = parseReadyLine(valueOf(text), host.name + ".node.ready");
            if (!hasValue(node))
                return errorOf(node);
            const nlohmann::json settings
                = makeUpstreamSettings(service, host, index, valueOf(node).httpAddress, settingsTemplate);
            return writeTextFile(folder + host.name + ".upstream.json", settings.dump(2) + "\n");
        });
}

static int expandShape(const command_line& line, const std::string& path)
{
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    if (!line.has("out"))
        return reportError(missingOptionError("out"));
    const result<nlohmann::json> overlay = readOverlay(line);
    if (!hasValue(overlay))
        return reportError(errorOf(overlay));
    const std::optional<error> failure = line.has("upstreams")
        ? writeUpstreamSettings(line, valueOf(graph), valueOf(overlay))
        : writeNodeSettings(line, valueOf(graph), valueOf(overlay));
    return failure ? reportError(*failure) : exitSuccess;
}

static int printHosts(const std::string& path)
{
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    [[maybe_unused]] const std::optional<error> none = forEachHost(
        valueOf(graph), [](const shape_service&, const shape_host& host, std::uint64_t) -> std::optional<error> {
            std::cout << host.name << "\n";
            return std::nullopt;
        });
    return exitSuccess;
}

static int collect(const command_line& line, const std::string& path)
{
    const result<shape> graph = readShape(path);
    if (!hasValue(graph))
        return reportError(errorOf(graph));
    if (!line.has("out"))
        return reportError(missingOptionError("out"));
    const std::string folder = line.value("out") + "/";
    const result<deployment> collected = collectDeployment(
        valueOf(graph), [&folder](const std::string& fileName) { return readTextFile(folder + fileName); });
    if (!hasValue(collected))
        return reportError(errorOf(collected));
    std::cout << toJson(valueOf(collected)).dump() << "\n";
    return exitSuccess;
}

static int runMode(const command_line& line)
{
    const std::string mode = line.arguments.empty() ? "" : line.arguments.front();
    if (mode == "latency")
        return measureLatency(line);
    if (mode == "compare")
        return compareReports({ line.arguments.begin() + 1, line.arguments.end() });
    const std::vector<std::pair<std::string, std::function<int(const std::string&)>>> modes {
        { "run", [&line](const std::string& path) { return runShape(line, path); } },
        { "replay", [&line](const std::string& path) { return replayTrace(line, path); } },
        { "wait-ready", [&line](const std::string& path) { return waitReady(line, path); } },
        { "make-trace", [&line](const std::string& path) { return makeTraceFile(line, path); } },
        { "expand-shape", [&line](const std::string& path) { return expandShape(line, path); } },
        { "hosts", printHosts }, { "collect", [&line](const std::string& path) { return collect(line, path); } }
    };
    for (const std::pair<std::string, std::function<int(const std::string&)>>& item : modes) {
        if (item.first != mode)
            continue;
        if (line.arguments.size() != 2)
            return reportError(
                { error_kind::command_line, "mode " + mode + " needs exactly one file argument; see --help" });
        return item.second(line.arguments[1]);
    }
    return reportError({ error_kind::command_line, "unknown mode \"" + mode + "\"; see --help" });
}

static int run(const std::vector<std::string>& arguments)
{
    const result<command_line> line = parseCommandLine(arguments, loadOptions());
    if (!hasValue(line))
        return reportError(errorOf(line));
    if (valueOf(line).has("help")) {
        std::cout << usage << formatOptions(loadOptions());
        return exitSuccess;
    }
    if (valueOf(line).has("version")) {
        std::cout << "knapweed-load " << KNAPWEEDCROFT_VERSION << "\n";
        return exitSuccess;
    }
    return runMode(valueOf(line));
}

} // namespace knapweedcroft

int main(int count, char** values) { return knapweedcroft::run({ values, values + count }); }
