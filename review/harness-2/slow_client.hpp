#ifndef KNAPWEEDCROFT_REVIEW_SLOW_CLIENT_HPP
#define KNAPWEEDCROFT_REVIEW_SLOW_CLIENT_HPP

#include "stand_ins.hpp"

#include <event2/util.h>

#include <sys/socket.h>

namespace knapweedcroft::review {

/** @brief Clients that each send one GET on a new connection and read the answer at a limited speed. */
class slow_clients {
public:
    /** @param bytesPerTurn Bytes that each client reads in 20 ms. */
    slow_clients(event_loop& loop, run_record& record, std::size_t bytesPerTurn)
        : m_record { record }
        , m_bytesPerTurn { bytesPerTurn }
        , m_turn { loop, [this] { turn(); } }
    {
        m_turn.start(milliseconds { 20 });
    }
    slow_clients(const slow_clients&) = delete;
    slow_clients& operator=(const slow_clients&) = delete;
    ~slow_clients()
    {
        for (const client& item : m_clients)
            close(item.socket);
    }

    void send(const machine& host, const std::string& path, const std::string& id)
    {
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(host.outbound().c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ++sent;
        if (connect(socket, reinterpret_cast<sockaddr*>(&target), static_cast<socklen_t>(size)) != 0) {
            m_record.write("client on " + host.name + ": " + id + " cannot connect");
            close(socket);
            return;
        }
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: harbour.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 12000\r\n\r\n";
        const ssize_t written = ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
        static_cast<void>(written);
        m_record.write("client on " + host.name + ": sends " + id);
        m_clients.push_back({ socket, id, {}, 0, 0 });
    }

    std::size_t sent = 0;
    std::size_t answered = 0; /*!< Whole answers with status 200. */
    std::size_t broken = 0; /*!< Answers that ended early, or never began. */

private:
    struct client {
        int socket;
        std::string id;
        std::string head;
        std::size_t expected = 0;
        std::size_t received = 0;
    };

    void turn()
    {
        m_turn.start(milliseconds { 20 });
        for (auto item = m_clients.begin(); item != m_clients.end();) {
            if (read(*item)) {
                ++item;
                continue;
            }
            close(item->socket);
            item = m_clients.erase(item);
        }
    }

    // Returns false once the answer has ended.
    bool read(client& item)
    {
        std::vector<char> buffer(64 * 1024);
        std::size_t left = m_bytesPerTurn;
        while (left > 0) {
            const ssize_t count = recv(item.socket, buffer.data(), std::min(left, buffer.size()), MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EINTR))
                return true;
            if (count <= 0) {
                ++broken;
                m_record.write("client: " + item.id + " gets no complete answer: " + std::to_string(item.received)
                    + " bytes of " + std::to_string(item.expected));
                return false;
            }
            left -= static_cast<std::size_t>(count);
            if (receive(item, { buffer.data(), static_cast<std::size_t>(count) }))
                return false;
        }
        return true;
    }

    bool receive(client& item, std::string_view bytes)
    {
        if (item.expected > 0) {
            item.received += bytes.size();
        } else {
            item.head.append(bytes);
            const std::size_t end = item.head.find("\r\n\r\n");
            const std::size_t length = item.head.find("Content-Length: ");
            if (end == std::string::npos || length == std::string::npos)
                return false;
            item.expected = std::stoul(item.head.substr(length + 16));
            item.received = item.head.size() - end - 4;
            item.head.resize(end);
        }
        if (item.received < item.expected)
            return false;
        const std::string status = item.head.substr(9, 3);
        answered += status == "200" ? 1U : 0U;
        m_record.write("client: " + item.id + " gets " + status + ", " + std::to_string(item.received) + " bytes");
        return true;
    }

    run_record& m_record;
    std::size_t m_bytesPerTurn;
    loop_timer m_turn;
    std::list<client> m_clients;
};

} // namespace knapweedcroft::review

#endif
