#include "knapweedcroft/log_service/log_http.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/settings/command_line.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxOffset = INT64_MAX / 2;
static constexpr std::int64_t maxLimit = 10'000;
static constexpr std::int64_t defaultLimit = 1'000;
static constexpr std::int64_t maxWaitMs = 60'000;
static constexpr milliseconds connectionIdleTimeout { 600'000 }; // must exceed the maximum long poll and delay

[[nodiscard]] static http_server_settings serverSettings(const log_service_settings& settings)
{
    http_server_settings server;
    constexpr std::size_t controlBytes = 65536; // bodies of /faults and /trim
    server.maxBodyBytes = std::max<std::size_t>(settings.store.maxRecordBytes, controlBytes);
    server.idleTime = connectionIdleTimeout;
    return server;
}

struct append_answer {
    http_response operator()(const append_accepted& value) const
    {
        return jsonResponse(200, nlohmann::json { { "offset", value.offset } }.dump());
    }

    http_response operator()(const append_throttled& value) const
    {
        http_response response
            = errorResponse(429, "too_many_appends", "the log takes no more appends now; append again later");
        response.headers.emplace_back("Retry-After", "1");
        response.headers.emplace_back("Knapweed-Retry-After-Ms", std::to_string(value.retryAfter.whole() + 1));
        return response;
    }

    http_response operator()(const append_invalid& value) const
    {
        return errorResponse(400, "invalid_value", value.message);
    }

    http_response operator()(const append_too_large& value) const
    {
        return errorResponse(413, "body_too_large",
            "a record has at most " + std::to_string(value.maxBytes) + " bytes; make it smaller");
    }
};

// The page is concatenated as text, because the payloads are JSON texts already.
[[nodiscard]] static std::string formatPage(const log_page& page)
{
    std::string text
        = "{\"first\":" + std::to_string(page.first) + ",\"next\":" + std::to_string(page.next) + ",\"records\":[";
    for (const log_record& record : page.records) {
        text += text.back() == '[' ? "" : ",";
        text += "{\"offset\":" + std::to_string(record.offset) + ",\"time_ms\":"
            + std::to_string(record.wallTime.sinceEpoch().whole()) + ",\"record\":" + record.payload + "}";
    }
    return text + "]}";
}

[[nodiscard]] static http_response downResponse()
{
    return errorResponse(503, "log_unavailable", "the log is down; try again later");
}

/** @brief Reads an integer from the query; sets `problem` to the first error. */
[[nodiscard]] static std::int64_t queryInteger(const http_request& request, const std::string& name,
    std::int64_t maxValue, std::int64_t fallback, std::optional<error>& problem)
{
    const std::optional<std::string> text = findQueryParameter(request, name);
    if (!text)
        return fallback;
    const std::optional<std::int64_t> value = parseInteger(*text, 0, maxValue);
    if (!value && !problem)
        problem = error { error_kind::out_of_range,
            "query parameter \"" + name + "\" must be an integer from 0 to " + std::to_string(maxValue) };
    return value.value_or(fallback);
}

} // namespace internal

log_http::log_http(event_loop& loop, log_service_settings settings)
    : m_loop { loop }
    , m_settings { std::move(settings) }
    , m_clock { system_time_source {} }
    , m_server { loop, internal::serverSettings(m_settings) }
    , m_store { m_settings.store }
{
    addRoutes();
}

void log_http::addRoutes()
{
    using id_type = request_id;
    const std::string records = "/streams/{stream}/records";
    m_server.route(
        http_method::post, records, [this](id_type id, const http_request& request) { append(id, request); });
    m_server.route(http_method::get, records, [this](id_type id, const http_request& request) { read(id, request); });
    m_server.route(
        http_method::post, "/faults", [this](id_type id, const http_request& request) { setFaults(id, request); });
    m_server.route(http_method::post, "/trim", [this](id_type id, const http_request& request) { trim(id, request); });
    m_server.route(http_method::get, "/stats", [this](id_type id, const http_request&) { sendStats(id); });
    m_server.setGoneHandler([this](id_type id) { removeWaitingRead(id); });
}

result<std::string> log_http::start() { return m_server.listen(m_settings.host, m_settings.port); }

void log_http::append(request_id id, const http_request& request)
{
    const fault_decision decision = m_faults.decide(log_request::append);
    if (decision.fault == log_fault::down) {
        m_server.answer(id, internal::downResponse());
        return;
    }
    const std::string stream = request.parameters.at(0);
    const std::string payload = request.body;
    const log_fault fault = decision.fault;
    runAfter(id, decision.delay, [this, id, stream, payload, fault] { performAppend(id, stream, payload, fault); });
}

void log_http::performAppend(request_id id, const std::string& stream, const std::string& payload, log_fault fault)
{
    const append_result appended = m_store.append(stream, payload, m_clock.now(), m_clock.wallNow());
    const bool isAccepted = std::holds_alternative<append_accepted>(appended);
    m_accepted += isAccepted ? 1 : 0;
    m_throttled += std::holds_alternative<append_throttled>(appended) ? 1 : 0;
    // The request stays open without an answer, which its sender sees as a timeout.
    if (!isAccepted || fault != log_fault::lose_answer)
        m_server.answer(id, std::visit(internal::append_answer {}, appended));
    if (isAccepted)
        wakeReaders(stream);
}

