#include "soak/soak_run.hpp"

#include "soak/fault_effects.hpp"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>

namespace knapweedcroft::platform {

namespace internal {

static constexpr std::uint16_t clientPort = 7001;
static constexpr std::uint16_t readyPort = 7002;
static constexpr std::uint16_t controlPort = 7003;
static constexpr std::uint16_t peerPort = 7004;
static constexpr std::uint16_t upstreamPort = 8000;
static constexpr std::uint16_t storePort = 6000;
static constexpr const char* hostName = "farm.example";
static constexpr milliseconds loadInterval { 4 };
static constexpr milliseconds probeInterval { 10 };
static constexpr milliseconds poisonInterval { 80 };
static constexpr std::size_t poisonEntry = 1; // Position of /look/ among the entries.
static constexpr milliseconds pollInterval { 20 };
// A longer gap between two polls means that the machine is too busy for this process, and so perhaps for the nodes too.
static constexpr milliseconds minStall { 250 };
static constexpr milliseconds changeInterval { 40 }; // Between the versions of a series.
static constexpr std::size_t versionsPerSeries = 3;
static constexpr std::int64_t requestDeadlineMs = 2000;
// Exceeds the slowest response on a busy machine, so that only a missing response times out.
static constexpr milliseconds clientTimeout { 15'000 };
static constexpr milliseconds recoveryTimeout { 45'000 };
static constexpr milliseconds stopTimeout { 45'000 };
static constexpr std::size_t maxAttempts = 2;
static constexpr int slowFactor = 10;
static constexpr std::int64_t graceMs = 5000;
static constexpr milliseconds copyAge { 1000 };
static constexpr double retryRatio = 0.2;
static constexpr int retrySlack = 20;
static constexpr milliseconds retryWindow { 10'000 };
static constexpr std::size_t windowsBesideLoad = 3; // Retry windows that a run overlaps besides those of its load.
static constexpr int okStatus = 200;
static constexpr int notFoundStatus = 404;

[[nodiscard]] static nlohmann::json makeRoute(const soak_entry& entry, const std::string& name)
{
    return { { "Name", name }, { "Host", hostName }, { "PathPrefix", entry.path }, { "Service", entry.service },
        { "Kind", entry.isIdempotent ? "safe" : "unsafe" }, { "MaxAttempts", maxAttempts }, { "Timeout", "1500ms" },
        { "TargetLatency", "400ms" }, { "Priority", entry.isIdempotent ? 1 : 0 } };
}

} // namespace internal

[[nodiscard]] static soak_entry entryOfVersion(std::int64_t version)
{
    return { "/version/" + std::to_string(version) + "/", "stock", true, "", true };
}

[[nodiscard]] static opaque_request makeRequest(
    const std::string& id, const soak_entry& entry, const std::string& target)
{
    opaque_request request;
    request.method = entry.isIdempotent ? "GET" : "POST";
    request.target = target;
    request.headers = { { "Host", internal::hostName }, { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(internal::requestDeadlineMs) } };
    return request;
}

soak_run::soak_run(std::uint64_t seed, fault_plan plan)
    : m_plan { std::move(plan) }
    , m_random { seed }
    , m_entries { { "/order/", "shop", false, "/reserve/" }, { "/look/", "shop", true, "/count/" },
        { "/reserve/", "stock", false, "" }, { "/count/", "stock", true, "" },
        { "/version/", "stock", true, "", true } }
    , m_network { loopbackNetwork() }
    , m_clients { m_loop, exchange_client_settings {} }
    , m_loadTimer { m_loop, [this] { sendNextRequest(); } }
    , m_poisonTimer { m_loop, [this] { sendNextPoison(); } }
    , m_probeTimer { m_loop, [this] { sendNextProbe(); } }
    , m_pollTimer { m_loop, [this] { pollNodes(); } }
    , m_readiness { m_loop, http_client_settings {} }
{
    m_store = std::make_unique<fake_store>(m_loop, m_network + "250", internal::storePort);
    for (std::size_t number = 0; number < m_plan.hosts; ++number)
        makeHost(number, seed);
}

void soak_run::makeHost(std::size_t number, std::uint64_t seed)
{
    std::unique_ptr<soak_host> host = std::make_unique<soak_host>();
    host->service = number % 2 == 0 ? "shop" : "stock";
    host->data_centre = number < m_plan.hosts / 2 ? "north" : "south";
    host->node = host->service + "-" + host->data_centre + "-" + std::to_string(number);
    host->number = number;
    host->ip = m_network + std::to_string(number + 1);
    host->links = std::make_unique<fault_relay>(m_loop, host->ip, formatHostPort({ host->ip, internal::peerPort }));
    host->store = std::make_unique<fault_relay>(m_loop, host->ip, m_store->address());
    const full_behaviour onFull = host->service == "stock" ? full_behaviour::hang : full_behaviour::shed;
    const upstream_location location { host->node, host->service, host->data_centre,
        { host->ip, internal::upstreamPort }, formatHostPort({ host->ip, internal::controlPort }),
        formatHostPort({ host->ip, internal::clientPort }), internal::hostName };
    host->upstream = std::make_unique<fake_upstream>(m_loop, location, m_entries, m_ledger, seed + number, onFull);
    const nlohmann::json settings = {
        { "node", { { "name", host->node }, { "data_centre", host->data_centre }, { "service", host->service } } },
        { "listen",
            { { "clients", formatHostPort({ host->ip, internal::clientPort }) },
                { "readiness", formatHostPort({ host->ip, internal::readyPort }) },
                { "announcements", formatHostPort({ host->ip, internal::controlPort }) },
                { "peers", formatHostPort({ host->ip, internal::peerPort }) },
                { "announced_peers", host->links->address() } } },
        { "upstream", { { "address", formatHostPort(location.address) }, { "announcement_interval", "500ms" } } },
        { "store", { { "address", host->store->address() }, { "shared_reading_from", m_plan.sharedReadingFrom } } },
        { "retries",
            { { "ratio", internal::retryRatio }, { "slack", internal::retrySlack },
                { "window", std::to_string(internal::retryWindow.whole()) + "ms" } } },
        { "grace", std::to_string(internal::graceMs) + "ms" },
        { "charts", std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts" }
    };
    host->settings = settings;
    host->settingsPath = m_folder.write(host->node + ".json", settings.dump());
    m_hosts.push_back(std::move(host));
}

void soak_run::changeConfiguration(std::size_t versions)
{
    for (std::size_t number = 0; number < versions; ++number)
        schedule(internal::changeInterval * static_cast<std::int64_t>(number), [this] { writeConfiguration(); });
}

// Each version has a route of its own, which shows whether a node has applied that version.
void soak_run::writeConfiguration()
{
    if (isStoreAway()) {
        ++m_deferredVersions;
        return;
    }
    ++m_version;
    std::ostringstream version;
    version << std::hex << std::setw(8) << std::setfill('0') << m_version;
    nlohmann::json routes = nlohmann::json::array();
    for (const soak_entry& entry : m_entries) {
        if (!entry.mayBeUnknown)
            routes.push_back(internal::makeRoute(entry, "route" + entry.path));
    }
    routes.push_back(internal::makeRoute(entryOfVersion(m_version), "added"));
    const nlohmann::json document
        = { { "Version", version.str() }, { "Routes", std::move(routes) }, { "Services", nlohmann::json::array() },
              { "Limits",
                  { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 1048576 }, { "HeaderTimeout", "5s" },
                      { "IdleTimeout", "30s" } } } };
    m_configuration = document.dump();
    m_store->append("keyed.op", { "config", m_configuration });
    m_configurationLedger.recordChange(m_version, m_clock.now());
}

void soak_run::schedule(milliseconds delay, std::function<void()> task)
{
    m_timers.push_back(std::make_unique<loop_timer>(m_loop, std::move(task)));
    m_timers.back()->start(delay);
}

// --- nodes

void soak_run::startNode(soak_host& host)
{
    const std::string name = host.node + "-" + std::to_string(++host.starts);
    host.process = std::make_unique<test_process>(
        m_folder, name, "knapweed-gateway", std::vector<std::string> { "--settings", host.settingsPath });
    host.state = process_state::starting;
    m_ledger.setDisturbed(host.node, true);
    m_ledger.setStopping(host.node, false);
    updateDisturbance(host);
}

void soak_run::killNode(soak_host& host)
{
    m_ledger.exemptOpenRequests(host.node);
    m_ledger.setDisturbed(host.node, true);
    host.process.reset();
    host.state = process_state::down;
    updateDisturbance(host);
}

void soak_run::pollNodes()
{
    m_pollTimer.start(internal::pollInterval);
    detectStall();
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (host->state == process_state::starting && !host->isReadinessPending)
            checkReadiness(*host);
        const bool mustRun = host->state == process_state::starting || host->state == process_state::running;
        if ((mustRun || host->state == process_state::stopping) && host->process->hasEnded())
            handleNodeExit(*host);
    }
}

void soak_run::detectStall()
{
    const time_point now = m_clock.now();
    const time_point before = std::exchange(m_polledAt, now);
    if (before == time_point {} || now - before < internal::minStall)
        return;
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        m_configurationLedger.setDisturbed(host->node, true, before);
        m_configurationLedger.setDisturbed(host->node, false, now);
        updateDisturbance(*host);
    }
}

void soak_run::checkReadiness(soak_host& host)
{
    host.isReadinessPending = true;
    http_client_request request;
    request.address = formatHostPort({ host.ip, internal::readyPort });
    request.method = http_method::get;
    request.target = "/knapweedcroft/ready";
    m_readiness.send(request, [this, &host](const http_outcome& outcome) {
        host.isReadinessPending = false;
        const http_response* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->status != internal::okStatus || host.state != process_state::starting)
            return;
        host.state = process_state::running;
        m_ledger.setDisturbed(host.node, false);
        updateDisturbance(host);
    });
}

// Requests sent before the signal must be answered; later ones may have found the connection closed.
void soak_run::handleNodeExit(soak_host& host)
{
    if (host.state != process_state::stopping || host.process->exitStatus() != 0) {
        m_violations.push_back(host.node + ": ended with status " + std::to_string(host.process->exitStatus())
            + (host.state == process_state::stopping ? "" : " by itself") + ", " + host.process->errors());
    }
    startNode(host);
}

// --- faults

void soak_run::beginNodeFault(fault_kind kind, soak_host& host)
{
    if (isKill(kind)) {
        if (host.process)
            killNode(host);
        return;
    }
    if (kind == fault_kind::node_stop && host.state == process_state::stopping)
        host.process->signal(SIGTERM);
    if (host.state != process_state::running)
        return;
    if (kind == fault_kind::node_freeze) {
        m_ledger.exemptOpenRequests(host.node);
        m_ledger.setDisturbed(host.node, true);
        host.process->signal(SIGSTOP);
        host.state = process_state::frozen;
    } else {
        m_ledger.setStopping(host.node, true);
        host.process->signal(SIGTERM);
        host.state = process_state::stopping;
    }
}

void soak_run::endNodeFault(soak_host& host)
{
    if (host.state == process_state::frozen) {
        m_ledger.setDisturbed(host.node, false);
        host.process->signal(SIGCONT);
        host.state = process_state::running;
    } else if (host.state == process_state::down) {
        startNode(host);
    }
    updateDisturbance(host);
}

void soak_run::reloadSettings(soak_host& host)
{
    host.settings["grace"] = std::to_string(internal::graceMs + ++m_reloads) + "ms";
    host.settingsPath = m_folder.write(host.node + ".json", host.settings.dump());
    if (host.state == process_state::running || host.state == process_state::stopping)
        host.process->signal(SIGHUP);
}

bool soak_run::isAffected(const planned_fault& fault, const soak_host& host) const
{
    constexpr std::size_t everySecond = 2;
    switch (fault.kind) {
    case fault_kind::kill_all:
    case fault_kind::store_away:
    case fault_kind::store_away_refusing:
    case fault_kind::connections_silenced:
    case fault_kind::poison_requests:
        return true;
    case fault_kind::kill_some:
        return host.number % everySecond == fault.host % everySecond;
    case fault_kind::data_centre_turned_away:
        return host.data_centre == m_hosts[fault.host]->data_centre;
    default:
        return host.number == fault.host;
    }
}

void soak_run::beginFault(const planned_fault& fault)
{
    m_activeFaults.push_back(fault);
    updateHosts();
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (!isAffected(fault, *host))
            continue;
        if (isNodeFault(fault.kind))
            beginNodeFault(fault.kind, *host);
        if (fault.kind == fault_kind::upstream_crash)
            host->upstream->crash();
        if (fault.kind == fault_kind::upstream_left)
            host->upstream->leave();
        if (fault.kind == fault_kind::node_reload)
            reloadSettings(*host);
        if (fault.kind == fault_kind::connections_silenced) {
            host->store->silenceConnections();
            m_configurationLedger.setDisturbed(host->node, true, m_clock.now());
            updateDisturbance(*host);
        }
    }
    if (fault.kind == fault_kind::poison_requests)
        sendNextPoison();
    if (fault.kind == fault_kind::store_forgets)
        m_store->truncateAll();
    if (fault.kind == fault_kind::configuration_change)
        changeConfiguration(internal::versionsPerSeries);
    if (fault.kind == fault_kind::store_older_copy) {
        m_store->restoreOlderCopy(internal::copyAge);
        // The operator notices the loss and writes the latest configuration again.
        schedule(milliseconds { 200 }, [this] { m_store->append("keyed.op", { "config", m_configuration }); });
    }
}

void soak_run::endFault(const planned_fault& fault)
{
    m_activeFaults.erase(std::find(m_activeFaults.begin(), m_activeFaults.end(), fault));
    updateHosts();
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (!isAffected(fault, *host))
            continue;
        if (!isUnder(*host, &isNodeFault))
            endNodeFault(*host);
        if (fault.kind == fault_kind::upstream_leaving || fault.kind == fault_kind::upstream_left)
            host->upstream->crash();
        if (!isUnder(*host, [](fault_kind kind) { return kind == fault_kind::upstream_crash; }))
            host->upstream->start();
    }
    if (!isStoreAway())
        changeConfiguration(std::exchange(m_deferredVersions, 0));
}

