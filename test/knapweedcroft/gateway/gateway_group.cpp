#include "gateway_group.hpp"

#include "knapweedcroft/wire/codec.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

forward_entry makeEntry(const std::string& name, const std::string& service, std::uint32_t rank, bool isIdempotent,
    milliseconds target, milliseconds timeout)
{
    forward_entry entry;
    entry.name = name;
    entry.host = "h";
    entry.pathPrefix = "/" + name + "/";
    entry.isIdempotent = isIdempotent;
    entry.timeout = timeout;
    entry.targetLatency = target;
    entry.rank = rank;
    entry.maxAttempts = 2;
    entry.services = { { service, 1 } };
    return entry;
}

gateway_group::gateway_group(std::shared_ptr<const entry_table> table)
    : m_charts { valueOf(loadCharts(KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts")) }
    , m_table { std::move(table) }
{
}

void gateway_group::add(
    const std::string& name, const std::string& service, const std::string& dataCentre, std::uint32_t slots)
{
    gateway_settings settings;
    settings.node = name;
    settings.data_centre = dataCentre;
    settings.service = service;
    settings.upstreamAddress = "127.0.0.1:1";
    settings.seed = m_nodes.size() + 1;
    settings.upstreamSilence = milliseconds { 3'600'000 };
    settings.retries = { 0.2, 50.0, milliseconds { 10'000 } };
    std::unique_ptr<simulated_node> added = std::make_unique<simulated_node>();
    added->settings = settings;
    added->incarnation = m_nodes.size() + 1;
    added->slots = slots;
    createCore(*added);
    m_nodes.emplace(name, std::move(added));
    at(m_now, [this, name] { announce(name); });
}

void gateway_group::createCore(simulated_node& node)
{
    constexpr std::uint64_t hostsPerSubnet = 250;
    const std::string address = "127.0." + std::to_string(node.settings.seed / hostsPerSubnet) + "."
        + std::to_string(node.settings.seed % hostsPerSubnet) + ":1";
    node.core = std::make_unique<gateway_core>(
        node.settings, m_charts.upstream, address, incarnation_id { node.incarnation });
}

void gateway_group::announce(const std::string& name)
{
    if (!m_nodes.at(name)->hasLeft)
        handle(name, announcement_received { makeAnnouncement(name) });
}

upstream_announcement gateway_group::makeAnnouncement(const std::string& name) const
{
    const simulated_node& node = *m_nodes.at(name);
    const gateway_settings& settings = node.settings;
    upstream_announcement announcement;
    announcement.incarnation = { "upstream of " + name, upstreamStartedAt };
    announcement.service = settings.service;
    announcement.address = settings.upstreamAddress;
    announcement.slots = node.slots;
    announcement.sequence = 1;
    return announcement;
}

void gateway_group::leave(const std::string& name)
{
    m_nodes.at(name)->hasLeft = true;
    handle(name, leave_received { "upstream of " + name });
}

void gateway_group::drain(const std::string& name)
{
    m_nodes.at(name)->hasLeft = true;
    upstream_announcement announcement = makeAnnouncement(name);
    announcement.state = upstream_state::draining;
    announcement.sequence = 10;
    handle(name, announcement_received { announcement });
}

void gateway_group::announceLate(const std::string& name)
{
    upstream_announcement announcement = makeAnnouncement(name);
    for (const std::int64_t sequence : { 8, 9 }) {
        announcement.sequence = sequence;
        handle(name, announcement_received { announcement });
    }
}

void gateway_group::announceSuccessor(const std::string& name)
{
    upstream_announcement announcement = makeAnnouncement(name);
    announcement.incarnation.id = "successor at " + name;
    if (upstreamStartedAt != 0)
        announcement.incarnation.startedAt = upstreamStartedAt + 1;
    handle(name, announcement_received { announcement });
}

// --- store and links

void gateway_group::startOnStore()
{
    m_isOnStore = true;
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes)
        at(m_now, [this, name = item.first] { pollStore(name); });
}

void gateway_group::restart(const std::string& name)
{
    simulated_node& node = *m_nodes.at(name);
    node.isPolling = false;
    node.era = 0;
    node.isRecordUnwritten = false;
    node.readMode = store_read_mode::individual;
    node.incarnation += m_nodes.size();
    createCore(node);
    for (auto position = m_links.begin(); position != m_links.end();) {
        const std::pair<std::string, std::string> link = *position;
        const bool isOwn = link.first == name || link.second == name;
        position = isOwn ? m_links.erase(position) : std::next(position);
        if (isOwn)
            handle(link.first == name ? link.second : link.first, link_closed { name, {} });
    }
    at(m_now, [this, name] { pollStore(name); });
    at(m_now + milliseconds { 500 }, [this, name] { announce(name); });
}

void gateway_group::restartAll()
{
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes)
        restart(item.first);
}

void gateway_group::restoreCopy()
{
    m_directory = m_copy;
    ++m_era;
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes)
        item.second->nextPoll = m_now;
}

void gateway_group::writeCatalogue(std::shared_ptr<const entry_table> table)
{
    m_table = std::move(table);
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes)
        item.second->nextPoll = m_now;
}

void gateway_group::openLink(const std::string& name, const std::string& peer)
{
    const auto known = m_nodes.find(peer);
    if (known == m_nodes.end() || !m_links.insert(std::minmax(name, peer)).second)
        return;
    handle(name, link_opened { known->second->core->makeHello() });
    handle(peer, link_opened { m_nodes.at(name)->core->makeHello() });
}

void gateway_group::pollStore(const std::string& name)
{
    ++traffic.storeReads;
    simulated_node& node = *m_nodes.at(name);
    node.nextPoll = m_now + *node.settings.storeReads.pollTimeout(node.readMode);
    handle(name, store_availability_changed { m_isStoreAvailable });
    if (!m_isStoreAvailable) {
        node.nextPoll = m_now + milliseconds { 500 };
        return;
    }
    writeRecord(name);
    if (std::exchange(node.era, m_era) != m_era) {
        node.isPolling = false;
        handle(name, store_era_changed { m_era });
    }
    directory_read directory;
    directory.isComplete = !std::exchange(node.isPolling, true);
    directory.offset = static_cast<std::int64_t>(m_directory.size());
    for (const std::pair<const std::string, directory_record>& item : m_directory)
        directory.records.push_back(item.second);
    handle(name, directory);
    handle(name, catalogue_read { m_table });
    handle(name, catalogue_confirmed {});
}

void gateway_group::pollStoreIfDue(const std::string& name)
{
    const simulated_node& node = *m_nodes.at(name);
    if (m_isOnStore && node.readMode != store_read_mode::follower && node.nextPoll <= m_now)
        pollStore(name);
}

void gateway_group::performOnStore(const std::string& name, gateway_action& action)
{
    simulated_node& node = *m_nodes.at(name);
    if (const publish_record* published = std::get_if<publish_record>(&action)) {
        node.record = published->record;
        node.isRecordUnwritten = true;
    } else if (std::holds_alternative<withdraw_record>(action)) {
        node.record.reset();
        node.isRecordUnwritten = true;
    }
    if (node.isRecordUnwritten && m_isStoreAvailable)
        at(m_now, [this, name] { writeRecord(name); });
    if (const set_store_read_mode* changed = std::get_if<set_store_read_mode>(&action))
        m_nodes.at(name)->readMode = changed->mode;
    else if (const open_link* opened = std::get_if<open_link>(&action))
        at(m_now + milliseconds { 1 }, [this, name, peer = opened->peer] { openLink(name, peer); });
}

void gateway_group::writeRecord(const std::string& name)
{
    simulated_node& node = *m_nodes.at(name);
    if (!m_isStoreAvailable || !std::exchange(node.isRecordUnwritten, false))
        return;
    if (node.record)
        m_directory[name] = *node.record;
    else
        m_directory.erase(name);
    handle(name, record_stored {});
}

void gateway_group::start()
{
    run(milliseconds { 1 });
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes) {
        handle(item.first, store_availability_changed { true });
        handle(item.first, directory_read { {}, {}, true });
        handle(item.first, catalogue_read { m_table });
        for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& other : m_nodes) {
            if (other.first != item.first)
                handle(item.first, link_opened { other.second->core->makeHello() });
        }
    }
    run(milliseconds { 1 });
}

