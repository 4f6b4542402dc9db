#ifndef KNAPWEEDCROFT_REVIEW_HARNESS_HPP
#define KNAPWEEDCROFT_REVIEW_HARNESS_HPP

// Stand-ins of the platform's store, of backends and of clients, and the gateway as a separate process, for the scripts
// of the review. One thread per connection; everything listens on 127.0.0.1 at free ports.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point processStart = steady::now();

/** @brief Milliseconds since the start of the script. */
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - processStart).count();
}

inline void sleepMs(std::int64_t duration) { std::this_thread::sleep_for(std::chrono::milliseconds(duration)); }

inline void sleepUntil(std::int64_t moment) { sleepMs(std::max<std::int64_t>(0, moment - nowMs())); }

/** @brief Writes `record.txt`; each line starts with the time in ms. */
class record_file {
public:
    explicit record_file(const std::string& path)
        : m_file { std::fopen(path.c_str(), "w") }
    {
        if (m_file == nullptr) {
            std::fprintf(stderr, "cannot write %s\n", path.c_str());
            std::exit(2);
        }
    }
    ~record_file() { std::fclose(m_file); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        std::fprintf(m_file, "%7lld ", static_cast<long long>(nowMs()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

struct http_message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        for (const auto& item : headers) {
            if (strcasecmp(item.first.c_str(), name.c_str()) == 0)
                return item.second;
        }
        return {};
    }
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int openSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

/**
 * @brief Returns ports that are free now. They lie below the usual range of ephemeral ports, so that no outgoing
 * connection takes one before its server listens.
 */
inline std::vector<int> freePorts(std::size_t count)
{
    constexpr int firstPort = 12000;
    constexpr int portCount = 18000;
    static int next = static_cast<int>(::getpid()) * 53 % portCount;
    std::vector<int> ports;
    for (int tries = 0; ports.size() < count; ++tries) {
        if (tries > portCount)
            std::exit(2);
        const int port = firstPort + next;
        next = (next + 1) % portCount;
        const int socket = openSocket();
        const sockaddr_in address = loopback(port);
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            ports.push_back(port);
        ::close(socket);
    }
    return ports;
}

/** @brief Connects to a port of the loopback address; -1 if that fails. */
inline int connectTo(int port)
{
    const int socket = openSocket();
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

inline bool writeAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** @brief Reads more bytes; false at the end of the connection, on an error or at the deadline. */
inline bool readMore(int socket, std::string& buffer, std::int64_t deadline)
{
    pollfd waiting { socket, POLLIN, 0 };
    const std::int64_t left = deadline - nowMs();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<std::int64_t>(left, 600000))) <= 0)
        return false;
    char bytes[65536];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

/** @brief Reads one message with a `Content-Length` or without a body; false if it doesn't arrive whole. */
inline bool readMessage(int socket, std::string& buffer, http_message& message, std::int64_t deadline)
{
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, buffer, deadline))
            return false;
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t lineEnd = head.find("\r\n");
    const std::string first = head.substr(0, lineEnd);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (space == std::string::npos)
        return false;
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, second == std::string::npos ? second : second - space - 1);
    if (first.compare(0, 5, "HTTP/") == 0)
        message.status = std::atoi(message.target.c_str());
    std::size_t length = 0;
    for (std::size_t start = lineEnd + 2; start < head.size(); start = lineEnd + 2) {
        lineEnd = head.find("\r\n", start);
        const std::string line = head.substr(start, lineEnd - start);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        if (strcasecmp(line.substr(0, colon).c_str(), "Content-Length") == 0)
            length = static_cast<std::size_t>(std::strtoull(line.c_str() + value, nullptr, 10));
    }
    while (buffer.size() < length) {
        if (!readMore(socket, buffer, deadline))
            return false;
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline std::string formatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& item : headers)
        text += item.first + ": " + item.second + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** @brief Accepts connections and runs a function for each of them in a thread of its own. */
