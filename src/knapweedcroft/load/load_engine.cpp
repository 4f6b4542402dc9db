#include "knapweedcroft/load/load_engine.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds controlTimeout { 2000 };
static constexpr milliseconds progressInterval { 1000 };
static constexpr milliseconds settleInterval { 300 };
// Ends a run whose requests exceed their own time limit.
static constexpr milliseconds runGracePeriod { 10'000 };
static constexpr std::size_t maxRecordedFaults = 100;

static void appendFault(std::vector<std::string>& faults, std::string fault)
{
    if (faults.size() < maxRecordedFaults)
        faults.push_back(std::move(fault));
}

[[nodiscard]] static std::vector<phase_span> spansOf(const std::vector<load_phase>& phases)
{
    std::vector<phase_span> spans;
    milliseconds start;
    for (const load_phase& phase : phases) {
        spans.push_back({ phase.name, start, start + phase.length, phase.demand, phase.faults });
        start = start + phase.length;
    }
    return spans;
}

[[nodiscard]] static std::uint64_t totalExecutions(const std::vector<upstream_counts>& counts)
{
    std::uint64_t total = 0;
    for (const upstream_counts& upstream : counts) {
        for (const std::pair<const std::string, std::uint64_t>& item : upstream.executions)
            total += item.second;
        for (const std::pair<const std::string, std::uint64_t>& item : upstream.effects)
            total += item.second;
    }
    return total;
}

[[nodiscard]] static classified_answer classifyFailure(const http_failure& failure)
{
    const bool isTimeout = failure.cause.kind == error_kind::timed_out;
    return { isTimeout ? attempt_end::timed_out : attempt_end::connection_failed, std::nullopt, {} };
}

} // namespace internal

load_engine::load_engine(event_loop& loop, const clock& time, const shape& on, const deployment& against,
    load_plan plan, progress_handler onProgress)
    : m_loop { loop }
    , m_clock { time }
    , m_shape { on }
    , m_deployment { against }
    , m_plan { std::move(plan) }
    , m_onProgress { std::move(onProgress) }
    , m_client { loop, http_client_settings {} }
    , m_control { loop, http_client_settings {} }
    , m_random { m_plan.seed }
    , m_wakeup { loop, [this] { processDue(); } }
    , m_progressTimer { loop, [this] { reportProgress(); } }
{
    for (const shape_entry& item : on.entries)
        m_answerSpecs.push_back(answerSpecOf(on, item.entry.service(), item.entry.operation()));
    for (const running_process& node : against.nodes) {
        m_nodes[node.data_centre].push_back(node.httpAddress);
        m_allNodes.push_back(node.httpAddress);
    }
    m_run.phases = internal::spansOf(m_plan.phases);
    m_run.actions.resize(m_plan.arrivals.size());
}

result<load_run> load_engine::run()
{
    m_run.before = fetchCounts();
    const auto unknown = std::find_if(
        m_run.before.begin(), m_run.before.end(), [](const upstream_counts& counts) { return !counts.isKnown; });
    if (unknown != m_run.before.end())
        return error { error_kind::connection_failed,
            "the upstream on " + unknown->host + " does not answer GET /stats; start the deployment first" };
    m_start = m_clock.now();
    m_progressTimer.start(internal::progressInterval);
    processDue();
    const milliseconds length = m_run.phases.back().end;
    m_loop.runUntil([this] { return isFinished(); }, length + m_plan.client.patience + internal::runGracePeriod);
    m_wakeup.stop();
    m_progressTimer.stop();
    if (m_nextPhase > 0)
        setFaults(m_nextPhase - 1, false);
    abandonActive();
    m_run.actions.resize(m_nextArrival);
    awaitExecutions();
    return std::move(m_run);
}

void load_engine::interrupt()
{
    m_run.isInterrupted = true;
    m_loop.stop();
}

bool load_engine::isFinished() const
{
    if (m_run.isInterrupted)
        return true;
    const bool haveAllArrived = m_nextArrival == m_plan.arrivals.size();
    return haveAllArrived && m_active.empty() && elapsed() >= m_run.phases.back().end;
}

milliseconds load_engine::elapsed() const { return m_clock.now() - m_start; }

void load_engine::processDue()
{
    const milliseconds now = elapsed();
    while (m_nextPhase < m_run.phases.size() && m_run.phases[m_nextPhase].start <= now)
        startPhase(m_nextPhase++);
    while (m_nextArrival < m_plan.arrivals.size() && m_plan.arrivals[m_nextArrival].at <= now)
        startAction(m_nextArrival++);
    while (!m_retries.empty() && m_retries.begin()->first <= m_start + now) {
        const std::size_t index = m_retries.begin()->second;
        m_retries.erase(m_retries.begin());
        applyStep(index, m_active.at(index).request.attempt(m_clock.now()));
    }
    scheduleNext();
}