const forward_entry& gateway_group::entryOf(const std::string& name) const
{
    return *m_table->find("h", "/" + name + "/");
}

void gateway_group::handle(const std::string& name, const gateway_event& event)
{
    gateway_actions actions = m_nodes.at(name)->core->handle(event, m_now, m_now);
    perform(name, actions);
}

void gateway_group::perform(const std::string& name, gateway_actions& actions)
{
    simulated_node& self = *m_nodes.at(name);
    for (gateway_action& action : actions) {
        performOnStore(name, action);
        if (send_to_peer* sent = std::get_if<send_to_peer>(&action)) {
            const std::string peer = sent->peer;
            if (m_isOnStore) {
                ++traffic.messages;
                traffic.catchUps += std::holds_alternative<catch_up_request_message>(sent->message) ? 1U : 0U;
                const bool isRemote = m_nodes.at(peer)->settings.data_centre != self.settings.data_centre;
                traffic.remoteBytes += isRemote ? valueOf(encode(sent->message)).size() : 0U;
            }
            at(m_now, [this, name, peer, message = std::move(sent->message)] {
                handle(peer, message_received { name, message });
            });
        } else if (const settle_leave* settled = std::get_if<settle_leave>(&action)) {
            self.leaveVerdicts.push_back(settled->verdict);
        } else if (const answer_client* answer = std::get_if<answer_client>(&action)) {
            self.answers.push_back(*answer);
            onAnswer(name, *answer);
        } else if (const start_exchange* started = std::get_if<start_exchange>(&action)) {
            self.exchanges.push_back(*started);
            recordArrival(name, *started);
            if (answersAutomatically)
                runExchange(name, *started);
        } else if (std::holds_alternative<check_upstream>(action)) {
            at(m_now, [this, name] { handle(name, upstream_checked { m_nodes.at(name)->isRefusing }); });
        } else if (const cancel_exchange* cancelled = std::get_if<cancel_exchange>(&action)) {
            self.running.erase(cancelled->id);
        }
    }
}

