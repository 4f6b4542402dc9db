#include "knapweedcroft/load/settings_files.hpp"

#include <utility>
#include <vector>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static nlohmann::json stepsToJson(const std::vector<std::vector<shape_call>>& steps)
{
    nlohmann::json list = nlohmann::json::array();
    for (const std::vector<shape_call>& step : steps) {
        nlohmann::json calls = nlohmann::json::array();
        for (const shape_call& call : step)
            calls.push_back(
                { { "service", call.service }, { "operation", call.operation }, { "keyed", call.isKeyed } });
        list.push_back(std::move(calls));
    }
    return list;
}

[[nodiscard]] static nlohmann::json operationToJson(const shape_operation& operation)
{
    return { { "service_time_ms", operation.serviceTimeMs }, { "spread", operation.spread },
        { "effect", operation.hasEffect }, { "response_bytes", operation.responseBytes },
        { "attempts", operation.attempts }, { "calls", stepsToJson(operation.steps) } };
}

} // namespace internal

nlohmann::json makeNodeSettings(
    const shape_service& service, const shape_host& host, std::uint64_t index, const node_settings_template& common)
{
    nlohmann::json settings = { { "name", host.name }, { "service", service.name }, { "data_centre", host.data_centre },
        { "host", "127.0.0.1" }, { "http_port", 0 }, { "peer_port", 0 }, { "log", common.logAddress },
        { "seeds", nlohmann::json::array() }, { "charts", common.chartsDirectory }, { "seed", common.seed + index },
        { "log_level", "info" }, { "log_file", "" } };
    settings.merge_patch(common.overlay);
    return settings;
}

nlohmann::json makeUpstreamSettings(const shape_service& service, const shape_host& host, std::uint64_t index,
    const std::string& nodeAddress, const upstream_settings_template& common)
{
    nlohmann::json operations = nlohmann::json::object();
    for (const std::pair<const std::string, shape_operation>& item : service.operations)
        operations[item.first] = internal::operationToJson(item.second);
    nlohmann::json settings = { { "name", host.name }, { "service", service.name }, { "data_centre", host.data_centre },
        { "host", "127.0.0.1" }, { "port", 0 }, { "node", nodeAddress }, { "slots", service.slots },
        { "connections", service.connections }, { "cold_start_ms", service.coldStartMs },
        { "seed", common.seed + index }, { "operations", std::move(operations) } };
    settings.merge_patch(common.overlay);
    return settings;
}

} // namespace knapweedcroft
