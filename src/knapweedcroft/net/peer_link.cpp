#include "knapweedcroft/net/peer_link.hpp"

#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"
#include "knapweedcroft/wire/codec.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::string_view regularLinkPath = "/knapweed/v1/link";
static constexpr std::string_view replacementLinkPath = "/knapweed/v1/replacement";

// Links to peers that read too slowly are aborted at this size, so that the output buffer cannot grow without bound.
static constexpr std::size_t maxUnwrittenBytes = 4 * maxFrameBytes;

/**
 * @brief Generates the masking keys of frames, which keep intermediaries from misinterpreting payloads; seeded once
 * from the system.
 */
class masking_key_generator {
public:
    uint32_t operator()() { return m_random(); }

private:
    std::mt19937 m_random { std::random_device {}() };
};

/** @brief websocketpp configuration: single-threaded, no logging, no compression, limited message size. */
struct link_config : websocketpp::config::core_client {
    using type = link_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = masking_key_generator;
    static bool const enable_multithreading = false;
    static const size_t max_message_size = maxFrameBytes;

    struct transport_config : websocketpp::config::core_client::transport_config {
        using concurrency_type = link_config::concurrency_type;
        using elog_type = link_config::elog_type;
        using alog_type = link_config::alog_type;
        using request_type = link_config::request_type;
        using response_type = link_config::response_type;
        static bool const enable_multithreading = false;
    };

    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

using link_connection = websocketpp::connection<link_config>;

struct bufferevent_deleter {
    void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
};

} // namespace internal

class peer_link::stream {
public:
    stream(event_loop& loop, std::unique_ptr<bufferevent, internal::bufferevent_deleter> bufferEvent,
        internal::link_connection::ptr connection, peer_link_handlers handlers)
        : m_loop { loop }
        , m_handlers { std::move(handlers) }
        , m_connection { std::move(connection) }
        , m_isAlive { std::make_shared<bool>(true) }
        , m_bufferEvent { std::move(bufferEvent) }
        , m_closeTimer { loop, [this] { abort("the peer did not complete the close handshake in time"); } }
    {
        bindConnection();
        bufferevent_setcb(m_bufferEvent.get(), &stream::onRead, &stream::onWritten, &stream::onEvent, this);
        evbuffer_add_cb(bufferevent_get_output(m_bufferEvent.get()), &stream::onOutput, this);
    }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    ~stream()
    {
        *m_isAlive = false;
        m_isEnded = true;
        evbuffer_remove_cb(bufferevent_get_output(m_bufferEvent.get()), &stream::onOutput, this);
        // A pending read of websocketpp keeps a reference to its connection; the end of input releases it.
        m_connection->eof();
    }

    [[nodiscard]] bufferevent* bufferEvent() const noexcept { return m_bufferEvent.get(); }
    [[nodiscard]] link_purpose purpose() const noexcept { return m_purpose; }
    void setPurpose(link_purpose purpose) noexcept { m_purpose = purpose; }

    void startServer()
    {
        bufferevent_enable(m_bufferEvent.get(), EV_READ);
        m_connection->start();
    }

    void send(std::string_view frame, std::optional<call_id> call)
    {
        if (!m_isOpen || m_isEnded || m_isCloseRequested)
            return;
        if (call)
            m_unwrittenCalls.push_back(queued_call { *call, m_appendedBytes });
        const websocketpp::lib::error_code fault
            = m_connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
        if (fault)
            abort("sending failed: " + fault.message());
        else if (unwrittenBytes() > internal::maxUnwrittenBytes)
            abort("the peer reads too slowly; the output buffer is full");
    }

    [[nodiscard]] std::vector<call_id> unwrittenCalls() const
    {
        std::vector<call_id> calls;
        for (const queued_call& item : m_unwrittenCalls) {
            if (item.offset >= m_writtenBytes)
                calls.push_back(item.id);
        }
        return calls;
    }

    [[nodiscard]] std::size_t unwrittenBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(m_bufferEvent.get()));
    }

    void close()
    {
        constexpr milliseconds closeTimeout { 1000 };
        if (m_isEnded || m_isCloseRequested)
            return;
        m_isCloseRequested = true;
        if (!m_isOpen) {
            abort("closed before the handshake was complete");
            return;
        }
        m_closeTimer.start(closeTimeout);
        websocketpp::lib::error_code fault;
        m_connection->close(websocketpp::close::status::normal, "", fault);
        if (fault)
            abort("closing failed: " + fault.message());
    }

    void abort(std::string_view reason)
    {
        if (m_isEnded)
            return;
        // Discards the buffered output, so that a call that is reported as unwritten is never written later.
        bufferevent_disable(m_bufferEvent.get(), EV_READ | EV_WRITE);
        end(reason);
    }

