#include "knapweedcroft/control/control_client.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t wholeHistory = std::numeric_limits<std::size_t>::max();
static constexpr std::int64_t maxOffset = std::numeric_limits<std::int64_t>::max() / 2;
static constexpr milliseconds requestTimeout { 5000 };
static constexpr milliseconds readRetryDelay { 500 };
static constexpr milliseconds nodePollDelay { 200 };

[[nodiscard]] static std::string describe(const http_outcome& outcome)
{
    if (const http_failure* failure = std::get_if<http_failure>(&outcome))
        return failure->cause.message;
    const http_response& response = std::get<http_response>(outcome);
    return "status " + std::to_string(response.status) + ": " + response.body;
}

[[nodiscard]] static append_reply classify(const http_outcome& outcome) noexcept
{
    if (const http_failure* failure = std::get_if<http_failure>(&outcome))
        return failure->wasWritten ? append_reply::unknown : append_reply::refused;
    const int status = std::get<http_response>(outcome).status;
    if (status == 200)
        return append_reply::accepted;
    if (status == 429 || status == 503)
        return append_reply::refused;
    return status >= 400 && status < 500 ? append_reply::invalid : append_reply::unknown;
}

[[nodiscard]] static result<log_record> readRecord(const nlohmann::json& object)
{
    json_reader reader { object, "log record" };
    log_record record;
    record.offset = reader.integer("offset", 0, maxOffset);
    record.wallTime = time_point { milliseconds { reader.integer("time_ms", 0, maxOffset / 1000) } };
    record.payload = reader.child("record").dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (std::optional<error> fault = reader.finishLenient())
        return *std::move(fault);
    return record;
}

} // namespace internal

control_client::control_client(event_loop& loop, std::string logAddress, milliseconds limit)
    : m_loop { loop }
    , m_clock { system_time_source {} }
    , m_client { loop, http_client_settings {} }
    , m_logAddress { std::move(logAddress) }
    , m_end { m_clock.now() + limit }
    , m_catalogue { internal::wholeHistory }
{
}

milliseconds control_client::remaining() const noexcept { return std::max(m_end - m_clock.now(), milliseconds {}); }

http_outcome control_client::fetch(http_client_request request)
{
    std::optional<http_outcome> outcome;
    request.timeout = std::min(request.timeout, remaining());
    const http_client::request_id id
        = m_client.send(request, [&outcome](http_outcome value) { outcome = std::move(value); });
    m_loop.runUntil([&outcome] { return outcome.has_value(); }, remaining());
    if (outcome)
        return *std::move(outcome);
    const bool wasWritten = m_client.wasWritten(id);
    m_client.cancel(id);
    return http_failure { wasWritten,
        error {
            error_kind::timed_out, "no answer from " + request.address + " within the time limit; see --timeout" } };
}

void control_client::pause(milliseconds delay)
{
    m_loop.runUntil([] { return false; }, std::min(delay, remaining()));
}

std::optional<error> control_client::readCatalogue()
{
    bool isAtEnd = false;
    while (!isAtEnd) {
        http_client_request request;
        request.address = m_logAddress;
        request.method = http_method::get;
        request.target = "/streams/" + std::string { catalogueStream }
            + "/records?limit=1000&from=" + std::to_string(m_catalogue.nextOffset());
        request.timeout = internal::requestTimeout;
        const http_outcome outcome = fetch(std::move(request));
        const http_response* response = std::get_if<http_response>(&outcome);
        if (response != nullptr && (response->status == 200 || response->status == 410)) {
            if (std::optional<error> fault = applyPage(*response, isAtEnd))
                return fault;
            continue;
        }
        if (remaining() <= internal::readRetryDelay)
            return error { error_kind::log_unavailable,
                "cannot read the log at " + m_logAddress + " (" + internal::describe(outcome)
                    + "); check the address, or try again when the log is back" };
        pause(internal::readRetryDelay);
    }
    return std::nullopt;
}

