#include "knapweedcroft/http/exchange_client.hpp"

#include "knapweedcroft/http/internal/bufferevent_ptr.hpp"
#include "knapweedcroft/http/internal/message_writer.hpp"
#include "knapweedcroft/http/response_parser.hpp"
#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace knapweedcroft {

namespace internal {

// A server may answer an earlier request late; one that keeps sending such responses has no answer to come.
static constexpr std::size_t maxMismatchedResponses = 8;
// Responses with smaller bodies are read even while reading is paused.
static constexpr std::size_t minPausedBytes = std::size_t { 256 } * 1024;

} // namespace internal

class exchange_client::connection {
public:
    connection(exchange_client& client, std::string address)
        : m_client { client }
        , m_address { std::move(address) }
        , m_stream { bufferevent_socket_new(client.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE) }
        , m_timer { client.m_loop, [this] { onTimeout(); } }
    {
        ++m_client.m_counters.openedConnections;
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() = default;

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    [[nodiscard]] std::uint64_t exchangeId() const noexcept { return m_exchangeId; }
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return m_bufferedBytes; }
    [[nodiscard]] completion_handler takeCompletionHandler() { return std::move(m_onDone); }

    void begin(
        std::uint64_t exchangeId, opaque_request request, response_classifier classify, completion_handler onDone)
    {
        m_exchangeId = exchangeId;
        m_classify = std::move(classify);
        m_onDone = std::move(onDone);
        m_isHead = request.method == "HEAD";
        m_mismatchedResponses = 0;
        m_parser = std::make_unique<response_parser>(m_client.m_settings.limits, m_isHead);
        m_timer.stop();
        m_hasWritten = false;
        if (m_isConnected)
            send(std::move(request));
        else
            connectAndSend(std::move(request));
    }

    void failOversized(std::string message)
    {
        ++m_client.m_counters.oversizedResponses;
        fail(error_kind::connection_failed, std::move(message));
    }

    void disconnect()
    {
        m_isClosed = true;
        setBufferedBytes(0);
        m_timer.stop();
        if (!m_stream)
            return;
        bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
        bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
        const evutil_socket_t socket = bufferevent_getfd(m_stream.get());
        if (socket >= 0)
            shutdown(socket, SHUT_RDWR);
    }

    void resumeReading()
    {
        if (!m_isClosed)
            bufferevent_enable(m_stream.get(), EV_READ);
    }

