#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/settings/command_line.hpp"
#include "knapweedcroft/upstream_service/upstream_http.hpp"

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

// Lets the last responses be written before the process exits.
static constexpr milliseconds flushTimeout { 100 };

[[nodiscard]] static const std::vector<option_spec>& upstreamOptions()
{
    static const std::vector<option_spec> options { { "settings", "FILE", "JSON settings file; required" },
        { "name", "NAME", "name in the ready line" }, { "host", "ADDRESS", "IP address to listen on" },
        { "port", "PORT", "port to listen on; 0 lets the system choose" },
        { "node", "ADDRESS:PORT", "HTTP address of the node on this host" }, { "help", "", "this text" } };
    return options;
}

/** @brief Reads the settings file and applies the options of the command line over it. */
[[nodiscard]] static result<upstream_settings> readSettings(const command_line& line)
{
    if (!line.has("settings"))
        return error { error_kind::command_line, "option --settings is missing; see --help" };
    result<nlohmann::json> document = readJsonFile(line.value("settings"));
    if (!hasValue(document))
        return errorOf(document);
    nlohmann::json object = valueOf(std::move(document));
    if (!object.is_object())
        return error { error_kind::wrong_type, "settings: must be a JSON object" };
    for (const char* name : { "name", "host", "node" }) {
        if (line.has(name))
            object[name] = line.value(name);
    }
    if (line.has("port")) {
        constexpr std::int64_t maxPort = 65535;
        const std::optional<std::int64_t> port = parseInteger(line.value("port"), 0, maxPort);
        if (!port)
            return error { error_kind::command_line, "option --port must be an integer from 0 to 65535" };
        object["port"] = *port;
    }
    return readUpstreamSettings(object, line.value("settings"));
}

static int reportError(const error& cause)
{
    std::cerr << "knapweed-upstream: " << cause.message << "\n";
    return 1;
}

static int run(const std::vector<std::string>& arguments)
{
    const result<command_line> line = parseCommandLine(arguments, upstreamOptions());
    if (!hasValue(line))
        return reportError(errorOf(line));
    if (valueOf(line).has("help")) {
        std::cout << "usage: knapweed-upstream --settings FILE [options]\nEmulates an upstream for tests and demos.\n"
                  << formatOptions(upstreamOptions());
        return 0;
    }
    const result<upstream_settings> settings = readSettings(valueOf(line));
    if (!hasValue(settings))
        return reportError(errorOf(settings));
    event_loop loop;
    upstream_http service { loop, valueOf(settings), [&loop] { loop.stop(); } };
    const result<std::string> address = service.start();
    if (!hasValue(address))
        return reportError(errorOf(address));
    const auto stop = [&service] { service.beginStop(); };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    std::cout << formatReadyLine(valueOf(settings).name, valueOf(address), "") << std::endl;
    loop.run();
    loop.runUntil([] { return false; }, flushTimeout);
    nlohmann::json finalStats = service.stats().toJson();
    finalStats["stopped"] = true;
    finalStats["name"] = valueOf(settings).name;
    std::cout << finalStats.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    return 0;
}

} // namespace knapweedcroft

int main(int count, char** values) { return knapweedcroft::run({ values, values + count }); }
