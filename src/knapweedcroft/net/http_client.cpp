#include "knapweedcroft/net/http_client.hpp"

#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static evhttp_cmd_type toCommand(http_method method) noexcept
{
    switch (method) {
    case http_method::get:
        return EVHTTP_REQ_GET;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::remove:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

// Returns whether the response is known to be complete. If only the close of the connection marks the end of the body,
// truncation cannot be detected, so such a response counts as incomplete.
[[nodiscard]] static bool isComplete(const http_response& response)
{
    if (response.status == 204 || response.status == 304)
        return true;
    const std::optional<std::string> coding = findHeader(response.headers, "Transfer-Encoding");
    if (coding && evutil_ascii_strcasecmp(coding->c_str(), "chunked") == 0)
        return true;
    const std::optional<std::string> length = findHeader(response.headers, "Content-Length");
    std::size_t bytes = 0;
    if (!length)
        return false;
    const std::from_chars_result read = std::from_chars(length->data(), length->data() + length->size(), bytes);
    return read.ec == std::errc {} && bytes == response.body.size();
}

[[nodiscard]] static http_response readResponse(evhttp_request* request)
{
    http_response response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next)
        response.headers.emplace_back(header->key, header->value);
    response.contentType = findHeader(response.headers, "Content-Type").value_or("");
    evbuffer* body = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, response.body.data(), response.body.size());
    return response;
}

} // namespace internal

struct http_client::connection {
    connection(http_client& client, std::string target, evhttp_connection* connected)
        : owner { client }
        , address { std::move(target) }
        , raw { connected }
        , timer { client.m_loop, [this] {
                     owner.fail(id, error { error_kind::timed_out, "no complete answer from " + address + " in time" });
                 } }
    {
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(raw)), &http_client::onOutput, this);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection()
    {
        evbuffer_remove_cb(
            bufferevent_get_output(evhttp_connection_get_bufferevent(raw)), &http_client::onOutput, this);
        evhttp_connection_free(raw);
    }

    [[nodiscard]] evutil_socket_t socket() const { return bufferevent_getfd(evhttp_connection_get_bufferevent(raw)); }

    [[nodiscard]] bool isOpen() const
    {
        bufferevent* stream = evhttp_connection_get_bufferevent(raw);
        return socket() >= 0 && evbuffer_get_length(bufferevent_get_input(stream)) == 0;
    }

    // Returns whether the connection is open and has no unread data, which would belong to no request.
    [[nodiscard]] bool isReusable() const
    {
        if (!isOpen())
            return false;
        char byte = 0;
        return recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EINTR);
    }

    http_client& owner;
    std::string address;
    evhttp_connection* raw;
    loop_timer timer;
    request_id id = 0;
    completion done;
    bool isWritten = false;
    bool isReused = false;
    time_point idleSince;
};

http_client::http_client(event_loop& loop, const http_client_settings& settings)
    : m_loop { loop }
    , m_settings { settings }
    , m_clock { system_time_source {} }
    , m_isAlive { std::make_shared<bool>(true) }
{
}

http_client::~http_client() { *m_isAlive = false; }

http_client::request_id http_client::send(const http_client_request& request, completion done)
{
    const request_id id = ++m_lastId;
    connection_owner chosen = takeIdle(request.address);
    if (!chosen)
        chosen = connectTo(request.address);
    if (!chosen) {
        reject(id, error { error_kind::invalid_value, "\"" + request.address + "\" is not an address; use IP:PORT" },
            std::move(done));
        return id;
    }
    chosen->id = id;
    chosen->done = std::move(done);
    chosen->isWritten = false;
    connection& conn = *chosen;
    m_active.emplace(id, std::move(chosen));
    if (!start(conn, request))
        fail(id, error { error_kind::connection_failed, "cannot connect to " + request.address });
    return id;
}

bool http_client::start(connection& conn, const http_client_request& request)
{
    evhttp_request* raw = evhttp_request_new(&http_client::onComplete, &conn);
    if (raw == nullptr)
        return false;
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", request.address.c_str());
    for (const std::pair<std::string, std::string>& header : request.headers)
        evhttp_add_header(headers, header.first.c_str(), header.second.c_str());
    if (!request.contentType.empty())
        evhttp_add_header(headers, "Content-Type", request.contentType.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    conn.timer.start(request.timeout);
    if (evhttp_make_request(conn.raw, raw, internal::toCommand(request.method), request.target.c_str()) != 0)
        return false;
    if (conn.isReused)
        internal::writeNowAndNotify(evhttp_connection_get_bufferevent(conn.raw));
    else
        setNoDelay(conn.socket());
    return true;
}

http_client::connection_owner http_client::connectTo(const std::string& address)
{
    const result<host_port> parsed = parseHostPort(address);
    if (!hasValue(parsed))
        return nullptr;
    bufferevent* stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr)
        return nullptr;
    evhttp_connection* raw = evhttp_connection_base_bufferevent_new(
        m_loop.base(), nullptr, stream, valueOf(parsed).host.c_str(), valueOf(parsed).port);
    if (raw == nullptr) {
        bufferevent_free(stream);
        return nullptr;
    }
    evhttp_connection_set_max_body_size(raw, static_cast<ev_ssize_t>(m_settings.maxBodyBytes));
    evhttp_connection_set_max_headers_size(raw, static_cast<ev_ssize_t>(m_settings.maxHeaderBytes));
    return std::make_unique<connection>(*this, address, raw);
}

