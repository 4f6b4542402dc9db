#include "keyed_calls_model.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t wallStart = 1'700'000'000'000;
static constexpr const char* service = "s";
static constexpr const char* entry = "s.book";

[[nodiscard]] static std::string uuid7(std::int64_t wall, std::uint64_t number)
{
    const std::string stamp = toHex(static_cast<std::uint64_t>(wall)).substr(4);
    return stamp.substr(0, 8) + "-" + stamp.substr(8) + "-7000-8000-" + toHex(number).substr(4);
}

} // namespace internal

std::ostream& operator<<(std::ostream& out, const model_fault& fault)
{
    static constexpr const char* names[] = { "pause", "kill", "cut", "isolate", "lose_messages", "log_down", "log_slow",
        "lose_append_answers", "set_clock", "join", "leave" };
    return out << names[static_cast<std::size_t>(fault.kind)] << " at " << fault.at << " host " << fault.host
               << " other " << fault.other << " for " << fault.duration;
}

struct keyed_calls_model::open_call {
    reply_to from;
    call_request request;
    time_point deadline;
    bool isStarted = false;
};

struct keyed_calls_model::process {
    process(std::size_t at, const node_name& name, std::uint64_t incarnation, const membership_settings& membership,
        std::uint64_t seed, time_point now)
        : index { at }
        , self { name, incarnation_id { incarnation }, internal::service, "varna", name + ":1" }
        , ids { self.incarnation }
        , views { membership }
        , leases { membership, name, self.incarnation, now }
        , keys { self.identity(), internal::service, idempotency_settings {}, seed, views, leases }
        , writer { ids, seed }
        , agent { self, membership, seed, views, leases, writer }
    {
        agent.setMembership(true);
    }

    std::size_t index;
    member self;
    id_source ids;
    membership_state views;
    lease_table leases;
    key_service keys;
    log_writer writer;
    membership_agent agent;
    bool isLeaving = false;
    bool wasInView = false;
    bool isStopping = false;
    std::int64_t restartDelay = 0;
    std::map<call_id, open_call> open;
    std::map<std::string, std::vector<reply_to>> joined;
    std::set<std::string> knownKeys; /*!< Keys that ran at this node or were handed over to it. */
};

keyed_calls_model::keyed_calls_model(const model_plan& plan)
    : m_plan { plan }
    , m_random { plan.seed }
    , m_hosts(hostCount)
{
    for (std::size_t at = 0; at < hostCount; ++at) {
        m_hosts[at].name = "n" + std::to_string(at);
        m_hosts[at].bootAt = -draw(0, 1'000'000);
        m_hosts[at].rate = plan.areClocksSkewed ? 1.0 + static_cast<double>(draw(-4, 4)) / 1000.0 : 1.0;
        m_hosts[at].wallOffset = plan.areClocksSkewed ? draw(-300, 300) : 0;
    }
    if (plan.areClocksSkewed && chance(30))
        m_hosts[0].wallOffset = draw(500, 5000);
}

keyed_calls_model::~keyed_calls_model() = default;

std::int64_t keyed_calls_model::draw(std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(high - low + 1));
}

bool keyed_calls_model::chance(int percent) { return draw(0, 99) < percent; }

bool keyed_calls_model::isFaultActive(model_fault_kind kind) const
{
    const auto position = m_faultUntil.find(kind);
    return position != m_faultUntil.end() && m_now < position->second;
}

bool keyed_calls_model::isLogDown(std::size_t at) const
{
    return isFaultActive(model_fault_kind::log_down) || m_now < m_hosts[at].isolatedUntil;
}

time_point keyed_calls_model::monotonic(std::size_t at) const
{
    const host& here = m_hosts[at];
    return time_point { milliseconds::fromFraction(static_cast<double>(m_now - here.bootAt) * here.rate) };
}

time_point keyed_calls_model::wall(std::size_t at) const
{
    return time_point { milliseconds { internal::wallStart + m_now + m_hosts[at].wallOffset } };
}

std::size_t keyed_calls_model::indexOf(const node_name& name) const
{
    return static_cast<std::size_t>(std::stoul(name.substr(1)));
}

void keyed_calls_model::schedule(std::int64_t at, std::function<void()> step)
{
    m_steps.push_back({ at, ++m_order, std::move(step) });
    std::push_heap(m_steps.begin(), m_steps.end());
}

