#include "knapweedcroft/http/pipelined_server.hpp"

#include "knapweedcroft/http/internal/bufferevent_ptr.hpp"
#include "knapweedcroft/http/internal/message_writer.hpp"
#include "knapweedcroft/http/request_parser.hpp"
#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr int listenBacklog = 1024;
// Input that is read ahead of the parser, beside a header section.
static constexpr std::size_t maxReadAhead = std::size_t { 64 } * 1024;

} // namespace internal

class pipelined_server::connection {
public:
    connection(pipelined_server& server, internal::bufferevent_ptr stream)
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
    ~connection()
    {
        m_server.m_bufferedBytes -= m_bufferedBytes;
        m_server.m_responseBytes -= m_responseBytes;
    }

    void answer(std::uint64_t requestId, opaque_response response, bool shouldClose)
    {
        for (pipelined_request& entry : m_pipeline) {
            if (entry.id != requestId)
                continue;
            entry.shouldClose = shouldClose || !entry.isKeepAlive;
            entry.response = std::move(response);
            entry.responseBytes = entry.response.body.size();
            addResponseBytes(entry.responseBytes);
            entry.isAnswered = true;
            break;
        }
        flush();
    }

    // Adds all unanswered requests, or only those in front of an answer that is ready.
    void addUnansweredRequests(bool isBlockingOnly, std::vector<std::uint64_t>& requestIds) const
    {
        bool isAnswerBehind = false;
        for (auto position = m_pipeline.rbegin(); position != m_pipeline.rend(); ++position) {
            if (position->isAnswered)
                isAnswerBehind = true;
            else if (isAnswerBehind || !isBlockingOnly)
                requestIds.push_back(position->id);
        }
    }

    [[nodiscard]] bool isIdle() const
    {
        return m_pipeline.empty() && !m_isReading && !m_hasStoppedReading
            && evbuffer_get_length(bufferevent_get_input(m_stream.get())) == 0 && unsentBytes() == 0;
    }

private:
    struct pipelined_request {
        std::uint64_t id = 0;
        std::string method;
        opaque_response response;
        std::size_t requestBytes = 0;
        std::size_t responseBytes = 0; /*!< Of the body. */
        bool isKeepAlive = true;
        bool isAnswered = false;
        bool shouldClose = false;
    };