class tcp_server {
public:
    tcp_server(int port, std::function<void(int)> serve)
        : m_serve { std::move(serve) }
        , m_socket { openSocket() }
    {
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = loopback(port);
        if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(m_socket, 512) != 0) {
            std::fprintf(stderr, "cannot listen on port %d\n", port);
            std::exit(2);
        }
        m_thread = std::thread { [this] { run(); } };
    }
    ~tcp_server() { stop(); }

    /** @brief Closes the listener and all connections. */
    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            for (const int connection : m_connections)
                ::shutdown(connection, SHUT_RDWR);
        }
        std::unique_lock<std::mutex> lock { m_mutex };
        m_ended.wait_for(lock, std::chrono::seconds(10), [this] { return m_connections.empty(); });
    }

private:
    void run()
    {
        while (!m_isStopped) {
            const int connection = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            const int on = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard<std::mutex> lock { m_mutex };
                m_connections.push_back(connection);
            }
            std::thread { [this, connection] {
                m_serve(connection);
                const std::lock_guard<std::mutex> lock { m_mutex };
                m_connections.erase(std::find(m_connections.begin(), m_connections.end(), connection));
                ::close(connection);
                m_ended.notify_all();
            } }.detach();
        }
    }

    std::function<void(int)> m_serve;
    int m_socket;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::vector<int> m_connections;
    std::thread m_thread;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text.push_back(k > bytes.size() - i ? '=' : digits[(group >> (18U - 6U * k)) & 63U]);
    }
    return text;
}

/** @brief The platform's store: the keyed topics with one partition, as PROTOCOL.md describes them. */
class store_stand_in {
public:
    store_stand_in(int port, record_file& record)
        : m_record { record }
        , m_server { port, [this](int socket) { serve(socket); } }
    {
    }
    ~store_stand_in()
    {
        setDown(true);
        m_server.stop();
    }

    /** @brief While the store is down it answers 503, so nothing is done. */
    void setDown(bool isDown)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_isDown = isDown;
        m_changed.notify_all();
    }

    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_topics[topic].push_back({ key, value });
        m_changed.notify_all();
    }

private:
    struct keyed_record {
        std::string key;
        std::string value;
    };

    static std::string queryValue(const std::string& target, const std::string& name)
    {
        for (const char* before : { "?", "&" }) {
            const std::size_t start = target.find(before + name + "=");
            if (start == std::string::npos)
                continue;
            const std::size_t value = start + name.size() + 2;
            return target.substr(value, target.find('&', value) - value);
        }
        return {};
    }

    void serve(int socket)
    {
        std::string buffer;
        http_message request;
        while (readMessage(socket, buffer, request, nowMs() + 60000)) {
            if (!writeAll(socket, answer(request)))
                return;
            request = {};
        }
    }

    std::string answer(const http_message& request)
    {
        const std::string topic = queryValue(request.target, "Topic");
        const std::string path = request.target.substr(0, request.target.find('?'));
        std::unique_lock<std::mutex> lock { m_mutex };
        if (m_isDown)
            return formatResponse(503, {}, "");
        // A call takes a few ms.
        lock.unlock();
        sleepMs(4);
        lock.lock();
        if (m_isDown)
            return formatResponse(503, {}, "");
        if (path == "/knapweedcroft/log-append")
            return appendRecords(topic, request.body);
        if (path == "/knapweedcroft/log-newest")
            return newest(topic);
        if (path == "/knapweedcroft/log-read")
            return read(lock, topic, std::strtoull(queryValue(request.target, "From").c_str(), nullptr, 10),
                std::strtoll(queryValue(request.target, "WaitMs").c_str(), nullptr, 10));
        return formatResponse(404, {}, "");
    }

    static std::size_t length(const std::string& body, std::size_t position)
    {
        std::size_t value = 0;
        for (std::size_t k = 0; k < 4; ++k)
            value = (value << 8U) | static_cast<unsigned char>(body[position + k]);
        return value;
    }

    std::string appendRecords(const std::string& topic, const std::string& body)
    {
        std::vector<keyed_record>& records = m_topics[topic];
        const std::size_t first = records.size();
        for (std::size_t position = 0; position + 4 <= body.size();) {
            const std::size_t size = length(body, position);
            const std::size_t keySize = static_cast<unsigned char>(body[position + 4]);
            records.push_back(
                { body.substr(position + 5, keySize), body.substr(position + 5 + keySize, size - 1 - keySize) });
            m_record.line("store: %s/%s = %s", topic.c_str(), records.back().key.c_str(), records.back().value.c_str());
            position += 4 + size;
        }
        m_changed.notify_all();
        return formatResponse(200, { { "Content-Type", "application/json" } },
            "{\"Offset\":" + std::to_string(first) + ",\"EndOffset\":" + std::to_string(records.size()) + "}");
    }

    std::string newest(const std::string& topic)
    {
        const std::vector<keyed_record>& records = m_topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < records.size(); ++i)
            last[records[i].key] = i;
        std::string items;
        for (const auto& item : last) {
            if (records[item.second].value.empty())
                continue;
            items += (items.empty() ? "" : ",") + std::string { "{\"Key\":\"" } + item.first + "\",\"Value\":\""
                + encodeBase64(records[item.second].value) + "\",\"Offset\":" + std::to_string(item.second) + "}";
        }
        return formatResponse(200, { { "Content-Type", "application/json" } },
            "{\"items\":[" + items + "],\"More\":false,\"EndOffset\":" + std::to_string(records.size()) + "}");
    }

    static void appendBigEndian(std::string& text, std::uint64_t value, unsigned bytes)
    {
        for (unsigned k = bytes; k > 0; --k)
            text.push_back(static_cast<char>((value >> (8U * (k - 1))) & 255U));
    }

    std::string read(
        std::unique_lock<std::mutex>& lock, const std::string& topic, std::size_t from, std::int64_t waitMs)
    {
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
            [this, &topic, from] { return m_isDown || m_topics[topic].size() > from; });
        if (m_isDown)
            return formatResponse(503, {}, "");
        const std::vector<keyed_record>& records = m_topics[topic];
        std::string body;
        appendBigEndian(body, records.size(), 8);
        appendBigEndian(body, 0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            appendBigEndian(body, 1 + records[i].key.size() + records[i].value.size(), 4);
            body.push_back(static_cast<char>(records[i].key.size()));
            body += records[i].key + records[i].value;
        }
        return formatResponse(200, { { "Content-Type", "application/octet-stream" } }, body);
    }

    record_file& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isDown = false;
    std::map<std::string, std::vector<keyed_record>> m_topics;
    tcp_server m_server;
};