http_client::connection_owner http_client::takeIdle(const std::string& address)
{
    std::vector<connection_owner>& idle = m_idle[address];
    const time_point oldest = m_clock.now() - m_settings.maxIdleTime;
    while (!idle.empty()) {
        connection_owner candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate->idleSince >= oldest && candidate->isReusable())
            return candidate;
        discard(std::move(candidate));
    }
    return nullptr;
}

void http_client::addIdle(connection_owner owned)
{
    std::vector<connection_owner>& idle = m_idle[owned->address];
    if (idle.size() >= m_settings.maxIdleConnections || !owned->isOpen()) {
        discard(std::move(owned));
        return;
    }
    owned->idleSince = m_clock.now();
    owned->isReused = true;
    idle.push_back(std::move(owned));
}

void http_client::discard(connection_owner owned)
{
    // evhttp still uses the connection after the callback has returned, so it is freed later, from the loop.
    m_discarded.push_back(std::move(owned));
    if (m_discarded.size() > 1)
        return;
    m_loop.post([this, isAlive = m_isAlive] {
        if (*isAlive)
            m_discarded.clear();
    });
}

void http_client::reject(request_id id, error cause, completion done)
{
    m_rejected.emplace(id, std::move(done));
    m_loop.post([this, isAlive = m_isAlive, id, cause = std::move(cause)] {
        if (!*isAlive)
            return;
        const auto position = m_rejected.find(id);
        if (position == m_rejected.end())
            return;
        const completion called = std::move(position->second);
        m_rejected.erase(position);
        called(http_failure { false, cause });
    });
}

void http_client::cancel(request_id id)
{
    m_rejected.erase(id);
    const auto position = m_active.find(id);
    if (position == m_active.end())
        return;
    connection_owner owned = std::move(position->second);
    m_active.erase(position);
    owned->timer.stop();
    owned->done = nullptr;
    discard(std::move(owned));
}

bool http_client::wasWritten(request_id id) const
{
    const auto position = m_active.find(id);
    return position != m_active.end() && position->second->isWritten;
}

void http_client::fail(request_id id, error cause)
{
    const auto position = m_active.find(id);
    if (position == m_active.end())
        return;
    connection_owner owned = std::move(position->second);
    m_active.erase(position);
    owned->timer.stop();
    completion done = std::move(owned->done);
    const bool isWritten = owned->isWritten;
    discard(std::move(owned));
    m_loop.post([isAlive = m_isAlive, isWritten, cause = std::move(cause), done = std::move(done)] {
        if (*isAlive)
            done(http_failure { isWritten, cause });
    });
}

void http_client::onOutput(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    if (info->n_deleted > 0)
        static_cast<connection*>(argument)->isWritten = true;
}

void http_client::onComplete(evhttp_request* request, void* argument)
{
    connection& conn = *static_cast<connection*>(argument);
    http_client& self = conn.owner;
    self.m_loop.guard([&] { self.handleCompletion(conn, request); });
}

void http_client::handleCompletion(connection& conn, evhttp_request* request)
{
    const bool isAnswered = request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (!isAnswered) {
        const char* what = conn.isWritten ? "lost the connection to " : "cannot connect to ";
        fail(conn.id, error { error_kind::connection_failed, what + conn.address });
        return;
    }
    http_response response = internal::readResponse(request);
    if (!internal::isComplete(response)) {
        fail(conn.id,
            error { error_kind::connection_failed, "the answer of " + conn.address + " has no checkable length" });
        return;
    }
    const auto position = m_active.find(conn.id);
    if (position == m_active.end())
        return;
    connection_owner owned = std::move(position->second);
    m_active.erase(position);
    owned->timer.stop();
    const completion done = std::move(owned->done);
    addIdle(std::move(owned));
    done(std::move(response));
}

} // namespace knapweedcroft