void gateway_group::recordArrival(const std::string& name, const start_exchange& action)
{
    simulated_node& node = *m_nodes.at(name);
    const bool isRetry = ++m_executions[action.requestId] > 1 || m_callsOfRetries.count(action.requestId) != 0;
    if (isRetry)
        m_arrivals[node.settings.service].retries.push_back(m_now);
    node.running[action.id] = simulated_run { m_now + action.deadline, isRetry };
}

void gateway_group::runExchange(const std::string& name, const start_exchange& action)
{
    const forward_entry& entry = *m_table->find("h", action.request.target);
    const entry_model model = m_models[entry.name];
    at(m_now + model.serviceTime * m_nodes.at(name)->slowdown,
        [this, name, id = action.id, model] { makeCalls(name, id, model, model.callCount); });
}

void gateway_group::makeCalls(const std::string& name, std::uint64_t id, const entry_model& model, int remainingCalls)
{
    const auto run = m_nodes.at(name)->running.find(id);
    if (run == m_nodes.at(name)->running.end())
        return;
    if (remainingCalls == 0) {
        finish(name, id, true);
        return;
    }
    const simulated_run cause = run->second;
    request(name, model.calledEntry, cause, [this, name, id, model, remainingCalls](bool isGood) {
        if (isGood)
            makeCalls(name, id, model, remainingCalls - 1);
        else
            finish(name, id, false);
    });
}