/** @brief Settings of one machine, as the deploy file's template renders them. */
struct machine {
    std::string name;
    std::string zone;
    std::string service;
    int clients = 0;
    int readiness = 0;
    int control = 0;
    int peers = 0;
    int metrics = 0;
    int upstream = 0;

    machine(std::string machineName, std::string machineZone, std::string machineService)
        : name { std::move(machineName) }
        , zone { std::move(machineZone) }
        , service { std::move(machineService) }
    {
        const std::vector<int> ports = freePorts(6);
        clients = ports[0];
        readiness = ports[1];
        control = ports[2];
        peers = ports[3];
        metrics = ports[4];
        upstream = ports[5];
    }

    [[nodiscard]] static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

    [[nodiscard]] std::string settings(int storePort) const
    {
        return "{ \"node\": { \"name\": \"" + name + "\", \"data_centre\": \"" + zone + "\", \"service\": \"" + service
            + "\" }, \"listen\": { \"clients\": \"" + address(clients) + "\", \"readiness\": \"" + address(readiness)
            + "\", \"announcements\": \"" + address(control) + "\", \"peers\": \"" + address(peers)
            + "\", \"metrics\": \"" + address(metrics) + "\" }, \"upstream\": { \"address\": \"" + address(upstream)
            + "\", \"announcement_interval\": \"1500ms\" }, \"store\": { \"address\": \"" + address(storePort)
            + "\", \"change_deadline\": \"2000ms\" }, \"retries\": { \"ratio\": 0.2, \"slack\": 49, \"window\": "
              "\"10s\" "
              "}, \"memory_mb\": 260, \"grace\": \"6s\" }\n";
    }
};

/** @brief A request of a client on a connection of its own. */
struct client_result {
    bool isAnswered = false;
    http_message response;
};

