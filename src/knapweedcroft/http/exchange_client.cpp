#include "knapweedcroft/http/exchange_client.hpp"

#include "knapweedcroft/http/internal/bufferevent_owner.hpp"
#include "knapweedcroft/http/response_parser.hpp"
#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace knapweedcroft {

class exchange_client::connection {
public:
    connection(exchange_client& client, std::string address)
        : m_client { client }
        , m_address { std::move(address) }
        , m_stream { bufferevent_socket_new(client.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE) }
        , m_timer { client.m_loop, [this] { onTimeout(); } }
    {
        ++m_client.m_counters.opened;
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() = default;

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    [[nodiscard]] std::uint64_t exchange() const noexcept { return m_exchange; }
    [[nodiscard]] completion takeCompletion() { return std::move(m_done); }

    void begin(std::uint64_t exchange, const opaque_request& request, matcher isAnswer, completion done)
    {
        m_exchange = exchange;
        m_isAnswer = std::move(isAnswer);
        m_done = std::move(done);
        m_isHead = request.method == "HEAD";
        m_parser = std::make_unique<response_parser>(m_client.m_settings.limits, m_isHead);
        m_timer.stop();
        const std::string text = serialize(request);
        m_hasWritten = false;
        if (m_isConnected)
            send(text);
        else
            connectAndSend(text);
    }

    void disconnect()
    {
        m_isEnded = true;
        m_timer.stop();
        if (!m_stream)
            return;
        bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
        bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
        const evutil_socket_t socket = bufferevent_getfd(m_stream.get());
        if (socket >= 0)
            shutdown(socket, SHUT_RDWR);
    }

    void becomeIdle()
    {
        m_exchange = 0;
        m_isAnswer = nullptr;
        m_timer.start(m_idleTime);
    }

private:
    void connectAndSend(const std::string& text)
    {
        sockaddr_storage target {};
        int size = sizeof(target);
        if (!m_stream
            || evutil_parse_sockaddr_port(m_address.c_str(), reinterpret_cast<sockaddr*>(&target), &size) != 0) {
            failLater(error_kind::invalid_value, "\"" + m_address + "\" is not an address; write it as IP:PORT");
            return;
        }
        bufferevent_setcb(m_stream.get(), &connection::onRead, &connection::onWritten, &connection::onEvent, this);
        bufferevent_write(m_stream.get(), text.data(), text.size());
        bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
        m_timer.start(m_client.m_settings.connectTime);
        if (bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&target), size) != 0 && !m_isEnded)
            failLater(error_kind::connection_failed, "cannot connect to " + m_address + "; check that it listens");
    }

    void send(const std::string& text)
    {
        m_hasWritten = true;
        bufferevent_write(m_stream.get(), text.data(), text.size());
        bufferevent_enable(m_stream.get(), EV_WRITE);
        internal::writeNowAndNotify(m_stream.get());
    }

    void failLater(error_kind kind, std::string message)
    {
        m_isEnded = true;
        m_client.m_loop.post([&client = m_client, isAlive = m_client.m_isAlive, exchange = m_exchange,
                                 cause = error { kind, std::move(message) }] {
            if (!*isAlive)
                return;
            const auto position = client.m_active.find(exchange);
            if (position != client.m_active.end())
                client.finish(*position->second, exchange_failure { false, cause }, false);
        });
    }

    void fail(error_kind kind, std::string message)
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        if (m_exchange == 0)
            m_client.dropIdle(*this);
        else
            m_client.finish(*this, exchange_failure { m_hasWritten, error { kind, std::move(message) } }, false);
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(m_stream.get());
        while (!m_isEnded) {
            const std::size_t length = evbuffer_get_length(input);
            if (length == 0)
                return;
            if (m_exchange == 0) {
                ++m_client.m_counters.surplus;
                fail(error_kind::connection_failed, "bytes that belong to no request");
                return;
            }
            const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            const std::size_t used = m_parser->put({ bytes, length });
            evbuffer_drain(input, used);
            if (m_parser->fault()) {
                fail(error_kind::connection_failed, m_parser->fault()->message);
                return;
            }
            if (m_parser->isDone())
                complete();
            else if (used == 0)
                return;
        }
    }

    void complete()
    {
        const bool isKeepAlive = m_parser->isKeepAlive();
        const std::optional<int> seconds = m_parser->keepAliveSeconds();
        opaque_response response = m_parser->take();
        if (!m_isAnswer(response)) {
            ++m_client.m_counters.foreign;
            if (!isKeepAlive) {
                fail(error_kind::connection_failed, "the connection ended after a response to another request");
                return;
            }
            m_parser = std::make_unique<response_parser>(m_client.m_settings.limits, m_isHead);
            return;
        }
        constexpr std::int64_t millisecondsPerSecond = 1000;
        m_idleTime = m_client.m_settings.idleTime;
        if (seconds) {
            const milliseconds stated { *seconds * millisecondsPerSecond };
            m_idleTime = std::min(m_idleTime, stated - m_client.m_settings.idleMargin);
        }
        const bool isClean = evbuffer_get_length(bufferevent_get_input(m_stream.get())) == 0
            && evbuffer_get_length(bufferevent_get_output(m_stream.get())) == 0;
        if (!isClean)
            ++m_client.m_counters.surplus;
        const bool isReusable = isKeepAlive && isClean && milliseconds {} < m_idleTime;
        m_isEnded = !isReusable;
        m_client.finish(*this, std::move(response), isReusable);
    }

    void onEof()
    {
        if (m_exchange == 0 || m_isEnded) {
            fail(error_kind::connection_failed, "closed while idle");
            return;
        }
        read();
        if (m_isEnded || m_exchange == 0)
            return;
        m_parser->putEof();
        if (m_parser->isDone() && !m_parser->fault())
            complete();
        else
            fail(error_kind::connection_failed, "the server closed the connection before the whole response");
    }

    void onTimeout()
    {
        fail(error_kind::timed_out, m_exchange == 0 ? "idle" : "no connection to " + m_address + " in time");
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

    static void onEvent(bufferevent*, short what, void* argument)
    {
        connection& self = *static_cast<connection*>(argument);
        self.m_client.m_loop.guard([&self, what] {
            if ((what & BEV_EVENT_CONNECTED) != 0)
                self.onConnected();
            else if ((what & BEV_EVENT_EOF) != 0)
                self.onEof();
            else
                self.fail(error_kind::connection_failed, "the connection was reset");
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
    internal::stream_owner m_stream;
    loop_timer m_timer;
    std::unique_ptr<response_parser> m_parser;
    matcher m_isAnswer;
    completion m_done;
    milliseconds m_idleTime;
    std::uint64_t m_exchange = 0;
    bool m_isHead = false;
    bool m_isConnected = false;
    bool m_hasWritten = false;
    bool m_isEnded = false;
};

exchange_client::exchange_client(event_loop& loop, const exchange_client_settings& settings)
    : m_loop { loop }
    , m_settings { settings }
    , m_isAlive { std::make_shared<bool>(true) }
{
}

exchange_client::~exchange_client() { *m_isAlive = false; }

std::unique_ptr<exchange_client::connection> exchange_client::takeIdle(const std::string& address)
{
    const auto position = m_idle.find(address);
    if (position == m_idle.end() || position->second.empty())
        return nullptr;
    // The connection used last is the least likely to be closed by the server meanwhile.
    std::unique_ptr<connection> taken = std::move(position->second.back());
    position->second.pop_back();
    return taken;
}

std::uint64_t exchange_client::start(
    const std::string& address, const opaque_request& request, matcher isAnswer, completion done)
{
    std::unique_ptr<connection> used = takeIdle(address);
    if (!used)
        used = std::make_unique<connection>(*this, address);
    connection& target = *used;
    const std::uint64_t exchange = ++m_lastExchange;
    m_active.emplace(exchange, std::move(used));
    target.begin(exchange, request, std::move(isAnswer), std::move(done));
    return exchange;
}

void exchange_client::cancel(std::uint64_t exchange)
{
    const auto position = m_active.find(exchange);
    if (position == m_active.end())
        return;
    std::unique_ptr<connection> ended = std::move(position->second);
    m_active.erase(position);
    dispose(std::move(ended));
}

void exchange_client::finish(connection& ended, exchange_outcome outcome, bool isReusable)
{
    const auto position = m_active.find(ended.exchange());
    if (position == m_active.end())
        return;
    std::unique_ptr<connection> owned = std::move(position->second);
    m_active.erase(position);
    const completion done = owned->takeCompletion();
    if (isReusable) {
        owned->becomeIdle();
        const std::string address = owned->address();
        m_idle[address].push_back(std::move(owned));
    } else {
        dispose(std::move(owned));
    }
    done(std::move(outcome));
}

void exchange_client::dropIdle(connection& ended)
{
    connection_list& idle = m_idle[ended.address()];
    const auto position = std::find_if(
        idle.begin(), idle.end(), [&ended](const std::unique_ptr<connection>& item) { return item.get() == &ended; });
    if (position == idle.end())
        return;
    std::unique_ptr<connection> owned = std::move(*position);
    idle.erase(position);
    dispose(std::move(owned));
}

void exchange_client::dispose(std::unique_ptr<connection> unused)
{
    // The connection may be further up the stack; its socket is closed at once, so that the server notices.
    unused->disconnect();
    std::shared_ptr<connection> kept { std::move(unused) };
    m_loop.post([kept] { static_cast<void>(kept); });
}

} // namespace knapweedcroft
