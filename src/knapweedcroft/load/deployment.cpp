#include "knapweedcroft/load/deployment.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxPid = std::numeric_limits<std::int32_t>::max();

[[nodiscard]] static std::optional<error> readProcess(
    const nlohmann::json& value, const std::string& context, running_process& process)
{
    json_reader reader { value, context };
    process.name = reader.string("name");
    process.service = reader.string("service", "");
    process.data_centre = reader.string("data_centre", "");
    process.pid = reader.integer("pid", 0, maxPid, 0);
    process.httpAddress = reader.string("http");
    process.peerAddress = reader.string("peer", "");
    return reader.finishLenient();
}

[[nodiscard]] static std::optional<error> readProcesses(
    const nlohmann::json& value, const std::string& context, std::vector<running_process>& processes)
{
    if (!value.is_array())
        return error { error_kind::wrong_type, context + ": must be a list of processes" };
    for (const nlohmann::json& item : value) {
        running_process process;
        const std::string itemContext = context + " " + std::to_string(processes.size() + 1);
        if (std::optional<error> found = readProcess(item, itemContext, process))
            return found;
        processes.push_back(std::move(process));
    }
    return std::nullopt;
}

[[nodiscard]] static nlohmann::json processToJson(const running_process& process)
{
    nlohmann::json object = { { "name", process.name }, { "pid", process.pid }, { "http", process.httpAddress } };
    if (!process.service.empty())
        object["service"] = process.service;
    if (!process.data_centre.empty())
        object["data_centre"] = process.data_centre;
    if (!process.peerAddress.empty())
        object["peer"] = process.peerAddress;
    return object;
}

[[nodiscard]] static nlohmann::json processesToJson(const std::vector<running_process>& processes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const running_process& process : processes)
        list.push_back(processToJson(process));
    return list;
}

[[nodiscard]] static result<running_process> readReadyLine(const ready_line_source& lines, const std::string& fileName)
{
    const result<std::string> line = lines(fileName);
    if (!hasValue(line))
        return errorOf(line);
    return parseReadyLine(valueOf(line), fileName);
}

[[nodiscard]] static std::optional<error> addProcess(const ready_line_source& lines, const shape_service& service,
    const shape_host& host, const std::string& role, std::vector<running_process>& processes)
{
    result<running_process> process = readReadyLine(lines, host.name + "." + role + ".ready");
    if (!hasValue(process))
        return errorOf(process);
    running_process named = valueOf(std::move(process));
    named.name = host.name;
    named.service = service.name;
    named.data_centre = host.data_centre;
    processes.push_back(std::move(named));
    return std::nullopt;
}

} // namespace internal

result<running_process> parseReadyLine(std::string_view text, const std::string& context)
{
    const result<nlohmann::json> document = parseJson(text, context);
    if (!hasValue(document))
        return errorOf(document);
    running_process process;
    if (std::optional<error> found = internal::readProcess(valueOf(document), context, process))
        return *found;
    return process;
}

result<deployment> collectDeployment(const shape& from, const ready_line_source& lines)
{
    deployment collected;
    collected.shapeName = from.name;
    result<running_process> log = internal::readReadyLine(lines, "log.ready");
    if (!hasValue(log))
        return errorOf(log);
    collected.log = valueOf(std::move(log));
    for (const shape_service& service : from.services) {
        for (const shape_host& host : service.hosts) {
            if (std::optional<error> found = internal::addProcess(lines, service, host, "node", collected.nodes))
                return *found;
            if (std::optional<error> found
                = internal::addProcess(lines, service, host, "upstream", collected.upstreams))
                return *found;
        }
    }
    return collected;
}

result<deployment> parseDeployment(const nlohmann::json& document, const std::string& context)
{
    deployment parsed;
    json_reader reader { document, context };
    parsed.shapeName = reader.string("shape", "");
    const nlohmann::json& log = reader.child("log");
    const nlohmann::json& nodes = reader.child("nodes");
    const nlohmann::json& upstreams = reader.child("upstreams");
    if (std::optional<error> found = reader.finishLenient())
        return *found;
    if (std::optional<error> found = internal::readProcess(log, context + ": log", parsed.log))
        return *found;
    if (std::optional<error> found = internal::readProcesses(nodes, context + ": nodes", parsed.nodes))
        return *found;
    if (std::optional<error> found = internal::readProcesses(upstreams, context + ": upstreams", parsed.upstreams))
        return *found;
    if (parsed.nodes.empty())
        return error { error_kind::invalid_value,
            context + ": lists no node; start the shape with scripts/demo --hold" };
    return parsed;
}

nlohmann::json toJson(const deployment& value)
{
    return { { "shape", value.shapeName }, { "log", internal::processToJson(value.log) },
        { "nodes", internal::processesToJson(value.nodes) },
        { "upstreams", internal::processesToJson(value.upstreams) } };
}

} // namespace knapweedcroft
