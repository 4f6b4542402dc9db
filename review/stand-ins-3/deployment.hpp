// Stand-ins of the platform, its backends and its clients for the scripts of review 3, and a runner that starts the
// real gateway processes with the command of the deploy file. Self-contained: C++17 and POSIX only.
//
// The store follows the pages: `log-newest`, `log-read` with long polls and `log-append` with `At` and with producer
// epochs. Backends echo `X-Request-Id`, sign what they ran, answer 421 to a request for another instance and send a
// heartbeat every 1.5 s. All sockets are on loopback addresses.
#ifndef REVIEW_STAND_INS_3_DEPLOYMENT_HPP
#define REVIEW_STAND_INS_3_DEPLOYMENT_HPP

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline const steady::time_point programStart = steady::now();

inline long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - programStart).count();
}

// --- record of what was sent, answered and run

class record_file {
public:
    explicit record_file(const std::string& path)
        : m_file { std::fopen(path.c_str(), "w") }
    {
    }
    ~record_file()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        if (m_file == nullptr)
            return;
        std::fprintf(m_file, "%7lld ms  %s\n", nowMs(), text.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

// --- sockets

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline sockaddr_in makeAddress(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline int portOf(const std::string& address) { return std::atoi(address.c_str() + address.rfind(':') + 1); }
inline std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

/**
 * Returns a free port of 127.0.0.1, below the usual range of the ports that the system gives to outgoing connections.
 * The caller binds it soon.
 */
inline int freePort()
{
    constexpr int first = 10'000;
    constexpr int last = 32'000;
    static std::mutex mutex;
    static int next = first + static_cast<int>(getpid()) * 197 % (last - first);
    const std::lock_guard<std::mutex> lock { mutex };
    for (int attempt = first; attempt < last; ++attempt) {
        next = next + 1 < last ? next + 1 : first;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = makeAddress("127.0.0.1", next);
        const bool isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (isFree)
            return next;
    }
    std::exit(2);
}

inline std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

/**
 * Connects to an address. A connection with a small window has that receive buffer and Ethernet's segment size, since
 * the segments of the loopback interface let the kernel of the sender hold megabytes.
 */
inline int connectTo(const std::string& address, int smallWindow = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (smallWindow > 0) {
        const int segment = 1448;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &smallWindow, sizeof(smallWindow));
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const sockaddr_in target = makeAddress(hostOf(address), portOf(address));
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// --- HTTP messages

struct http_message {
    std::string first; // Request line or status line.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto position = headers.find(name);
        return position == headers.end() ? "" : position->second;
    }
    std::string word(std::size_t index) const
    {
        std::size_t start = 0;
        for (; index > 0; --index) {
            start = first.find(' ', start);
            if (start == std::string::npos)
                return "";
            ++start;
        }
        return first.substr(start, first.find(' ', start) - start);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/** Reads messages with a Content-Length or in chunks; `buffer` keeps what follows. */
class http_stream {
public:
    explicit http_stream(int socket)
        : fd { socket }
    {
    }

    /** Returns false at the end of the connection or after `limitMs`. */
    bool read(http_message& message, int limitMs = 60'000)
    {
        m_until = nowMs() + limitMs;
        message = {};
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        std::size_t start = buffer.find("\r\n");
        message.first = buffer.substr(0, start);
        while (start < end) {
            start += 2;
            const std::size_t stop = buffer.find("\r\n", start);
            const std::size_t colon = buffer.find(':', start);
            if (colon >= stop) {
                start = stop;
                continue;
            }
            std::size_t value = colon + 1;
            while (value < stop && buffer[value] == ' ')
                ++value;
            message.headers[lower(buffer.substr(start, colon - start))] = buffer.substr(value, stop - value);
            start = stop;
        }
        buffer.erase(0, end + 4);
        if (lower(message.header("transfer-encoding")) == "chunked")
            return readChunks(message);
        const std::size_t length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (buffer.size() < length) {
            if (!more())
                return false;
        }
        message.body = buffer.substr(0, length);
        buffer.erase(0, length);
        return true;
    }

    int fd;
    std::string buffer;

private:
    bool readChunks(http_message& message)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < end + 2 + size + 2) {
                if (!more())
                    return false;
            }
            message.body += buffer.substr(end + 2, size);
            buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool more()
    {
        const long long left = m_until - nowMs();
        pollfd item { fd, POLLIN, 0 };
        if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    long long m_until = 0;
};

inline std::string makeResponse(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/** Calls an interface of the system; returns status 0 without an answer. */
inline http_message call(const std::string& address, const std::string& line, const std::string& body, int limitMs)
{
    http_message answer;
    const int fd = connectTo(address);
    if (fd < 0)
        return answer;
    std::string text = line + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    http_stream stream { fd };
    if (!sendAll(fd, text + "\r\n" + body) || !stream.read(answer, limitMs))
        answer = {};
    close(fd);
    return answer;
}

/** Serves each connection in a thread of its own. */
class server {
public:
    using handler = std::function<void(int)>;

    server(const std::string& address, handler serve)
        : m_serve { std::move(serve) }
        , m_fd { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) }
    {
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const sockaddr_in bound = makeAddress(hostOf(address), portOf(address));
        m_isListening = bind(m_fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0
            && listen(m_fd, 1024) == 0;
        m_thread = std::thread { [this] { accept(); } };
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server()
    {
        m_isStopped = true;
        m_thread.join();
        close(m_fd);
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            for (const int fd : m_open)
                shutdown(fd, SHUT_RDWR);
        }
        for (std::thread& thread : m_threads)
            thread.join();
    }

    bool isListening() const { return m_isListening; }

private:
    void accept()
    {
        while (!m_isStopped) {
            pollfd item { m_fd, POLLIN, 0 };
            if (poll(&item, 1, 50) <= 0)
                continue;
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            {
                const std::lock_guard<std::mutex> lock { m_mutex };
                m_open.push_back(fd);
            }
            m_threads.emplace_back([this, fd] {
                m_serve(fd);
                const std::lock_guard<std::mutex> lock { m_mutex };
                m_open.remove(fd);
                close(fd);
            });
        }
    }

    handler m_serve;
    int m_fd;
    bool m_isListening = false;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    std::list<int> m_open;
    std::list<std::thread> m_threads;
    std::thread m_thread;
};

/** Passes connections on to an address that is set later, each direction at up to a rate: a machine's link. */
class link_relay {
public:
    link_relay(const std::string& address, double bytesPerSecond)
        : m_address { address }
        , m_bytesPerSecond { bytesPerSecond }
        , m_server { address, [this](int fd) { serve(fd); } }
    {
    }

    const std::string& address() const { return m_address; }
    void setTarget(const std::string& target)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_target = target;
    }

private:
    void serve(int fd)
    {
        std::string target;
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            target = m_target;
        }
        const int other = target.empty() ? -1 : connectTo(target, 256 * 1024);
        if (other < 0)
            return;
        std::thread back { [this, fd, other] { pass(other, fd); } };
        pass(fd, other);
        back.join();
        close(other);
    }

    void pass(int from, int to) const
    {
        std::vector<char> bytes(64 * 1024);
        steady::time_point next = steady::now();
        for (;;) {
            const ssize_t count = recv(from, bytes.data(), bytes.size(), 0);
            if (count <= 0 || !sendAll(to, std::string(bytes.data(), static_cast<std::size_t>(count))))
                break;
            const std::chrono::duration<double> time { static_cast<double>(count) / m_bytesPerSecond };
            next = std::max(next, steady::now() - std::chrono::milliseconds(2))
                + std::chrono::duration_cast<steady::duration>(time);
            std::this_thread::sleep_until(next);
        }
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    }

    std::string m_address;
    double m_bytesPerSecond;
    std::mutex m_mutex;
    std::string m_target;
    server m_server;
};

// --- the platform's store

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part)
            group = (group << 8) | (index + part < bytes.size() ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        for (std::size_t part = 0; part < 4; ++part)
            text += index + part > bytes.size() ? '=' : digits[(group >> (18 - 6 * part)) & 63U];
    }
    return text;
}

class store {
public:
    explicit store(const std::string& address)
        : m_address { address }
        , m_server { address, [this](int fd) { serve(fd); } }
    {
    }
    ~store()
    {
        m_isStopped = true;
        m_changed.notify_all();
    }

    const std::string& address() const { return m_address; }
    bool isListening() const { return m_server.isListening(); }

    /** Writes a record of the operator. */
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_topics[topic].records.emplace_back(key, value);
        m_changed.notify_all();
    }

    std::string newest(const std::string& topic, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        std::string value;
        for (const auto& item : m_topics[topic].records) {
            if (item.first == key)
                value = item.second;
        }
        return value;
    }

private:
    struct log {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, unsigned long long> epochs;
        std::map<std::string, std::size_t> lastOffsets;
    };

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>((value >> shift) & 0xFFU);
        return text;
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t query = target.find('?');
        std::size_t start = query == std::string::npos ? target.size() : query + 1;
        while (start < target.size()) {
            const std::size_t end = std::min(target.find('&', start), target.size());
            const std::string item = target.substr(start, end - start);
            if (item.compare(0, name.size() + 1, name + "=") == 0)
                return item.substr(name.size() + 1);
            start = end + 1;
        }
        return "";
    }

    void serve(int fd)
    {
        http_stream stream { fd };
        http_message request;
        while (!m_isStopped && stream.read(request)) {
            const std::string target = request.word(1);
            std::string answer;
            if (target.find("/log-newest") != std::string::npos)
                answer = readNewest(target);
            else if (target.find("/log-read") != std::string::npos)
                answer = readRecords(target);
            else if (target.find("/log-append") != std::string::npos)
                answer = append(target, request.body);
            else
                answer = makeResponse(404, "", "");
            if (!sendAll(fd, answer))
                return;
        }
    }

    std::string readNewest(const std::string& target)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        const log& topic = m_topics[parameter(target, "Topic")];
        std::map<std::string, std::pair<std::string, std::size_t>> latest;
        for (std::size_t offset = 0; offset < topic.records.size(); ++offset)
            latest[topic.records[offset].first] = { topic.records[offset].second, offset };
        std::string items;
        for (const auto& item : latest) {
            if (item.second.first.empty())
                continue;
            items += (items.empty() ? "" : ",") + std::string { "{\"Key\":\"" } + item.first + "\",\"Value\":\""
                + base64(item.second.first) + "\",\"Offset\":" + std::to_string(item.second.second) + "}";
        }
        return makeResponse(200, "Content-Type: application/json\r\nStore-Era: 1\r\n",
            "{\"items\":[" + items + "],\"More\":false,\"EndOffset\":" + std::to_string(topic.records.size()) + "}");
    }

