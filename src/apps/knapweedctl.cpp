#include "knapweedcroft/control/control_client.hpp"
#include "knapweedcroft/control/text_table.hpp"
#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/settings/command_line.hpp"

#include <algorithm>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Exit status of the program. A command with several changes returns the highest status. */
enum exit_status : int {
    exit_success = 0,
    exit_usage = 1, /*!< The command line or a file is invalid; nothing was changed. */
    exit_void = 2, /*!< A change was voided, or the entry does not exist. */
    exit_unavailable = 3, /*!< The log or a node did not respond, or records are missing; nothing was changed. */
    exit_unknown = 4, /*!< A change may have been accepted, but could not be read back. */
    exit_unconfirmed = 5 /*!< A change was accepted, but a node did not confirm it before the timeout. */
};

[[nodiscard]] static const std::vector<option_spec>& controlOptions()
{
    static const std::vector<option_spec> options { { "log", "ADDRESS:PORT", "HTTP address of the log" },
        { "node", "ADDRESS:PORT", "HTTP address of a node" },
        { "operator", "NAME", "name of the operator who makes the change; default: $USER" },
        { "base-version", "N", "version that the change is based on; default: the current version" },
        { "wait-nodes", "ADDRESS:PORT,...", "wait until these nodes have applied the changes" },
        { "timeout", "SECONDS", "timeout of the whole command; default: 60" },
        { "json", "", "print JSON lines instead of a table" }, { "help", "", "this text" } };
    return options;
}

[[nodiscard]] static std::string usage()
{
    return "usage: knapweedctl --log ADDRESS apply FILE [--operator NAME] [--base-version N] [--wait-nodes LIST]\n"
           "       knapweedctl --log ADDRESS remove NAME [--operator NAME] [--base-version N] [--wait-nodes LIST]\n"
           "       knapweedctl --log ADDRESS get [NAME]\n"
           "       knapweedctl --log ADDRESS history [NAME]\n"
           "       knapweedctl status --node ADDRESS\n"
           "       knapweedctl drain --node ADDRESS\n"
        + formatOptions(controlOptions())
        + "exit status: 0 success, 1 invalid input, 2 void or not found, 3 unavailable, 4 outcome unknown, "
          "5 accepted but not confirmed by a node\n";
}

static int reportError(const error& cause, exit_status status)
{
    std::cerr << "knapweedctl: " << cause.message << "\n";
    return status;
}

[[nodiscard]] static std::string toJsonLine(const nlohmann::json& object)
{
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

[[nodiscard]] static std::string formatVersion(std::int64_t version)
{
    return version == noVersion ? std::string { "-" } : std::to_string(version);
}

// Change identifiers must be unique across operators and runs, so they come from the random source of the system.
[[nodiscard]] static std::string generateChangeId()
{
    std::random_device source;
    constexpr unsigned wordBits = 32;
    const std::uint64_t high = (static_cast<std::uint64_t>(source()) << wordBits) | source();
    const std::uint64_t low = (static_cast<std::uint64_t>(source()) << wordBits) | source();
    return toHex(high) + toHex(low);
}

[[nodiscard]] static std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        if (comma > start)
            items.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return items;
}

[[nodiscard]] static result<std::vector<catalogue_entry>> readEntries(const std::string& path)
{
    const result<nlohmann::json> document = readJsonFile(path);
    if (!hasValue(document))
        return errorOf(document);
    const nlohmann::json list
        = valueOf(document).is_array() ? valueOf(document) : nlohmann::json::array({ valueOf(document) });
    std::vector<catalogue_entry> entries;
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string context = path + ", entry " + std::to_string(index + 1);
        result<catalogue_entry> entry = catalogue_entry::fromJson(list[index], context, unknown_fields::refused);
        if (!hasValue(entry))
            return errorOf(entry);
        const auto isSame = [&entry](const catalogue_entry& other) { return other.name() == valueOf(entry).name(); };
        if (std::any_of(entries.begin(), entries.end(), isSame))
            return error { error_kind::invalid_value, context + ": duplicate entry; keep one of them" };
        entries.push_back(valueOf(std::move(entry)));
    }
    if (entries.empty())
        return error { error_kind::invalid_value, path + ": has no entries; add at least one" };
    return entries;
}

/** @brief Executes the command given on the command line. */
class control_command {
public:
    explicit control_command(const command_line& line, milliseconds timeout)
        : m_line { line }
        , m_isJson { line.has("json") }
        , m_client { m_loop, line.value("log"), timeout }
    {
    }

