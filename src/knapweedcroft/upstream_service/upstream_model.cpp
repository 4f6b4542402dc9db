#include "knapweedcroft/upstream_service/upstream_model.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds leaveGracePeriod { 2000 }; // P6 allows new work for this time after a leave

[[nodiscard]] static double unitInterval(std::uint64_t hash) noexcept
{
    constexpr unsigned mantissaShift = 11;
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(hash >> mantissaShift) * scale;
}

[[nodiscard]] static std::string appendNumber(const std::string& text, std::size_t number)
{
    return text + "." + std::to_string(number + 1);
}

[[nodiscard]] static std::string dump(const nlohmann::json& object)
{
    // Replaces invalid UTF-8, on which `dump` throws by default.
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

[[nodiscard]] static answer_upstream_call makeNotRunAnswer(request_handle handle, const std::string& reason)
{
    return { handle, 503, true,
        dump({ { "error", reason }, { "message", "the call did not run; send it again later" } }) };
}

// If the parent call has no key, the key is derived from its identifier, so that it is unique to the parent call.
[[nodiscard]] static std::string makeSubCallKey(const upstream_call& parent, std::size_t number)
{
    if (!parent.key.empty())
        return appendNumber(parent.key, number);
    return appendNumber("call-" + toHex(parent.call ? parent.call->value() : parent.handle), number);
}

} // namespace internal

upstream_model::upstream_model(upstream_settings settings, time_point now)
    : m_settings { std::move(settings) }
    , m_start { now }
{
}

milliseconds upstream_model::drawServiceTime(const upstream_operation& operation, time_point now)
{
    const double part = internal::unitInterval(hash64(m_draws, m_settings.seed));
    ++m_draws;
    double factor = 1.0 + operation.spread * (2.0 * part - 1.0);
    const double age = (now - m_start).count();
    if (age < m_settings.coldStart.count())
        factor *= 1.0 + (m_settings.coldFactor - 1.0) * (1.0 - age / m_settings.coldStart.count());
    return milliseconds::fromFraction(operation.serviceTime.count() * factor * m_faults.slowFactor);
}

upstream_actions upstream_model::callArrived(const upstream_call& call, time_point now)
{
    upstream_actions actions;
    if (m_leftAt && now - *m_leftAt > internal::leaveGracePeriod)
        ++m_stats.afterLeave;
    const auto operation = m_settings.operations.find(call.operation);
    if (operation == m_settings.operations.end()) {
        actions.push_back(answer_upstream_call { call.handle, 404, false,
            internal::dump({ { "error", "unknown_operation" },
                { "message",
                    "service " + m_settings.service + " has no operation " + call.operation
                        + "; check the path, or add the operation to the settings of the upstream" } }) });
        return actions;
    }
    if (call.deadline && *call.deadline <= milliseconds {}) {
        ++m_stats.expired;
        actions.push_back(internal::makeNotRunAnswer(call.handle, "deadline_passed"));
        return actions;
    }
    if (m_active.size() >= m_settings.slots) {
        ++m_stats.shed;
        actions.push_back(internal::makeNotRunAnswer(call.handle, "no_free_slot"));
        return actions;
    }
    active_call& active = m_active[call.handle];
    active.call = call;
    active.operation = &operation->second;
    if (call.deadline) {
        active.deadline = now + *call.deadline;
        m_timers.insert({ *active.deadline, { timer_kind::deadline, call.handle } });
    }
    if (operation->second.workBefore > 0.0)
        startWork(active, call_phase::first_work, operation->second.workBefore, now);
    else
        startStep(active, now, actions);
    return actions;
}

void upstream_model::startWork(active_call& active, call_phase phase, double share, time_point now)
{
    const milliseconds whole = drawServiceTime(*active.operation, now);
    active.phase = phase;
    active.workEnd = now + milliseconds::fromFraction(whole.count() * share);
    m_timers.insert({ *active.workEnd, { timer_kind::work_end, active.call.handle } });
    markExecuted(active);
}

void upstream_model::startStep(active_call& active, time_point now, upstream_actions& actions)
{
    if (active.step >= active.operation->steps.size()) {
        startWork(active, call_phase::last_work, 1.0 - active.operation->workBefore, now);
        return;
    }
    const std::vector<upstream_sub_call>& step = active.operation->steps[active.step];
    active.phase = call_phase::sub_calls;
    active.pending = step.size();
    active.children.resize(active.sent + step.size());
    for (const upstream_sub_call& target : step) {
        sendSubCall(active, { active.call.handle, active.sent, target, 1 }, actions);
        ++active.sent;
    }
}

void upstream_model::sendSubCall(const active_call& active, active_sub_call subCall, upstream_actions& actions)
{
    send_sub_call action;
    action.id = m_nextSubCall++;
    action.service = subCall.target.service;
    action.operation = subCall.target.operation;
    action.context = active.call.context;
    if (subCall.target.isKeyed)
        action.key = internal::makeSubCallKey(active.call, subCall.number);
    action.body = internal::dump({ { "token", internal::appendNumber(active.call.token, subCall.number) } });
    ++m_stats.subCalls;
    actions.push_back(action);
    m_subCalls.emplace(action.id, std::move(subCall));
}