    std::string readRecords(const std::string& target)
    {
        const std::size_t from = static_cast<std::size_t>(std::atoll(parameter(target, "From").c_str()));
        const long long wait = std::min(30'000LL, std::atoll(parameter(target, "WaitMs").c_str()));
        std::unique_lock<std::mutex> lock { m_mutex };
        log& topic = m_topics[parameter(target, "Topic")];
        m_changed.wait_for(lock, std::chrono::milliseconds(wait),
            [this, &topic, from] { return m_isStopped || topic.records.size() > from; });
        std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (std::size_t offset = from; offset < topic.records.size(); ++offset) {
            const auto& item = topic.records[offset];
            body += bigEndian(1 + item.first.size() + item.second.size(), 4) + static_cast<char>(item.first.size())
                + item.first + item.second;
        }
        return makeResponse(200, "Store-Era: 1\r\n", body);
    }

    std::string append(const std::string& target, const std::string& body)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        log& topic = m_topics[parameter(target, "Topic")];
        const std::string producer = parameter(target, "Producer");
        const unsigned long long epoch = std::strtoull(parameter(target, "epoch").c_str(), nullptr, 10);
        const auto known = topic.epochs.find(producer);
        std::size_t offset = topic.records.size();
        if (known != topic.epochs.end() && epoch < known->second)
            return makeResponse(409, "Store-Era: 1\r\n", "{\"why\":\"fenced\"}");
        if (known != topic.epochs.end() && epoch == known->second) {
            offset = topic.lastOffsets[producer]; // A repeat gets its first answer again.
        } else {
            topic.epochs[producer] = epoch;
            topic.lastOffsets[producer] = offset;
            std::size_t start = 0;
            while (start + 5 <= body.size()) {
                std::size_t length = 0;
                for (std::size_t index = 0; index < 4; ++index)
                    length = (length << 8) | static_cast<unsigned char>(body[start + index]);
                const std::size_t keyLength = static_cast<unsigned char>(body[start + 4]);
                topic.records.emplace_back(
                    body.substr(start + 5, keyLength), body.substr(start + 5 + keyLength, length - 1 - keyLength));
                start += 4 + length;
            }
            m_changed.notify_all();
        }
        return makeResponse(200, "Content-Type: application/json\r\nStore-Era: 1\r\n",
            "{\"Offset\":" + std::to_string(offset) + ",\"EndOffset\":" + std::to_string(topic.records.size()) + "}");
    }

    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, log> m_topics;
    std::atomic<bool> m_isStopped { false };
    server m_server;
};

