#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_RELAY_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAULT_RELAY_HPP

#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/test_servers.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft::platform {

/** @brief What a relay does with the bytes of its connections. */
enum class relay_mode : unsigned char {
    passing,
    silent, /*!< Nothing passes either way; the bytes come through when it ends. */
    holding_requests, /*!< Nothing passes towards the target. */
    holding_answers, /*!< Nothing passes from the target. */
    slow, /*!< Bytes pass every 150 ms only. */
    refusing /*!< Connections are reset. */
};

/**
 * @brief Passes connections on to a target, as a network that can be cut, slow or silent.
 *
 * Bytes are held back and not dropped, because TCP would deliver them once the cut is over.
 */
class fault_relay : public test_listener {
public:
    fault_relay(event_loop& loop, std::string target)
        : test_listener { loop }
        , m_target { std::move(target) }
        , m_tick { loop, [this] { tick(); } }
    {
    }

    void setMode(relay_mode mode)
    {
        m_mode = mode;
        if (mode == relay_mode::refusing)
            reset();
        for (const std::unique_ptr<pair>& item : m_pairs)
            update(*item);
        if (mode == relay_mode::slow)
            m_tick.start(slowInterval);
        else
            m_tick.stop();
    }

    /** @brief Resets all connections. */
    void reset()
    {
        for (const std::unique_ptr<pair>& item : m_pairs) {
            for (bufferevent* stream : { item->near.get(), item->far.get() }) {
                const linger resetOnClose { 1, 0 };
                if (stream != nullptr)
                    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
            }
        }
        m_pairs.clear();
    }

private:
    static constexpr milliseconds slowInterval { 150 };

    struct pair {
        fault_relay* relay;
        stream_owner near; // Towards the caller.
        stream_owner far; // Towards the target.
    };

    void accept(evutil_socket_t socket) override
    {
        std::unique_ptr<pair> added = std::make_unique<pair>();
        added->relay = this;
        added->near = makeStream(socket);
        if (m_mode == relay_mode::refusing)
            return;
        added->far = makeStream(-1);
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(m_target.c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        for (bufferevent* stream : { added->near.get(), added->far.get() })
            bufferevent_setcb(stream, &fault_relay::onRead, nullptr, &fault_relay::onEvent, added.get());
        bufferevent_socket_connect(added->far.get(), reinterpret_cast<sockaddr*>(&target), size);
        update(*added);
        m_pairs.push_back(std::move(added));
    }

    void update(const pair& item) const
    {
        const bool isHolding = m_mode == relay_mode::silent || m_mode == relay_mode::slow;
        enable(item.near.get(), !isHolding && m_mode != relay_mode::holding_requests);
        enable(item.far.get(), !isHolding && m_mode != relay_mode::holding_answers);
    }

    static void enable(bufferevent* stream, bool isReading)
    {
        bufferevent_enable(stream, EV_WRITE);
        if (isReading)
            bufferevent_enable(stream, EV_READ);
        else
            bufferevent_disable(stream, EV_READ);
    }

    void tick()
    {
        for (const std::unique_ptr<pair>& item : m_pairs) {
            enable(item->near.get(), true);
            enable(item->far.get(), true);
        }
        m_tick.start(slowInterval);
    }

    static void onRead(bufferevent* stream, void* argument)
    {
        const pair& item = *static_cast<pair*>(argument);
        bufferevent_write_buffer(
            stream == item.near.get() ? item.far.get() : item.near.get(), bufferevent_get_input(stream));
        if (item.relay->m_mode == relay_mode::slow)
            bufferevent_disable(stream, EV_READ);
    }

    static void onEvent(bufferevent* stream, short what, void* argument)
    {
        const pair& item = *static_cast<pair*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        shutdown(bufferevent_getfd((stream == item.near.get() ? item.far : item.near).get()), SHUT_WR);
    }

    std::string m_target;
    relay_mode m_mode = relay_mode::passing;
    std::vector<std::unique_ptr<pair>> m_pairs;
    loop_timer m_tick;
};

} // namespace knapweedcroft::platform

#endif