void keyed_calls_model::post(std::size_t at, std::int64_t delay, node_step step)
{
    const std::uint64_t generation = m_hosts[at].generation;
    schedule(m_now + delay, [this, at, generation, step = std::move(step)] { runStep(at, generation, step); });
}

void keyed_calls_model::runStep(std::size_t at, std::uint64_t generation, const node_step& step)
{
    host& here = m_hosts[at];
    if (here.generation != generation || !here.running)
        return;
    if (m_now < here.pausedUntil) {
        schedule(here.pausedUntil, [this, at, generation, step] { runStep(at, generation, step); });
        return;
    }
    here.running->keys.setTime(monotonic(at), wall(at));
    step(*here.running);
    if (here.running)
        maintain(*here.running);
}

void keyed_calls_model::start(std::size_t at)
{
    host& here = m_hosts[at];
    if (here.running)
        return;
    membership_settings membership;
    if (m_plan.disabled.areLeasesIgnored)
        membership.driftMargin = milliseconds { -3'600'000 };
    ++here.generation;
    here.running = std::make_unique<process>(at, here.name, ++m_lastIncarnation, membership, m_random(), monotonic(at));
    post(at, 0, [this](process& node) { poll(node); });
}

void keyed_calls_model::stop(std::size_t at, std::int64_t restartDelay)
{
    host& here = m_hosts[at];
    here.running.reset();
    ++here.generation;
    schedule(m_now + restartDelay, [this, at] { start(at); });
}

void keyed_calls_model::apply(const model_fault& fault)
{
    host& here = m_hosts[fault.host];
    const std::int64_t end = m_now + fault.duration;
    switch (fault.kind) {
    case model_fault_kind::pause:
        here.pausedUntil = std::max(here.pausedUntil, end);
        return;
    case model_fault_kind::kill:
        if (here.running)
            stop(fault.host, fault.duration);
        return;
    case model_fault_kind::cut:
        m_cutUntil[std::minmax(fault.host, fault.other)] = end;
        return;
    case model_fault_kind::isolate:
        here.isolatedUntil = std::max(here.isolatedUntil, end);
        return;
    case model_fault_kind::set_clock:
        here.wallOffset += fault.duration % 4000 - 2000;
        return;
    case model_fault_kind::join:
        start(fault.host);
        return;
    case model_fault_kind::leave:
        post(fault.host, 0, [fault](process& node) {
            node.isLeaving = true;
            node.restartDelay = fault.duration;
            node.agent.setMembership(false);
        });
        return;
    case model_fault_kind::lose_messages:
    case model_fault_kind::log_down:
    case model_fault_kind::log_slow:
    case model_fault_kind::lose_append_answers:
        m_faultUntil[fault.kind] = end;
        return;
    }
}

void keyed_calls_model::startClients()
{
    for (std::int64_t at = m_plan.firstKeyAt; at < m_plan.length; at += m_plan.keyInterval) {
        model_key key;
        key.hasTimestamp = chance(70);
        const std::int64_t offset = m_plan.areClocksSkewed ? draw(-3000, 2200) : 0;
        key.text = key.hasTimestamp ? internal::uuid7(internal::wallStart + at + offset, m_random())
                                    : "order-" + toHex(m_random());
        for (int count = 0; count < m_plan.attempts; ++count) {
            // Most repeats follow soon; some come after the retention window.
            const std::int64_t span = chance(70) ? m_plan.retrySpan / 8 : m_plan.retrySpan;
            key.attempts.push_back(m_attempts.size());
            m_attempts.push_back({ m_keys.size(), at + (count == 0 ? 0 : draw(0, span)), std::nullopt });
        }
        m_keyOf.emplace(key.text, m_keys.size());
        m_keys.push_back(std::move(key));
    }
    for (std::size_t index = 0; index < m_attempts.size(); ++index)
        schedule(m_attempts[index].at, [this, index] { attempt(index); });
}

void keyed_calls_model::attempt(std::size_t index)
{
    std::vector<std::size_t> entries;
    for (std::size_t at = 0; at < hostCount; ++at) {
        if (m_hosts[at].running)
            entries.push_back(at);
    }
    if (entries.empty())
        return;
    const std::size_t at = entries[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(entries.size()) - 1))];
    post(at, draw(0, 5), [this, index](process& node) {
        call_request request;
        request.id = call_id { index };
        request.entry = internal::entry;
        request.deadline = milliseconds { 2000 };
        request.key = m_keys[m_attempts[index].key].text;
        request.role = keyed_role::holder;
        const service_view* view = node.views.view(internal::service);
        const member* holder = view == nullptr ? nullptr : key_placement::holder(*view, *request.key);
        const reply_to from { node.index, m_hosts[node.index].generation, request.id };
        if (holder == nullptr || (holder->node != node.self.node && linked(node.index).count(holder->node) == 0))
            reply(node, from, refused_not_run { refusal_reason::no_upstream, milliseconds {}, "no link" });
        else if (holder->node == node.self.node)
            accept(node, from, request);
        else
            send(node, holder->node, request);
    });
}