std::optional<error> control_client::applyPage(const http_response& page, bool& isAtEnd)
{
    const result<nlohmann::json> document = parseJson(page.body, "answer of the log", deep_values::discarded);
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), "answer of the log" };
    const std::int64_t first = reader.integer("first", 0, internal::maxOffset);
    const std::int64_t next = reader.integer("next", 0, internal::maxOffset);
    const nlohmann::json& records = reader.child("records");
    if (std::optional<error> fault = reader.finishLenient())
        return fault;
    m_catalogue.skipTo(first);
    for (const nlohmann::json& item : records) {
        const result<log_record> record = internal::readRecord(item);
        if (!hasValue(record))
            return errorOf(record);
        (void)m_catalogue.apply(valueOf(record));
    }
    isAtEnd = m_catalogue.nextOffset() >= next;
    if (!isAtEnd && page.status == 200 && records.empty())
        return error { error_kind::invalid_value,
            "answer of the log: has no records although more exist; check the address of the log" };
    return std::nullopt;
}

publish_step control_client::perform(change_publisher& publisher, const read_stream& step)
{
    pause(step.delay);
    const std::optional<error> fault = readCatalogue();
    if (!fault)
        return publisher.streamRead(m_catalogue);
    publish_report report = publisher.givenUp();
    report.message += " (" + fault->message + ")";
    return report;
}

publish_step control_client::perform(change_publisher& publisher, const append_change& step)
{
    http_client_request request;
    request.address = m_logAddress;
    request.target = "/streams/" + std::string { catalogueStream } + "/records";
    request.contentType = "application/json";
    request.body = step.payload;
    request.timeout = internal::requestTimeout;
    const http_outcome outcome = fetch(std::move(request));
    const append_reply reply = internal::classify(outcome);
    return publisher.appended(reply, reply == append_reply::accepted ? "" : internal::describe(outcome));
}

publish_report control_client::publish(change_request request)
{
    change_publisher publisher { std::move(request) };
    publish_step step = publisher.begin();
    while (!std::holds_alternative<publish_report>(step)) {
        if (remaining() == milliseconds {})
            return publisher.givenUp();
        if (const read_stream* read = std::get_if<read_stream>(&step))
            step = perform(publisher, read_stream { *read });
        else
            step = perform(publisher, append_change { std::get<append_change>(step) });
    }
    return std::get<publish_report>(step);
}

result<nlohmann::json> control_client::nodeState(const std::string& node)
{
    http_client_request request;
    request.address = node;
    request.method = http_method::get;
    request.target = "/knapweed/v1/state";
    request.timeout = internal::requestTimeout;
    const http_outcome outcome = fetch(std::move(request));
    const http_response* response = std::get_if<http_response>(&outcome);
    if (response == nullptr || response->status != 200)
        return error { error_kind::connection_failed,
            "cannot read the state of node " + node + " (" + internal::describe(outcome)
                + "); check its HTTP address" };
    return parseJson(response->body, "state of node " + node);
}

std::optional<error> control_client::waitForNode(const std::string& node, std::int64_t offset)
{
    while (remaining() > milliseconds {}) {
        const result<nlohmann::json> state = nodeState(node);
        if (hasValue(state)) {
            json_reader reader { valueOf(state), "state of node " + node };
            const std::int64_t applied = reader.integer("catalogue_offset", noVersion, internal::maxOffset);
            if (!reader.finishLenient() && applied > offset)
                return std::nullopt;
        }
        pause(internal::nodePollDelay);
    }
    return error { error_kind::timed_out,
        "node " + node + " has not confirmed the change in time; check it with \"knapweedctl status --node " + node
            + "\"" };
}

std::optional<error> control_client::drain(const std::string& node)
{
    http_client_request request;
    request.address = node;
    request.target = "/knapweed/v1/leave";
    request.contentType = "application/json";
    request.body = "{}";
    request.timeout = remaining();
    const http_outcome outcome = fetch(std::move(request));
    const http_response* response = std::get_if<http_response>(&outcome);
    if (response != nullptr && response->status == 200)
        return std::nullopt;
    return error { error_kind::connection_failed,
        "node " + node + " has not confirmed that it left (" + internal::describe(outcome)
            + "); check it with \"knapweedctl status --node " + node + "\" before stopping its upstream" };
}

} // namespace knapweedcroft
