#include "knapweedcroft/node/node_group.hpp"

#include "knapweedcroft/catalogue/change_record.hpp"
#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/membership/records.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds localLatency = milliseconds::fromMicroseconds(50);
static constexpr milliseconds pollInterval { 500 };
static constexpr milliseconds announceInterval { 1000 };
static constexpr milliseconds reconnectInterval { 200 };
static constexpr milliseconds silentLinkTimeout { 600 }; // two missed pings at 250 ms, plus the time to open a new link

[[nodiscard]] static std::uint64_t sumOf(const std::map<std::string, std::uint64_t>& counts)
{
    std::uint64_t sum = 0;
    for (const std::pair<const std::string, std::uint64_t>& count : counts)
        sum += count.second;
    return sum;
}

[[nodiscard]] static std::string tokenOf(const std::string& body, const char* field)
{
    const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
    return object.is_object() ? object.value(field, std::string {}) : std::string {};
}

[[nodiscard]] static std::string nodeOf(const std::string& address) { return address.substr(0, address.find(':')); }

} // namespace internal

node_group::node_group(const group_settings& settings, const chart_set& charts)
    : m_settings { settings }
    , m_charts { charts }
    , m_random { settings.seed }
{
    for (const catalogue_entry& entry : m_settings.shape.catalogue) {
        change_record record;
        record.changeId = "initial-" + entry.name();
        record.operatorName = "test";
        record.name = entry.name();
        record.entry = entry;
        append(std::string { catalogueStream }, formatRecord(catalogue_record { record }));
    }
    for (const upstream_settings& each : m_settings.shape.hosts) {
        m_hosts[each.name].settings = each;
        start(each.name);
    }
}

void node_group::start(const node_name& name)
{
    host& target = m_hosts.at(name);
    ++target.run;
    node_settings settings = m_settings.node;
    settings.name = name;
    settings.service = target.settings.service;
    settings.data_centre = target.settings.data_centre;
    settings.seed = hash64(name, m_settings.seed);
    const incarnation_id incarnation { hash64(name, target.run) };
    target.core = std::make_unique<node_core>(settings, m_charts, incarnation, name + ":1", m_now, wallNow(target));
    target.isLogAvailable.reset();
    target.wakeAt.reset();
    if (!target.model) {
        ++target.modelRun;
        target.leftAt.reset();
        target.settings.seed = hash64(name, m_settings.seed + target.modelRun);
        target.model = std::make_unique<upstream_model>(target.settings, m_now);
        announce(name, target.modelRun);
    }
    schedulePolls(name, target.run);
    wake(name);
}

void node_group::after(milliseconds delay, std::function<void()> task)
{
    m_events.push({ m_now + delay, m_sequence++, std::move(task) });
}

void node_group::run(milliseconds duration)
{
    const time_point end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const scheduled_task next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.task();
    }
    m_now = end;
}

void node_group::post(const node_name& name, node_event event, milliseconds delay)
{
    const std::uint64_t run = m_hosts.at(name).run;
    after(delay, [this, name, run, event = std::move(event)] {
        if (m_hosts.at(name).run == run)
            deliver(name, event);
    });
}

void node_group::deliver(const node_name& name, const node_event& event)
{
    host& target = m_hosts.at(name);
    if (!target.core)
        return;
    if (target.isFrozen) {
        target.deferredEvents.push_back(event);
        return;
    }
    const node_actions actions = target.core->handle(event, m_now, wallNow(target));
    if (m_observer.handled)
        m_observer.handled(name, event, actions, m_now);
    for (const node_action& action : actions)
        std::visit([&](const auto& value) { perform(name, value); }, action);
    wake(name);
}

void node_group::wake(const node_name& name)
{
    host& target = m_hosts.at(name);
    const std::optional<time_point> next = target.core ? target.core->nextWakeup() : std::nullopt;
    if (!next || (target.wakeAt && *target.wakeAt <= *next))
        return;
    const time_point due = std::max(*next, m_now);
    target.wakeAt = due;
    after(due - m_now, [this, name, due, run = target.run] {
        host& woken = m_hosts.at(name);
        if (woken.run != run || woken.wakeAt != due)
            return;
        woken.wakeAt.reset();
        deliver(name, timer_fired {});
    });
}

