#ifndef KNAPWEEDCROFT_REVIEW_STAND_INS_HPP
#define KNAPWEEDCROFT_REVIEW_STAND_INS_HPP

#include "messages.hpp"

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/http_server.hpp"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

/**
 * @brief Stand-ins for the platform, the backends and the clients of a small deployment, and the processes of the
 * gateways. Everything runs on loopback addresses and on the real clock.
 */
namespace knapweedcroft::review {

// Bounds of the deployments whose site files the claims name.
static constexpr milliseconds drainBound { 2000 };
static constexpr milliseconds contactBound { 3000 };
static constexpr milliseconds graceBound { 6000 };
static constexpr milliseconds heartbeatInterval { 1500 };

/** @brief Writes what was sent, answered and run to `record.txt`, with the time since the start in seconds. */
class run_record {
public:
    explicit run_record(const std::string& path)
        : m_file { path }
        , m_start { m_clock.now() }
    {
    }

    [[nodiscard]] milliseconds now() const { return m_clock.now() - m_start; }

    void write(const std::string& text)
    {
        m_file << std::fixed << now().count() / 1000.0 << "  " << text << std::endl;
    }

private:
    clock m_clock { system_time_source {} };
    std::ofstream m_file;
    time_point m_start;
};

/** @brief Keyed topics of the platform's store with one partition each. */
class store_stand_in {
public:
    store_stand_in(event_loop& loop, run_record& record, const std::string& ip)
        : m_loop { loop }
        , m_record { record }
        , m_server { loop, http_server_settings {} }
    {
        m_server.route(http_method::get, "/knapweedcroft/log-newest",
            [this](std::uint64_t id, const http_request& request) { onNewest(id, request); });
        m_server.route(http_method::get, "/knapweedcroft/log-read",
            [this](std::uint64_t id, const http_request& request) { onRead(id, request); });
        m_server.route(http_method::post, "/knapweedcroft/log-append",
            [this](std::uint64_t id, const http_request& request) { onAppend(id, request); });
        const result<std::string> address = m_server.listen(ip, 6000);
        if (!hasValue(address))
            throw std::runtime_error { errorOf(address).message };
        m_address = valueOf(address);
    }

    [[nodiscard]] const std::string& address() const { return m_address; }

    /** @brief While the store is down, it carries out and answers nothing. */
    void setDown(bool isDown)
    {
        m_isDown = isDown;
        m_record.write(isDown ? "store: down, silent" : "store: up");
    }

    void append(const std::string& topic, const platform::keyed_record& record)
    {
        m_topics[topic].records.push_back(record);
        std::vector<waiting_read> waiting;
        waiting.swap(m_topics[topic].waiting);
        for (const waiting_read& read : waiting)
            respond(read.id, topic, read.from);
    }

private:
    struct waiting_read {
        std::uint64_t id;
        std::size_t from;
        std::unique_ptr<loop_timer> timeout;
    };
    struct topic_log {
        std::vector<platform::keyed_record> records;
        std::vector<waiting_read> waiting;
    };

    [[nodiscard]] static std::string offsetBytes(std::size_t value)
    {
        std::string bytes;
        for (unsigned shift = 64; shift > 0; shift -= 8)
            bytes.push_back(static_cast<char>((value >> (shift - 8)) & 0xFFU));
        return bytes;
    }

    [[nodiscard]] static std::string topicOf(const http_request& request)
    {
        return findQueryParameter(request, "Topic").value_or("");
    }

    void onNewest(std::uint64_t id, const http_request& request)
    {
        if (m_isDown)
            return;
        const topic_log& log = m_topics[topicOf(request)];
        std::map<std::string, std::size_t> newest;
        for (std::size_t offset = 0; offset < log.records.size(); ++offset)
            newest[log.records[offset].key] = offset;
        nlohmann::json items = nlohmann::json::array();
        for (const std::pair<const std::string, std::size_t>& item : newest) {
            const platform::keyed_record& record = log.records[item.second];
            if (!record.value.empty())
                items.push_back({ { "Key", record.key }, { "Value", websocketpp::base64_encode(record.value) },
                    { "Offset", item.second } });
        }
        const nlohmann::json body
            = { { "items", std::move(items) }, { "More", false }, { "EndOffset", log.records.size() } };
        m_server.answer(id, jsonResponse(200, body.dump()));
    }