void load_engine::scheduleNext()
{
    std::optional<time_point> next;
    const auto consider = [&next](time_point at) { next = next ? std::min(*next, at) : at; };
    if (m_nextPhase < m_run.phases.size())
        consider(m_start + m_run.phases[m_nextPhase].start);
    else
        consider(m_start + m_run.phases.back().end);
    if (m_nextArrival < m_plan.arrivals.size())
        consider(m_start + m_plan.arrivals[m_nextArrival].at);
    if (!m_retries.empty())
        consider(m_retries.begin()->first);
    const bool isPast = *next <= m_clock.now();
    const bool isOver = isPast && m_nextArrival == m_plan.arrivals.size() && m_retries.empty();
    if (!isOver)
        m_wakeup.start(*next - m_clock.now());
}

void load_engine::startPhase(std::size_t phase)
{
    if (phase > 0)
        setFaults(phase - 1, false);
    setFaults(phase, true);
}

void load_engine::setFaults(std::size_t phase, bool isOn)
{
    for (const load_fault& fault : m_run.phases[phase].faults)
        postFault(fault, isOn ? fault.slowFactor : 1.0);
}

void load_engine::postFault(const load_fault& fault, double slowFactor)
{
    for (const running_process& upstream : m_deployment.upstreams) {
        const bool isMeant = upstream.service == fault.service && (fault.host.empty() || upstream.name == fault.host);
        if (!isMeant)
            continue;
        http_client_request request;
        request.address = upstream.httpAddress;
        request.target = "/faults";
        request.contentType = "application/json";
        request.body = nlohmann::json { { "slow_factor", slowFactor } }.dump();
        request.timeout = internal::controlTimeout;
        m_control.send(request, [this, host = upstream.name](const http_outcome& outcome) {
            const http_response* response = std::get_if<http_response>(&outcome);
            if (response == nullptr || response->status >= 300)
                internal::appendFault(
                    m_run.interfaceFaults, "the upstream on " + host + " did not accept POST /faults");
        });
    }
}

const std::string& load_engine::chooseNode(const std::string& dataCentre)
{
    const auto position = m_nodes.find(dataCentre);
    const std::vector<std::string>& candidates = position == m_nodes.end() ? m_allNodes : position->second;
    return candidates[m_random() % candidates.size()];
}

void load_engine::startAction(std::size_t index)
{
    const arrival& from = m_plan.arrivals[index];
    active_action& action = m_active.emplace(index, active_action { m_plan.client, m_clock.now() }).first->second;
    if (from.key)
        action.key = m_keys.reissue(*from.key, m_clock.wallNow());
    action_record& record = m_run.actions[index];
    record.entry = from.entry;
    record.phase = from.phase;
    record.arrivedAt = from.at;
    record.startedAt = elapsed();
    record.key = action.key;
    record.expect = from.expect;
    applyStep(index, action.request.attempt(m_clock.now()));
}

void load_engine::applyStep(std::size_t index, const client_step& step)
{
    if (const send_attempt* send = std::get_if<send_attempt>(&step)) {
        sendAttempt(index, send->timeout);
    } else if (const wait_to_retry* wait = std::get_if<wait_to_retry>(&step)) {
        m_retries.emplace(wait->until, index);
        scheduleNext();
    } else {
        endAction(index, std::get<request_ended>(step).end);
    }
}

void load_engine::sendAttempt(std::size_t index, milliseconds timeout)
{
    const arrival& from = m_plan.arrivals[index];
    const catalogue_entry& entry = m_shape.entries[from.entry].entry;
    active_action& action = m_active.at(index);
    http_client_request request;
    request.address = chooseNode(from.data_centre);
    request.target = "/call/" + entry.service() + "/" + entry.operation();
    if (!action.key.empty())
        request.headers.emplace_back("Idempotency-Key", action.key);
    request.contentType = "application/json";
    request.body = makeRequestBody(from.token, from.bodyBytes);
    request.timeout = timeout;
    action.attempt = action.request.attempts();
    action.sent = m_client.send(request, [this, index, attempt = action.attempt](const http_outcome& outcome) {
        handleAttemptEnd(index, attempt, outcome);
    });
}