request_handle node_group::request(const node_name& name, call_arrived call, milliseconds latency, http_answer answer)
{
    const request_handle handle = ++m_lastHandle;
    call.handle = handle;
    m_callers.emplace(handle, caller { name, [this, latency, answer = std::move(answer)](auto outcome) {
                                          after(latency, [answer, outcome] { answer(outcome); });
                                      } });
    if (!m_hosts.at(name).core) {
        const caller refused = m_callers.at(handle);
        m_callers.erase(handle);
        refused.answer(std::nullopt);
        return handle;
    }
    post(name, std::move(call), latency);
    return handle;
}

void node_group::disconnectCaller(request_handle handle, milliseconds latency)
{
    const auto position = m_callers.find(handle);
    if (position == m_callers.end())
        return;
    post(position->second.node, caller_gone { handle }, latency);
    m_callers.erase(position);
}

void node_group::perform(const node_name&, const answer_caller& action)
{
    const auto position = m_callers.find(action.handle);
    if (position == m_callers.end()) {
        // The answer to a caller that has disconnected is discarded; handles are not reused, so it cannot reach another
        // one.
        m_duplicateAnswers += action.handle > m_lastHandle ? 1 : 0;
        return;
    }
    const http_answer answer = std::move(position->second.answer);
    m_callers.erase(position);
    answer(action.outcome);
}

void node_group::perform(const node_name& name, const send_to_peer& action)
{
    const peer_link& used = link(name, action.peer);
    if (!used.isOpen) {
        if (const call_request* unwritten = std::get_if<call_request>(&action.message))
            post(name, link_closed { action.peer, { unwritten->id } }, internal::localLatency);
        return;
    }
    if (used.isSilent)
        return;
    after(m_settings.shape.linkLatency, [this, name, id = used.id, action] {
        const peer_link& arrivedOn = link(name, action.peer);
        if (arrivedOn.id == id && arrivedOn.isOpen && !arrivedOn.isSilent)
            deliver(action.peer, message_received { name, action.message });
    });
}

void node_group::perform(const node_name& name, const open_link& action)
{
    const node_name to = internal::nodeOf(action.address);
    if (m_hosts.count(to) == 0 || to == name)
        return;
    m_hosts.at(name).requestedLinks.insert(to);
    openLink(name, to);
}

void node_group::perform(const node_name& name, const replace_link& action) { closeLink(name, action.peer); }

void node_group::perform(const node_name& name, const close_link& action)
{
    m_hosts.at(name).requestedLinks.erase(action.peer);
    closeLink(name, action.peer);
}

void node_group::openLink(const node_name& from, const node_name& to)
{
    peer_link& opening = link(from, to);
    if (opening.isOpen || opening.isOpening)
        return;
    opening.isOpening = true;
    after(m_settings.shape.linkLatency * 2, [this, from, to] {
        peer_link& opened = link(from, to);
        const host& left = m_hosts.at(from);
        const host& right = m_hosts.at(to);
        opened.isOpening = false;
        if (left.requestedLinks.count(to) == 0 && right.requestedLinks.count(from) == 0)
            return;
        if (opened.isCut || !left.core || !right.core || left.isFrozen || right.isFrozen) {
            after(internal::reconnectInterval, [this, from, to] { openLink(from, to); });
            return;
        }
        ++opened.id;
        opened.isOpen = true;
        opened.isSilent = false;
        for (const name_pair& side : { name_pair { from, to }, name_pair { to, from } }) {
            const host& other = m_hosts.at(side.second);
            hello_message hello;
            hello.node = side.second;
            hello.incarnation = incarnation_id { hash64(side.second, other.run) };
            hello.service = other.settings.service;
            hello.data_centre = other.settings.data_centre;
            hello.peerAddress = side.second + ":1";
            deliver(side.first, link_opened { hello });
        }
    });
}