void keyed_calls_model::maintain(process& node)
{
    node_actions actions;
    const std::set<node_name> peers = linked(node.index);
    node.agent.maintain({}, peers, monotonic(node.index), wall(node.index), actions);
    node.keys.sendPendingHandOvers(peers, actions);
    perform(node, actions);
    const bool isInView = node.agent.isInView();
    const bool isEvicted = node.wasInView && !isInView && !node.isLeaving;
    node.wasInView = isInView;
    const bool hasLeft = node.isLeaving && !isInView && node.open.empty() && !node.keys.hasPendingHandOvers();
    if (node.isStopping || (!isEvicted && !hasLeft))
        return;
    node.isStopping = true;
    // An evicted node keeps running for a while, as in production, where it runs until its calls have ended.
    post(node.index, draw(0, 3000), [this](process& ended) { stop(ended.index, ended.restartDelay); });
}

void keyed_calls_model::perform(process& node, const node_actions& actions)
{
    for (const node_action& action : actions) {
        if (const send_to_peer* sent = std::get_if<send_to_peer>(&action))
            send(node, sent->peer, sent->message);
        else if (const append_record* record = std::get_if<append_record>(&action))
            append(node, *record);
    }
}

void keyed_calls_model::append(process& node, const append_record& record)
{
    const bool isDown = isLogDown(node.index);
    const std::int64_t delay = isFaultActive(model_fault_kind::log_slow) ? draw(100, 5000) : draw(1, 10);
    append_outcome outcome
        = isFaultActive(model_fault_kind::lose_append_answers) ? append_outcome::unknown : append_outcome::accepted;
    if (isDown)
        outcome = append_outcome::refused;
    else
        schedule(m_now + delay, [this, payload = record.payload] {
            const time_point taken { milliseconds { internal::wallStart + m_now + 700 } };
            m_log.push_back({ static_cast<std::int64_t>(m_log.size()), taken, payload });
        });
    post(node.index, delay + draw(0, 5), [this, handle = record.handle, outcome](process& self) {
        self.writer.handleAppendFinished({ handle, outcome }, monotonic(self.index));
    });
}

void keyed_calls_model::poll(process& node)
{
    post(node.index, draw(150, 400), [this](process& self) { poll(self); });
    if (isLogDown(node.index)) {
        node.leases.setLogAvailable(false);
        return;
    }
    records_read event;
    event.stream = membershipStream;
    event.next = static_cast<std::int64_t>(m_log.size());
    const auto first = m_log.begin() + std::min<std::int64_t>(node.views.nextOffset(), event.next);
    event.records.assign(first, m_log.end());
    if (event.records.empty() && node.agent.isCaughtUp()) {
        node.leases.setLogAvailable(true);
        return;
    }
    const std::int64_t delay = isFaultActive(model_fault_kind::log_slow) ? draw(0, 1500) : draw(0, 5);
    post(node.index, delay, [this, event](process& self) {
        self.leases.setLogAvailable(true);
        node_actions ignored;
        if (!self.agent.applyRecords(event, monotonic(self.index), ignored).empty())
            self.keys.handleViewChange();
    });
}

std::set<node_name> keyed_calls_model::linked(std::size_t at) const
{
    std::set<node_name> peers;
    for (const host& other : m_hosts) {
        if (other.running && other.name != m_hosts[at].name)
            peers.insert(other.name);
    }
    return peers;
}

void keyed_calls_model::send(const process& from, const node_name& to, const peer_message& message)
{
    const std::size_t target = indexOf(to);
    const auto cut = m_cutUntil.find(std::minmax(from.index, target));
    const bool isLost
        = isFaultActive(model_fault_kind::lose_messages) ? chance(40) : !m_plan.areRandomFaultsOff && chance(1);
    const bool isIsolated = m_now < std::max(m_hosts[from.index].isolatedUntil, m_hosts[target].isolatedUntil);
    if (isLost || isIsolated || (cut != m_cutUntil.end() && m_now < cut->second))
        return;
    const std::int64_t delay = !m_plan.areRandomFaultsOff && chance(2) ? draw(100, 6000) : draw(1, 15);
    std::int64_t& last = m_lastArrival[{ from.index, target }];
    last = std::max(last, m_now + delay);
    post(target, last - m_now, [this, source = from.index, message](process& self) { receive(self, source, message); });
}

