#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/log_service/log_http.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/settings/command_line.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

// Lets the responses to pending long polls be written before the process exits.
static constexpr milliseconds flushTimeout { 100 };

[[nodiscard]] static const std::vector<option_spec>& logOptions()
{
    static const std::vector<option_spec> options { { "settings", "FILE", "JSON settings file" },
        { "name", "NAME", "name in the ready line" }, { "host", "ADDRESS", "IP address to listen on" },
        { "port", "PORT", "port to listen on; 0 lets the system choose" },
        { "retention-ms", "MS", "retention time of records" },
        { "retention-records", "COUNT", "maximum number of records retained per stream; 0 for no limit" },
        { "max-appends-per-second", "COUNT", "maximum number of appends accepted in any second" },
        { "help", "", "this text" } };
    return options;
}

/** @brief Reads the settings file, if given, and applies the options of the command line over it. */
[[nodiscard]] static result<log_service_settings> readSettings(const command_line& line)
{
    nlohmann::json document = nlohmann::json::object();
    if (line.has("settings")) {
        result<nlohmann::json> file = readJsonFile(line.value("settings"));
        if (!hasValue(file))
            return errorOf(file);
        document = valueOf(std::move(file));
    }
    if (!document.is_object())
        return error { error_kind::wrong_type, "settings: must be a JSON object" };
    for (const char* name : { "name", "host" }) {
        if (line.has(name))
            document[name] = line.value(name);
    }
    for (std::string name : { "port", "retention-ms", "retention-records", "max-appends-per-second" }) {
        if (!line.has(name))
            continue;
        const std::optional<std::int64_t> value = parseInteger(line.value(name), 0, INT64_MAX);
        if (!value)
            return error { error_kind::command_line, "option --" + name + " must be an integer of at least 0" };
        std::replace(name.begin(), name.end(), '-', '_');
        document[name] = *value;
    }
    return readLogServiceSettings(document, "settings");
}

static int reportError(const error& cause)
{
    std::cerr << "knapweed-log: " << cause.message << "\n";
    return 1;
}

static int run(const std::vector<std::string>& arguments)
{
    const result<command_line> line = parseCommandLine(arguments, logOptions());
    if (!hasValue(line))
        return reportError(errorOf(line));
    if (valueOf(line).has("help")) {
        std::cout << "usage: knapweed-log [options]\nIn-memory emulation of the platform's log.\n"
                  << formatOptions(logOptions());
        return 0;
    }
    const result<log_service_settings> settings = readSettings(valueOf(line));
    if (!hasValue(settings))
        return reportError(errorOf(settings));
    event_loop loop;
    log_http service { loop, valueOf(settings) };
    const result<std::string> address = service.start();
    if (!hasValue(address))
        return reportError(errorOf(address));
    const auto stop = [&loop] { loop.stop(); };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    std::cout << formatReadyLine(valueOf(settings).name, valueOf(address), "") << std::endl;
    loop.run();
    service.releaseReaders();
    loop.runUntil([] { return false; }, flushTimeout);
    return 0;
}

} // namespace knapweedcroft

int main(int count, char** values) { return knapweedcroft::run({ values, values + count }); }
