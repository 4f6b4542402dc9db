#include "knapweedcroft/http/pipelined_server.hpp"

#include "knapweedcroft/http/internal/bufferevent_owner.hpp"
#include "knapweedcroft/http/request_parser.hpp"
#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <deque>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr int serverBacklog = 1024;

} // namespace internal

class pipelined_server::connection {
public:
    connection(pipelined_server& server, internal::stream_owner stream)
        : m_server { server }
        , m_stream { std::move(stream) }
        , m_timer { server.m_loop, [this] { onTimeout(); } }
    {
        bufferevent_setcb(m_stream.get(), &connection::onRead, &connection::onWritten, &connection::onEvent, this);
        bufferevent_enable(m_stream.get(), EV_READ);
        m_timer.start(m_server.m_limits.idleTime);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { m_server.m_heldBytes -= m_heldBytes; }

    void answer(std::uint64_t request, const opaque_response& response, bool closes)
    {
        for (waiting_request& waiting : m_waiting) {
            if (waiting.request != request)
                continue;
            waiting.closes = closes || m_server.m_isDraining || !waiting.isKeepAlive;
            waiting.answer = serialize(response, waiting.method, waiting.closes);
            waiting.isAnswered = true;
            hold(waiting.answer.size());
        }
        flush();
    }

    [[nodiscard]] bool isIdle() const
    {
        return m_waiting.empty() && !m_isReading && !m_isClosing
            && evbuffer_get_length(bufferevent_get_input(m_stream.get())) == 0;
    }

private:
    struct waiting_request {
        std::uint64_t request = 0;
        std::string method;
        std::string answer;
        std::size_t requestBytes = 0;
        bool isKeepAlive = true;
        bool isAnswered = false;
        bool closes = false;
    };

    void hold(std::size_t bytes)
    {
        m_heldBytes += bytes;
        m_server.m_heldBytes += bytes;
    }

    void release(std::size_t bytes)
    {
        m_heldBytes -= bytes;
        m_server.m_heldBytes -= bytes;
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(m_stream.get());
        while (!m_isClosing && m_waiting.size() < m_server.m_limits.maxPipelined) {
            const std::size_t length = evbuffer_get_length(input);
            if (length == 0)
                break;
            startRequest();
            const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            const std::size_t used = m_parser->put({ bytes, length });
            evbuffer_drain(input, used);
            if (m_parser->fault()) {
                reject(*m_parser->fault());
                return;
            }
            if (m_parser->isHeaderDone())
                onHeader();
            if (m_parser->isDone())
                finishRequest();
            else if (used == 0)
                break;
        }
    }

    void startRequest()
    {
        if (m_isReading)
            return;
        m_isReading = true;
        m_isHeaderSeen = false;
        m_parser = std::make_unique<request_parser>(m_server.m_limits.message);
        m_timer.start(m_server.m_limits.headerTime);
    }

    void onHeader()
    {
        if (m_isHeaderSeen)
            return;
        m_isHeaderSeen = true;
        m_timer.stop();
        // An earlier answer on this connection would be overtaken by the interim response.
        if (m_parser->expectsContinue() && !m_parser->isDone() && m_waiting.empty())
            write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void finishRequest()
    {
        waiting_request waiting;
        waiting.request = ++m_server.m_lastRequest;
        waiting.isKeepAlive = m_parser->isKeepAlive();
        opaque_request request = m_parser->take();
        waiting.method = request.method;
        waiting.requestBytes = request.body.size();
        m_parser.reset();
        m_isReading = false;
        m_isClosing = !waiting.isKeepAlive;
        hold(waiting.requestBytes);
        const std::uint64_t number = waiting.request;
        m_waiting.push_back(std::move(waiting));
        m_server.m_pending.emplace(number, this);
        if (m_server.m_heldBytes > m_server.m_limits.maxHeldBytes) {
            answer(number, m_server.m_handlers.rejected(parse_fault { 503, "too much is held; send it again later" }),
                true);
            return;
        }
        m_server.m_handlers.received(number, std::move(request));
    }

    void reject(const parse_fault& fault)
    {
        m_timer.stop();
        m_parser.reset();
        m_isReading = false;
        waiting_request waiting;
        waiting.isAnswered = true;
        waiting.closes = true;
        waiting.answer = serialize(m_server.m_handlers.rejected(fault), "GET", true);
        hold(waiting.answer.size());
        m_isClosing = true;
        m_waiting.push_back(std::move(waiting));
        flush();
    }

    void flush()
    {
        while (!m_isEnding && !m_waiting.empty() && m_waiting.front().isAnswered) {
            const waiting_request front = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_server.m_pending.erase(front.request);
            release(front.requestBytes);
            m_written.push_back(front.answer.size());
            write(front.answer);
            if (front.closes)
                startEnding();
        }
        if (m_isEnding || !m_waiting.empty())
            return;
        m_timer.start(m_server.m_limits.idleTime);
        if (evbuffer_get_length(bufferevent_get_input(m_stream.get())) > 0)
            m_server.m_loop.post([&server = m_server, self = this] { server.resume(self); });
    }

    void write(std::string_view text)
    {
        bufferevent_write(m_stream.get(), text.data(), text.size());
        bufferevent_enable(m_stream.get(), EV_WRITE);
        internal::writeNowAndNotify(m_stream.get());
    }

    // Requests behind an answer that closes the connection count as not read, so their work is given up.
    void startEnding()
    {
        m_isEnding = true;
        m_isClosing = true;
        abandonAll();
        m_timer.start(m_server.m_limits.idleTime);
    }

    void abandonAll()
    {
        std::vector<std::uint64_t> numbers;
        for (const waiting_request& waiting : m_waiting) {
            if (m_server.m_pending.erase(waiting.request) > 0)
                numbers.push_back(waiting.request);
        }
        m_waiting.clear();
        for (const std::uint64_t number : numbers)
            m_server.m_handlers.abandoned(number);
    }

    void onTimeout()
    {
        if (m_isReading && !m_isHeaderSeen) {
            reject(parse_fault { 408, "the header did not arrive in time; send it at once" });
            return;
        }
        if (m_waiting.empty())
            end();
        else
            m_timer.start(m_server.m_limits.idleTime);
    }

    void end()
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_timer.stop();
        abandonAll();
        m_server.remove(this);
    }

    // A closed socket with unread bytes resets the connection, which may destroy the answer on its way.
    void lingerOrEnd()
    {
        if (m_isHalfClosed)
            return;
        m_isHalfClosed = true;
        evbuffer* input = bufferevent_get_input(m_stream.get());
        evbuffer_drain(input, evbuffer_get_length(input));
        shutdown(bufferevent_getfd(m_stream.get()), SHUT_WR);
        constexpr milliseconds lingerTime { 1000 };
        m_timer.start(lingerTime);
    }

    static void onRead(bufferevent* stream, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        if (self.m_isEnding) {
            evbuffer* input = bufferevent_get_input(stream);
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        self.m_server.m_loop.guard([&self] { self.read(); });
    }

    static void onWritten(bufferevent* stream, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        if (evbuffer_get_length(bufferevent_get_output(stream)) > 0)
            return;
        bufferevent_disable(stream, EV_WRITE);
        for (const std::size_t bytes : self.m_written)
            self.release(bytes);
        self.m_written.clear();
        if (self.m_isEnding)
            self.lingerOrEnd();
    }

    static void onEvent(bufferevent*, short, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        self.m_server.m_loop.guard([&self] { self.end(); });
    }

    friend class pipelined_server;

    pipelined_server& m_server;
    internal::stream_owner m_stream;
    loop_timer m_timer;
    std::unique_ptr<request_parser> m_parser;
    std::deque<waiting_request> m_waiting;
    std::vector<std::size_t> m_written;
    std::size_t m_heldBytes = 0;
    bool m_isReading = false;
    bool m_isHeaderSeen = false;
    bool m_isClosing = false; /*!< No further request is read. */
    bool m_isEnding = false; /*!< The last answer was written. */
    bool m_isHalfClosed = false;
    bool m_isEnded = false;
};

pipelined_server::pipelined_server(
    event_loop& loop, const pipelined_server_limits& limits, pipelined_server_handlers handlers)
    : m_loop { loop }
    , m_limits { limits }
    , m_handlers { std::move(handlers) }
    , m_listener { loop, internal::serverBacklog, [this](evutil_socket_t socket) { accept(socket); } }
{
}

pipelined_server::~pipelined_server() { m_connections.clear(); }

result<std::string> pipelined_server::listen(const std::string& host, std::uint16_t port)
{
    return m_listener.listen(host, port);
}

void pipelined_server::accept(evutil_socket_t socket)
{
    setNoDelay(socket);
    internal::stream_owner stream { bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE) };
    if (!stream) {
        evutil_closesocket(socket);
        return;
    }
    std::unique_ptr<connection> accepted = std::make_unique<connection>(*this, std::move(stream));
    connection* key = accepted.get();
    m_connections.emplace(key, std::move(accepted));
}

void pipelined_server::remove(connection* ended)
{
    const auto position = m_connections.find(ended);
    if (position == m_connections.end())
        return;
    // The connection may be further up the stack.
    std::shared_ptr<connection> kept { std::move(position->second) };
    m_connections.erase(position);
    bufferevent_disable(kept->m_stream.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(kept->m_stream.get(), nullptr, nullptr, nullptr, nullptr);
    m_loop.post([kept] { static_cast<void>(kept); });
}

void pipelined_server::resume(connection* waiting)
{
    const auto position = m_connections.find(waiting);
    if (position != m_connections.end() && !position->second->m_isEnding)
        position->second->read();
}

void pipelined_server::answer(std::uint64_t request, const opaque_response& response, bool closes)
{
    const auto position = m_pending.find(request);
    if (position != m_pending.end())
        position->second->answer(request, response, closes);
}

void pipelined_server::closeIdle()
{
    std::vector<connection*> idle;
    for (const std::pair<connection* const, std::unique_ptr<connection>>& item : m_connections) {
        if (item.second->isIdle())
            idle.push_back(item.first);
    }
    for (connection* unused : idle)
        unused->end();
}

void pipelined_server::stopAccepting() { m_listener.stop(); }

} // namespace knapweedcroft