private:
    struct queued_call {
        call_id id;
        std::uint64_t offset; // Bytes appended before the frame.
    };

    void bindConnection()
    {
        using websocketpp::connection_hdl;
        using websocketpp::lib::error_code;
        m_connection->set_write_handler([this](const connection_hdl&, const char* data, std::size_t size) {
            append(data, size);
            return error_code {};
        });
        m_connection->set_vector_write_handler(
            [this](const connection_hdl&, const std::vector<websocketpp::transport::buffer>& parts) {
                for (const websocketpp::transport::buffer& part : parts)
                    append(part.buf, part.len);
                return error_code {};
            });
        m_connection->set_shutdown_handler([this](const connection_hdl&) {
            closeAfterWrite();
            return error_code {};
        });
        m_connection->set_open_handler([this](const connection_hdl&) { open(); });
        m_connection->set_fail_handler([this](const connection_hdl&) { closeAfterWrite(); });
        m_connection->set_message_handler(
            [this](const connection_hdl&, const internal::link_connection::message_ptr& message) {
                if (!m_isEnded)
                    m_handlers.received(message->get_payload());
            });
        m_connection->set_validate_handler([this](const connection_hdl&) { return validate(); });
    }

    [[nodiscard]] bool validate()
    {
        const std::string& path = m_connection->get_resource();
        if (path == internal::replacementLinkPath)
            m_purpose = link_purpose::replacement;
        return path == internal::regularLinkPath || path == internal::replacementLinkPath;
    }

    void open()
    {
        m_isOpen = true;
        m_handlers.opened();
    }

    void append(const char* data, std::size_t size)
    {
        if (m_isEnded)
            return;
        m_appendedBytes += size;
        bufferevent_write(m_bufferEvent.get(), data, size);
        scheduleFlush();
    }

    // Writes everything appended in the current loop iteration together, without waiting for the next iteration.
    void scheduleFlush()
    {
        if (m_isFlushPosted)
            return;
        m_isFlushPosted = true;
        m_loop.post([this, isAlive = m_isAlive] {
            if (*isAlive)
                flush();
        });
    }

    void flush()
    {
        m_isFlushPosted = false;
        if (m_isEnded)
            return;
        if (!internal::writeNow(m_bufferEvent.get()))
            bufferevent_enable(m_bufferEvent.get(), EV_WRITE);
        else
            onAllWritten();
    }

    void onAllWritten()
    {
        if (m_shouldCloseAfterWrite)
            end("closed");
        else if (m_handlers.written)
            m_handlers.written();
    }

    void closeAfterWrite()
    {
        if (m_isEnded || m_shouldCloseAfterWrite)
            return;
        m_shouldCloseAfterWrite = true;
        if (unwrittenBytes() == 0)
            end("closed");
    }

    void end(std::string_view reason)
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_closeTimer.stop();
        const bool isClean = m_connection->get_remote_close_code() == websocketpp::close::status::normal;
        m_loop.post([this, isAlive = m_isAlive, outcome = link_end { isClean, std::string { reason } }] {
            if (*isAlive)
                m_handlers.closed(outcome);
        });
    }

    void read()
    {
        evbuffer* input = bufferevent_get_input(m_bufferEvent.get());
        while (!m_isEnded) {
            evbuffer_iovec part {};
            if (evbuffer_peek(input, -1, nullptr, &part, 1) < 1 || part.iov_len == 0)
                return;
            const std::size_t used = m_connection->read_all(static_cast<const char*>(part.iov_base), part.iov_len);
            evbuffer_drain(input, part.iov_len);
            if (used < part.iov_len) {
                closeAfterWrite();
                return;
            }
        }
    }

    void onConnected()
    {
        setNoDelay(bufferevent_getfd(m_bufferEvent.get()));
        m_connection->start();
    }

    static void onRead(bufferevent*, void* argument)
    {
        stream& self = *static_cast<stream*>(argument);
        self.abortOnException([&self] { self.read(); });
    }

    static void onWritten(bufferevent*, void* argument)
    {
        stream& self = *static_cast<stream*>(argument);
        if (self.unwrittenBytes() > 0)
            return;
        bufferevent_disable(self.m_bufferEvent.get(), EV_WRITE);
        if (!self.m_isEnded)
            self.onAllWritten();
    }

    static void onEvent(bufferevent*, short what, void* argument)
    {
        stream& self = *static_cast<stream*>(argument);
        self.abortOnException([&self, what] {
            if ((what & BEV_EVENT_CONNECTED) != 0)
                self.onConnected();
            else if ((what & BEV_EVENT_EOF) != 0)
                self.end("the peer closed the connection");
            else
                self.end("the connection failed");
        });
    }

    static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* argument)
    {
        stream& self = *static_cast<stream*>(argument);
        self.m_writtenBytes += info->n_deleted;
        while (!self.m_unwrittenCalls.empty() && self.m_unwrittenCalls.front().offset < self.m_writtenBytes)
            self.m_unwrittenCalls.pop_front();
    }

    // websocketpp throws on some invalid input; the link is then aborted.
    template <typename Task> void abortOnException(Task&& task)
    {
        try {
            task();
        } catch (const std::exception& fault) {
            abort(fault.what());
        }
    }

    event_loop& m_loop;
    peer_link_handlers m_handlers;
    internal::link_connection::ptr m_connection;
    std::shared_ptr<bool> m_isAlive;
    std::unique_ptr<bufferevent, internal::bufferevent_deleter> m_bufferEvent;
    loop_timer m_closeTimer;
    std::deque<queued_call> m_unwrittenCalls;
    std::uint64_t m_appendedBytes = 0;
    std::uint64_t m_writtenBytes = 0;
    link_purpose m_purpose = link_purpose::regular;
    bool m_isOpen = false;
    bool m_isCloseRequested = false;
    bool m_shouldCloseAfterWrite = false;
    bool m_isFlushPosted = false;
    bool m_isEnded = false;
};