// --- backends

struct backend_request {
    std::string id;
    std::string caller;
    http_message message;
    int fd = -1;
};

/** Backend beside one node. `run` returns the body of the answer, and may wait. */
class backend {
public:
    using work = std::function<std::string(const backend_request&)>;

    backend(std::string id, std::string service, std::string zone, int slots, work run)
        : m_id { std::move(id) }
        , m_service { std::move(service) }
        , m_zone { std::move(zone) }
        , m_slots { slots }
        , m_run { std::move(run) }
        , m_address { freeAddress() }
        , m_server { m_address, [this](int fd) { serve(fd); } }
    {
    }
    ~backend() { stopHeartbeats(); }

    const std::string& address() const { return m_address; }
    const std::string& service() const { return m_service; }
    const std::string& zone() const { return m_zone; }
    const std::string& id() const { return m_id; }

    void startHeartbeats(const std::string& control)
    {
        m_control = control;
        m_heartbeats = std::thread { [this] {
            while (!m_isStopped) {
                announce("ready");
                for (int part = 0; part < 30 && !m_isStopped; ++part)
                    sleepMs(50);
            }
        } };
    }
    void stopHeartbeats()
    {
        m_isStopped = true;
        if (m_heartbeats.joinable())
            m_heartbeats.join();
    }