    void becomeIdle()
    {
        m_exchangeId = 0;
        m_classify = nullptr;
        m_timer.start(m_idleTimeout);
    }

private:
    void connectAndSend(opaque_request request)
    {
        sockaddr_storage target {};
        int size = sizeof(target);
        if (!m_stream
            || evutil_parse_sockaddr_port(m_address.c_str(), reinterpret_cast<sockaddr*>(&target), &size) != 0) {
            failDeferred(error_kind::invalid_value, "\"" + m_address + "\" is not a valid address; use IP:PORT");
            return;
        }
        bufferevent_setcb(m_stream.get(), &connection::onRead, &connection::onWritten, &connection::onEvent, this);
        write(std::move(request));
        bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
        m_timer.start(m_client.m_settings.connectTimeout);
        if (bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&target), size) != 0 && !m_isClosed)
            failDeferred(error_kind::connection_failed,
                "cannot connect to " + m_address + "; check that the server is listening");
    }

    void send(opaque_request request)
    {
        m_hasWritten = true;
        write(std::move(request));
        bufferevent_enable(m_stream.get(), EV_WRITE);
        internal::writeNowAndNotify(m_stream.get());
    }

    void write(opaque_request request)
    {
        std::string head = serializeHead(request); // Depends on the size of the body, so it comes before the move.
        internal::writeMessage(m_stream.get(), std::move(head), std::move(request.body));
    }

    void failDeferred(error_kind kind, std::string message)
    {
        m_isClosed = true;
        m_client.m_loop.post([&client = m_client, isAlive = m_client.m_isAlive, exchangeId = m_exchangeId,
                                 cause = error { kind, std::move(message) }] {
            if (!*isAlive)
                return;
            const auto position = client.m_active.find(exchangeId);
            if (position != client.m_active.end())
                client.finish(*position->second, exchange_failure { false, cause }, false);
        });
    }

    void fail(error_kind kind, std::string message)
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        if (m_exchangeId == 0)
            m_client.removeIdle(*this);
        else
            m_client.finish(*this, exchange_failure { m_hasWritten, error { kind, std::move(message) } }, false);
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(m_stream.get());
        while (!m_isClosed) {
            const std::size_t length = evbuffer_get_length(input);
            if (length == 0)
                return;
            if (m_exchangeId == 0) {
                ++m_client.m_counters.unsolicitedData;
                fail(error_kind::connection_failed, "received data outside a response");
                return;
            }
            const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            const std::size_t consumed = m_parser->put({ bytes, length });
            evbuffer_drain(input, consumed);
            if (m_parser->isTooLarge()) {
                failOversized(m_parser->fault()->message);
                return;
            }
            if (m_parser->fault()) {
                fail(error_kind::connection_failed, m_parser->fault()->message);
                return;
            }
            if (m_parser->isDone()) {
                complete();
                continue;
            }
            setBufferedBytes(m_parser->bodySize());
            m_client.enforceBufferLimit();
            if (!m_isClosed && m_client.shouldPause(*this)) {
                m_client.m_hasPausedExchanges = true;
                bufferevent_disable(m_stream.get(), EV_READ);
            }
            if (consumed == 0)
                return;
        }
    }

    void setBufferedBytes(std::size_t bytes)
    {
        m_client.m_bufferedBytes = m_client.m_bufferedBytes - m_bufferedBytes + bytes;
        m_bufferedBytes = bytes;
    }

    void complete()
    {
        const bool isKeepAlive = m_parser->isKeepAlive();
        const std::optional<int> seconds = m_parser->keepAliveSeconds();
        opaque_response response = m_parser->take();
        setBufferedBytes(0);
        const response_relation relation = m_classify(response);
        const bool isFirst = !std::exchange(m_hasReceived, true);
        const bool isIdentified = relation != response_relation::unidentified;
        m_isInSequence = m_isInSequence && isIdentified;
        if (relation == response_relation::foreign || (!isIdentified && !isFirst)) {
            ++m_client.m_counters.mismatchedResponses;
            if (++m_mismatchedResponses > internal::maxMismatchedResponses) {
                failOversized("the server keeps sending responses to other requests");
                return;
            }
            if (!isKeepAlive) {
                fail(error_kind::connection_failed, "connection closed after a response to a different request");
                return;
            }
            m_parser = std::make_unique<response_parser>(m_client.m_settings.limits, m_isHead);
            return;
        }
        constexpr std::int64_t msPerSecond = 1000;
        m_idleTimeout = m_client.m_settings.idleTimeout;
        if (seconds) {
            const milliseconds advertised { *seconds * msPerSecond };
            m_idleTimeout = std::min(m_idleTimeout, advertised - m_client.m_settings.idleTimeoutMargin);
        }
        const bool isClean = evbuffer_get_length(bufferevent_get_input(m_stream.get())) == 0
            && evbuffer_get_length(bufferevent_get_output(m_stream.get())) == 0;
        if (!isClean)
            ++m_client.m_counters.unsolicitedData;
        const bool isReusable = isKeepAlive && isClean && m_isInSequence && milliseconds {} < m_idleTimeout;
        m_isClosed = !isReusable;
        m_client.finish(*this, std::move(response), isReusable);
    }

    void onEof()
    {
        if (m_exchangeId == 0 || m_isClosed) {
            fail(error_kind::connection_failed, "idle connection closed by the server");
            return;
        }
        read();
        if (m_isClosed || m_exchangeId == 0)
            return;
        m_parser->putEof();
        if (m_parser->isDone() && !m_parser->fault())
            complete();
        else
            fail(error_kind::connection_failed, "server closed the connection before the response was complete");
    }

    void onTimeout()
    {
        fail(error_kind::timed_out, m_exchangeId == 0 ? "idle" : "connecting to " + m_address + " timed out");
    }

    static void onRead(bufferevent*, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        self.m_client.m_loop.guard([&self] { self.read(); });
    }

    static void onWritten(bufferevent* stream, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        if (evbuffer_get_length(bufferevent_get_output(stream)) == 0)
            bufferevent_disable(self.m_stream.get(), EV_WRITE);
    }

    static void onEvent(bufferevent*, short events, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        self.m_client.m_loop.guard([&self, events] {
            if ((events & BEV_EVENT_CONNECTED) != 0)
                self.onConnected();
            else if ((events & BEV_EVENT_EOF) != 0)
                self.onEof();
            else
                self.fail(error_kind::connection_failed, "connection failed or was reset");
        });
    }

    void onConnected()
    {
        setNoDelay(bufferevent_getfd(m_stream.get()));
        m_isConnected = true;
        m_hasWritten = true;
        m_timer.stop();
    }

    exchange_client& m_client;
    std::string m_address;
    internal::bufferevent_ptr m_stream;
    loop_timer m_timer;
    std::unique_ptr<response_parser> m_parser;
    response_classifier m_classify;
    completion_handler m_onDone;
    milliseconds m_idleTimeout;
    std::uint64_t m_exchangeId = 0;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_mismatchedResponses = 0;
    bool m_isHead = false;
    bool m_isConnected = false;
    bool m_hasWritten = false;
    bool m_isClosed = false;
    bool m_hasReceived = false; // A response, to any request.
    bool m_isInSequence = true; // Each response so far has named a request.
};