void keyed_calls_model::receive(process& node, std::size_t from, const peer_message& message)
{
    node_actions actions;
    if (const heartbeat_message* heartbeat = std::get_if<heartbeat_message>(&message)) {
        node.leases.receiveHeartbeat(m_hosts[from].name, *heartbeat, monotonic(node.index), wall(node.index));
    } else if (const hand_over_message* handOver = std::get_if<hand_over_message>(&message)) {
        hand_over_message taken = *handOver;
        if (m_plan.disabled.isHandOverIgnored)
            taken.records.clear();
        for (const key_record& record : taken.records)
            node.knownKeys.insert(record.key);
        node.keys.receive(m_hosts[from].name, taken, actions);
    } else if (const hand_over_ack_message* acknowledged = std::get_if<hand_over_ack_message>(&message)) {
        node.keys.handleAcknowledgement(m_hosts[from].name, *acknowledged);
    } else if (const call_request* request = std::get_if<call_request>(&message)) {
        accept(node, { from, m_hosts[from].generation, request->id }, *request);
    } else if (const call_answer* answer = std::get_if<call_answer>(&message)) {
        if (answer->id.value() < m_attempts.size())
            m_attempts[answer->id.value()].outcome = answer->outcome;
        else
            finish(node, answer->id, answer->outcome);
    }
    perform(node, actions);
}

void keyed_calls_model::accept(process& node, const reply_to& from, const call_request& request)
{
    if (request.role == keyed_role::holder) {
        const bool isKnown = node.knownKeys.count(*request.key) > 0;
        const key_decision decision = node.keys.admit(*request.key, internal::entry, 1, milliseconds { window });
        const replay_key* recorded = std::get_if<replay_key>(&decision);
        const bool isForced = recorded != nullptr && m_plan.disabled.isTakeoverIgnored && !isKnown
            && std::holds_alternative<outcome_unknown>(recorded->outcome);
        if (recorded != nullptr && !isForced)
            return reply(node, from, recorded->outcome);
        if (const refuse_key* refused = std::get_if<refuse_key>(&decision))
            return reply(node, from, refused->refusal);
        if (std::holds_alternative<join_key>(decision)) {
            node.joined[*request.key].push_back(from);
            return;
        }
        node.knownKeys.insert(*request.key);
    }
    const call_id id { ++m_lastCall };
    node.open.emplace(id, open_call { from, request, monotonic(node.index) + request.deadline });
    post(node.index, draw(0, 200), [this, id](process& self) { startCall(self, id); });
}

void keyed_calls_model::startCall(process& node, call_id id)
{
    open_call& call = node.open.at(id);
    const bool isHolder = call.request.role == keyed_role::holder;
    std::optional<time_point> leaseEnd = node.keys.leaseEnd();
    if (!isHolder && m_plan.disabled.isDelegateLeaseIgnored)
        leaseEnd = call.deadline;
    if (!leaseEnd || (node.isLeaving && !isHolder)) {
        finish(node, id, refused_not_run { refusal_reason::holder_unavailable, milliseconds {}, "no lease" });
        return;
    }
    const time_point now = monotonic(node.index);
    call.deadline = std::min(call.deadline, *leaseEnd);
    call.isStarted = true;
    if (isHolder)
        node.keys.markRunning(*call.request.key);
    post(node.index, std::max<std::int64_t>((call.deadline - now).whole(), 0) + 1, [this, id](process& self) {
        finish(self, id, outcome_unknown { milliseconds {}, "deadline" });
    });
    std::vector<node_name> others;
    const std::set<node_name> peers = linked(node.index);
    for (const member& other : node.views.view(internal::service)->members) {
        if (peers.count(other.node) > 0)
            others.push_back(other.node);
    }
    if (!isHolder || others.empty() || (!node.isLeaving && !chance(15)))
        return dispatch(node, id, call.deadline);
    call_request request = call.request;
    request.id = id;
    request.role = keyed_role::delegate;
    request.deadline = call.deadline - now;
    send(node, others[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(others.size()) - 1))], request);
}