classified_answer load_engine::classify(std::size_t index, const http_outcome& outcome)
{
    if (const http_failure* failure = std::get_if<http_failure>(&outcome))
        return internal::classifyFailure(*failure);
    const arrival& from = m_plan.arrivals[index];
    classified_answer answer = checkAnswer(m_answerSpecs[from.entry], from.token, std::get<http_response>(outcome));
    const std::string call
        = "call " + std::to_string(index + 1) + " (" + m_shape.entries[from.entry].entry.name() + "): ";
    if (answer.end == attempt_end::broken_answer)
        internal::appendFault(m_run.answerFaults, call + answer.fault);
    if (answer.end == attempt_end::unclassified)
        internal::appendFault(m_run.interfaceFaults, call + answer.fault);
    return answer;
}

void load_engine::handleAttemptEnd(std::size_t index, std::uint32_t attempt, const http_outcome& outcome)
{
    const auto position = m_active.find(index);
    if (position == m_active.end() || position->second.attempt != attempt) {
        internal::appendFault(m_run.answerFaults, "call " + std::to_string(index + 1) + ": got more than one answer");
        return;
    }
    position->second.attempt = 0;
    const classified_answer answer = classify(index, outcome);
    applyStep(index, position->second.request.handleAttemptEnd(answer.end, answer.retryAfter, m_clock.now()));
}

void load_engine::endAction(std::size_t index, attempt_end end)
{
    const auto position = m_active.find(index);
    action_record& record = m_run.actions[index];
    record.end = end;
    record.endedAt = elapsed();
    record.attempts = position->second.request.counts();
    m_active.erase(position);
    m_completed += end == attempt_end::completed ? 1 : 0;
}

void load_engine::reportProgress()
{
    m_progressTimer.start(internal::progressInterval);
    if (!m_onProgress)
        return;
    const std::string& phase = m_run.phases[m_nextPhase == 0 ? 0 : m_nextPhase - 1].name;
    m_onProgress({ phase, elapsed(), m_nextArrival, m_completed, m_active.size() });
}

std::vector<upstream_counts> load_engine::fetchCounts()
{
    // Shared with the completion handlers, which may run after an interrupted wait.
    const std::shared_ptr<count_query> query = std::make_shared<count_query>();
    query->counts.resize(m_deployment.upstreams.size());
    query->pending = query->counts.size();
    for (std::size_t index = 0; index < query->counts.size(); ++index) {
        const running_process& upstream = m_deployment.upstreams[index];
        query->counts[index].host = upstream.name;
        query->counts[index].service = upstream.service;
        http_client_request request;
        request.address = upstream.httpAddress;
        request.method = http_method::get;
        request.target = "/stats";
        request.timeout = internal::controlTimeout;
        m_control.send(request, [query, index](const http_outcome& outcome) { query->handleOutcome(index, outcome); });
    }
    // Terminates because each request has its own timeout.
    m_loop.runUntil([&query] { return query->pending == 0; }, internal::controlTimeout * 2);
    return query->counts;
}

void load_engine::count_query::handleOutcome(std::size_t index, const http_outcome& outcome)
{
    --pending;
    const http_response* response = std::get_if<http_response>(&outcome);
    const result<nlohmann::json> document = parseJson(response == nullptr ? "" : response->body, "stats");
    if (!hasValue(document))
        return;
    result<upstream_counts> parsed = parseUpstreamCounts(valueOf(document), counts[index].host);
    if (!hasValue(parsed))
        return;
    upstream_counts known = valueOf(std::move(parsed));
    known.host = counts[index].host;
    known.service = counts[index].service;
    counts[index] = std::move(known);
}

void load_engine::abandonActive()
{
    for (std::pair<const std::size_t, active_action>& item : m_active) {
        m_client.cancel(item.second.sent);
        action_record& record = m_run.actions[item.first];
        record.end = attempt_end::timed_out;
        record.endedAt = elapsed();
        record.attempts = item.second.request.counts();
        record.attempts[static_cast<std::size_t>(attempt_end::timed_out)] += item.second.attempt == 0 ? 0 : 1;
    }
    m_active.clear();
    m_retries.clear();
}

void load_engine::awaitExecutions()
{
    const time_point end = m_clock.now() + m_plan.settle;
    m_run.after = fetchCounts();
    while (m_clock.now() < end) {
        m_loop.runUntil([] { return false; }, internal::settleInterval);
        std::vector<upstream_counts> next = fetchCounts();
        const bool isSettled = internal::totalExecutions(next) == internal::totalExecutions(m_run.after);
        m_run.after = std::move(next);
        if (isSettled)
            return;
    }
}

} // namespace knapweedcroft