void node_group::closeLink(const node_name& left, const node_name& right)
{
    peer_link& closing = link(left, right);
    if (!closing.isOpen)
        return;
    closing.isOpen = false;
    ++closing.id;
    post(left, link_closed { right, {} }, milliseconds {});
    post(right, link_closed { left, {} }, milliseconds {});
    after(internal::localLatency, [this, left, right] { openLink(left, right); });
}

node_group::peer_link& node_group::link(const node_name& left, const node_name& right)
{
    return m_links[left < right ? name_pair { left, right } : name_pair { right, left }];
}

void node_group::blockLink(const node_name& left, const node_name& right)
{
    link(left, right).isCut = true;
    closeLink(left, right);
}

void node_group::makeLinkSilent(const node_name& left, const node_name& right)
{
    peer_link& silent = link(left, right);
    silent.isSilent = true;
    after(internal::silentLinkTimeout, [this, left, right, id = silent.id] {
        if (link(left, right).id == id)
            closeLink(left, right);
    });
}

void node_group::restoreLink(const node_name& left, const node_name& right)
{
    link(left, right).isCut = false;
    link(left, right).isSilent = false;
}

void node_group::perform(const node_name& name, const dispatch_call& action)
{
    const request_handle handle = ++m_lastHandle;
    host& target = m_hosts.at(name);
    target.dispatched.emplace(handle, action.id);
    upstream_call call;
    call.handle = handle;
    call.operation = action.operation;
    call.context = formatContext(action.context);
    call.call = action.id;
    call.key = action.key.value_or("");
    call.deadline = action.context.deadline;
    call.token = internal::tokenOf(action.body, "token");
    after(internal::localLatency, [this, name, call, run = target.modelRun] {
        host& current = m_hosts.at(name);
        if (!current.model || current.modelRun != run)
            return;
        const std::uint64_t before = internal::sumOf(current.model->stats().executions);
        performUpstream(name, current.model->callArrived(call, m_now));
        countExecutions(name, before, call.token);
    });
    after(action.context.deadline, [this, name, handle, id = action.id] {
        if (m_hosts.at(name).dispatched.erase(handle) > 0)
            post(name, upstream_failed { id, true, { error_kind::timed_out, "no answer in time" } }, {});
    });
}

void node_group::perform(const node_name& name, const cancel_dispatch& action)
{
    host& target = m_hosts.at(name);
    const auto position = std::find_if(target.dispatched.begin(), target.dispatched.end(),
        [&](const std::pair<const request_handle, call_id>& item) { return item.second == action.id; });
    if (position != target.dispatched.end())
        target.dispatched.erase(position);
    after(internal::localLatency, [this, name, id = action.id, run = target.modelRun] {
        host& current = m_hosts.at(name);
        if (current.model && current.modelRun == run)
            performUpstream(name, current.model->cancelArrived(id));
    });
}

void node_group::countExecutions(const node_name& name, std::uint64_t before, const std::string& token)
{
    const std::uint64_t added = internal::sumOf(m_hosts.at(name).model->stats().executions) - before;
    m_executions += added;
    if (!token.empty())
        m_requests.at(std::stoul(token.substr(1))).executions += static_cast<std::uint32_t>(added);
}