bool soak_run::isUnder(const soak_host& host, const std::function<bool(fault_kind)>& isMatch) const
{
    return std::any_of(m_activeFaults.begin(), m_activeFaults.end(),
        [&](const planned_fault& fault) { return isMatch(fault.kind) && isAffected(fault, host); });
}

bool soak_run::isStoreAway() const
{
    return std::any_of(m_activeFaults.begin(), m_activeFaults.end(), [](const planned_fault& fault) {
        return fault.kind == fault_kind::store_away || fault.kind == fault_kind::store_away_refusing;
    });
}

// Brings relays and upstreams in line with the active faults; where two disagree, the later one applies.
void soak_run::updateHosts()
{
    m_configurationLedger.setOutage(isStoreAway(), m_clock.now());
    const bool isTurningAway = std::any_of(m_activeFaults.begin(), m_activeFaults.end(),
        [](const planned_fault& fault) { return fault.kind == fault_kind::data_centre_turned_away; });
    m_configurationLedger.setTurningAway(isTurningAway, m_clock.now());
    for (const std::unique_ptr<soak_host>& host : m_hosts)
        updateHost(*host);
}

void soak_run::updateHost(soak_host& host)
{
    relay_mode links = relay_mode::forwarding;
    relay_mode store = relay_mode::forwarding;
    int serviceTimeFactor = 1;
    bool dropsResponses = false;
    bool isLeaving = false;
    std::optional<double> rateLimit;
    for (const planned_fault& fault : m_activeFaults) {
        if (!isAffected(fault, host))
            continue;
        links = linkMode(fault.kind).value_or(links);
        store = storeMode(fault.kind).value_or(store);
        serviceTimeFactor = fault.kind == fault_kind::upstream_slow ? internal::slowFactor : serviceTimeFactor;
        dropsResponses = dropsResponses || fault.kind == fault_kind::upstream_answers_lost;
        isLeaving = isLeaving || fault.kind == fault_kind::upstream_leaving;
        if (fault.kind == fault_kind::upstream_limited)
            rateLimit = m_plan.upstreamRateLimit;
    }
    if (host.links->mode() != links)
        host.links->setMode(links);
    if (host.store->mode() != store)
        host.store->setMode(store);
    host.upstream->setServiceTimeFactor(serviceTimeFactor);
    host.upstream->setDropsResponses(dropsResponses);
    host.upstream->setRateLimit(rateLimit);
    host.upstream->setLeaving(isLeaving);
    updateDisturbance(host);
}

