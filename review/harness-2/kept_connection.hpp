#ifndef KNAPWEEDCROFT_REVIEW_KEPT_CONNECTION_HPP
#define KNAPWEEDCROFT_REVIEW_KEPT_CONNECTION_HPP

#include "stand_ins.hpp"

#include <event2/util.h>

#include <sys/socket.h>

namespace knapweedcroft::review {

/** @brief Client that sends one request after the other on a kept connection and reads at a limited speed. */
class kept_connection {
public:
    kept_connection(event_loop& loop, run_record& record, const machine& host, std::string name)
        : m_record { record }
        , m_name { std::move(name) }
        , m_turn { loop, [this] { turn(); } }
        , m_restTimer { loop, [this] { writeText(m_rest); } }
    {
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(host.outbound().c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // The links of the platform have small windows.
        constexpr int receiveBuffer = 128 * 1024;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        if (connect(m_socket, reinterpret_cast<sockaddr*>(&target), static_cast<socklen_t>(size)) != 0)
            throw std::runtime_error { "cannot connect to " + host.outbound() };
    }
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
    ~kept_connection() { close(m_socket); }

    /**
     * @brief Sends a request without a body.
     * @param bytesPerTurn Bytes of the answer that it reads in 20 ms.
     */
    void send(const std::string& path, std::int64_t deadlineMs, std::size_t bytesPerTurn,
        const std::string& method = "GET")
    {
        m_requestId = m_name + "-" + std::to_string(++m_requests);
        m_bytesPerTurn = bytesPerTurn;
        m_head.clear();
        m_expected = 0;
        m_received = 0;
        isAnswered = false;
        const std::string request = method + " " + path + " HTTP/1.1\r\nHost: harbour.example\r\nX-Request-Id: " + m_requestId
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
            + (method == "POST" ? "\r\nContent-Length: 0" : "") + "\r\n\r\n";
        const ssize_t written = ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
        m_record.write("client " + m_name + ": sends " + m_requestId + " " + method + " " + path
            + (written == static_cast<ssize_t>(request.size()) ? "" : ", which fails"));
        m_turn.start(milliseconds { 20 });
    }

    /**
     * @brief Sends a POST with an empty body in chunks.
     * @param pause Time between the packet that ends with the last chunk and the one with the final empty line.
     */
    void sendChunkedEmpty(const std::string& path, milliseconds pause)
    {
        m_requestId = m_name + "-" + std::to_string(++m_requests);
        m_bytesPerTurn = 64 * 1024;
        m_head.clear();
        m_expected = 0;
        m_received = 0;
        isAnswered = false;
        const std::string text = "POST " + path + " HTTP/1.1\r\nHost: harbour.example\r\nX-Request-Id: " + m_requestId
            + "\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        const std::size_t first = milliseconds {} < pause ? text.size() - 2 : text.size();
        m_record.write("client " + m_name + ": sends " + m_requestId + " POST " + path + ", an empty body in chunks");
        writeText(text.substr(0, first));
        m_rest = text.substr(first);
        m_restTimer.start(pause);
        m_turn.start(milliseconds { 20 });
    }

    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }
    [[nodiscard]] const std::string& requestId() const noexcept { return m_requestId; }

    bool isAnswered = false; /*!< The latest request has got a whole answer. */
    bool isClosed = false; /*!< The server has closed the connection. */

private:
    void writeText(const std::string& text)
    {
        const ssize_t written = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
        static_cast<void>(written);
    }

    void turn()
    {
        std::vector<char> buffer(64 * 1024);
        std::size_t left = m_bytesPerTurn;
        while (left > 0 && !isAnswered && !isClosed) {
            const ssize_t count = recv(m_socket, buffer.data(), std::min(left, buffer.size()), MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EINTR))
                break;
            if (count <= 0) {
                isClosed = true;
                m_record.write("client " + m_name + ": the connection ends after " + std::to_string(m_received) + " of "
                    + std::to_string(m_expected) + " bytes of the answer to " + m_requestId);
                return;
            }
            left -= static_cast<std::size_t>(count);
            receive({ buffer.data(), static_cast<std::size_t>(count) });
        }
        if (!isAnswered)
            m_turn.start(milliseconds { 20 });
    }

    void receive(std::string_view bytes)
    {
        if (m_expected > 0) {
            m_received += bytes.size();
        } else {
            m_head.append(bytes);
            const std::size_t end = m_head.find("\r\n\r\n");
            const std::size_t length = m_head.find("Content-Length: ");
            if (end == std::string::npos || length == std::string::npos)
                return;
            m_expected = std::stoul(m_head.substr(length + 16));
            m_received = m_head.size() - end - 4;
            m_head.resize(end);
            m_record.write("client " + m_name + ": the answer to " + m_requestId + " begins: " + m_head.substr(9, 3) + ", "
                + std::to_string(m_expected) + " bytes");
        }
        if (m_received < m_expected)
            return;
        isAnswered = true;
        m_record.write("client " + m_name + ": has the whole answer to " + m_requestId);
    }

    run_record& m_record;
    std::string m_name;
    loop_timer m_turn;
    std::string m_rest;
    loop_timer m_restTimer;
    int m_socket = -1;
    std::string m_requestId;
    std::string m_head;
    std::size_t m_expected = 0;
    std::size_t m_received = 0;
    std::size_t m_bytesPerTurn = 0;
    std::size_t m_requests = 0;
};

} // namespace knapweedcroft::review

#endif
