#ifndef KNAPWEEDCROFT_LOAD_DEPLOYMENT_HPP
#define KNAPWEEDCROFT_LOAD_DEPLOYMENT_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/load/shape.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief A running process and its listening addresses. */
struct running_process {
    std::string name; /*!< Name of its host, or of the log. */
    service_name service; /*!< Empty for the log. */
    std::string data_centre; /*!< Empty for the log. */
    std::int64_t pid = 0;
    std::string httpAddress; /*!< `host:port`. */
    std::string peerAddress; /*!< `host:port`; empty unless a node. */
};

/** @brief The processes of a running shape. */
struct deployment {
    std::string shapeName;
    running_process log;
    std::vector<running_process> nodes;
    std::vector<running_process> upstreams;
};

/**
 * @brief Parses the line that a server prints when it is ready.
 * @param context Name of the source, used in messages.
 * @return Name, process id and addresses, or an error of kind `malformed_json` or of a `json_reader`.
 */
[[nodiscard]] result<running_process> parseReadyLine(std::string_view text, const std::string& context);

/** @brief Returns the ready line of a process, given the name of its file. */
using ready_line_source = std::function<result<std::string>(const std::string& fileName)>;

/**
 * @brief Collects the addresses of a shape's processes from their ready lines.
 * @param lines Source of the ready lines `log.ready`, `<host>.node.ready` and `<host>.upstream.ready`.
 * @return The deployment, or the first error.
 */
[[nodiscard]] result<deployment> collectDeployment(const shape& from, const ready_line_source& lines);

/**
 * @brief Reads a deployment from JSON.
 * @param document The document, as written by `toJson`.
 * @param context Name of the document, used in messages.
 * @return The deployment, or an error of a `json_reader`.
 */
[[nodiscard]] result<deployment> parseDeployment(const nlohmann::json& document, const std::string& context);

/** @brief Writes a deployment as JSON. */
[[nodiscard]] nlohmann::json toJson(const deployment& value);

} // namespace knapweedcroft

#endif