    int announce(const std::string& state)
    {
        const std::string body = "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_address + "\",\"Zone\":\""
            + m_zone + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_slots) + ",\"State\":\"" + state
            + "\",\"ColdRemaining\":\"0ms\",\"Sequence\":" + std::to_string(++m_sequence) + "}";
        return call(m_control, "PUT /knapweedcroft/instances/" + m_id, body, 1000).status();
    }

private:
    void serve(int fd)
    {
        http_stream stream { fd };
        backend_request request;
        request.fd = fd;
        while (stream.read(request.message, 10'000)) {
            request.id = request.message.header("x-request-id");
            request.caller = request.message.header("x-caller-service");
            if (request.message.header("x-expect-instance") != m_id) {
                if (!sendAll(fd, makeResponse(421, "X-Instance-Id: " + m_id + "\r\nX-Request-Id: " + request.id + "\r\n", "")))
                    return;
                continue;
            }
            const int running = ++m_running;
            const std::string body = m_run(request);
            --m_running;
            if (!sendAll(fd, makeResponse(200,
                    "X-Request-Id: " + request.id + "\r\nX-Response-Signature: s." + request.id + "\r\nX-Server-Load: "
                        + std::to_string(running) + ",0," + std::to_string(m_slots) + "\r\n",
                    body)))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    work m_run;
    std::string m_address;
    std::string m_control;
    std::atomic<int> m_sequence { 0 };
    std::atomic<int> m_running { 0 };
    std::atomic<bool> m_isStopped { false };
    std::thread m_heartbeats;
    server m_server;
};

// --- nodes: the real program

/** Processes that run now; a script that is ended, fails or exceeds its time ends them too, and exits with 2. */
class running_processes {
public:
    static void add(pid_t pid)
    {
        static const bool isInstalled = install();
        for (std::atomic<pid_t>& item : slots()) {
            pid_t expected = 0;
            if (isInstalled && item.compare_exchange_strong(expected, pid))
                return;
        }
    }
    static void remove(pid_t pid)
    {
        for (std::atomic<pid_t>& item : slots()) {
            pid_t expected = pid;
            item.compare_exchange_strong(expected, 0);
        }
    }

private:
    static std::array<std::atomic<pid_t>, 64>& slots()
    {
        static std::array<std::atomic<pid_t>, 64> all {};
        return all;
    }
    static void endAll(int)
    {
        for (const std::atomic<pid_t>& item : slots()) {
            if (item.load() > 0)
                ::kill(item.load(), SIGKILL);
        }
        _exit(2);
    }
    static bool install()
    {
        constexpr unsigned maxSeconds = 115;
        static_cast<void>(slots());
        for (const int number : { SIGTERM, SIGINT, SIGHUP, SIGALRM, SIGABRT, SIGSEGV })
            std::signal(number, &endAll);
        alarm(maxSeconds);
        return true;
    }
};

class node {
public:
    /** `announcedPeers` is the address of a relay before the links of the node, if there is one. */
    node(std::string name, const backend& upstream, const store& platformStore, const std::string& folder, int memoryMb,
        const std::string& announcedPeers = "")
        : m_name { std::move(name) }
        , m_clients { freeAddress() }
        , m_ready { freeAddress() }
        , m_control { freeAddress() }
        , m_peers { freeAddress() }
        , m_metrics { freeAddress() }
        , m_settings { folder + "/" + m_name + ".json" }
        , m_output { folder + "/" + m_name + ".log" }
    {
        const std::string announced
            = announcedPeers.empty() ? "" : ", \"announced_peers\": \"" + announcedPeers + "\"";
        // As platform/gateway_settings.json.template renders it for a machine of a small deployment.
        const std::string text = "{ \"node\": { \"name\": \"" + m_name + "\", \"data_centre\": \"" + upstream.zone()
            + "\", \"service\": \"" + upstream.service() + "\" }, \"listen\": { \"clients\": \"" + m_clients
            + "\", \"readiness\": \"" + m_ready + "\", \"announcements\": \"" + m_control + "\", \"peers\": \"" + m_peers
            + "\", \"metrics\": \"" + m_metrics + "\"" + announced + " }, \"upstream\": { \"address\": \"" + upstream.address()
            + "\", \"announcement_interval\": \"1500ms\" }, \"store\": { \"address\": \"" + platformStore.address()
            + "\", \"change_deadline\": \"2000ms\" }, \"retries\": { \"ratio\": 0.2, \"slack\": 49, \"window\": \"10s\" }, "
            + "\"memory_mb\": " + std::to_string(memoryMb) + ", \"grace\": \"6s\" }";
        std::FILE* file = std::fopen(m_settings.c_str(), "w");
        std::fputs(text.c_str(), file);
        std::fclose(file);
    }
    ~node() { kill(SIGKILL); }

    const std::string& name() const { return m_name; }
    const std::string& clients() const { return m_clients; }
    const std::string& control() const { return m_control; }
    const std::string& peers() const { return m_peers; }
    const std::string& metrics() const { return m_metrics; }
    pid_t pid() const { return m_pid; }

    void start()
    {
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        std::string program { "target/bin/knapweed-gateway" };
        std::string option { "--settings" };
        char* arguments[] = { program.data(), option.data(), m_settings.data(), nullptr };
        pid_t pid = 0;
        m_pid = posix_spawn(&pid, program.c_str(), &files, nullptr, arguments, environ) == 0 ? pid : 0;
        posix_spawn_file_actions_destroy(&files);
        if (m_pid > 0)
            running_processes::add(m_pid);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /** Ends the process and waits for it. */
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        waitpid(m_pid, nullptr, 0);
        running_processes::remove(m_pid);
        m_pid = 0;
    }

    /** Returns true, and the status, if the process has ended. */
    bool hasEnded(int& status)
    {
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        running_processes::remove(m_pid);
        m_pid = 0;
        return true;
    }

    bool isReady() const { return call(m_ready, "GET /knapweedcroft/ready", "", 500).status() == 200; }

    bool waitUntilReady(int limitMs) const
    {
        for (const long long until = nowMs() + limitMs; nowMs() < until; sleepMs(50)) {
            if (isReady())
                return true;
        }
        return false;
    }

    /** Returns the resident memory in KiB. */
    long residentKb() const
    {
        std::FILE* file = std::fopen(("/proc/" + std::to_string(m_pid) + "/statm").c_str(), "r");
        long size = 0;
        long resident = 0;
        if (file == nullptr || std::fscanf(file, "%ld %ld", &size, &resident) != 2)
            resident = 0;
        if (file != nullptr)
            std::fclose(file);
        return resident * (sysconf(_SC_PAGESIZE) / 1024);
    }

private:
    std::string m_name;
    std::string m_clients;
    std::string m_ready;
    std::string m_control;
    std::string m_peers;
    std::string m_metrics;
    std::string m_settings;
    std::string m_output;
    pid_t m_pid = 0;
};

// --- helpers of the cases

/** Temporary folder for settings and logs; `remove` deletes it with its files. */
class temporary_folder {
public:
    temporary_folder()
    {
        const char* base = std::getenv("TMPDIR");
        m_path = std::string { base == nullptr ? "/tmp" : base } + "/review-3-XXXXXX";
        if (mkdtemp(m_path.data()) == nullptr)
            std::exit(2);
    }

    const std::string& path() const { return m_path; }

    void remove() const
    {
        DIR* folder = opendir(m_path.c_str());
        if (folder == nullptr)
            return;
        while (const dirent* item = readdir(folder))
            unlink((m_path + "/" + item->d_name).c_str());
        closedir(folder);
        rmdir(m_path.c_str());
    }

private:
    std::string m_path;
};

inline bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string { value } != "0";
}

inline std::string makeRoute(const std::string& name, const std::string& service, const std::string& kind, int timeoutMs,
    int targetMs, int attempts)
{
    return "{\"Name\":\"r-" + name + "\",\"Host\":\"" + name + ".example\",\"PathPrefix\":\"/" + name
        + "/\",\"Kind\":\"" + kind + "\",\"Timeout\":\"" + std::to_string(timeoutMs) + "ms\",\"TargetLatency\":\""
        + std::to_string(targetMs) + "ms\",\"Priority\":1,\"Service\":\"" + service
        + "\",\"MaxAttempts\":" + std::to_string(attempts) + "}";
}

inline std::string makeConfiguration(const std::string& version, const std::string& routes)
{
    return "{\"Version\":\"" + version + "\",\"Routes\":[" + routes
        + "],\"Services\":[],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":"
          "\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";
}

} // namespace review

#endif
