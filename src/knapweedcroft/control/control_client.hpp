#ifndef KNAPWEEDCROFT_CONTROL_CONTROL_CLIENT_HPP
#define KNAPWEEDCROFT_CONTROL_CONTROL_CLIENT_HPP

#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/control/change_publisher.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Client of the operators' tool; sends its requests sequentially, within one overall timeout. */
class control_client {
public:
    /**
     * @brief Constructs a client.
     * @param loop Event loop; must outlive the client and must not be running, because each request runs it.
     * @param logAddress `host:port` of the log.
     * @param timeout Time for all operations of the client together, from its construction.
     */
    control_client(event_loop& loop, std::string logAddress, milliseconds timeout);

    /**
     * @brief Reads the catalogue stream to its end.
     * @return Nothing, or an error of kind `log_unavailable`, `timed_out` or `malformed_json`.
     */
    [[nodiscard]] std::optional<error> readCatalogue();

    /** @brief Returns the catalogue as of the last read. */
    [[nodiscard]] const catalogue_state& catalogue() const noexcept { return m_catalogue; }

    /** @brief Publishes a change and waits for its outcome. */
    [[nodiscard]] publish_report publish(change_request request);

    /**
     * @brief Waits until a node has applied the catalogue up to an offset.
     * @param node `host:port` of the HTTP interface of the node.
     * @param offset Offset of the last record that must be applied.
     * @return Nothing, or an error of kind `timed_out`.
     */
    [[nodiscard]] std::optional<error> waitForNode(const std::string& node, std::int64_t offset);

    /**
     * @brief Fetches the state of a node.
     * @param node `host:port` of its HTTP interface.
     * @return The JSON document, or an error.
     */
    [[nodiscard]] result<nlohmann::json> nodeState(const std::string& node);

    /**
     * @brief Requests a node to leave and waits until it can be stopped.
     * @param node `host:port` of its HTTP interface.
     * @return Nothing, or an error.
     */
    [[nodiscard]] std::optional<error> drain(const std::string& node);

private:
    [[nodiscard]] milliseconds remaining() const noexcept;
    [[nodiscard]] http_outcome fetch(http_client_request request);
    void wait(milliseconds delay);
    [[nodiscard]] std::optional<error> applyPage(const http_response& page, bool& isAtEnd);
    [[nodiscard]] publish_step perform(change_publisher& publisher, const read_stream& step);
    [[nodiscard]] publish_step perform(change_publisher& publisher, const append_change& step);

    event_loop& m_loop;
    clock m_clock;
    http_client m_client;
    std::string m_logAddress;
    time_point m_deadline;
    catalogue_state m_catalogue;
};

} // namespace knapweedcroft

#endif
