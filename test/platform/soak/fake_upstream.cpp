#include "soak/fake_upstream.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace knapweedcroft::platform {

namespace internal {

static constexpr milliseconds announcementInterval { 500 };
static constexpr milliseconds restartDelay { 700 }; // From a crash by a request until the next incarnation starts.
static constexpr std::size_t queueLength = 4;
static constexpr int okStatus = 200;
static constexpr int callFailedStatus = 500;
static constexpr int misdirectedStatus = 421;
static constexpr int overloadedStatus = 503;

[[nodiscard]] static std::string headerValue(const opaque_request& request, std::string_view name)
{
    return findHeader(request.headers, name).value_or("");
}

} // namespace internal

fake_upstream::fake_upstream(event_loop& loop, upstream_location location, const std::vector<soak_entry>& entries,
    request_ledger& ledger, std::uint64_t seed, full_behaviour onFull)
    : m_loop { loop }
    , m_location { std::move(location) }
    , m_entries { entries }
    , m_ledger { ledger }
    , m_random { seed }
    , m_clock { system_time_source {} }
    , m_calls { loop, exchange_client_settings {} }
    , m_control { loop, http_client_settings {} }
    , m_announcements { loop, [this] { announce(); } }
    , m_leaveCalls { loop, [this] { leave(); } }
    , m_restart { loop, [this] { start(); } }
    , m_onFull { onFull }
{
}

void fake_upstream::start()
{
    if (m_server)
        return;
    m_id = "i-" + m_location.node + "-" + std::to_string(++m_incarnations);
    m_sequence = 0;
    m_namedLimit.reset();
    m_server = std::make_unique<pipelined_server>(m_loop, pipelined_server_limits {},
        pipelined_server_handlers {
            [this](std::uint64_t request, const opaque_request& message) { receive(request, message); },
            [this](std::uint64_t request) {
                const auto position = std::find_if(
                    m_jobs.begin(), m_jobs.end(), [request](const std::pair<const std::uint64_t, job>& item) {
                        return item.second.request == request;
                    });
                if (position == m_jobs.end())
                    return;
                cancelCall(position->second);
                m_jobs.erase(position);
            },
            [](const parse_error& fault) {
                return opaque_response { fault.status, {}, {} };
            } });
    const result<std::string> listening = m_server->listen(m_location.address.host, m_location.address.port);
    if (!hasValue(listening))
        throw std::runtime_error { errorOf(listening).message };
    announce();
}

void fake_upstream::leave()
{
    if (!m_server)
        return;
    m_announcements.stop();
    m_leaveCalls.start(internal::announcementInterval);
    http_client_request request;
    request.address = m_location.control;
    request.method = http_method::remove;
    request.target = "/knapweedcroft/instances/" + m_id;
    request.timeout = milliseconds { 1000 };
    m_control.send(request, [this, id = m_id](const http_outcome& outcome) {
        const http_response* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->status != internal::okStatus)
            return;
        m_ledger.notices().recordLeaveAcknowledged(id, m_location.node, m_clock.now());
        if (id == m_id)
            m_leaveCalls.stop();
    });
}

void fake_upstream::crash()
{
    m_announcements.stop();
    m_leaveCalls.stop();
    for (const std::pair<const std::uint64_t, job>& item : m_jobs)
        cancelCall(item.second);
    m_jobs.clear();
    m_server.reset();
}

void fake_upstream::crashAndRestart()
{
    m_ledger.poison().recordCrash(m_clock.now());
    crash();
    m_restart.start(internal::restartDelay);
}

void fake_upstream::announce()
{
    m_announcements.start(internal::announcementInterval);
    const nlohmann::json body = { { "Service", m_location.service }, { "Address", formatHostPort(m_location.address) },
        { "Zone", m_location.data_centre }, { "Version", "v1" }, { "Slots", slots }, { "State", "ready" },
        { "ColdRemaining", "0ms" }, { "Sequence", ++m_sequence } };
    http_client_request request;
    request.address = m_location.control;
    request.method = http_method::put;
    request.target = "/knapweedcroft/instances/" + m_id;
    request.contentType = "application/json";
    request.body = body.dump();
    request.timeout = milliseconds { 1000 };
    // Failures are ignored, because the next announcement repeats the state.
    m_control.send(request, [](const http_outcome&) {});
}