inline std::string formatRequest(const std::string& method, const std::string& host, const std::string& target,
    const std::string& id, int deadlineMs, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline client_result sendRequest(int port, const std::string& text, int timeoutMs)
{
    client_result result;
    const int socket = connectTo(port);
    if (socket < 0)
        return result;
    std::string buffer;
    result.isAnswered = writeAll(socket, text) && readMessage(socket, buffer, result.response, nowMs() + timeoutMs);
    ::close(socket);
    return result;
}

/** @brief The gateway of one machine as a process, started with the command of the deploy file. */
class gateway_process {
public:
    gateway_process(machine host, int storePort, const std::string& folder, record_file& record)
        : m_host { std::move(host) }
        , m_settings { folder + "/" + m_host.name + ".json" }
        , m_output { folder + "/" + m_host.name + ".log" }
        , m_record { record }
    {
        std::ofstream file { m_settings };
        file << m_host.settings(storePort);
    }
    ~gateway_process() { kill(); }

    [[nodiscard]] const machine& host() const { return m_host; }
    [[nodiscard]] pid_t id() const { return m_id; }

    void start()
    {
        m_record.line("platform: starts the node of %s", m_host.name.c_str());
        m_id = ::fork();
        if (m_id < 0)
            std::exit(2);
        if (m_id > 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl("target/bin/knapweed-gateway", "target/bin/knapweed-gateway", "--settings", m_settings.c_str(),
            static_cast<char*>(nullptr));
        std::_Exit(127);
    }

    void signal(int number)
    {
        m_record.line("platform: sends signal %d to the node of %s", number, m_host.name.c_str());
        ::kill(m_id, number);
    }

    /** @brief Kills the process, if it runs, and waits for its end. */
    void kill()
    {
        if (m_id <= 0)
            return;
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = 0;
    }

    /** @brief Whether the process has ended by itself. */
    [[nodiscard]] bool hasEnded()
    {
        if (m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id)
            m_id = 0;
        return m_id <= 0;
    }

    [[nodiscard]] bool waitReady(int timeoutMs) const
    {
        const std::int64_t end = nowMs() + timeoutMs;
        while (nowMs() < end) {
            const client_result result = sendRequest(m_host.readiness,
                "GET /knapweedcroft/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1000);
            if (result.isAnswered && result.response.status == 200)
                return true;
            sleepMs(50);
        }
        return false;
    }

private:
    machine m_host;
    std::string m_settings;
    std::string m_output;
    record_file& m_record;
    pid_t m_id = 0;
};

/** @brief Sends a heartbeat of a backend to the node of its machine; true if it was acknowledged within a second. */
inline bool sendHeartbeat(
    const machine& host, const std::string& id, std::int64_t sequence, const std::string& state, record_file& record)
{
    const std::string body = "{\"Service\":\"" + host.service + "\",\"Address\":\"" + machine::address(host.upstream)
        + "\",\"Zone\":\"" + host.zone + "\",\"Version\":\"v1\",\"Slots\":81,\"State\":\"" + state
        + "\",\"ColdRemaining\":\"0ms\",\"Sequence\":" + std::to_string(sequence) + "}";
    const client_result result = sendRequest(host.control,
        "PUT /knapweedcroft/instances/" + id
            + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        1000);
    record.line("heartbeat of %s: sequence %lld, %s: %s", id.c_str(), static_cast<long long>(sequence), state.c_str(),
        result.isAnswered ? std::to_string(result.response.status).c_str() : "no answer");
    return result.isAnswered && result.response.status == 200;
}

/** @brief What a backend has seen of a request. */
struct backend_run {
    std::string requestId;
    std::string instance;
    std::int64_t at = 0;
};

/** @brief A backend. The query `work=MS` of a request tells how long it works. */
class backend_stand_in {
public:
    backend_stand_in(const machine& host, std::string id, record_file& record)
        : m_host { host }
        , m_id { std::move(id) }
        , m_record { record }
        , m_server { host.upstream, [this](int socket) { serve(socket); } }
    {
    }
    ~backend_stand_in()
    {
        stopBeats();
        m_server.stop();
    }

    [[nodiscard]] const std::string& id() const { return m_id; }

    /** @brief Sends one heartbeat; true if it was acknowledged within a second. */
    bool beat(std::int64_t sequence, const std::string& state = "ready")
    {
        return sendHeartbeat(m_host, m_id, sequence, state, m_record);
    }

    /** @brief Says that the backend leaves; true if that was acknowledged within a second. */
    bool leave()
    {
        const client_result result = sendRequest(m_host.control,
            "DELETE /knapweedcroft/instances/" + m_id
                + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            1000);
        m_record.line("leave of %s: %s", m_id.c_str(),
            result.isAnswered ? std::to_string(result.response.status).c_str() : "no answer");
        return result.isAnswered && result.response.status == 200;
    }

    /** @brief Sends a heartbeat every 1.5 s from now on. */
    void startBeats()
    {
        m_isBeating = true;
        m_beats = std::thread { [this] {
            while (m_isBeating) {
                beat(++m_sequence);
                for (int k = 0; k < 30 && m_isBeating; ++k)
                    sleepMs(50);
            }
        } };
    }

    void stopBeats()
    {
        m_isBeating = false;
        if (m_beats.joinable())
            m_beats.join();
    }

    [[nodiscard]] std::int64_t lastSequence() const { return m_sequence; }

    [[nodiscard]] std::vector<backend_run> runs()
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return m_runs;
    }

private:
    void serve(int socket)
    {
        std::string buffer;
        http_message request;
        while (readMessage(socket, buffer, request, nowMs() + 10000)) {
            if (!writeAll(socket, answer(request)))
                return;
            request = {};
        }
    }

    std::string answer(const http_message& request)
    {
        const std::string id = request.header("X-Request-Id");
        const std::string expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            m_record.line("backend %s: 421 for %s, which expects %s", m_id.c_str(), id.c_str(), expected.c_str());
            return formatResponse(421, { { "X-Request-Id", id }, { "X-Instance-Id", m_id } }, "");
        }
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            m_runs.push_back({ id, m_id, nowMs() });
        }
        m_record.line("backend %s: runs %s", m_id.c_str(), id.c_str());
        const std::size_t work = request.target.find("work=");
        sleepMs(work == std::string::npos ? 10 : std::atoi(request.target.c_str() + work + 5));
        const std::string body = "result of " + id;
        return formatResponse(200,
            { { "X-Request-Id", id }, { "X-Response-Signature", "sig." + m_id + "." + id },
                { "X-Server-Load", "1,0,81" } },
            body);
    }

    machine m_host;
    std::string m_id;
    record_file& m_record;
    std::mutex m_mutex;
    std::vector<backend_run> m_runs;
    std::atomic<bool> m_isBeating { false };
    std::atomic<std::int64_t> m_sequence { 0 };
    std::thread m_beats;
    tcp_server m_server;
};