namespace internal {

using link_server = websocketpp::server<link_config>;
using link_client = websocketpp::client<link_config>;
using bufferevent_owner = std::unique_ptr<bufferevent, bufferevent_deleter>;

// The endpoints are stateless factories of connections, so the process needs only one of each.
[[nodiscard]] static link_server& serverEndpoint()
{
    static link_server endpoint;
    return endpoint;
}

[[nodiscard]] static link_client& clientEndpoint()
{
    static link_client endpoint;
    return endpoint;
}

} // namespace internal

peer_link::peer_link(std::unique_ptr<stream> connected)
    : m_stream { std::move(connected) }
{
}

peer_link::~peer_link() = default;

result<std::unique_ptr<peer_link>> peer_link::connect(
    event_loop& loop, const std::string& address, link_purpose purpose, peer_link_handlers handlers)
{
    const error fault { error_kind::connection_failed, "cannot open a link to " + address + "; check the address" };
    sockaddr_storage target {};
    int size = sizeof(target);
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&target), &size) != 0)
        return error { error_kind::invalid_value, "\"" + address + "\" is not an address; write it as IP:PORT" };
    const std::string_view path
        = purpose == link_purpose::replacement ? internal::replacementLinkPath : internal::regularLinkPath;
    websocketpp::lib::error_code failure;
    internal::link_connection::ptr connection
        = internal::clientEndpoint().get_connection("ws://" + address + std::string { path }, failure);
    if (failure || !connection)
        return fault;
    internal::bufferevent_owner bufferEvent { bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE) };
    if (!bufferEvent)
        return fault;
    std::unique_ptr<stream> created
        = std::make_unique<stream>(loop, std::move(bufferEvent), connection, std::move(handlers));
    created->setPurpose(purpose);
    bufferevent_enable(created->bufferEvent(), EV_READ);
    if (bufferevent_socket_connect(created->bufferEvent(), reinterpret_cast<sockaddr*>(&target), size) != 0)
        return fault;
    return std::unique_ptr<peer_link> { new peer_link { std::move(created) } };
}

result<std::unique_ptr<peer_link>> peer_link::accept(
    event_loop& loop, evutil_socket_t socket, peer_link_handlers handlers)
{
    const error fault { error_kind::connection_failed, "cannot accept a link; check the limit on open files" };
    internal::bufferevent_owner bufferEvent { bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE) };
    if (!bufferEvent) {
        evutil_closesocket(socket);
        return fault;
    }
    internal::link_connection::ptr connection = internal::serverEndpoint().get_connection();
    if (!connection)
        return fault;
    std::unique_ptr<stream> created
        = std::make_unique<stream>(loop, std::move(bufferEvent), connection, std::move(handlers));
    created->startServer();
    return std::unique_ptr<peer_link> { new peer_link { std::move(created) } };
}

void peer_link::send(std::string_view frame, std::optional<call_id> call) { m_stream->send(frame, call); }

std::vector<call_id> peer_link::unwrittenCalls() const { return m_stream->unwrittenCalls(); }

std::size_t peer_link::unwrittenBytes() const { return m_stream->unwrittenBytes(); }

void peer_link::close() { m_stream->close(); }

void peer_link::abort(std::string_view reason) { m_stream->abort(reason); }

link_purpose peer_link::purpose() const noexcept { return m_stream->purpose(); }

} // namespace knapweedcroft