void log_http::read(request_id id, const http_request& request)
{
    std::optional<error> problem;
    waiting_read query;
    query.stream = request.parameters.at(0);
    query.from = internal::queryInteger(request, "from", internal::maxOffset, 0, problem);
    query.limit = static_cast<std::size_t>(
        internal::queryInteger(request, "limit", internal::maxLimit, internal::defaultLimit, problem));
    const milliseconds wait { internal::queryInteger(request, "wait_ms", internal::maxWaitMs, 0, problem) };
    if (problem) {
        m_server.answer(id, errorResponse(400, *problem));
        return;
    }
    if (!isStreamName(query.stream)) {
        m_server.answer(id,
            errorResponse(
                400, "invalid_value", "the name of a stream must be 1 to 64 letters, digits, \"_\" or \"-\""));
        return;
    }
    const fault_decision decision = m_faults.decide(log_request::read);
    if (decision.fault == log_fault::down) {
        m_server.answer(id, internal::downResponse());
        return;
    }
    const std::shared_ptr<waiting_read> shared = std::make_shared<waiting_read>(std::move(query));
    runAfter(id, decision.delay, [this, id, shared, wait] { performRead(id, std::move(*shared), wait); });
}

void log_http::performRead(request_id id, waiting_read query, milliseconds wait)
{
    const bool hasRecords = m_store.next(query.stream) > query.from;
    if (hasRecords || wait == milliseconds {}) {
        answerRead(id, query);
        return;
    }
    query.timer = std::make_unique<loop_timer>(m_loop, [this, id] {
        const auto position = m_waiting.find(id);
        if (position == m_waiting.end())
            return;
        const waiting_read ended = std::move(position->second);
        m_waiting.erase(position);
        answerRead(id, ended);
    });
    query.timer->start(wait);
    m_waiting.emplace(id, std::move(query));
}

void log_http::answerRead(request_id id, const waiting_read& query)
{
    const read_result found = m_store.read(query.stream, query.from, query.limit, m_clock.wallNow());
    if (const log_page* page = std::get_if<log_page>(&found)) {
        m_server.answer(id, jsonResponse(200, internal::formatPage(*page)));
        return;
    }
    const page_trimmed& trimmed = std::get<page_trimmed>(found);
    m_server.answer(
        id, jsonResponse(410, nlohmann::json { { "first", trimmed.first }, { "next", trimmed.next } }.dump()));
}

void log_http::wakeReaders(const std::string& stream)
{
    std::vector<request_id> ready;
    for (const std::unordered_map<request_id, waiting_read>::value_type& item : m_waiting) {
        if (item.second.stream == stream && item.second.from < m_store.next(stream))
            ready.push_back(item.first);
    }
    for (const request_id id : ready) {
        const auto position = m_waiting.find(id);
        const waiting_read query = std::move(position->second);
        m_waiting.erase(position);
        answerRead(id, query);
    }
}

void log_http::releaseReaders()
{
    const std::unordered_map<request_id, waiting_read> waiting = std::exchange(m_waiting, {});
    for (const std::unordered_map<request_id, waiting_read>::value_type& item : waiting)
        answerRead(item.first, item.second);
}

void log_http::setFaults(request_id id, const http_request& request)
{
    const result<nlohmann::json> document = parseJson(request.body, "faults");
    const result<fault_plan> plan
        = hasValue(document) ? fault_plan::fromJson(valueOf(document)) : result<fault_plan> { errorOf(document) };
    if (!hasValue(plan)) {
        m_server.answer(id, errorResponse(400, errorOf(plan)));
        return;
    }
    m_faults = valueOf(plan);
    if (m_faults.fault() == log_fault::down) {
        const std::unordered_map<request_id, waiting_read> waiting = std::exchange(m_waiting, {});
        for (const std::unordered_map<request_id, waiting_read>::value_type& item : waiting)
            m_server.answer(item.first, internal::downResponse());
    }
    m_server.answer(id, jsonResponse(200, "{}"));
}

void log_http::trim(request_id id, const http_request& request)
{
    const result<nlohmann::json> document = parseJson(request.body, "trim");
    if (!hasValue(document)) {
        m_server.answer(id, errorResponse(400, errorOf(document)));
        return;
    }
    json_reader reader { valueOf(document), "trim" };
    const std::string stream = reader.string("stream");
    const std::int64_t before = reader.integer("before", 0, internal::maxOffset);
    if (const std::optional<error> problem = reader.finish()) {
        m_server.answer(id, errorResponse(400, *problem));
        return;
    }
    m_store.trim(stream, before);
    m_server.answer(id, jsonResponse(200, "{}"));
}

void log_http::sendStats(request_id id)
{
    nlohmann::json streams = nlohmann::json::object();
    const std::map<std::string, page_trimmed> offsets = m_store.offsets();
    for (const std::map<std::string, page_trimmed>::value_type& item : offsets)
        streams[item.first] = { { "first", item.second.first }, { "next", item.second.next } };
    const nlohmann::json stats
        = { { "accepted", m_accepted }, { "throttled", m_throttled }, { "streams", std::move(streams) } };
    m_server.answer(id, jsonResponse(200, stats.dump()));
}

void log_http::runAfter(request_id id, milliseconds delay, std::function<void()> task)
{
    if (delay == milliseconds {}) {
        task();
        return;
    }
    std::unique_ptr<loop_timer> timer = std::make_unique<loop_timer>(m_loop, [this, id, task = std::move(task)] {
        const std::unique_ptr<loop_timer> ended = std::move(m_delayed[id]);
        m_delayed.erase(id);
        task();
    });
    timer->start(delay);
    m_delayed.emplace(id, std::move(timer));
}

// Delayed requests still run: an append takes effect even if its sender has disconnected, as in a slow log, and a read
// has no effect.
void log_http::removeWaitingRead(request_id id) { m_waiting.erase(id); }

} // namespace knapweedcroft