    void onRead(std::uint64_t id, const http_request& request)
    {
        if (m_isDown)
            return;
        const std::string topic = topicOf(request);
        const std::size_t from = std::stoul(findQueryParameter(request, "From").value_or("0"));
        const milliseconds wait { std::stol(findQueryParameter(request, "WaitMs").value_or("0")) };
        topic_log& log = m_topics[topic];
        if (from < log.records.size()) {
            respond(id, topic, from);
            return;
        }
        std::unique_ptr<loop_timer> timeout = std::make_unique<loop_timer>(
            m_loop, [this, topic, id] { m_loop.post([this, topic, id] { endWait(topic, id); }); });
        timeout->start(wait);
        log.waiting.push_back({ id, from, std::move(timeout) });
    }

    void endWait(const std::string& topic, std::uint64_t id)
    {
        std::vector<waiting_read>& waiting = m_topics[topic].waiting;
        const auto position
            = std::find_if(waiting.begin(), waiting.end(), [id](const waiting_read& read) { return read.id == id; });
        if (position == waiting.end())
            return;
        respond(id, topic, position->from);
        waiting.erase(position);
    }

    void respond(std::uint64_t id, const std::string& topic, std::size_t from)
    {
        if (m_isDown)
            return;
        const topic_log& log = m_topics[topic];
        http_response response;
        response.contentType = "application/octet-stream";
        response.body = offsetBytes(log.records.size()) + offsetBytes(0);
        for (std::size_t offset = from; offset < log.records.size(); ++offset)
            response.body += platform::encodeRecord(log.records[offset]);
        m_server.answer(id, response);
    }

    void onAppend(std::uint64_t id, const http_request& request)
    {
        if (m_isDown)
            return;
        const std::string topic = topicOf(request);
        const std::size_t first = m_topics[topic].records.size();
        const result<platform::record_batch> sent
            = platform::decodeRecordBatch(offsetBytes(0) + offsetBytes(0) + request.body);
        if (hasValue(sent)) {
            for (const platform::keyed_record& record : valueOf(sent).records) {
                m_record.write("store: " + topic + " gets " + record.key + " = " + record.value);
                append(topic, record);
            }
        }
        m_server.answer(id,
            jsonResponse(200,
                "{\"Offset\":" + std::to_string(first)
                    + ",\"EndOffset\":" + std::to_string(m_topics[topic].records.size()) + "}"));
    }

    event_loop& m_loop;
    run_record& m_record;
    http_server m_server;
    std::string m_address;
    std::map<std::string, topic_log> m_topics;
    bool m_isDown = false;
};

/** @brief A machine of the deployment: its addresses and the process of its gateway. */
struct machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    std::string settingsPath;
    pid_t process = -1;
    milliseconds disturbedAt; /*!< Latest start or end of the process. */

    [[nodiscard]] std::string outbound() const { return ip + ":7001"; }
    [[nodiscard]] std::string ready() const { return ip + ":7002"; }
    [[nodiscard]] std::string control() const { return ip + ":7003"; }
    [[nodiscard]] std::string app() const { return ip + ":8000"; }
};

/** @brief A request as the backend beside a machine sees it. */
struct backend_arrival {
    std::string requestId;
    std::string backend;
    milliseconds at;
    bool isRun = false;
};

/** @brief Backend beside a machine: serves requests, sends heartbeats and says that it leaves. */
class backend_stand_in {
public:
    backend_stand_in(event_loop& loop, run_record& record, const machine& host, std::string id)
        : m_loop { loop }
        , m_record { record }
        , m_host { host }
        , m_id { std::move(id) }
        , m_control { loop, http_client_settings {} }
        , m_heartbeats { loop, [this] { beat(); } }
        , m_leaveRetry { loop, [this] { leave(); } }
    {
    }

    /** @brief Called with each request that arrives; returns the time that it takes. */
    std::function<milliseconds(const backend_arrival&, const opaque_request&)> onArrival;
    /** @brief Called when a run ends, before its response is sent. */
    std::function<void(const std::string& requestId)> onDone;
    /** @brief Called when the leave has been acknowledged. */
    std::function<void()> onLeaveAcknowledged;