upstream_actions upstream_model::subCallEnded(sub_call_id id, const sub_call_result& outcome, time_point now)
{
    upstream_actions actions;
    const auto position = m_subCalls.find(id);
    if (position == m_subCalls.end())
        return actions;
    active_sub_call subCall = std::move(position->second);
    m_subCalls.erase(position);
    active_call& active = m_active.at(subCall.parent);
    if (outcome.hasRun) {
        active.hasSubCallRun = true;
        markExecuted(active);
    }
    const bool isOwnAnswer = outcome.echo == internal::appendNumber(active.call.token, subCall.number);
    if (outcome.isSuccess && !isOwnAnswer)
        ++m_stats.mismatched;
    const bool isSuccess = outcome.isSuccess && isOwnAnswer;
    if (!isSuccess && mayRetry(active, subCall, now)) {
        ++subCall.attempts;
        sendSubCall(active, std::move(subCall), actions);
        return actions;
    }
    active.children[subCall.number] = outcome.echo;
    active.hasFailed = active.hasFailed || !isSuccess;
    --active.pending;
    if (active.pending == 0)
        finishStep(active, now, actions);
    return actions;
}

bool upstream_model::mayRetry(const active_call& active, const active_sub_call& subCall, time_point now) const
{
    return subCall.attempts < active.operation->attempts && (!active.deadline || now < *active.deadline);
}

void upstream_model::finishStep(active_call& active, time_point now, upstream_actions& actions)
{
    if (active.hasFailed) {
        fail(active, "sub_call_failed", actions);
        return;
    }
    ++active.step;
    startStep(active, now, actions);
}

void upstream_model::finishWork(active_call& active, time_point now, upstream_actions& actions)
{
    active.workEnd.reset();
    if (active.phase == call_phase::first_work)
        startStep(active, now, actions);
    else
        succeed(active, actions);
}

void upstream_model::markExecuted(active_call& active)
{
    if (active.isExecuted)
        return;
    active.isExecuted = true;
    ++m_stats.executions[active.call.operation];
}

void upstream_model::succeed(active_call& active, upstream_actions& actions)
{
    if (active.operation->hasEffect) {
        ++m_stats.effects[active.call.operation];
        if (!active.call.key.empty())
            ++m_stats.keys[active.call.key];
    }
    const nlohmann::json body
        = { { "service", m_settings.service }, { "operation", active.call.operation }, { "echo", active.call.token },
              { "payload", std::string(active.operation->responseBytes, 'x') }, { "children", active.children } };
    end(active, { active.call.handle, 200, false, internal::dump(body) }, actions);
}

void upstream_model::fail(active_call& active, const std::string& reason, upstream_actions& actions)
{
    const bool isInOwnWork = active.phase == call_phase::last_work;
    if (!active.hasSubCallRun && !isInOwnWork && active.pending == 0) {
        if (active.isExecuted)
            ++m_stats.unwound[active.call.operation];
        end(active, internal::makeNotRunAnswer(active.call.handle, reason), actions);
        return;
    }
    const std::string body
        = internal::dump({ { "error", reason }, { "message", "the call started and did not complete" } });
    end(active, { active.call.handle, 500, false, body }, actions);
}

void upstream_model::end(const active_call& active, answer_upstream_call answer, upstream_actions& actions)
{
    const request_handle handle = active.call.handle;
    for (auto position = m_subCalls.begin(); active.pending > 0 && position != m_subCalls.end();) {
        if (position->second.parent != handle) {
            ++position;
            continue;
        }
        actions.push_back(abandon_sub_call { position->first });
        position = m_subCalls.erase(position);
    }
    if (active.deadline)
        m_timers.erase({ *active.deadline, { timer_kind::deadline, handle } });
    if (active.workEnd)
        m_timers.erase({ *active.workEnd, { timer_kind::work_end, handle } });
    m_active.erase(handle);
    if (m_faults.isMute)
        actions.push_back(withhold_answer { handle });
    else
        actions.push_back(std::move(answer));
}

upstream_actions upstream_model::cancelArrived(call_id call)
{
    upstream_actions actions;
    const auto hasCallId = [call](const std::unordered_map<request_handle, active_call>::value_type& item) {
        return item.second.call.call == call;
    };
    const auto position = std::find_if(m_active.begin(), m_active.end(), hasCallId);
    if (position == m_active.end())
        return actions;
    ++m_stats.cancelled;
    fail(position->second, "cancelled", actions);
    return actions;
}

upstream_actions upstream_model::timeReached(time_point now)
{
    upstream_actions actions;
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const timer_entry due = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        active_call& active = m_active.at(due.second.second);
        if (due.second.first == timer_kind::work_end) {
            finishWork(active, now, actions);
            continue;
        }
        ++m_stats.expired;
        fail(active, "deadline_passed", actions);
    }
    return actions;
}

std::optional<time_point> upstream_model::nextWakeup() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

double upstream_model::load() const noexcept
{
    return static_cast<double>(m_active.size()) / static_cast<double>(m_settings.slots);
}

upstream_announced upstream_model::announce(const std::string& address, std::uint64_t incarnation, time_point now)
{
    m_loads.emplace_back(now, load());
    while (m_loads.size() > 1 && now - m_loads[1].first >= m_settings.loadLag)
        m_loads.pop_front();
    upstream_announced announcement;
    announcement.service = m_settings.service;
    announcement.address = address;
    announcement.slots = m_settings.slots;
    announcement.connections = m_settings.connections;
    announcement.state = m_leftAt ? upstream_state::draining : upstream_state::serving;
    announcement.load = m_faults.lieLoad.value_or(m_loads.front().second);
    announcement.incarnation = incarnation;
    return announcement;
}

void upstream_model::leaveStarted(time_point now) noexcept
{
    if (!m_leftAt)
        m_leftAt = now;
}

} // namespace knapweedcroft