void node_group::performUpstream(const node_name& name, const upstream_actions& actions)
{
    host& target = m_hosts.at(name);
    for (const upstream_action& action : actions) {
        if (const answer_upstream_call* answer = std::get_if<answer_upstream_call>(&action)) {
            after(internal::localLatency, [this, name, answer = *answer] {
                host& current = m_hosts.at(name);
                const auto position = current.dispatched.find(answer.handle);
                if (position == current.dispatched.end())
                    return;
                const call_id id = position->second;
                current.dispatched.erase(position);
                deliver(
                    name, upstream_answered { id, answer.status, answer.isNotRun, "application/json", answer.body });
            });
            continue;
        }
        if (const abandon_sub_call* abandoned = std::get_if<abandon_sub_call>(&action)) {
            disconnectCaller(target.subCalls[abandoned->id], internal::localLatency);
            target.subCalls.erase(abandoned->id);
            continue;
        }
        const send_sub_call* sent = std::get_if<send_sub_call>(&action);
        if (sent == nullptr)
            continue;
        call_arrived call;
        call.service = sent->service;
        call.operation = sent->operation;
        call.context = sent->context;
        if (!sent->key.empty())
            call.key = sent->key;
        call.body = sent->body;
        const std::string token = internal::tokenOf(sent->body, "token");
        target.subCalls[sent->id] = request(name, call, internal::localLatency,
            [this, name, id = sent->id, token, run = target.modelRun](const std::optional<call_result>& outcome) {
                host& current = m_hosts.at(name);
                if (!current.model || current.modelRun != run)
                    return;
                sub_call_result ended;
                if (outcome) {
                    const answered* answer = std::get_if<answered>(&*outcome);
                    ended.isSuccess = answer != nullptr && answer->status < 300;
                    ended.hasRun = !std::holds_alternative<refused_not_run>(*outcome);
                    ended.echo = answer == nullptr ? std::string {} : internal::tokenOf(answer->body, "echo");
                }
                current.subCalls.erase(id);
                const std::uint64_t before = internal::sumOf(current.model->stats().executions);
                performUpstream(name, current.model->subCallEnded(id, ended, m_now));
                countExecutions(name, before, token);
            });
    }
    wakeModel(name);
}

void node_group::wakeModel(const node_name& name)
{
    host& target = m_hosts.at(name);
    const std::optional<time_point> next = target.model->nextWakeup();
    if (!next || (target.modelWakeAt && *target.modelWakeAt <= *next))
        return;
    target.modelWakeAt = *next;
    after(std::max(*next, m_now) - m_now, [this, name, due = *next, run = target.modelRun] {
        host& current = m_hosts.at(name);
        if (!current.model || current.modelRun != run || current.modelWakeAt != due)
            return;
        current.modelWakeAt.reset();
        performUpstream(name, current.model->timeReached(m_now));
    });
}

void node_group::announce(const node_name& name, std::uint64_t modelRun)
{
    host& target = m_hosts.at(name);
    if (!target.model || target.modelRun != modelRun)
        return;
    post(name, target.model->announce(name + ":2", modelRun, m_now), internal::localLatency);
    after(internal::announceInterval, [this, name, modelRun] { announce(name, modelRun); });
}

void node_group::perform(const node_name& name, const append_record& action)
{
    after(m_settings.logLatency + m_logDelay, [this, name, action, run = m_hosts.at(name).run] {
        append_outcome outcome = append_outcome::refused;
        if (m_isLogAvailable) {
            append(action.stream, action.payload);
            outcome = m_lostAppends > 0 ? append_outcome::unknown : append_outcome::accepted;
            m_lostAppends -= m_lostAppends > 0 ? 1 : 0;
        }
        if (m_hosts.at(name).run == run)
            post(name, append_finished { action.handle, outcome }, m_settings.logLatency);
    });
}

void node_group::append(const std::string& stream, const std::string& payload)
{
    std::vector<log_record>& records = m_streams[stream];
    records.push_back({ static_cast<std::int64_t>(records.size()), m_wallStart + (m_now - time_point {}), payload });
    for (const std::pair<const node_name, host>& each : m_hosts)
        after(m_settings.logLatency + m_logDelay, [this, name = each.first] { pollLog(name); });
}

void node_group::pollLog(const node_name& name)
{
    host& target = m_hosts.at(name);
    if (!target.core)
        return;
    if (target.isLogAvailable != m_isLogAvailable) {
        target.isLogAvailable = m_isLogAvailable;
        deliver(name, log_availability_changed { m_isLogAvailable });
    }
    if (!m_isLogAvailable)
        return;
    for (const std::string& stream : { std::string { catalogueStream }, std::string { membershipStream } }) {
        const std::vector<log_record>& records = m_streams[stream];
        const std::int64_t from
            = std::min<std::int64_t>(target.core->nextOffset(stream), static_cast<std::int64_t>(records.size()));
        records_read read;
        read.stream = stream;
        read.next = static_cast<std::int64_t>(records.size());
        read.records.assign(records.begin() + from, records.end());
        deliver(name, read);
    }
}