void soak_run::updateDisturbance(soak_host& host)
{
    const bool isDisturbed = host.state != process_state::running || isUnder(host, &disturbsNode);
    m_configurationLedger.setDisturbed(host.node, isDisturbed, m_clock.now());
    const bool areLinksDisturbed = host.links->mode() != relay_mode::forwarding;
    m_ledger.notices().setOutOfTouch(
        host.node, host.state != process_state::running || areLinksDisturbed, m_clock.now());
}

// --- load

void soak_run::sendNextRequest()
{
    if (!m_isLoading)
        return;
    m_loadTimer.start(internal::loadInterval);
    soak_host& host = *m_hosts[m_random() % m_hosts.size()];
    const std::size_t entry = m_random() % 5;
    // Clients send /order/, /look/ and /count/; only upstreams send /reserve/.
    const std::size_t chosen[] = { 0, 0, 1, 1, 3 };
    send(host, m_entries[chosen[entry]]);
}

// Nodes of one service only, because the calling service is part of the content.
void soak_run::sendNextPoison()
{
    const bool isDue
        = m_isLoading && isUnder(*m_hosts.front(), [](fault_kind kind) { return kind == fault_kind::poison_requests; });
    if (!isDue)
        return;
    m_poisonTimer.start(internal::poisonInterval);
    std::vector<soak_host*> hosts;
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (host->service == "stock")
            hosts.push_back(host.get());
    }
    send(*hosts[m_lastRequest % hosts.size()], m_entries[internal::poisonEntry], fake_upstream::poisonTarget);
}

