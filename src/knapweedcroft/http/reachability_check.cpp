#include "knapweedcroft/http/reachability_check.hpp"

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <utility>

namespace knapweedcroft {

reachability_check::reachability_check(event_loop& loop, milliseconds timeout, completion_handler onDone)
    : m_loop { loop }
    , m_timeout { timeout }
    , m_onDone { std::move(onDone) }
    , m_timer { loop, [this] { finish(false); } }
{
}

void reachability_check::start(const std::string& address)
{
    sockaddr_storage target {};
    int size = sizeof(target);
    m_timer.start(m_timeout);
    m_stream.reset(bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    const bool isValid = evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&target), &size) == 0;
    if (!m_stream || !isValid)
        return;
    bufferevent_setcb(m_stream.get(), nullptr, nullptr, &reachability_check::onEvent, this);
    bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&target), size);
}

void reachability_check::onEvent(bufferevent*, short events, void* argument)
{
    reachability_check& self = *static_cast<reachability_check*>(argument);
    self.m_loop.guard([&self, events] { self.finish((events & BEV_EVENT_ERROR) != 0); });
}

// The stream is replaced by the next check only, since its callback may be on the call stack.
void reachability_check::finish(bool isRefused)
{
    m_timer.stop();
    if (m_stream) {
        bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
        const evutil_socket_t socket = bufferevent_getfd(m_stream.get());
        if (socket >= 0)
            shutdown(socket, SHUT_RDWR);
    }
    m_onDone(isRefused);
}

} // namespace knapweedcroft
