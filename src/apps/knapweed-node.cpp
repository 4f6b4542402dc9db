#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/core/version.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/node_runtime.hpp"
#include "knapweedcroft/node/node_core.hpp"
#include "knapweedcroft/settings/command_line.hpp"
#include "knapweedcroft/settings/node_program_settings.hpp"
#include "knapweedcroft/telemetry/logger.hpp"

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft {

[[nodiscard]] static const std::vector<option_spec>& nodeOptions()
{
    static const std::vector<option_spec> options { { "settings", "FILE", "JSON settings file; required" },
        { "check", "", "validate the settings and the state charts, then exit" }, { "help", "", "this text" },
        { "version", "", "print the version" } };
    return options;
}

static int reportError(const error& cause)
{
    std::cerr << "knapweed-node: " << cause.message << "\n";
    return 1;
}

[[nodiscard]] static incarnation_id generateIncarnation()
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> range { 1, UINT64_MAX };
    return incarnation_id { range(source) };
}

static int serve(const node_program_settings& settings, const chart_set& charts)
{
    configureLogging(settings.logging);
    event_loop loop;
    node_runtime runtime { loop, settings, charts, &generateIncarnation };
    const result<node_addresses> addresses = runtime.listen();
    if (!hasValue(addresses))
        return reportError(errorOf(addresses));
    runtime.start([&settings, &charts](incarnation_id incarnation, const node_addresses& bound) {
        const clock time { system_time_source {} };
        const std::shared_ptr<node_core> core
            = std::make_shared<node_core>(settings.node, charts, incarnation, bound.peer, time.now(), time.wallNow());
        node_logic logic;
        logic.handle = [core](const node_event& event, time_point now, time_point wallNow) {
            return core->handle(event, now, wallNow);
        };
        logic.nextWakeup = [core] { return core->nextWakeup(); };
        logic.nextOffset = [core](const std::string& stream) { return core->nextOffset(stream); };
        logic.describe = [core] { return core->describe(); };
        return logic;
    });
    loop.onSignal(SIGTERM, [&runtime] { runtime.stop(); });
    loop.onSignal(SIGINT, [&runtime] { runtime.stop(); });
    std::cout << formatReadyLine(settings.node.name, valueOf(addresses).http, valueOf(addresses).peer) << std::endl;
    loop.run();
    return 0;
}

static int run(const std::vector<std::string>& arguments)
{
    const result<command_line> line = parseCommandLine(arguments, nodeOptions());
    if (!hasValue(line))
        return reportError(errorOf(line));
    if (valueOf(line).has("help")) {
        std::cout << "usage: knapweed-node --settings FILE [--check]\nOverload control for one upstream: runs beside "
                     "it and forwards its calls.\n"
                  << formatOptions(nodeOptions());
        return 0;
    }
    if (valueOf(line).has("version")) {
        std::cout << "knapweed-node " << projectVersion << "\n";
        return 0;
    }
    if (!valueOf(line).has("settings") || !valueOf(line).arguments.empty())
        return reportError(
            error { error_kind::command_line, "give --settings FILE and no other arguments; see --help" });
    const std::string path = valueOf(line).value("settings");
    const result<nlohmann::json> document = readJsonFile(path);
    if (!hasValue(document))
        return reportError(errorOf(document));
    const result<node_program_settings> settings = readNodeSettings(valueOf(document), path);
    if (!hasValue(settings))
        return reportError(errorOf(settings));
    const result<chart_set> charts = loadCharts(valueOf(settings).node.chartsDirectory);
    if (!hasValue(charts))
        return reportError(errorOf(charts));
    if (valueOf(line).has("check")) {
        std::cout << path << ": valid\n";
        return 0;
    }
    return serve(valueOf(settings), valueOf(charts));
}

} // namespace knapweedcroft

int main(int count, char** values)
{
    try {
        return knapweedcroft::run({ values, values + count });
    } catch (const std::exception& fault) {
        std::cerr << "knapweed-node: " << fault.what() << "\n";
        return 1;
    }
}
