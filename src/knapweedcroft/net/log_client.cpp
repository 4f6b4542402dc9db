#include "knapweedcroft/net/log_client.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static std::string recordsPath(const std::string& stream) { return "/streams/" + stream + "/records"; }

[[nodiscard]] static bool isSuccess(int status) noexcept { return status >= 200 && status < 300; }

// Reads the records of an answer; those below `from` are left out. Returns nothing if the answer has another form.
[[nodiscard]] static std::optional<records_read> readRecords(
    const nlohmann::json& document, const std::string& stream, std::int64_t from)
{
    json_reader reader { document, "answer of the log" };
    records_read event;
    event.stream = stream;
    event.first = reader.integer("first", 0, INT64_MAX / 2);
    event.next = reader.integer("next", 0, INT64_MAX / 2);
    const nlohmann::json& records = reader.child("records");
    if (reader.finishLenient() || (!records.is_null() && !records.is_array()))
        return std::nullopt;
    std::int64_t least = from;
    for (const nlohmann::json& item : records) {
        json_reader fields { item, "record of the log" };
        log_record record;
        record.offset = fields.integer("offset", 0, INT64_MAX / 2);
        record.wallTime = time_point { milliseconds { fields.integer("time_ms", 0, INT64_MAX / 4000) } };
        record.payload = fields.child("record").dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (fields.finishLenient())
            return std::nullopt;
        if (record.offset < least)
            continue;
        least = record.offset + 1;
        event.records.push_back(std::move(record));
    }
    return event;
}

} // namespace internal

log_client::log_client(
    event_loop& loop, http_client& http, const log_client_settings& settings, log_client_handlers handlers)
    : m_loop { loop }
    , m_http { http }
    , m_settings { settings }
    , m_handlers { std::move(handlers) }
    , m_random { settings.seed }
    , m_isAlive { std::make_shared<bool>(true) }
{
}

log_client::~log_client()
{
    *m_isAlive = false;
    for (const std::pair<const std::string, stream_state>& item : m_streams)
        m_http.cancel(item.second.request);
}

void log_client::follow(const std::string& stream, std::int64_t from)
{
    stream_state& state = m_streams[stream];
    m_http.cancel(state.request);
    state.name = stream;
    state.failures = 0;
    state.next = std::max<std::int64_t>(from, 0);
    state.retry = std::make_unique<loop_timer>(m_loop, [this, &state] { poll(state); });
    state.retry->start(milliseconds { 0 });
}

void log_client::advance(const std::string& stream, std::int64_t from)
{
    const auto position = m_streams.find(stream);
    if (position != m_streams.end())
        position->second.next = std::max(position->second.next, from);
}

void log_client::poll(stream_state& stream)
{
    // Until the log has answered, an empty answer is of use at once, as it shows that the log is up.
    const milliseconds wait = m_isAvailable && m_isKnown ? m_settings.pollTime : milliseconds {};
    http_client_request request;
    request.address = m_settings.address;
    request.method = http_method::get;
    request.target = internal::recordsPath(stream.name) + "?from=" + std::to_string(stream.next)
        + "&limit=" + std::to_string(m_settings.batch) + "&wait_ms=" + std::to_string(wait.whole());
    request.timeout = m_settings.pollTime + m_settings.answerTime;
    stream.request = m_http.send(request, [this, isAlive = m_isAlive, &stream](const http_outcome& outcome) {
        if (*isAlive)
            onPolled(stream, outcome);
    });
}

void log_client::onPolled(stream_state& stream, const http_outcome& outcome)
{
    const http_response* response = std::get_if<http_response>(&outcome);
    const std::int64_t before = stream.next;
    const bool isRead = response != nullptr && takeRecords(stream, *response);
    const bool isEmpty = stream.next == before;
    if (!isRead) {
        setAvailable(false);
        pollLater(stream);
        return;
    }
    stream.failures = 0;
    // A log that does not hold back empty answers must not be asked in a tight loop.
    constexpr milliseconds pause { 10 };
    stream.retry->start(isEmpty ? pause : milliseconds { 0 });
}

bool log_client::takeRecords(stream_state& stream, const http_response& response)
{
    constexpr int trimmed = 410;
    if (!internal::isSuccess(response.status) && response.status != trimmed)
        return false;
    const result<nlohmann::json> document = parseJson(response.body, "answer of the log", deep_values::discarded);
    if (!hasValue(document))
        return false;
    std::optional<records_read> event = internal::readRecords(valueOf(document), stream.name, stream.next);
    if (!event || (response.status == trimmed && event->first <= stream.next))
        return false;
    if (response.status == trimmed) {
        event->records.clear();
        stream.next = event->first;
    } else if (!event->records.empty()) {
        stream.next = event->records.back().offset + 1;
    }
    setAvailable(true);
    m_handlers.read(std::move(*event));
    return true;
}

void log_client::pollLater(stream_state& stream)
{
    constexpr std::uint32_t maxDoublings = 16;
    const milliseconds delay
        = std::min(m_settings.firstBackOff * (std::int64_t { 1 } << std::min(stream.failures, maxDoublings)),
            m_settings.longestBackOff);
    std::uniform_real_distribution<double> jitter { 0.5, 1.0 };
    ++stream.failures;
    stream.retry->start(milliseconds::fromFraction(delay.count() * jitter(m_random)));
}

void log_client::append(const append_record& action)
{
    http_client_request request;
    request.address = m_settings.address;
    request.target = internal::recordsPath(action.stream);
    request.contentType = "application/json";
    request.body = action.payload;
    request.timeout = m_settings.pollTime + m_settings.answerTime;
    m_http.send(request,
        [this, isAlive = m_isAlive, handle = action.handle, generation = m_generation](const http_outcome& outcome) {
            if (*isAlive && generation == m_generation)
                onAppended(handle, outcome);
        });
}

void log_client::onAppended(append_handle handle, const http_outcome& outcome)
{
    constexpr int unavailable = 503;
    append_finished event;
    event.handle = handle;
    if (const http_response* response = std::get_if<http_response>(&outcome)) {
        const bool isRefused = (response->status >= 400 && response->status < 500) || response->status == unavailable;
        if (internal::isSuccess(response->status))
            event.outcome = append_outcome::accepted;
        else if (isRefused)
            event.outcome = append_outcome::refused;
    } else if (!std::get<http_failure>(outcome).wasWritten) {
        event.outcome = append_outcome::refused;
    }
    m_handlers.finished(event);
}

void log_client::setAvailable(bool isAvailable)
{
    if (m_isKnown && m_isAvailable == isAvailable)
        return;
    m_isKnown = true;
    m_isAvailable = isAvailable;
    m_handlers.available(isAvailable);
}

} // namespace knapweedcroft
