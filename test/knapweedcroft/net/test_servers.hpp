#ifndef KNAPWEEDCROFT_TEST_NET_TEST_SERVERS_HPP
#define KNAPWEEDCROFT_TEST_NET_TEST_SERVERS_HPP

#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace knapweedcroft {

/**
 * @brief Returns the first three octets of loopback addresses, with a trailing dot.
 *
 * They follow from the id of this process, so that parallel runs do not collide at fixed ports.
 */
[[nodiscard]] inline std::string loopbackNetwork()
{
    constexpr unsigned bits = 8;
    constexpr unsigned mask = 0xFF;
    const unsigned process = static_cast<unsigned>(getpid());
    return "127." + std::to_string((process >> bits) & mask) + "." + std::to_string(process & mask) + ".";
}

/** @brief Accepts TCP connections on a loopback port and passes them to a subclass. */
class test_listener {
public:
    /** @brief Listens on an ephemeral port of a loopback address. */
    explicit test_listener(event_loop& loop, const std::string& host = "127.0.0.1")
        : m_loop { loop }
    {
        const bound_socket bound = valueOf(bindSocket(host, 0));
        m_address = bound.address;
        const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<test_listener*>(self)->accept(socket);
        };
        m_listener.reset(evconnlistener_new(loop.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE, 16, bound.socket));
    }
    test_listener(const test_listener&) = delete;
    test_listener& operator=(const test_listener&) = delete;
    virtual ~test_listener() = default;

    [[nodiscard]] const std::string& address() const { return m_address; }

protected:
    struct stream_deleter {
        void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
    };
    struct listener_deleter {
        void operator()(evconnlistener* value) const noexcept { evconnlistener_free(value); }
    };
    using stream_owner = std::unique_ptr<bufferevent, stream_deleter>;

    virtual void accept(evutil_socket_t socket) = 0;

    [[nodiscard]] stream_owner makeStream(evutil_socket_t socket) const
    {
        return stream_owner { bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE) };
    }

private:
    event_loop& m_loop;
    std::string m_address;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
};

/** @brief Sends the beginning of a response and then repeats a text until the client closes the connection. */
class endless_server : public test_listener {
public:
    endless_server(event_loop& loop, std::string head, std::string repeated)
        : test_listener { loop }
        , m_head { std::move(head) }
        , m_repeated { std::move(repeated) }
    {
    }

    std::size_t closed = 0;

protected:
    void accept(evutil_socket_t socket) override
    {
        m_streams.push_back(makeStream(socket));
        bufferevent* stream = m_streams.back().get();
        bufferevent_setcb(stream, nullptr, &endless_server::onWritten, &endless_server::onEvent, this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        bufferevent_write(stream, m_head.data(), m_head.size());
    }

private:
    static void onWritten(bufferevent* stream, void* argument)
    {
        const endless_server& self = *static_cast<endless_server*>(argument);
        bufferevent_write(stream, self.m_repeated.data(), self.m_repeated.size());
    }

    static void onEvent(bufferevent* stream, short, void* argument)
    {
        ++static_cast<endless_server*>(argument)->closed;
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    }

    std::string m_head;
    std::string m_repeated;
    std::vector<stream_owner> m_streams;
};

/** @brief TCP proxy in front of a target, with fault injection. */
class test_relay : public test_listener {
public:
    test_relay(event_loop& loop, std::string target)
        : test_listener { loop }
        , m_target { std::move(target) }
    {
    }

    /** @brief Discards all further data of the current connections; new connections work. */
    void discardBytes()
    {
        for (const std::unique_ptr<pair>& item : m_pairs)
            item->isDiscarding = true;
    }

    /** @brief Stops reading from the current connections. */
    void stopReading()
    {
        for (const std::unique_ptr<pair>& item : m_pairs) {
            bufferevent_disable(item->near.get(), EV_READ);
            bufferevent_disable(item->far.get(), EV_READ);
        }
    }