void soak_run::send(soak_host& host, const soak_entry& entry, const std::string& target)
{
    const std::string id = "c" + std::to_string(++m_lastRequest);
    m_ledger.recordSent(id, host.node, entry, m_clock.now());
    const std::uint64_t exchange = m_clients.start(
        formatHostPort({ host.ip, internal::clientPort }),
        makeRequest(id, entry, target.empty() ? entry.path + id : target),
        [](const opaque_response&) { return response_relation::answer; },
        [this, id](const exchange_outcome& outcome) { m_ledger.recordEnd(id, outcome, m_clock.now()); });
    constexpr std::uint64_t requestsPerCancellation = 25;
    const bool isCancelling = m_lastRequest % requestsPerCancellation == 0;
    schedule(isCancelling ? milliseconds { 20 } : internal::clientTimeout, [this, exchange, id] {
        if (m_ledger.isOpen(id)) {
            m_clients.cancel(exchange);
            m_ledger.recordCancellation(id);
        }
    });
}

// Asks a node for the route of one of the latest versions.
void soak_run::sendNextProbe()
{
    if (!m_isLoading)
        return;
    m_probeTimer.start(internal::probeInterval);
    soak_host& host = *m_hosts[m_random() % m_hosts.size()];
    constexpr std::int64_t versions = 4;
    const std::int64_t version = m_version - static_cast<std::int64_t>(m_random() % versions);
    if (host.state != process_state::running || version < 1)
        return;
    const soak_entry entry = entryOfVersion(version);
    const std::string id = "p" + std::to_string(++m_lastRequest);
    configuration_probe probe { host.node, host.starts, version, m_clock.now(), {}, false };
    m_ledger.recordSent(id, host.node, entry, m_clock.now());
    m_clients.start(
        formatHostPort({ host.ip, internal::clientPort }), makeRequest(id, entry, entry.path + id),
        [](const opaque_response&) { return response_relation::answer; },
        [this, id, &host, probe](const exchange_outcome& outcome) mutable {
            m_ledger.recordEnd(id, outcome, m_clock.now());
            const opaque_response* response = std::get_if<opaque_response>(&outcome);
            probe.isServed = response != nullptr && response->status == internal::okStatus;
            const bool isNotFound = response != nullptr && response->status == internal::notFoundStatus;
            probe.endedAt = m_clock.now();
            if (host.starts == probe.process && (probe.isServed || isNotFound))
                m_configurationLedger.recordProbe(probe);
        });
}