/** @brief Temporary folder that is removed at the end. */
class temporary_folder {
public:
    temporary_folder()
    {
        const char* base = std::getenv("TMPDIR");
        m_path = std::string { base == nullptr ? "/tmp" : base } + "/knapweedcroft-review-XXXXXX";
        if (::mkdtemp(m_path.data()) == nullptr)
            std::exit(2);
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP_LOGS") == nullptr)
            static_cast<void>(std::system(("rm -rf '" + m_path + "'").c_str()));
        else
            std::fprintf(stderr, "logs: %s\n", m_path.c_str());
    }
    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/** @brief Whether the script plays its disruption. */
inline bool isTroublePlayed()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string { value } != "0";
}

inline std::string makeRoute(const std::string& name, const std::string& host, const std::string& prefix,
    const std::string& kind, const std::string& service)
{
    return "{\"Name\":\"" + name + "\",\"Host\":\"" + host + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind
        + "\",\"Timeout\":\"5000ms\",\"TargetLatency\":\"1500ms\",\"Priority\":0,\"Service\":\"" + service
        + "\",\"MaxAttempts\":2}";
}

inline std::string makeConfiguration(
    const std::string& routes, const std::vector<std::string>& services, const std::string& version = "00000007")
{
    std::string list;
    for (const std::string& service : services)
        list += (list.empty() ? "" : ",") + std::string { "{\"Name\":\"" } + service
            + "\",\"HealthPath\":\"/health\",\"MaxConnections\":586,\"Protocol\":\"h1\",\"Tls\":false}";
    return "{\"Version\":\"" + version + "\",\"Routes\":[" + routes + "],\"Services\":[" + list
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\","
          "\"IdleTimeout\":\"15000ms\"},\"BaseVersion\":\"00000005\"}";
}

} // namespace review

#endif