    /** @brief Closes all connections. */
    void closeConnections() { m_pairs.clear(); }

private:
    struct pair {
        stream_owner near;
        stream_owner far;
        bool isDiscarding = false;
    };

    void accept(evutil_socket_t socket) override
    {
        std::unique_ptr<pair> added = std::make_unique<pair>();
        added->near = makeStream(socket);
        added->far = makeStream(-1);
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(m_target.c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        bufferevent_socket_connect(added->far.get(), reinterpret_cast<sockaddr*>(&target), size);
        for (bufferevent* stream : { added->near.get(), added->far.get() }) {
            bufferevent_setcb(stream, &test_relay::onRead, nullptr, &test_relay::onEvent, added.get());
            bufferevent_enable(stream, EV_READ | EV_WRITE);
        }
        m_pairs.push_back(std::move(added));
    }

    static void onRead(bufferevent* stream, void* argument)
    {
        const pair& item = *static_cast<pair*>(argument);
        evbuffer* input = bufferevent_get_input(stream);
        if (item.isDiscarding)
            evbuffer_drain(input, evbuffer_get_length(input));
        else
            bufferevent_write_buffer(stream == item.near.get() ? item.far.get() : item.near.get(), input);
    }

    static void onEvent(bufferevent* stream, short what, void* argument)
    {
        pair& item = *static_cast<pair*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || item.isDiscarding)
            return;
        stream_owner& other = stream == item.near.get() ? item.far : item.near;
        if (other)
            shutdown(bufferevent_getfd(other.get()), SHUT_WR);
    }

    std::string m_target;
    std::vector<std::unique_ptr<pair>> m_pairs;
};

/** @brief HTTP server that sends predefined bytes, and may close the connection afterwards. */
class test_raw_server : public test_listener {
public:
    /** @brief Reaction to one request. */
    struct reply {
        std::string bytes;
        bool shouldClose = false;
    };

    test_raw_server(event_loop& loop, std::vector<reply> replies)
        : test_listener { loop }
        , m_replies { std::move(replies) }
    {
    }

    /** @brief Returns the received requests in order. */
    [[nodiscard]] const std::vector<std::string>& requests() const { return m_requests; }

private:
    struct connection {
        test_raw_server* server;
        stream_owner stream;
        bool isClosing = false;
    };

    void accept(evutil_socket_t socket) override
    {
        std::unique_ptr<connection> added = std::make_unique<connection>();
        added->server = this;
        added->stream = makeStream(socket);
        bufferevent_setcb(added->stream.get(), &test_raw_server::onRead, &test_raw_server::onWritten,
            &test_raw_server::onEvent, added.get());
        bufferevent_enable(added->stream.get(), EV_READ | EV_WRITE);
        m_connections.push_back(std::move(added));
    }

    // Requests in these tests have a short, non-empty body, which arrives together with the headers.
    static void onRead(bufferevent* stream, void* argument)
    {
        connection& from = *static_cast<connection*>(argument);
        evbuffer* input = bufferevent_get_input(stream);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, text.data(), text.size());
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos || text.size() < end + 5)
            return;
        evbuffer_drain(input, text.size());
        test_raw_server& server = *from.server;
        server.m_requests.push_back(text);
        if (server.m_requests.size() > server.m_replies.size())
            return;
        const reply& answer = server.m_replies[server.m_requests.size() - 1];
        from.isClosing = answer.shouldClose;
        if (answer.bytes.empty() && answer.shouldClose)
            from.stream.reset();
        else
            bufferevent_write(stream, answer.bytes.data(), answer.bytes.size());
    }

    static void onWritten(bufferevent*, void* argument)
    {
        connection& to = *static_cast<connection*>(argument);
        if (to.isClosing)
            to.stream.reset();
    }

    static void onEvent(bufferevent*, short, void*) { }

    std::vector<reply> m_replies;
    std::vector<std::string> m_requests;
    std::vector<std::unique_ptr<connection>> m_connections;
};

} // namespace knapweedcroft

#endif