    [[nodiscard]] const std::string& id() const { return m_id; }

    void start()
    {
        m_server = std::make_unique<pipelined_server>(m_loop, pipelined_server_limits {},
            pipelined_server_handlers { [this](std::uint64_t number, const opaque_request& request) {
                                           receive(number, request);
                                       },
                [this](std::uint64_t number) { m_jobs.erase(number); },
                [](const parse_error& fault) {
                    return opaque_response { fault.status, {}, {} };
                } });
        const result<std::string> address = m_server->listen(m_host.ip, 8000);
        if (!hasValue(address))
            throw std::runtime_error { errorOf(address).message };
        m_record.write("backend " + m_id + ": starts beside " + m_host.name);
        beat();
    }

    void stopHeartbeats() { m_heartbeats.stop(); }

    /** @brief Sends a heartbeat that says `ready`. */
    void sendReady(std::int64_t sequence)
    {
        const nlohmann::json body = { { "Service", m_host.service }, { "Address", m_host.app() },
            { "Zone", m_host.zone }, { "Version", "v1" }, { "Slots", 170 }, { "State", "ready" },
            { "ColdRemaining", "0ms" }, { "Sequence", sequence } };
        http_client_request request;
        request.address = m_host.control();
        request.method = http_method::put;
        request.target = "/knapweedcroft/instances/" + m_id;
        request.contentType = "application/json";
        request.body = body.dump();
        request.timeout = milliseconds { 1000 };
        m_control.send(request, [this, sequence](const http_outcome& outcome) {
            const http_response* response = std::get_if<http_response>(&outcome);
            m_record.write("backend " + m_id + ": heartbeat ready, Sequence " + std::to_string(sequence) + ": "
                + (response == nullptr ? "no answer" : std::to_string(response->status)));
        });
    }

    [[nodiscard]] std::int64_t lastSequence() const { return m_sequence; }

    /** @brief Says with DELETE that it leaves, until this is acknowledged; it goes on serving. */
    void leave()
    {
        m_heartbeats.stop();
        http_client_request request;
        request.address = m_host.control();
        request.method = http_method::remove;
        request.target = "/knapweedcroft/instances/" + m_id;
        request.timeout = milliseconds { 1000 };
        m_record.write("backend " + m_id + ": DELETE, it leaves");
        m_control.send(request, [this](const http_outcome& outcome) {
            const http_response* response = std::get_if<http_response>(&outcome);
            const bool isAcknowledged = response != nullptr && response->status >= 200 && response->status < 300;
            m_record.write("backend " + m_id + ": DELETE "
                + (isAcknowledged ? "acknowledged"
                                  : "not acknowledged: "
                              + (response == nullptr ? std::string { "no answer" } : std::to_string(response->status))));
            if (!isAcknowledged) {
                m_leaveRetry.start(milliseconds { 300 });
                return;
            }
            acknowledgedAt = m_record.now();
            if (onLeaveAcknowledged)
                onLeaveAcknowledged();
        });
    }

    void end()
    {
        m_heartbeats.stop();
        m_jobs.clear();
        m_server.reset();
        m_record.write("backend " + m_id + ": ends");
    }

    std::size_t responseBytes = 0; /*!< Size of its response bodies; 0 for a short text. */
    std::vector<backend_arrival> arrivals;
    std::optional<milliseconds> acknowledgedAt; /*!< When its leave was acknowledged. */

private:
    void beat()
    {
        m_heartbeats.start(m_hasBeaten ? heartbeatInterval : milliseconds { 300 });
        m_hasBeaten = m_sequence > 3;
        sendReady(++m_sequence);
    }

    void receive(std::uint64_t number, const opaque_request& request)
    {
        const std::string requestId = findHeader(request.headers, "X-Request-Id").value_or("");
        const bool isMeant = findHeader(request.headers, "X-Expect-Instance").value_or(m_id) == m_id;
        backend_arrival arrival { requestId, m_id, m_record.now(), isMeant };
        m_record.write("backend " + m_id + ": " + (isMeant ? "runs " : "does not run ") + requestId);
        arrivals.push_back(arrival);
        if (!isMeant) {
            m_server->answer(
                number, opaque_response { 421, { { "X-Request-Id", requestId }, { "X-Not-Executed", "1" } }, {} });
            return;
        }
        const milliseconds work = onArrival ? onArrival(arrival, request) : milliseconds { 5 };
        m_jobs[number] = std::make_unique<loop_timer>(
            m_loop, [this, number, requestId] { m_loop.post([this, number, requestId] { finish(number, requestId); }); });
        m_jobs[number]->start(work);
    }