void gateway_group::finish(const std::string& name, std::uint64_t id, bool isGood)
{
    if (m_nodes.at(name)->running.erase(id) == 0)
        return;
    if (std::uniform_real_distribution<double> {}(m_random) < lostAnswerRatio) {
        handle(
            name, exchange_ended { id, exchange_failure { true, error { error_kind::connection_failed, "reset" } } });
        return;
    }
    upstream_response response;
    response.response.status = isGood ? 200 : 500;
    response.notices.rateLimit = m_nodes.at(name)->rateLimit;
    handle(name, exchange_ended { id, response });
}

void gateway_group::request(
    const std::string& name, const std::string& entry, const simulated_run& cause, std::function<void(bool)> done)
{
    client_request event;
    event.handle = ++m_lastHandle;
    event.host = "h";
    event.requestId = std::to_string(event.handle);
    event.deadline = milliseconds { (cause.deadline - m_now).whole() };
    event.request.method = "GET";
    event.request.target = "/" + entry + "/x";
    if (cause.isRetry)
        m_callsOfRetries.insert(event.requestId);
    else
        m_arrivals[entryOf(entry).services.front().service].requests.push_back(m_now);
    m_clients[{ name, event.handle }] = client_state { entry, m_now, std::move(done) };
    handle(name, event);
}

void gateway_group::send(const std::string& name, const std::string& entry)
{
    ++m_counts[entry].sent;
    request(name, entry, simulated_run { m_now + entryOf(entry).timeout }, nullptr);
}

void gateway_group::onAnswer(const std::string& name, const answer_client& answer)
{
    const auto position = m_clients.find({ name, answer.handle });
    if (position == m_clients.end())
        return;
    const client_state client = std::move(position->second);
    m_clients.erase(position);
    const opaque_response* response = std::get_if<opaque_response>(&answer.answer);
    const bool isGood = response != nullptr && response->status == 200;
    if (client.done) {
        at(m_now, [done = client.done, isGood] { done(isGood); });
        return;
    }
    outcome_counts& counts = m_counts[client.entry];
    const bool isTimely = m_now - client.sentAt <= entryOf(client.entry).targetLatency;
    counts.succeeded += isGood ? 1 : 0;
    counts.timely += isGood && isTimely ? 1 : 0;
    const local_answer* own = std::get_if<local_answer>(&answer.answer);
    const bool isRefused = own != nullptr && own->status == 503;
    counts.refused += isRefused ? 1 : 0;
    counts.failed += isGood || isRefused ? 0 : 1;
}

void gateway_group::generateLoad(const std::map<std::string, double>& ratePerSecond, milliseconds duration)
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes)
        names.push_back(item.first);
    for (const std::pair<const std::string, double>& item : ratePerSecond) {
        std::exponential_distribution<double> interval { item.second / 1000.0 };
        for (double time = interval(m_random); time < duration.count(); time += interval(m_random)) {
            const std::string name = names[m_random() % names.size()];
            at(m_now + milliseconds::fromFraction(time), [this, name, entry = item.first] { send(name, entry); });
        }
    }
    run(duration);
}

void gateway_group::run(milliseconds duration)
{
    constexpr milliseconds timerInterval { 10 };
    const time_point end = m_now + duration;
    while (m_now < end) {
        const time_point next = std::min(end, m_now + timerInterval);
        while (!m_tasks.empty() && m_tasks.begin()->first <= next) {
            m_now = std::max(m_now, m_tasks.begin()->first);
            const std::function<void()> task = std::move(m_tasks.begin()->second);
            m_tasks.erase(m_tasks.begin());
            task();
        }
        m_now = next;
        for (const std::pair<const std::string, std::unique_ptr<simulated_node>>& item : m_nodes) {
            pollStoreIfDue(item.first);
            handle(item.first, timer_fired {});
        }
    }
}

void gateway_group::closeLink(const std::string& first, const std::string& second)
{
    handle(first, link_closed { second, {} });
    handle(second, link_closed { first, {} });
}

} // namespace knapweedcroft