    int run()
    {
        if (m_line.arguments.empty())
            return reportError(error { error_kind::command_line, "no command given; see --help" }, exit_usage);
        const std::string& name = m_line.arguments.front();
        if (name == "status" || name == "drain")
            return runNodeCommand(name);
        if (!m_line.has("log"))
            return reportError(error { error_kind::command_line, "option --log is missing; see --help" }, exit_usage);
        if ((name == "apply" || name == "remove") && m_line.arguments.size() == 2)
            return publishChanges(name == "remove", m_line.arguments[1]);
        if ((name == "get" || name == "history") && m_line.arguments.size() <= 2)
            return showCatalogue(name == "history", m_line.arguments.size() == 2 ? m_line.arguments[1] : "");
        return reportError(error { error_kind::command_line,
                               "unknown command \"" + name + "\" or wrong number of arguments; see --help" },
            exit_usage);
    }

private:
    int runNodeCommand(const std::string& name)
    {
        if (!m_line.has("node") || m_line.arguments.size() != 1)
            return reportError(
                error { error_kind::command_line, name + " needs --node and no other arguments; see --help" },
                exit_usage);
        return name == "status" ? status(m_line.value("node")) : drain(m_line.value("node"));
    }

    int publishChanges(bool isRemoval, const std::string& argument)
    {
        const result<std::vector<change_request>> requests = makeRequests(isRemoval, argument);
        if (!hasValue(requests))
            return reportError(errorOf(requests), exit_usage);
        int worst = exit_success;
        std::int64_t newest = noVersion;
        text_table table { { "NAME", "VERDICT", "VERSION", "CHANGE", "MESSAGE" } };
        for (const change_request& request : valueOf(requests)) {
            const publish_report report = m_client.publish(request);
            worst = std::max(worst, exitStatusOf(report.verdict));
            newest = report.verdict == publish_verdict::accepted ? std::max(newest, report.version) : newest;
            if (m_isJson)
                std::cout << toJsonLine(toJson(report)) << std::endl;
            table.add({ report.name, std::string { toString(report.verdict) }, formatVersion(report.version),
                report.changeId, report.message });
        }
        if (!m_isJson)
            std::cout << table.format() << std::flush;
        return newest == noVersion ? worst : std::max(worst, waitForNodes(newest));
    }