void node_group::schedulePolls(const node_name& name, std::uint64_t run)
{
    if (m_hosts.at(name).run != run)
        return;
    after(m_settings.logLatency + m_logDelay, [this, name] { pollLog(name); });
    after(internal::pollInterval, [this, name, run] { schedulePolls(name, run); });
}

void node_group::perform(const node_name& name, const answer_leave&) { m_hosts.at(name).leftAt = m_now; }

void node_group::perform(const node_name& name, const renew_incarnation&)
{
    after({}, [this, name, run = m_hosts.at(name).run] {
        if (m_hosts.at(name).run != run)
            return;
        kill(name, false);
        restart(name);
    });
}

void node_group::perform(const node_name&, const write_log&) { }

void node_group::kill(const node_name& name, bool isUpstreamKilled)
{
    host& target = m_hosts.at(name);
    target.core.reset();
    ++target.run;
    target.isFrozen = false;
    target.deferredEvents.clear();
    target.requestedLinks.clear();
    target.dispatched.clear();
    if (isUpstreamKilled && target.model) {
        for (const std::pair<const std::string, std::uint64_t>& item : target.model->stats().keys)
            m_pastEffects[item.first] += item.second;
        target.model.reset();
        ++target.modelRun;
        target.modelWakeAt.reset();
        target.subCalls.clear();
    }
    for (const std::pair<const node_name, host>& other : m_hosts)
        closeLink(name, other.first);
    std::vector<request_handle> lost;
    for (const std::pair<const request_handle, caller>& each : m_callers) {
        if (each.second.node == name)
            lost.push_back(each.first);
    }
    std::sort(lost.begin(), lost.end());
    for (const request_handle handle : lost) {
        const caller waiting = m_callers.at(handle);
        m_callers.erase(handle);
        waiting.answer(std::nullopt);
    }
}

void node_group::restart(const node_name& name) { start(name); }

void node_group::freeze(const node_name& name, milliseconds duration)
{
    m_hosts.at(name).isFrozen = true;
    after(duration, [this, name, run = m_hosts.at(name).run] {
        host& target = m_hosts.at(name);
        if (target.run != run)
            return;
        target.isFrozen = false;
        const std::deque<node_event> missed = std::exchange(target.deferredEvents, {});
        for (const node_event& event : missed)
            deliver(name, event);
    });
}

void node_group::leave(const node_name& name)
{
    m_hosts.at(name).model->leaveStarted(m_now);
    post(name, leave_requested { ++m_lastHandle }, internal::localLatency);
}

void node_group::setSlow(const service_name& service, double factor)
{
    upstream_faults faults;
    faults.slowFactor = factor;
    for (std::pair<const node_name, host>& each : m_hosts) {
        if (each.second.settings.service == service && each.second.model)
            each.second.model->setFaults(faults);
    }
}

std::vector<node_name> node_group::names() const
{
    std::vector<node_name> all;
    for (const std::pair<const node_name, host>& each : m_hosts)
        all.push_back(each.first);
    return all;
}

std::map<std::string, std::uint64_t> node_group::effects() const
{
    std::map<std::string, std::uint64_t> all = m_pastEffects;
    for (const std::pair<const node_name, host>& each : m_hosts) {
        if (!each.second.model)
            continue;
        for (const std::pair<const std::string, std::uint64_t>& item : each.second.model->stats().keys)
            all[item.first] += item.second;
    }
    return all;
}

std::size_t node_group::inFlight() const
{
    std::size_t sum = 0;
    for (const std::pair<const node_name, host>& each : m_hosts)
        sum += each.second.model ? each.second.model->inFlight() : 0;
    return sum;
}