    void finish(std::uint64_t number, const std::string& requestId)
    {
        if (m_jobs.erase(number) == 0)
            return;
        if (onDone)
            onDone(requestId);
        m_server->answer(number,
            opaque_response { 200,
                { { "X-Request-Id", requestId }, { "X-Response-Signature", m_id + "." + requestId } },
                responseBytes > 0 ? std::string(responseBytes, 'x') : "result of " + requestId });
    }

    event_loop& m_loop;
    run_record& m_record;
    const machine& m_host;
    std::string m_id;
    http_client m_control;
    loop_timer m_heartbeats;
    loop_timer m_leaveRetry;
    std::unique_ptr<pipelined_server> m_server;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> m_jobs;
    std::int64_t m_sequence = 0;
    bool m_hasBeaten = false;
};

/** @brief A request of a client. */
struct client_call {
    std::string machineName;
    std::string path;
    milliseconds sentAt;
    std::optional<milliseconds> endedAt;
    int status = 0; /*!< 0 if no complete answer came. */
};

// Processes that run, for the handler of the signals that end the case early.
inline volatile std::sig_atomic_t runningProcesses[64] = {};

inline void setRunning(pid_t before, pid_t now)
{
    for (volatile std::sig_atomic_t& slot : runningProcesses) {
        if (slot != before)
            continue;
        slot = now;
        return;
    }
}

extern "C" inline void endProcesses(int)
{
    for (const volatile std::sig_atomic_t& slot : runningProcesses) {
        if (slot > 0)
            ::kill(slot, SIGKILL);
    }
    _exit(2);
}

/** @brief A deployment with its platform, machines and clients. */
class deployment {
public:
    deployment(const std::string& recordPath, const std::string& repository)
        : record { recordPath }
        , m_repository { repository }
        , m_clients { loop, exchange_client_settings {} }
    {
        const unsigned process = static_cast<unsigned>(getpid());
        m_network = "127." + std::to_string((process >> 8U) & 0xFFU) + "." + std::to_string(process & 0xFFU) + ".";
        std::string folder = std::filesystem::temp_directory_path().string() + "/knapweed-review-XXXXXX";
        if (mkdtemp(folder.data()) == nullptr)
            throw std::runtime_error { "cannot create a temporary folder" };
        m_folder = folder;
        store = std::make_unique<store_stand_in>(loop, record, m_network + "250");
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    ~deployment()
    {
        for (const std::unique_ptr<machine>& host : machines)
            kill(*host, true);
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_folder, ignored);
        else
            std::cerr << "logs are in " << m_folder << "\n";
    }

    machine& addMachine(const std::string& name, const std::string& zone, const std::string& service)
    {
        std::unique_ptr<machine> host = std::make_unique<machine>();
        host->name = name;
        host->zone = zone;
        host->service = service;
        host->ip = m_network + std::to_string(machines.size() + 1);
        // What platform/gateway_settings.json.template gives for the fields of the platform.
        const nlohmann::json settings = { { "node", { { "name", name }, { "data_centre", zone }, { "service", service } } },
            { "listen",
                { { "clients", host->outbound() }, { "readiness", host->ready() }, { "announcements", host->control() },
                    { "peers", host->ip + ":7540" }, { "metrics", host->ip + ":7599" } } },
            { "upstream", { { "address", host->app() }, { "announcement_interval", "1500ms" } } },
            { "store", { { "address", store->address() }, { "change_deadline", "2000ms" } } },
            { "retries", { { "ratio", 0.2 }, { "slack", 49 }, { "window", "10s" } } }, { "memory_mb", 260 }, { "grace", "6s" } };
        host->settingsPath = m_folder + "/" + name + ".json";
        std::ofstream { host->settingsPath } << settings.dump();
        machines.push_back(std::move(host));
        return *machines.back();
    }