void keyed_calls_model::dispatch(process& node, call_id id, time_point deadline)
{
    const std::string key = *node.open.at(id).request.key;
    const std::size_t at = node.index;
    const std::uint64_t generation = m_hosts[at].generation;
    const std::int64_t delay = !m_plan.areRandomFaultsOff && chance(20) ? draw(0, 200) : draw(0, 1);
    // A paused process writes the request late; a killed one never writes it.
    post(at, delay, [this, at, generation, id, key, deadline](process& self) {
        const bool isLate = monotonic(self.index) >= deadline && !m_plan.disabled.isDeadlineIgnored
            && !m_plan.disabled.isDeadlineFromReceipt;
        if (isLate || (!m_plan.areRandomFaultsOff && chance(5)))
            return finish(self, id, refused_not_run { refusal_reason::upstream_shed, milliseconds {}, "shed" });
        runAtUpstream(at, generation, id, key);
    });
}

void keyed_calls_model::runAtUpstream(std::size_t at, std::uint64_t generation, call_id id, const std::string& key)
{
    model_key& usedKey = m_keys[m_keyOf.at(key)];
    usedKey.effects.push_back(m_now);
    const answered answer { 200, "text/plain", std::to_string(usedKey.effects.size()) };
    if (!m_plan.areRandomFaultsOff && chance(5))
        return;
    schedule(m_now + draw(5, 600), [this, at, generation, id, answer] {
        runStep(at, generation, [this, id, answer](process& self) { finish(self, id, answer); });
    });
}

void keyed_calls_model::finish(process& node, call_id id, const call_result& outcome)
{
    const auto position = node.open.find(id);
    if (position == node.open.end())
        return;
    const open_call call = position->second;
    node.open.erase(position);
    reply(node, call.from, outcome);
    if (call.request.role != keyed_role::holder)
        return;
    node_actions actions;
    const std::string& key = *call.request.key;
    node.keys.resolve(key, internal::entry, 1, milliseconds { window }, outcome, actions);
    if (std::holds_alternative<refused_not_run>(outcome))
        node.knownKeys.erase(key);
    perform(node, actions);
    for (const reply_to& waiting : std::exchange(node.joined[key], {}))
        reply(node, waiting, outcome);
}

void keyed_calls_model::reply(process& node, const reply_to& to, const call_result& outcome)
{
    if (to.host != node.index) {
        call_answer answer;
        answer.id = to.id;
        answer.outcome = outcome;
        send(node, m_hosts[to.host].name, answer);
    } else if (to.generation == m_hosts[to.host].generation) {
        m_attempts[to.id.value()].outcome = outcome;
    }
}

std::string keyed_calls_model::violations() const
{
    std::string found;
    for (const model_key& key : m_keys) {
        for (std::size_t index = 1; index < key.effects.size(); ++index) {
            // A key without a timestamp may be reused after its retention window.
            if (key.hasTimestamp || key.effects[index] - key.effects[index - 1] < window)
                found += key.text + " took effect at " + std::to_string(key.effects[index - 1]) + " and at "
                    + std::to_string(key.effects[index]) + "\n";
        }
        std::set<std::string> answers;
        const bool isRefused = std::all_of(key.attempts.begin(), key.attempts.end(), [&](std::size_t index) {
            const std::optional<call_result>& outcome = m_attempts[index].outcome;
            if (outcome && std::holds_alternative<answered>(*outcome))
                answers.insert(std::get<answered>(*outcome).body);
            return outcome && std::holds_alternative<refused_not_run>(*outcome);
        });
        if (isRefused && !key.effects.empty())
            found += key.text + " was refused as not run, but took effect\n";
        if (answers.size() > std::max<std::size_t>(key.hasTimestamp ? 1 : key.effects.size(), 1))
            found += key.text + " got different answers\n";
    }
    return found;
}

std::string keyed_calls_model::run()
{
    for (std::size_t at = 0; at < m_plan.members; ++at)
        schedule(draw(0, 500), [this, at] { start(at); });
    for (const model_fault& fault : m_plan.faults)
        schedule(fault.at, [this, fault] { apply(fault); });
    startClients();
    while (!m_steps.empty() && m_steps.front().at <= m_plan.length + m_plan.retrySpan) {
        std::pop_heap(m_steps.begin(), m_steps.end());
        const scheduled next = std::move(m_steps.back());
        m_steps.pop_back();
        m_now = next.at;
        next.step();
    }
    return violations();
}

} // namespace knapweedcroft