void fake_upstream::receive(std::uint64_t request, const opaque_request& message)
{
    const std::string id = internal::headerValue(message, "X-Request-Id");
    m_ledger.recordArrival(id, m_id, m_clock.now());
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [this, &message](const soak_entry& candidate) {
        return candidate.service == m_location.service && message.target.find(candidate.path) == 0;
    });
    if (entry == m_entries.end() || internal::headerValue(message, "X-Expect-Instance") != m_id) {
        reject(request, id, internal::misdirectedStatus);
        return;
    }
    if (m_jobs.size() >= slots + internal::queueLength) {
        if (m_onFull == full_behaviour::hang) {
            // The server reads the next request of a connection only after it has answered the present one.
            ++m_hungRequests;
            return;
        }
        reject(request, id, internal::overloadedStatus);
        return;
    }
    m_ledger.recordExecution(id, m_id);
    const bool isPoison = message.target == poisonTarget;
    if (isPoison)
        m_ledger.poison().recordArrival(m_clock.now());
    const std::uint64_t number = ++m_lastJob;
    job& added = m_jobs[number];
    added.request = request;
    added.id = id;
    added.entry = &*entry;
    added.isPoison = isPoison;
    const std::string deadline = internal::headerValue(message, "X-Deadline-Ms");
    added.deadline = m_clock.now() + milliseconds { std::stol("0" + deadline) };
    // Posted because execution may destroy the job and its timer, whose callback must not be running then.
    added.timer
        = std::make_unique<loop_timer>(m_loop, [this, number] { m_loop.post([this, number] { execute(number); }); });
    std::uniform_int_distribution<std::int64_t> serviceTime { 5, 30 };
    added.timer->start(milliseconds { serviceTime(m_random) * m_serviceTimeFactor });
}

void fake_upstream::reject(std::uint64_t request, const std::string& id, int status)
{
    opaque_response response { status, { { "X-Request-Id", id }, { "X-Not-Executed", "1" } }, {} };
    addNotices(response);
    m_server->answer(request, response);
}

void fake_upstream::execute(std::uint64_t number)
{
    const auto position = m_jobs.find(number);
    if (position == m_jobs.end())
        return;
    job& running = position->second;
    if (running.isPoison) {
        crashAndRestart();
        return;
    }
    if (running.entry->subCallPath.empty()) {
        finish(number, internal::okStatus);
        return;
    }
    const auto inner = std::find_if(m_entries.begin(), m_entries.end(),
        [&running](const soak_entry& candidate) { return candidate.path == running.entry->subCallPath; });
    opaque_request call;
    call.method = inner->isIdempotent ? "GET" : "POST";
    call.target = inner->path + "x";
    const std::string id = running.id + ".1." + std::to_string(number);
    call.headers = { { "Host", m_location.hostName }, { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, (running.deadline - m_clock.now()).whole())) } };
    m_ledger.recordSent(id, m_location.node, *inner, m_clock.now());
    running.callId = id;
    running.exchange = m_calls.start(
        m_location.outbound, call, [](const opaque_response&) { return response_relation::answer; },
        [this, number, id](const exchange_outcome& outcome) {
            m_ledger.recordEnd(id, outcome, m_clock.now());
            const auto parent = m_jobs.find(number);
            if (parent != m_jobs.end())
                parent->second.exchange = 0;
            const opaque_response* response = std::get_if<opaque_response>(&outcome);
            const bool isDone = response != nullptr && response->status == internal::okStatus;
            finish(number, isDone ? internal::okStatus : internal::callFailedStatus);
        });
}

void fake_upstream::finish(std::uint64_t number, int status)
{
    const auto position = m_jobs.find(number);
    if (position == m_jobs.end())
        return;
    const job ended = std::move(position->second);
    m_jobs.erase(position);
    constexpr std::uint64_t responsesPerDrop = 3;
    const bool isDropped = m_shouldDropResponses && ++m_answers % responsesPerDrop == 0;
    // Chunked encoding together with a length is invalid framing, so this response must not reach a client.
    opaque_response response { status, { { "X-Request-Id", ended.id }, { "X-Response-Signature", m_id } },
        request_ledger::responseBody(ended.id, m_id) };
    addNotices(response);
    if (isDropped)
        response.headers.emplace_back("Transfer-Encoding", "chunked");
    m_server->answer(ended.request, response, isDropped);
}

void fake_upstream::addNotices(opaque_response& response)
{
    if (m_isLeaving)
        response.headers.emplace_back("Server-Leaving", "1");
    if (m_rateLimit)
        response.headers.emplace_back("Server-Limit", std::to_string(*m_rateLimit));
    if (std::exchange(m_namedLimit, m_rateLimit) != m_rateLimit)
        m_ledger.notices().recordLimit(m_id, m_rateLimit, m_clock.now());
}

void fake_upstream::cancelCall(const job& ended)
{
    if (ended.exchange == 0)
        return;
    m_calls.cancel(ended.exchange);
    m_ledger.recordCancellation(ended.callId);
}

} // namespace knapweedcroft::platform