    /** @brief Starts the gateway with the command of the deploy file. */
    void start(machine& host)
    {
        const std::string program = m_repository + "/target/bin/knapweed-gateway";
        const std::string output = m_folder + "/" + host.name + "-" + std::to_string(++m_starts) + ".log";
        std::vector<std::string> words { program, "--settings", host.settingsPath };
        std::vector<char*> pointers;
        for (std::string& word : words)
            pointers.push_back(word.data());
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        const int code = posix_spawn(&host.process, program.c_str(), &actions, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (code != 0)
            throw std::runtime_error { "cannot start " + program };
        setRunning(0, host.process);
        host.disturbedAt = record.now();
        record.write("platform: starts " + host.name);
    }

    void kill(machine& host, bool isQuiet = false)
    {
        if (host.process <= 0)
            return;
        ::kill(host.process, SIGKILL);
        waitpid(host.process, nullptr, 0);
        setRunning(host.process, 0);
        host.process = -1;
        host.disturbedAt = record.now();
        if (!isQuiet)
            record.write("platform: kills " + host.name);
    }

    void signal(machine& host, int number)
    {
        ::kill(host.process, number);
        record.write("platform: signal " + std::to_string(number) + " to " + host.name);
    }

    /** @brief Returns whether the process of a machine runs; reaps it if it has ended by itself. */
    [[nodiscard]] bool isRunning(machine& host)
    {
        if (host.process <= 0)
            return false;
        int status = 0;
        if (waitpid(host.process, &status, WNOHANG) != host.process)
            return true;
        setRunning(host.process, 0);
        record.write("platform: " + host.name + " has ended, "
            + (WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status))
                                 : "signal " + std::to_string(WTERMSIG(status))));
        host.process = -1;
        return false;
    }

    void writeConfiguration(std::int64_t version, const nlohmann::json& routes)
    {
        constexpr std::size_t digits = 8;
        std::ostringstream text;
        text << std::hex << std::setw(digits) << std::setfill('0') << version;
        const nlohmann::json document = { { "Version", text.str() }, { "Routes", routes },
            { "Services", nlohmann::json::array() },
            { "Limits",
                { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 67108864 }, { "HeaderTimeout", "5s" },
                    { "IdleTimeout", "15s" } } } };
        store->append("keyed.op", { "config", document.dump() });
        record.write("operator: version " + text.str() + " acknowledged");
    }

    void after(milliseconds delay, std::function<void()> task)
    {
        m_timers.push_back(
            std::make_unique<loop_timer>(loop, [this, task = std::move(task)] { loop.post(task); }));
        m_timers.back()->start(delay);
    }

    void wait(milliseconds delay)
    {
        loop.runUntil([] { return false; }, delay);
    }

    /** @brief Sends a request of a client on a machine and records its end. */
    void send(const machine& host, const std::string& method, const std::string& path)
    {
        const std::string id = "r" + std::to_string(++m_lastRequest);
        opaque_request request;
        request.method = method;
        request.target = path;
        request.headers
            = { { "Host", "harbour.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(1500) } };
        calls[id] = { host.name, path, record.now(), std::nullopt, 0 };
        record.write("client on " + host.name + ": sends " + id + " " + method + " " + path);
        m_clients.start(
            host.outbound(), request, [](const opaque_response&) { return response_relation::answer; },
            [this, id](const exchange_outcome& outcome) {
                const opaque_response* response = std::get_if<opaque_response>(&outcome);
                client_call& call = calls[id];
                call.endedAt = record.now();
                call.status = response == nullptr ? 0 : response->status;
                record.write("client on " + call.machineName + ": " + id + " gets "
                    + (response == nullptr ? "no complete answer" : std::to_string(response->status)));
            });
    }

    /** @brief Waits until all machines answer the readiness question with 200. */
    [[nodiscard]] bool awaitReady(milliseconds limit)
    {
        const milliseconds end = record.now() + limit;
        std::set<std::string> ready;
        while (ready.size() < machines.size() && record.now() < end) {
            for (const std::unique_ptr<machine>& host : machines) {
                http_client_request request;
                request.address = host->ready();
                request.method = http_method::get;
                request.target = "/knapweedcroft/ready";
                request.timeout = milliseconds { 500 };
                m_probes.send(request, [&ready, name = host->name](const http_outcome& outcome) {
                    const http_response* response = std::get_if<http_response>(&outcome);
                    if (response != nullptr && response->status == 200)
                        ready.insert(name);
                });
            }
            wait(milliseconds { 600 });
        }
        record.write("platform: " + std::to_string(ready.size()) + " machines ready");
        return ready.size() == machines.size();
    }

    event_loop loop;
    run_record record;
    std::unique_ptr<store_stand_in> store;
    std::vector<std::unique_ptr<machine>> machines;
    std::map<std::string, client_call> calls;

private:
    std::string m_repository;
    std::string m_network;
    std::string m_folder;
    exchange_client m_clients;
    http_client m_probes { loop, http_client_settings {} };
    std::vector<std::unique_ptr<loop_timer>> m_timers;
    std::size_t m_starts = 0;
    std::uint64_t m_lastRequest = 0;
};

/** @brief Kills, as the platform does, each process with more memory than `MemoryMb`, and starts it again. */
class memory_watch {
public:
    static constexpr std::size_t limit = std::size_t { 260 } * 1024 * 1024; // `MemoryMb` of the site.

    explicit memory_watch(deployment& played)
        : m_played { played }
    {
        check();
    }

    /** @brief Records the greatest memory of each machine; returns the machines that were killed three times or more. */
    [[nodiscard]] std::size_t report()
    {
        std::size_t count = 0;
        for (const std::unique_ptr<machine>& host : m_played.machines) {
            m_played.record.write("check: " + host->name + ": at most " + std::to_string(m_peaks[host->name] / 1024 / 1024)
                + " MiB, killed for its memory " + std::to_string(m_kills[host->name]) + " times");
            count += m_kills[host->name] >= 3 ? 1U : 0U;
        }
        return count;
    }

private:
    [[nodiscard]] static std::size_t residentBytes(pid_t process)
    {
        std::ifstream file { "/proc/" + std::to_string(process) + "/statm" };
        std::size_t size = 0;
        std::size_t resident = 0;
        file >> size >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    void check()
    {
        for (const std::unique_ptr<machine>& host : m_played.machines) {
            if (!m_played.isRunning(*host))
                continue;
            const std::size_t resident = residentBytes(host->process);
            m_peaks[host->name] = std::max(m_peaks[host->name], resident);
            if (resident <= limit)
                continue;
            m_played.record.write("platform: " + host->name + " holds " + std::to_string(resident / 1024 / 1024)
                + " MiB of memory, more than MemoryMb");
            ++m_kills[host->name];
            m_played.kill(*host);
            m_played.after(milliseconds { 500 }, [this, target = host.get()] { m_played.start(*target); });
        }
        m_played.after(milliseconds { 10 }, [this] { check(); });
    }

    deployment& m_played;
    std::map<std::string, std::size_t> m_peaks;
    std::map<std::string, std::size_t> m_kills;
};

[[nodiscard]] inline nlohmann::json makeRoute(
    const std::string& name, const std::string& prefix, const std::string& service, const std::string& kind)
{
    return { { "Name", name }, { "Host", "harbour.example" }, { "PathPrefix", prefix }, { "Service", service },
        { "Kind", kind }, { "MaxAttempts", 2 }, { "Timeout", "1200ms" }, { "TargetLatency", "1s" }, { "Priority", 1 } };
}

[[nodiscard]] inline bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string { value } != "0";
}

/** @brief Runs a case; exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
inline int runCase(int count, char** values, const std::function<int(deployment&)>& play)
{
    if (count != 3) {
        std::cerr << "usage: CASE REPOSITORY RECORD\n";
        return 2;
    }
    std::signal(SIGTERM, &endProcesses);
    std::signal(SIGINT, &endProcesses);
    try {
        deployment played { values[2], values[1] };
        const int outcome = play(played);
        played.record.write(outcome == 0 ? "verdict: the rule held"
                : outcome == 1           ? "verdict: the rule was broken"
                                         : "verdict: the case could not run");
        return outcome;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
}

} // namespace knapweedcroft::review

#endif