    [[nodiscard]] std::size_t unsentBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(m_stream.get()));
    }

    void startIdleTimer()
    {
        m_unsentAtTimerStart = unsentBytes();
        m_timer.start(m_server.m_limits.idleTime);
    }

    // A client that reads slowly is not idle; one that reads nothing at all is.
    [[nodiscard]] bool isSending() const { return unsentBytes() > 0 && unsentBytes() < m_unsentAtTimerStart; }

    void addBufferedBytes(std::size_t bytes)
    {
        m_bufferedBytes += bytes;
        m_server.m_bufferedBytes += bytes;
    }

    void subtractBufferedBytes(std::size_t bytes)
    {
        m_bufferedBytes -= bytes;
        m_server.m_bufferedBytes -= bytes;
    }

    void addResponseBytes(std::size_t bytes)
    {
        addBufferedBytes(bytes);
        m_responseBytes += bytes;
        m_server.m_responseBytes += bytes;
    }

    void subtractResponseBytes(std::size_t bytes)
    {
        subtractBufferedBytes(bytes);
        m_responseBytes -= bytes;
        m_server.m_responseBytes -= bytes;
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(m_stream.get());
        while (!m_hasStoppedReading && m_pipeline.size() < m_server.m_limits.maxPipelined) {
            const std::size_t length = evbuffer_get_length(input);
            if (length == 0)
                break;
            startRequest();
            const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            const std::size_t consumed = m_parser->put({ bytes, length });
            evbuffer_drain(input, consumed);
            if (m_parser->fault()) {
                reject(*m_parser->fault());
                return;
            }
            if (m_parser->isHeaderDone())
                onHeader();
            if (!reserveBody())
                return;
            if (m_parser->isDone())
                dispatchRequest();
            else if (consumed == 0)
                break;
        }
        limitInput();
    }

    // Drops what will never be read, and stops reading while more waits than a header section.
    void limitInput()
    {
        evbuffer* input = bufferevent_get_input(m_stream.get());
        if (m_hasStoppedReading)
            evbuffer_drain(input, evbuffer_get_length(input));
        const std::size_t limit = m_server.m_limits.message.maxHeaderBytes + internal::maxReadAhead;
        if (evbuffer_get_length(input) > limit)
            bufferevent_disable(m_stream.get(), EV_READ);
        else
            bufferevent_enable(m_stream.get(), EV_READ);
    }

    void startRequest()
    {
        if (m_isReading)
            return;
        m_isReading = true;
        m_isHeaderDone = false;
        m_parser = std::make_unique<request_parser>(m_server.m_limits.message);
        m_timer.start(m_server.m_limits.headerTime);
    }

    void onHeader()
    {
        if (m_isHeaderDone)
            return;
        m_isHeaderDone = true;
        m_timer.stop();
        // Sent only if no response is pending, since the interim response must not overtake an earlier response.
        if (m_parser->isContinueExpected() && !m_parser->isDone() && m_pipeline.empty())
            write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    // Counts the body of the request that is being read, and refuses the request if too much is held with it.
    [[nodiscard]] bool reserveBody()
    {
        if (!m_parser->isHeaderDone())
            return true;
        // Received bytes only: a client that announces a body and doesn't send it must not keep others out.
        const std::size_t bodyBytes = m_parser->bodySize();
        const std::size_t copies = bodyBytes <= m_server.m_limits.maxKeptBodyBytes ? 2 : 1;
        subtractBufferedBytes(m_reservedBytes);
        m_reservedBytes = bodyBytes * copies;
        addBufferedBytes(m_reservedBytes);
        if (m_server.m_bufferedBytes <= m_server.m_limits.maxBufferedBytes)
            return true;
        reject(parse_error { 503, "too much is held; send it again later" });
        return false;
    }

    void dispatchRequest()
    {
        pipelined_request entry;
        entry.id = ++m_server.m_lastRequestId;
        entry.isKeepAlive = m_parser->isKeepAlive();
        opaque_request request = m_parser->take();
        entry.method = request.method;
        entry.requestBytes = std::exchange(m_reservedBytes, 0);
        m_parser.reset();
        m_isReading = false;
        m_hasStoppedReading = !entry.isKeepAlive;
        const std::uint64_t requestId = entry.id;
        m_pipeline.push_back(std::move(entry));
        m_server.m_pending.emplace(requestId, this);
        m_server.m_handlers.onRequest(requestId, std::move(request));
    }

    void reject(const parse_error& fault)
    {
        subtractBufferedBytes(std::exchange(m_reservedBytes, 0));
        m_timer.stop();
        m_parser.reset();
        m_isReading = false;
        pipelined_request entry;
        entry.isAnswered = true;
        entry.shouldClose = true;
        entry.method = "GET";
        entry.response = m_server.m_handlers.makeErrorResponse(fault);
        m_hasStoppedReading = true;
        m_pipeline.push_back(std::move(entry));
        flush();
    }

    void flush()
    {
        while (!m_hasWrittenLast && !m_pipeline.empty() && m_pipeline.front().isAnswered) {
            pipelined_request front = std::move(m_pipeline.front());
            m_pipeline.pop_front();
            m_server.m_pending.erase(front.id);
            subtractBufferedBytes(front.requestBytes);
            // Requests behind this one have been passed on, so while draining only the last answer closes.
            m_hasStoppedReading = m_hasStoppedReading || m_server.m_isDraining;
            const bool isLast = front.shouldClose || (m_server.m_isDraining && m_pipeline.empty());
            m_unflushedSizes.push_back(front.responseBytes);
            std::string head = serializeHead(front.response, front.method, isLast);
            if (!hasBody(front.response, front.method))
                front.response.body.clear();
            internal::writeMessage(m_stream.get(), std::move(head), std::move(front.response.body));
            writeOutput();
            if (isLast)
                startClosing();
        }
        if (m_hasWrittenLast || !m_pipeline.empty())
            return;
        startIdleTimer();
        if (evbuffer_get_length(bufferevent_get_input(m_stream.get())) > 0)
            m_server.m_loop.post([&server = m_server, target = this] { server.resumeReading(target); });
    }

    void write(std::string_view text)
    {
        bufferevent_write(m_stream.get(), text.data(), text.size());
        writeOutput();
    }

    void writeOutput()
    {
        bufferevent_enable(m_stream.get(), EV_WRITE);
        internal::writeNowAndNotify(m_stream.get());
    }

    // Later requests on a connection that is being closed count as unread, so their processing is aborted.
    void startClosing()
    {
        m_hasWrittenLast = true;
        m_hasStoppedReading = true;
        abortPipeline();
        startIdleTimer();
    }

    void abortPipeline()
    {
        std::vector<std::uint64_t> requestIds;
        for (const pipelined_request& entry : m_pipeline) {
            if (m_server.m_pending.erase(entry.id) > 0)
                requestIds.push_back(entry.id);
        }
        m_pipeline.clear();
        for (const std::uint64_t requestId : requestIds)
            m_server.m_handlers.onAborted(requestId);
    }

    void onTimeout()
    {
        if (m_isReading && !m_isHeaderDone) {
            reject(parse_error { 408, "the header did not arrive in time; send it at once" });
            return;
        }
        if (m_pipeline.empty() && !isSending())
            close();
        else
            startIdleTimer();
    }

    void close()
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        m_timer.stop();
        abortPipeline();
        m_server.removeConnection(this);
    }

    // Closing a socket with unread input resets the connection, which may discard the response before the client has
    // received it. So only the write side is shut down, and input is discarded for a while.
    void startLingeringClose()
    {
        if (m_isHalfClosed)
            return;
        m_isHalfClosed = true;
        evbuffer* input = bufferevent_get_input(m_stream.get());
        evbuffer_drain(input, evbuffer_get_length(input));
        shutdown(bufferevent_getfd(m_stream.get()), SHUT_WR);
        constexpr milliseconds lingerTimeout { 1000 };
        m_timer.start(lingerTimeout);
    }

    static void onRead(bufferevent* stream, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        if (self.m_hasWrittenLast) {
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
        for (const std::size_t bytes : self.m_unflushedSizes)
            self.subtractResponseBytes(bytes);
        self.m_unflushedSizes.clear();
        if (self.m_hasWrittenLast)
            self.startLingeringClose();
    }

    static void onEvent(bufferevent*, short, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        self.m_server.m_loop.guard([&self] { self.close(); });
    }

    friend class pipelined_server;

    pipelined_server& m_server;
    internal::bufferevent_ptr m_stream;
    loop_timer m_timer;
    std::unique_ptr<request_parser> m_parser;
    std::deque<pipelined_request> m_pipeline;
    std::vector<std::size_t> m_unflushedSizes;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_responseBytes = 0; /*!< Part of it. */
    std::size_t m_unsentAtTimerStart = 0; /*!< Unsent bytes of responses when the idle timer was started. */
    std::size_t m_reservedBytes = 0; /*!< Part of it, for the request that is being read. */
    bool m_isReading = false;
    bool m_isHeaderDone = false;
    bool m_hasStoppedReading = false; /*!< No further requests are read from this connection. */
    bool m_hasWrittenLast = false; /*!< The last response has been written to the output buffer. */
    bool m_isHalfClosed = false;
    bool m_isClosed = false;
};