std::string node_group::newKey()
{
    constexpr std::uint64_t versionBits = 0x7000;
    constexpr std::uint64_t variantBits = 0x8000'0000'0000'0000;
    const std::uint64_t time = static_cast<std::uint64_t>((m_wallStart + (m_now - time_point {})).sinceEpoch().whole());
    const std::string high = toHex((time << 16) | versionBits | (m_random() & 0xfff));
    const std::string low = toHex(variantBits | (m_random() >> 2));
    return high.substr(0, 8) + "-" + high.substr(8, 4) + "-" + high.substr(12) + "-" + low.substr(0, 4) + "-"
        + low.substr(4);
}

std::size_t node_group::send(
    const std::string& entry, const std::optional<node_name>& to, const std::optional<std::string>& key)
{
    const std::vector<catalogue_entry>& catalogue = m_settings.shape.catalogue;
    request_record record;
    while (catalogue.at(record.entry).name() != entry)
        ++record.entry;
    if (!catalogue[record.entry].isIdempotent())
        record.key = key ? *key : newKey();
    record.sentAt = m_now;
    m_requests.push_back(std::move(record));
    attempt(m_requests.size() - 1, to);
    return m_requests.size() - 1;
}

void node_group::attempt(std::size_t index, const std::optional<node_name>& to)
{
    request_record& record = m_requests[index];
    const std::uint32_t number = ++record.attempts;
    node_name target = to.value_or("");
    if (!to) {
        std::vector<node_name> up;
        for (const std::pair<const node_name, host>& each : m_hosts) {
            if (each.second.core)
                up.push_back(each.first);
        }
        target = up.at(m_random() % up.size());
    }
    const catalogue_entry& entry = m_settings.shape.catalogue[record.entry];
    call_arrived call;
    call.service = entry.service();
    call.operation = entry.operation();
    if (!record.key.empty())
        call.key = record.key;
    call.body = R"({"token":"r)" + std::to_string(index) + R"("})";
    const request_handle handle = request(target, std::move(call), m_settings.shape.clientLatency,
        [this, index, number](const std::optional<call_result>& outcome) { handleAttemptEnd(index, number, outcome); });
    after(m_settings.client.timeout, [this, index, number, handle] {
        if (m_requests[index].attempts != number || m_requests[index].endedAt)
            return;
        disconnectCaller(handle, m_settings.shape.clientLatency);
        handleAttemptEnd(index, number, std::nullopt);
    });
}

void node_group::handleAttemptEnd(std::size_t index, std::uint32_t number, const std::optional<call_result>& outcome)
{
    request_record& record = m_requests[index];
    record.answers += outcome ? 1 : 0;
    if (record.attempts != number || record.endedAt)
        return;
    record.outcome = outcome;
    if (outcome) {
        const answered* answer = std::get_if<answered>(&*outcome);
        const bool isOwn = answer == nullptr || answer->status != 200
            || internal::tokenOf(answer->body, "echo") == "r" + std::to_string(index);
        record.hasMismatchedAnswer = record.hasMismatchedAnswer || !isOwn;
    }
    if (!record.isSuccessful() && record.attempts <= m_settings.client.retries) {
        attempt(index, std::nullopt);
        return;
    }
    record.endedAt = m_now;
}

void node_group::setDemand(double factor)
{
    m_demandFactor = factor;
    ++m_demandGeneration;
    for (std::size_t index = 0; index < m_settings.shape.demand.size(); ++index)
        after({}, [this, index, generation = m_demandGeneration] { scheduleArrival(index, generation); });
}

void node_group::scheduleArrival(std::size_t demand, std::uint64_t generation)
{
    const entry_demand& source = m_settings.shape.demand[demand];
    const double perMillisecond = source.perSecond * m_demandFactor / 1000.0;
    if (generation != m_demandGeneration || perMillisecond <= 0.0)
        return;
    const double unit = (static_cast<double>(m_random() >> 11) + 1.0) / 9007199254740992.0;
    after(milliseconds::fromFraction(-std::log(unit) / perMillisecond), [this, demand, generation] {
        if (generation != m_demandGeneration)
            return;
        const entry_demand& due = m_settings.shape.demand[demand];
        send(due.service + "." + due.operation);
        scheduleArrival(demand, generation);
    });
}

} // namespace knapweedcroft