    [[nodiscard]] result<std::vector<change_request>> makeRequests(bool isRemoval, const std::string& argument) const
    {
        const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): single-threaded program
        const std::string operatorName = m_line.value("operator", user == nullptr ? "" : user);
        if (operatorName.empty())
            return error { error_kind::command_line, "option --operator is missing; name who makes the change" };
        std::optional<std::int64_t> base;
        if (m_line.has("base-version")) {
            base = parseInteger(m_line.value("base-version"), noVersion, INT64_MAX - 1);
            if (!base)
                return error { error_kind::command_line,
                    "option --base-version must be a version number, or -1 for none" };
        }
        std::vector<change_request> requests;
        if (isRemoval) {
            requests.push_back({ argument, std::nullopt, base, operatorName, generateChangeId() });
            return requests;
        }
        const result<std::vector<catalogue_entry>> entries = readEntries(argument);
        if (!hasValue(entries))
            return errorOf(entries);
        if (base && valueOf(entries).size() != 1)
            return error { error_kind::command_line, "option --base-version requires a file with exactly one entry" };
        for (const catalogue_entry& entry : valueOf(entries))
            requests.push_back({ entry.name(), entry, base, operatorName, generateChangeId() });
        return requests;
    }

    [[nodiscard]] static int exitStatusOf(publish_verdict verdict) noexcept
    {
        switch (verdict) {
        case publish_verdict::accepted:
        case publish_verdict::unchanged:
            return exit_success;
        case publish_verdict::voided:
        case publish_verdict::rejected:
            return exit_void;
        case publish_verdict::unavailable:
            return exit_unavailable;
        case publish_verdict::unknown:
            return exit_unknown;
        }
        return exit_unknown;
    }

    [[nodiscard]] static nlohmann::json toJson(const publish_report& report)
    {
        return { { "name", report.name }, { "verdict", toString(report.verdict) }, { "version", report.version },
            { "change_id", report.changeId }, { "message", report.message } };
    }

    int waitForNodes(std::int64_t offset)
    {
        int worst = exit_success;
        for (const std::string& node : splitList(m_line.value("wait-nodes"))) {
            if (const std::optional<error> failure = m_client.waitForNode(node, offset))
                worst = reportError(*failure, exit_unconfirmed);
        }
        return worst;
    }

    int showCatalogue(bool isHistory, const std::string& name)
    {
        if (const std::optional<error> failure = m_client.readCatalogue())
            return reportError(*failure, exit_unavailable);
        if (m_client.catalogue().hasGap())
            std::cerr
                << "knapweedctl: the log has discarded older records and has no snapshot; the list is incomplete\n";
        return isHistory ? showHistory(name) : showEntries(name);
    }

    int showEntries(const std::string& name)
    {
        text_table table { { "NAME", "VERSION", "CLASS", "OWNER", "IDEMPOTENT", "DEADLINE_MS", "RETRY_BUDGET",
            "MAX_SUB_CALLS", "MAX_BODY_BYTES", "WINDOW_MS", "MAX_CONCURRENCY" } };
        bool isFound = name.empty();
        for (const catalogue_state::versions_type::value_type& item : m_client.catalogue().versions()) {
            if (!item.second.entry || (!name.empty() && item.first != name))
                continue;
            isFound = true;
            const catalogue_entry& entry = *item.second.entry;
            if (m_isJson)
                std::cout << toJsonLine({ { "version", item.second.version }, { "entry", entry.toJson() } }) << "\n";
            table.add({ entry.name(), formatVersion(item.second.version), std::string { toString(entry.importance()) },
                entry.owner(), entry.isIdempotent() ? "yes" : "no", std::to_string(entry.deadline().whole()),
                std::to_string(entry.retryBudget()), std::to_string(entry.maxSubCalls()),
                std::to_string(entry.maxBodyBytes()), std::to_string(entry.window().whole()),
                std::to_string(entry.maxConcurrency()) });
        }
        if (!isFound)
            return reportError(error { error_kind::unknown_operation,
                                   "entry " + name + " does not exist; list the entries with \"get\"" },
                exit_void);
        if (!m_isJson)
            std::cout << table.format();
        return exit_success;
    }

    int showHistory(const std::string& name)
    {
        text_table table { { "OFFSET", "TIME_MS", "OPERATOR", "NAME", "ACTION", "BASE", "VERDICT", "CHANGE",
            "MESSAGE" } };
        for (const change_outcome& outcome : m_client.catalogue().history()) {
            if (!name.empty() && outcome.name != name)
                continue;
            const std::string verdict
                = outcome.isAccepted() ? "accepted" : "void:" + std::string { toString(outcome.voided->reason) };
            const std::string message = outcome.isAccepted() ? "" : outcome.voided->message;
            const std::string time = std::to_string(outcome.wallTime.sinceEpoch().whole());
            if (m_isJson)
                std::cout << toJsonLine({ { "offset", outcome.offset },
                    { "time_ms", outcome.wallTime.sinceEpoch().whole() }, { "operator", outcome.operatorName },
                    { "name", outcome.name }, { "removal", outcome.isRemoval }, { "base_version", outcome.baseVersion },
                    { "accepted", outcome.isAccepted() },
                    { "reason", outcome.isAccepted() ? "" : toString(outcome.voided->reason) },
                    { "change_id", outcome.changeId }, { "message", message } })
                          << "\n";
            table.add({ std::to_string(outcome.offset), time, outcome.operatorName, outcome.name,
                outcome.isRemoval ? "remove" : "set", formatVersion(outcome.baseVersion), verdict, outcome.changeId,
                message });
        }
        if (!m_isJson)
            std::cout << table.format();
        return exit_success;
    }

    int status(const std::string& node)
    {
        const result<nlohmann::json> state = m_client.nodeState(node);
        if (!hasValue(state))
            return reportError(errorOf(state), exit_unavailable);
        if (m_isJson) {
            std::cout << toJsonLine(valueOf(state)) << "\n";
            return exit_success;
        }
        text_table table { { "FIELD", "VALUE" } };
        const nlohmann::json flat = valueOf(state).flatten();
        for (const auto& item : flat.items())
            table.add(
                { item.key(), item.value().is_string() ? item.value().get<std::string>() : toJsonLine(item.value()) });
        std::cout << table.format();
        return exit_success;
    }

    int drain(const std::string& node)
    {
        if (const std::optional<error> failure = m_client.drain(node))
            return reportError(*failure, exit_unavailable);
        std::cout << (m_isJson ? toJsonLine({ { "node", node }, { "left", true } })
                               : "node " + node + " has left; its upstream may be stopped")
                  << "\n";
        return exit_success;
    }

    const command_line& m_line;
    bool m_isJson;
    event_loop m_loop;
    control_client m_client;
};

static int run(const std::vector<std::string>& arguments)
{
    const result<command_line> line = parseCommandLine(arguments, controlOptions());
    if (!hasValue(line))
        return reportError(errorOf(line), exit_usage);
    if (valueOf(line).has("help")) {
        std::cout << usage();
        return exit_success;
    }
    constexpr std::int64_t maxTimeout = 86'400;
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::optional<std::int64_t> seconds = parseInteger(valueOf(line).value("timeout", "60"), 1, maxTimeout);
    if (!seconds)
        return reportError(
            error { error_kind::command_line, "option --timeout must be a number of seconds from 1 to 86400" },
            exit_usage);
    return control_command { valueOf(line), milliseconds { *seconds * millisecondsPerSecond } }.run();
}

} // namespace knapweedcroft

int main(int count, char** values) { return knapweedcroft::run({ values, values + count }); }