exchange_client::exchange_client(event_loop& loop, const exchange_client_settings& settings)
    : m_loop { loop }
    , m_settings { settings }
    , m_isAlive { std::make_shared<bool>(true) }
{
}

exchange_client::~exchange_client() { *m_isAlive = false; }

std::unique_ptr<exchange_client::connection> exchange_client::acquireIdle(const std::string& address)
{
    const auto position = m_idle.find(address);
    if (position == m_idle.end() || position->second.empty())
        return nullptr;
    // The most recently used connection is the least likely to have been closed by the server.
    std::unique_ptr<connection> taken = std::move(position->second.back());
    position->second.pop_back();
    return taken;
}

std::uint64_t exchange_client::start(
    const std::string& address, opaque_request request, response_classifier classify, completion_handler onDone)
{
    std::unique_ptr<connection> selected = acquireIdle(address);
    if (!selected)
        selected = std::make_unique<connection>(*this, address);
    connection& target = *selected;
    const std::uint64_t exchangeId = ++m_lastExchangeId;
    m_active.emplace(exchangeId, std::move(selected));
    target.begin(exchangeId, std::move(request), std::move(classify), std::move(onDone));
    return exchangeId;
}

void exchange_client::cancel(std::uint64_t exchangeId)
{
    const auto position = m_active.find(exchangeId);
    if (position == m_active.end())
        return;
    std::unique_ptr<connection> ended = std::move(position->second);
    m_active.erase(position);
    closeAndRelease(std::move(ended));
    resumeReading();
}

void exchange_client::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    resumeReading();
}

void exchange_client::resumeReading()
{
    if (m_isPaused || !std::exchange(m_hasPausedExchanges, false))
        return;
    for (const std::pair<const std::uint64_t, std::unique_ptr<connection>>& item : m_active) {
        // An exchange that may not go on yet would read some bytes at each resumption until the limit is exceeded.
        if (shouldPause(*item.second))
            m_hasPausedExchanges = true;
        else
            item.second->resumeReading();
    }
}

bool exchange_client::shouldPause(const connection& target)
{
    if (target.bufferedBytes() <= internal::minPausedBytes)
        return false;
    if (m_isPaused)
        return true;
    if (m_bufferedBytes <= m_settings.maxBufferedBytes / 2)
        return false;
    // It goes on until it ends: if the largest one always did, responses of the same length would pass each other and
    // exceed the limit together.
    if (m_active.count(m_preferredExchange) == 0)
        m_preferredExchange = largest().exchangeId();
    return target.exchangeId() != m_preferredExchange;
}

void exchange_client::finish(connection& ended, exchange_outcome outcome, bool isReusable)
{
    const auto position = m_active.find(ended.exchangeId());
    if (position == m_active.end())
        return;
    std::unique_ptr<connection> owned = std::move(position->second);
    m_active.erase(position);
    const completion_handler onDone = owned->takeCompletionHandler();
    if (isReusable) {
        owned->becomeIdle();
        const std::string address = owned->address();
        m_idle[address].push_back(std::move(owned));
    } else {
        closeAndRelease(std::move(owned));
    }
    resumeReading();
    onDone(std::move(outcome));
}

void exchange_client::enforceBufferLimit()
{
    if (m_bufferedBytes <= m_settings.maxBufferedBytes)
        return;
    largest().failOversized("the responses in progress exceed " + std::to_string(m_settings.maxBufferedBytes)
        + " bytes, most of them of this one");
}

exchange_client::connection& exchange_client::largest()
{
    using item_type = std::pair<const std::uint64_t, std::unique_ptr<connection>>;
    const auto position
        = std::max_element(m_active.begin(), m_active.end(), [](const item_type& lhs, const item_type& rhs) {
              return lhs.second->bufferedBytes() < rhs.second->bufferedBytes();
          });
    return *position->second;
}

void exchange_client::removeIdle(connection& ended)
{
    connection_list& idle = m_idle[ended.address()];
    const auto position = std::find_if(
        idle.begin(), idle.end(), [&ended](const std::unique_ptr<connection>& item) { return item.get() == &ended; });
    if (position == idle.end())
        return;
    std::unique_ptr<connection> owned = std::move(*position);
    idle.erase(position);
    closeAndRelease(std::move(owned));
}

void exchange_client::closeAndRelease(std::unique_ptr<connection> unused)
{
    // The socket is shut down at once so that the server notices. A method of the connection may still be on the call
    // stack, so the object is destroyed in a later loop iteration.
    unused->disconnect();
    std::shared_ptr<connection> kept { std::move(unused) };
    m_loop.post([kept] { static_cast<void>(kept); });
}

} // namespace knapweedcroft