pipelined_server::pipelined_server(
    event_loop& loop, const pipelined_server_limits& limits, pipelined_server_handlers handlers)
    : m_loop { loop }
    , m_limits { limits }
    , m_handlers { std::move(handlers) }
    , m_listener { loop, internal::listenBacklog, [this](evutil_socket_t socket) { accept(socket); } }
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
    internal::bufferevent_ptr stream { bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE) };
    if (!stream) {
        evutil_closesocket(socket);
        return;
    }
    std::unique_ptr<connection> accepted = std::make_unique<connection>(*this, std::move(stream));
    connection* key = accepted.get();
    m_connections.emplace(key, std::move(accepted));
}

void pipelined_server::removeConnection(connection* ended)
{
    const auto position = m_connections.find(ended);
    if (position == m_connections.end())
        return;
    // A method of the connection may still be on the call stack, so it is destroyed in a later loop iteration.
    std::shared_ptr<connection> removed { std::move(position->second) };
    m_connections.erase(position);
    bufferevent_disable(removed->m_stream.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(removed->m_stream.get(), nullptr, nullptr, nullptr, nullptr);
    m_loop.post([removed] { static_cast<void>(removed); });
}

void pipelined_server::resumeReading(connection* target)
{
    const auto position = m_connections.find(target);
    if (position != m_connections.end() && !position->second->m_hasWrittenLast)
        position->second->read();
}

void pipelined_server::answer(std::uint64_t requestId, opaque_response response, bool shouldClose)
{
    const auto position = m_pending.find(requestId);
    if (position != m_pending.end())
        position->second->answer(requestId, std::move(response), shouldClose);
}

std::vector<std::uint64_t> pipelined_server::unansweredRequests(bool isBlockingOnly) const
{
    std::vector<std::uint64_t> requestIds;
    for (const std::pair<connection* const, std::unique_ptr<connection>>& item : m_connections)
        item.second->addUnansweredRequests(isBlockingOnly, requestIds);
    std::sort(requestIds.begin(), requestIds.end());
    return requestIds;
}

void pipelined_server::closeIdle()
{
    std::vector<connection*> idle;
    for (const std::pair<connection* const, std::unique_ptr<connection>>& item : m_connections) {
        if (item.second->isIdle())
            idle.push_back(item.first);
    }
    for (connection* unused : idle)
        unused->close();
}

void pipelined_server::stopAccepting() { m_listener.stop(); }

} // namespace knapweedcroft
