#ifndef KNAPWEEDCROFT_TEST_HTTP_RAW_CLIENT_HPP
#define KNAPWEEDCROFT_TEST_HTTP_RAW_CLIENT_HPP

#include "knapweedcroft/http/internal/bufferevent_ptr.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>

#include <cstddef>
#include <memory>
#include <string>

namespace knapweedcroft {

/** @brief Client that sends raw bytes and collects the received ones. */
class raw_client {
public:
    raw_client(event_loop& loop, const std::string& address)
        : m_stream { bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE) }
    {
        sockaddr_storage target {};
        int size = sizeof(target);
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&target), &size);
        const auto onRead = [](bufferevent* stream, void* argument) {
            raw_client& self = *static_cast<raw_client*>(argument);
            evbuffer* input = bufferevent_get_input(stream);
            std::string bytes(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, bytes.data(), bytes.size());
            self.m_received += bytes;
        };
        const auto onEvent = [](bufferevent*, short what, void* argument) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
                static_cast<raw_client*>(argument)->m_isClosed = true;
        };
        bufferevent_setcb(m_stream.get(), onRead, nullptr, onEvent, this);
        bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
        bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&target), size);
    }

    void send(const std::string& text) { bufferevent_write(m_stream.get(), text.data(), text.size()); }
    void close() { m_stream.reset(); }

    /** @brief Limits the bytes that the client reads in 10 ms; one is as good as nothing. */
    void readAtRate(std::size_t bytesPerTick)
    {
        const timeval tick { 0, 10'000 };
        m_rate.reset(ev_token_bucket_cfg_new(bytesPerTick, bytesPerTick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick));
        bufferevent_set_rate_limit(m_stream.get(), m_rate.get());
    }
    [[nodiscard]] std::size_t unsentBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(m_stream.get()));
    }
    [[nodiscard]] const std::string& received() const { return m_received; }
    [[nodiscard]] bool isClosed() const { return m_isClosed; }

private:
    struct rate_deleter {
        void operator()(ev_token_bucket_cfg* value) const noexcept { ev_token_bucket_cfg_free(value); }
    };

    std::unique_ptr<ev_token_bucket_cfg, rate_deleter> m_rate;
    internal::bufferevent_ptr m_stream;
    std::string m_received;
    bool m_isClosed = false;
};

} // namespace knapweedcroft

#endif
