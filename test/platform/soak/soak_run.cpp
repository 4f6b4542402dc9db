#include "soak/soak_run.hpp"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <sstream>
#include <utility>

#include <unistd.h>

namespace knapweedcroft::platform {

namespace internal {

static constexpr std::size_t hostCount = 4;
static constexpr std::uint16_t clientPort = 7001;
static constexpr std::uint16_t readyPort = 7002;
static constexpr std::uint16_t controlPort = 7003;
static constexpr std::uint16_t peerPort = 7004;
static constexpr std::uint16_t upstreamPort = 8000;
static constexpr std::uint16_t storePort = 6000;
static constexpr const char* hostName = "farm.example";
static constexpr milliseconds loadInterval { 4 };
static constexpr std::int64_t requestDeadlineMs = 2000;
// Exceeds the slowest response on a busy machine, so that only a missing response times out.
static constexpr milliseconds clientTimeout { 15'000 };
static constexpr milliseconds recoveryTimeout { 45'000 };
static constexpr milliseconds stopTimeout { 45'000 };
static constexpr std::size_t maxAttempts = 2;
static constexpr milliseconds copyAge { 1000 };
static constexpr double retryRatio = 0.2;
static constexpr int retrySlack = 20;

[[nodiscard]] static nlohmann::json makeRoute(const soak_entry& entry, const std::string& name)
{
    return { { "Name", name }, { "Host", hostName }, { "PathPrefix", entry.path }, { "Service", entry.service },
        { "Kind", entry.isIdempotent ? "safe" : "unsafe" }, { "MaxAttempts", maxAttempts }, { "Timeout", "1500ms" },
        { "TargetLatency", "400ms" }, { "Priority", entry.isIdempotent ? 1 : 0 } };
}

} // namespace internal

soak_run::soak_run(std::uint64_t seed)
    : m_plan { generateFaultPlan(seed, internal::hostCount) }
    , m_random { seed }
    , m_entries { { "/order/", "shop", false, "/reserve/" }, { "/look/", "shop", true, "/count/" },
        { "/reserve/", "stock", false, "" }, { "/count/", "stock", true, "" } }
    , m_clients { m_loop, exchange_client_settings {} }
    , m_loadTimer { m_loop, [this] { sendNextRequest(); } }
    , m_pollTimer { m_loop, [this] { pollNodes(); } }
    , m_readiness { m_loop, http_client_settings {} }
{
    constexpr unsigned bits = 8;
    constexpr unsigned mask = 0xFF;
    const unsigned process = static_cast<unsigned>(getpid());
    m_network = "127." + std::to_string((process >> bits) & mask) + "." + std::to_string(process & mask) + ".";
    m_store = std::make_unique<fake_store>(m_loop, m_network + "250", internal::storePort);
    for (std::size_t number = 0; number < internal::hostCount; ++number)
        makeHost(number, seed);
}

void soak_run::makeHost(std::size_t number, std::uint64_t seed)
{
    std::unique_ptr<soak_host> host = std::make_unique<soak_host>();
    host->service = number % 2 == 0 ? "shop" : "stock";
    host->data_centre = number < 2 ? "north" : "south";
    host->node = host->service + "-" + host->data_centre;
    host->ip = m_network + std::to_string(number + 1);
    host->links = std::make_unique<fault_relay>(m_loop, formatHostPort({ host->ip, internal::peerPort }));
    host->store = std::make_unique<fault_relay>(m_loop, m_store->address());
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
        // The two nodes of a data centre share a reader, so that the faults also hit the hand-over between readers.
        { "store", { { "address", host->store->address() }, { "shared_reading_from", 2 } } },
        { "retries", { { "ratio", internal::retryRatio }, { "slack", internal::retrySlack }, { "window", "10s" } } },
        { "grace", "5s" }, { "charts", std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY } + "/charts" }
    };
    host->settingsPath = m_folder.write(host->node + ".json", settings.dump());
    m_hosts.push_back(std::move(host));
}

// Each version adds a route of its own, which shows whether a node has applied that version.
void soak_run::writeConfiguration()
{
    ++m_version;
    std::ostringstream version;
    version << std::hex << std::setw(8) << std::setfill('0') << m_version;
    nlohmann::json routes = nlohmann::json::array();
    for (const soak_entry& entry : m_entries)
        routes.push_back(internal::makeRoute(entry, "route" + entry.path));
    const soak_entry added { "/count/v" + std::to_string(m_version) + "/", "stock", true, "" };
    routes.push_back(internal::makeRoute(added, "added"));
    const nlohmann::json document
        = { { "Version", version.str() }, { "Routes", std::move(routes) }, { "Services", nlohmann::json::array() },
              { "Limits",
                  { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 1048576 }, { "HeaderTimeout", "5s" },
                      { "IdleTimeout", "30s" } } } };
    m_configuration = document.dump();
    m_store->append("keyed.op", { "config", m_configuration });
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
}

void soak_run::killNode(soak_host& host)
{
    m_ledger.exemptOpenRequests(host.node);
    m_ledger.setDisturbed(host.node, true);
    host.process.reset();
    host.state = process_state::down;
}

void soak_run::pollNodes()
{
    m_pollTimer.start(milliseconds { 20 });
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        if (host->state == process_state::starting && !host->isReadinessPending)
            checkReadiness(*host);
        if (host->state == process_state::stopping && host->process->hasEnded())
            handleNodeExit(*host);
    }
}