// --- phases of a run

bool soak_run::awaitSuccess(soak_host& host, const soak_entry& entry)
{
    const std::string id = "r" + std::to_string(++m_lastRequest);
    m_ledger.recordSent(id, host.node, entry, m_clock.now());
    std::optional<exchange_outcome> outcome;
    m_clients.start(
        formatHostPort({ host.ip, internal::clientPort }), makeRequest(id, entry, entry.path + id),
        [](const opaque_response&) { return response_relation::answer; },
        [&outcome](exchange_outcome ended) { outcome = std::move(ended); });
    const bool hasEnded = m_loop.runUntil([&outcome] { return outcome.has_value(); }, internal::clientTimeout);
    if (!hasEnded)
        return false;
    m_ledger.recordEnd(id, *outcome, m_clock.now());
    const opaque_response* response = std::get_if<opaque_response>(&*outcome);
    return response != nullptr && response->status == internal::okStatus;
}

// Every node must serve every route, including the one that only the latest configuration has. Versions may still be
// written meanwhile, if this process stood still during the load, and each removes the route of the version before.
bool soak_run::awaitAllRoutes(const std::string& what)
{
    const time_point limit = m_clock.now() + internal::recoveryTimeout;
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        for (const soak_entry& entry : m_entries) {
            const auto latest = [&entry, this] { return entry.mayBeUnknown ? entryOfVersion(m_version) : entry; };
            while (!awaitSuccess(*host, latest())) {
                if (m_clock.now() > limit) {
                    m_violations.push_back(what + ": " + host->node + " does not serve " + latest().path);
                    return false;
                }
                m_loop.runUntil([] { return false; }, milliseconds { 50 });
            }
        }
    }
    return true;
}

