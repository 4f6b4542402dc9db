#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_RELAY_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_RELAY_HPP

#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft::platform {

/** @brief How a relay treats its connections. */
enum class relay_mode : unsigned char {
    forwarding,
    stalled, /*!< No bytes pass in either direction; held bytes are delivered afterwards. */
    requests_stalled, /*!< No bytes pass to the target. */
    answers_stalled, /*!< No bytes pass from the target. */
    silenced, /*!< All bytes are lost; the connections of this time and those opened before never work again. */
    slow, /*!< Bytes are forwarded only every 150 ms. */
    resetting /*!< Connections are reset. */
};

/**
 * @brief TCP relay that injects network faults between its clients and a target.
 *
 * Bytes are delayed and not discarded, because TCP retransmits them once a partition ends. Only `silenced` discards
 * them, as a middlebox does that has lost track of a connection.
 */
class fault_relay : public test_listener {
public:
    /**
     * @brief Starts listening.
     * @param host Loopback address of this run; on a shared one, nodes that a crashed run left behind could reach the
     * relay at a port that their own relays had.
     * @param target `host:port` to which connections are forwarded.
     */
    fault_relay(event_loop& loop, const std::string& host, std::string target)
        : test_listener { loop, host }
        , m_target { std::move(target) }
        , m_resumeTimer { loop, [this] { resumeReading(); } }
    {
    }

    [[nodiscard]] relay_mode mode() const { return m_mode; }

    void setMode(relay_mode mode)
    {
        m_mode = mode;
        if (mode == relay_mode::resetting)
            reset();
        if (mode == relay_mode::silenced)
            silenceConnections();
        for (const std::unique_ptr<connection_pair>& item : m_connections)
            update(*item);
        if (mode == relay_mode::slow)
            m_resumeTimer.start(slowModeInterval);
        else
            m_resumeTimer.stop();
    }

    /** @brief Silences the open connections for good; new ones work. */
    void silenceConnections()
    {
        for (const std::unique_ptr<connection_pair>& item : m_connections)
            item->isSilenced = true;
    }

    /** @brief Resets all connections. */
    void reset()
    {
        for (const std::unique_ptr<connection_pair>& item : m_connections) {
            for (bufferevent* stream : { item->client.get(), item->target.get() }) {
                const linger resetOnClose { 1, 0 };
                if (stream != nullptr)
                    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
            }
        }
        m_connections.clear();
    }

private:
    static constexpr milliseconds slowModeInterval { 150 };

    struct connection_pair {
        fault_relay* relay;
        stream_owner client; // Connection to the client.
        stream_owner target; // Connection to the target.
        bool isSilenced = false; // All bytes are discarded.
        bool hasClientEnded = false;
        bool hasTargetEnded = false;

        // Silenced connections do not tell the target that the client has gone.
        [[nodiscard]] bool hasEnded() const { return hasClientEnded && (hasTargetEnded || isSilenced); }
    };

    void accept(evutil_socket_t socket) override
    {
        const auto hasEnded = [](const std::unique_ptr<connection_pair>& item) { return item->hasEnded(); };
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(), hasEnded), m_connections.end());
        std::unique_ptr<connection_pair> added = std::make_unique<connection_pair>();
        added->relay = this;
        added->isSilenced = m_mode == relay_mode::silenced;
        added->client = makeStream(socket);
        if (m_mode == relay_mode::resetting)
            return;
        added->target = makeStream(-1);
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(m_target.c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        for (bufferevent* stream : { added->client.get(), added->target.get() })
            bufferevent_setcb(stream, &fault_relay::onRead, nullptr, &fault_relay::onEvent, added.get());
        bufferevent_socket_connect(added->target.get(), reinterpret_cast<sockaddr*>(&target), size);
        update(*added);
        m_connections.push_back(std::move(added));
    }

    void update(const connection_pair& item) const
    {
        const bool isHolding = m_mode == relay_mode::stalled || m_mode == relay_mode::slow;
        enable(item.client.get(), !isHolding && m_mode != relay_mode::requests_stalled);
        enable(item.target.get(), !isHolding && m_mode != relay_mode::answers_stalled);
    }

    static void enable(bufferevent* stream, bool isReading)
    {
        bufferevent_enable(stream, EV_WRITE);
        if (isReading)
            bufferevent_enable(stream, EV_READ);
        else
            bufferevent_disable(stream, EV_READ);
    }

    void resumeReading()
    {
        for (const std::unique_ptr<connection_pair>& item : m_connections) {
            enable(item->client.get(), true);
            enable(item->target.get(), true);
        }
        m_resumeTimer.start(slowModeInterval);
    }

    static void onRead(bufferevent* stream, void* argument)
    {
        const connection_pair& item = *static_cast<connection_pair*>(argument);
        if (item.isSilenced) {
            evbuffer_drain(bufferevent_get_input(stream), evbuffer_get_length(bufferevent_get_input(stream)));
            return;
        }
        bufferevent_write_buffer(
            stream == item.client.get() ? item.target.get() : item.client.get(), bufferevent_get_input(stream));
        if (item.relay->m_mode == relay_mode::slow)
            bufferevent_disable(stream, EV_READ);
    }

    static void onEvent(bufferevent* stream, short what, void* argument)
    {
        connection_pair& item = *static_cast<connection_pair*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        (stream == item.client.get() ? item.hasClientEnded : item.hasTargetEnded) = true;
        if (item.isSilenced)
            return;
        shutdown(bufferevent_getfd((stream == item.client.get() ? item.target : item.client).get()), SHUT_WR);
    }

    std::string m_target;
    relay_mode m_mode = relay_mode::forwarding;
    std::vector<std::unique_ptr<connection_pair>> m_connections;
    loop_timer m_resumeTimer;
};

} // namespace knapweedcroft::platform

#endif