void soak_run::checkReadiness(soak_host& host)
{
    constexpr int okStatus = 200;
    host.isReadinessPending = true;
    http_client_request request;
    request.address = formatHostPort({ host.ip, internal::readyPort });
    request.method = http_method::get;
    request.target = "/knapweedcroft/ready";
    m_readiness.send(request, [this, &host](const http_outcome& outcome) {
        host.isReadinessPending = false;
        const http_response* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->status != okStatus || host.state != process_state::starting)
            return;
        host.state = process_state::running;
        m_ledger.setDisturbed(host.node, false);
    });
}

// Requests sent before the signal must be answered; later ones may have found the connection closed.
void soak_run::handleNodeExit(soak_host& host)
{
    if (host.process->exitStatus() != 0)
        m_violations.push_back(host.node + ": ended with status " + std::to_string(host.process->exitStatus()));
    startNode(host);
}

// --- faults

void soak_run::beginNodeFault(fault_kind kind, soak_host& host)
{
    if (host.state != process_state::running)
        return;
    if (kind == fault_kind::node_kill) {
        killNode(host);
    } else if (kind == fault_kind::node_freeze) {
        m_ledger.exemptOpenRequests(host.node);
        m_ledger.setDisturbed(host.node, true);
        host.process->signal(SIGSTOP);
        host.state = process_state::frozen;
    } else {
        m_ledger.setDisturbed(host.node, true);
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
}

void soak_run::beginFault(const planned_fault& fault)
{
    soak_host& host = *m_hosts[fault.host];
    switch (fault.kind) {
    case fault_kind::node_kill:
    case fault_kind::node_freeze:
    case fault_kind::node_stop:
        beginNodeFault(fault.kind, host);
        break;
    case fault_kind::kill_all:
        for (const std::unique_ptr<soak_host>& item : m_hosts)
            beginNodeFault(fault_kind::node_kill, *item);
        break;
    case fault_kind::links_silent:
        host.links->setMode(relay_mode::stalled);
        break;
    case fault_kind::links_one_way:
        host.links->setMode(relay_mode::answers_stalled);
        break;
    case fault_kind::links_reset:
        host.links->setMode(relay_mode::resetting);
        break;
    case fault_kind::links_slow:
        host.links->setMode(relay_mode::slow);
        break;
    case fault_kind::store_refusing:
        host.store->setMode(relay_mode::resetting);
        break;
    case fault_kind::store_silent:
        host.store->setMode(relay_mode::stalled);
        break;
    case fault_kind::store_slow:
        host.store->setMode(relay_mode::slow);
        break;
    case fault_kind::store_answers_lost:
        host.store->setMode(relay_mode::answers_stalled);
        break;
    case fault_kind::store_forgets:
        m_store->truncateAll();
        break;
    case fault_kind::upstream_crash:
        host.upstream->crash();
        break;
    case fault_kind::upstream_slow:
        host.upstream->setServiceTimeFactor(10);
        break;
    case fault_kind::upstream_answers_lost:
        host.upstream->setDropsResponses(true);
        break;
    case fault_kind::configuration_change:
        writeConfiguration();
        break;
    case fault_kind::store_older_copy:
        m_store->restoreOlderCopy(internal::copyAge);
        // The operator notices the loss and writes the latest configuration again.
        schedule(milliseconds { 200 }, [this] { m_store->append("keyed.op", { "config", m_configuration }); });
        break;
    }
}

void soak_run::endFault(const planned_fault& fault)
{
    soak_host& host = *m_hosts[fault.host];
    host.links->setMode(relay_mode::forwarding);
    host.store->setMode(relay_mode::forwarding);
    host.upstream->setServiceTimeFactor(1);
    host.upstream->setDropsResponses(false);
    host.upstream->start();
    for (const std::unique_ptr<soak_host>& item : m_hosts) {
        const bool isAffected = item.get() == &host || fault.kind == fault_kind::kill_all;
        if (isAffected)
            endNodeFault(*item);
    }
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

void soak_run::send(soak_host& host, const soak_entry& entry)
{
    const std::string id = "c" + std::to_string(++m_lastRequest);
    opaque_request request;
    request.method = entry.isIdempotent ? "GET" : "POST";
    request.target = entry.path + id;
    request.headers = { { "Host", internal::hostName }, { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(internal::requestDeadlineMs) } };
    m_ledger.recordSent(id, host.node, entry);
    const std::uint64_t exchange = m_clients.start(
        formatHostPort({ host.ip, internal::clientPort }), request, [](const opaque_response&) { return true; },
        [this, id](const exchange_outcome& outcome) { m_ledger.recordEnd(id, outcome); });
    constexpr std::uint64_t requestsPerCancellation = 25;
    const bool isCancelling = m_lastRequest % requestsPerCancellation == 0;
    schedule(isCancelling ? milliseconds { 20 } : internal::clientTimeout, [this, exchange, id] {
        if (m_ledger.isOpen(id)) {
            m_clients.cancel(exchange);
            m_ledger.recordCancellation(id);
        }
    });
}

// --- phases of a run

bool soak_run::awaitSuccess(soak_host& host, const soak_entry& entry)
{
    constexpr int okStatus = 200;
    const std::string id = "r" + std::to_string(++m_lastRequest);
    opaque_request request;
    request.method = entry.isIdempotent ? "GET" : "POST";
    request.target = entry.path + id;
    request.headers = { { "Host", internal::hostName }, { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(internal::requestDeadlineMs) } };
    m_ledger.recordSent(id, host.node, entry);
    std::optional<exchange_outcome> outcome;
    m_clients.start(
        formatHostPort({ host.ip, internal::clientPort }), request, [](const opaque_response&) { return true; },
        [&outcome](exchange_outcome ended) { outcome = std::move(ended); });
    const bool hasEnded = m_loop.runUntil([&outcome] { return outcome.has_value(); }, internal::clientTimeout);
    if (!hasEnded)
        return false;
    m_ledger.recordEnd(id, *outcome);
    const opaque_response* response = std::get_if<opaque_response>(&*outcome);
    return response != nullptr && response->status == okStatus;
}

// Every node must serve every route, including the one that only the latest configuration has.
bool soak_run::awaitAllRoutes(const std::string& what)
{
    std::vector<soak_entry> entries = m_entries;
    entries.push_back({ "/count/v" + std::to_string(m_version) + "/", "stock", true, "" });
    const clock time { system_time_source {} };
    const time_point limit = time.now() + internal::recoveryTimeout;
    for (const std::unique_ptr<soak_host>& host : m_hosts) {
        for (const soak_entry& entry : entries) {
            while (!awaitSuccess(*host, entry)) {
                if (time.now() > limit) {
                    m_violations.push_back(what + ": " + host->node + " does not serve " + entry.path);
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
    m_pollTimer.start(milliseconds { 20 });
    if (awaitAllRoutes("at the start")) {
        m_isLoading = true;
        sendNextRequest();
        for (const planned_fault& fault : m_plan) {
            schedule(fault.start, [this, fault] { beginFault(fault); });
            schedule(fault.start + fault.duration, [this, fault] { endFault(fault); });
        }
        schedule(loadDuration, [this] { m_isLoading = false; });
        const bool isOver = m_loop.runUntil(
            [this] { return !m_isLoading && m_ledger.openCount() == 0; }, loadDuration + internal::clientTimeout * 2);
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
    const std::vector<std::string> broken = m_ledger.violations(
        { internal::retryRatio, static_cast<double>(internal::retrySlack), 3 }, internal::maxAttempts);
    report.violations.insert(report.violations.end(), broken.begin(), broken.end());
    report.summary = m_ledger.summary();
    return report;
}

} // namespace knapweedcroft::platform