void soak_run::stopNodes()
{
    m_pollTimer.stop();
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (host->process)
            host->process->signal(SIGTERM);
    }
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        test_process* process = host->process.get();
        if (process == nullptr)
            continue;
        const bool hasEnded = m_loop.runUntil([process] { return process->hasEnded(); }, internal::stopTimeout);
        if (!hasEnded || process->exitStatus() != 0)
            m_violations.push_back(host->node + ": did not end with status 0 after SIGTERM");
    }
}

soak_report soak_run::execute()
{
    soak_report report;
    report.plan = describe(m_plan);
    writeConfiguration();
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        startNode(*host);
        host->upstream->start();
    }
    m_pollTimer.start(internal::pollInterval);
    if (awaitAllRoutes("at the start")) {
        m_isLoading = true;
        sendNextRequest();
        if (m_plan.hasProbes)
            sendNextProbe();
        for (const planned_fault& fault : m_plan.faults) {
            schedule(fault.start, [this, fault] {
                beginFault(fault);
                schedule(fault.duration, [this, fault] { endFault(fault); });
            });
        }
        schedule(m_plan.loadDuration, [this] { m_isLoading = false; });
        const bool isOver = m_loop.runUntil([this] { return !m_isLoading && m_ledger.openCount() == 0; },
            m_plan.loadDuration + internal::clientTimeout * 2);
        if (!isOver)
            m_violations.push_back("requests still open after the end of the load");
        if (awaitAllRoutes("after the faults"))
            stopNodes();
    }
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (host->upstream->hungRequests() > 0)
            m_violations.push_back(host->node + ": offered its upstream "
                + std::to_string(host->upstream->hungRequests()) + " requests more than it can hold");
    }
    report.violations = std::move(m_violations);
    const std::size_t windows = static_cast<std::size_t>(m_plan.loadDuration.whole() / internal::retryWindow.whole())
        + internal::windowsBesideLoad;
    const std::vector<std::string> broken = m_ledger.violations(
        { internal::retryRatio, static_cast<double>(internal::retrySlack), windows }, internal::maxAttempts);
    report.violations.insert(report.violations.end(), broken.begin(), broken.end());
    const std::vector<std::string> lateChanges = m_configurationLedger.violations();
    report.violations.insert(report.violations.end(), lateChanges.begin(), lateChanges.end());
    report.summary = m_ledger.summary() + "; " + std::to_string(m_version) + " versions, "
        + std::to_string(m_configurationLedger.checkedProbes()) + " probes checked, at most "
        + std::to_string(m_ledger.notices().maxCounted()) + " requests in a window under a limit, "
        + std::to_string(m_ledger.poison().crashes()) + " crashes by a request";
    return report;
}

} // namespace knapweedcroft::platform
