#include "knapweedcroft/net/http_server.hpp"

#include "knapweedcroft/net/socket_options.hpp"
#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Limit passed to evhttp, which rejects larger headers with 413, like a body that is too large. Headers between the
// configured limit and this one are read completely and rejected with 431.
static constexpr std::size_t headerReadLimit = std::size_t { 1024 } * 1024;

static constexpr int listenBacklog = 1024;

[[nodiscard]] static std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t slash = std::min(path.find('/', start), path.size());
        if (slash > start)
            segments.emplace_back(path.substr(start, slash - start));
        start = slash + 1;
    }
    return segments;
}

[[nodiscard]] static std::string decodeSegment(const std::string& segment)
{
    std::size_t size = 0;
    char* decoded = evhttp_uridecode(segment.c_str(), 0, &size);
    if (decoded == nullptr)
        return segment;
    std::string text { decoded, size };
    std::free(decoded); // NOLINT: allocated by libevent
    return text;
}

[[nodiscard]] static std::optional<http_method> toMethod(evhttp_cmd_type type) noexcept
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return http_method::get;
    case EVHTTP_REQ_POST:
        return http_method::post;
    case EVHTTP_REQ_PUT:
        return http_method::put;
    case EVHTTP_REQ_DELETE:
        return http_method::remove;
    default:
        return std::nullopt;
    }
}

struct request_head {
    http_request request;
    std::size_t headerBytes = 0;
};

[[nodiscard]] static request_head readHead(evhttp_request* request)
{
    request_head head;
    const char* uri = evhttp_request_get_uri(request);
    const std::string_view target { uri == nullptr ? "" : uri };
    head.headerBytes = target.size();
    const std::size_t questionMark = target.find('?');
    head.request.path = std::string { target.substr(0, questionMark) };
    if (questionMark != std::string_view::npos)
        head.request.query = std::string { target.substr(questionMark + 1) };
    constexpr std::size_t expectedHeaders = 8;
    head.request.headers.reserve(expectedHeaders);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        head.request.headers.emplace_back(header->key, header->value);
        head.headerBytes += head.request.headers.back().first.size() + head.request.headers.back().second.size();
    }
    return head;
}

[[nodiscard]] static std::string readBody(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

// Returns whether the path matches the pattern, and stores the values of its parameters.
[[nodiscard]] static bool matches(
    const std::vector<std::string>& pattern, const std::vector<std::string>& path, std::vector<std::string>& values)
{
    if (pattern.size() != path.size())
        return false;
    values.clear();
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        if (pattern[index].front() == '{')
            values.push_back(decodeSegment(path[index]));
        else if (pattern[index] != path[index])
            return false;
    }
    return true;
}

[[nodiscard]] static bool isClosedByPeer(evutil_socket_t socket, bool& hasData) noexcept
{
    char byte = 0;
    const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    hasData = size > 0;
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace internal

void http_server::evhttp_deleter::operator()(evhttp* value) const noexcept { evhttp_free(value); }

http_server::http_server(event_loop& loop, const http_server_settings& settings)
    : m_loop { loop }
    , m_settings { settings }
    , m_http { evhttp_new(loop.base()) }
{
    if (!m_http)
        throw std::runtime_error { "cannot create an HTTP server; check the free memory of the host" };
    evhttp_set_max_body_size(m_http.get(), static_cast<ev_ssize_t>(settings.maxBodyBytes));
    evhttp_set_max_headers_size(
        m_http.get(), static_cast<ev_ssize_t>(std::max(settings.maxHeaderBytes, internal::headerReadLimit)));
    const timeval idle { static_cast<time_t>(settings.idleTime.whole() / 1000), 0 };
    evhttp_set_timeout_tv(m_http.get(), &idle);
    // Reads a body that is too large to its end, so that the client receives the response and no connection reset.
    evhttp_set_flags(m_http.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_allowed_methods(m_http.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(m_http.get(), &http_server::onRequest, this);
    const auto makeConnection = [](event_base* base, void* self) {
        bufferevent* connection = bufferevent_socket_new(base, -1, 0);
        if (connection != nullptr)
            evbuffer_add_cb(bufferevent_get_output(connection), &http_server::onOutput, self);
        return connection;
    };
    evhttp_set_bevcb(m_http.get(), makeConnection, this);
}

http_server::~http_server()
{
    for (const std::pair<const request_id, std::unique_ptr<pending_request>>& item : m_pending) {
        if (item.second->connection != nullptr)
            evhttp_connection_set_closecb(item.second->connection, nullptr, nullptr);
    }
    m_pending.clear();
}

result<std::string> http_server::listen(const std::string& host, std::uint16_t port)
{
    const result<bound_socket> bound = bindSocket(host, port);
    if (!hasValue(bound))
        return errorOf(bound);
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    evconnlistener* listener
        = evconnlistener_new(m_loop.base(), nullptr, nullptr, flags, internal::listenBacklog, valueOf(bound).socket);
    if (listener == nullptr) {
        evutil_closesocket(valueOf(bound).socket);
        return error { error_kind::connection_failed,
            "cannot listen on " + valueOf(bound).address + "; choose another port" };
    }
    if (evhttp_bind_listener(m_http.get(), listener) == nullptr) {
        evconnlistener_free(listener);
        return error { error_kind::connection_failed,
            "cannot serve on " + valueOf(bound).address + "; check the free memory of the host" };
    }
    return valueOf(bound).address;
}

void http_server::route(http_method method, std::string_view pattern, handler callback)
{
    m_routes.push_back(route_entry { method, internal::splitPath(pattern), std::move(callback) });
}

void http_server::setGoneHandler(std::function<void(request_id)> callback)
{
    m_disconnectHandler = std::move(callback);
}

void http_server::onRequest(evhttp_request* request, void* self)
{
    http_server& server = *static_cast<http_server*>(self);
    server.m_loop.guard([&] { server.handle(request); });
}

void http_server::handle(evhttp_request* request)
{
    internal::request_head head = internal::readHead(request);
    if (head.headerBytes > m_settings.maxHeaderBytes) {
        const std::string message = "the headers have " + std::to_string(head.headerBytes) + " bytes; send at most "
            + std::to_string(m_settings.maxHeaderBytes);
        send(request, makeServerError(431, "header_too_large", message));
        return;
    }
    const std::optional<http_method> method = internal::toMethod(evhttp_request_get_command(request));
    if (!method) {
        send(request, makeServerError(405, "unknown_operation", "the method is not supported; use GET or POST"));
        return;
    }
    head.request.method = *method;
    head.request.body = internal::readBody(request);
    std::unique_ptr<pending_request> pending = std::make_unique<pending_request>();
    pending->server = this;
    pending->id = ++m_lastId;
    pending->request = request;
    pending->connection = evhttp_request_get_connection(request);
    watchForClose(*pending);
    const request_id id = pending->id;
    m_pending.emplace(id, std::move(pending));
    dispatch(id, head.request);
}

void http_server::dispatch(request_id id, http_request& request)
{
    const std::vector<std::string> segments = internal::splitPath(request.path);
    bool isPathKnown = false;
    for (const route_entry& candidate : m_routes) {
        if (!internal::matches(candidate.segments, segments, request.parameters))
            continue;
        isPathKnown = true;
        if (candidate.method != request.method)
            continue;
        candidate.callback(id, request);
        return;
    }
    if (isPathKnown)
        answer(id, makeServerError(405, "unknown_operation", "the path does not support this method; use another one"));
    else
        answer(id, makeServerError(404, "unknown_operation", "no such path; check it against the documentation"));
}

void http_server::watchForClose(pending_request& pending)
{
    evhttp_connection_set_closecb(pending.connection, &http_server::onClosed, &pending);
    // evhttp does not read while a request is being handled, so it would detect a closed connection only when
    // responding.
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(pending.connection));
    pending.closeWatcher.reset(
        event_new(m_loop.base(), socket, EV_READ | EV_PERSIST, &http_server::onReadable, &pending));
    if (pending.closeWatcher)
        event_add(pending.closeWatcher.get(), nullptr);
}

void http_server::onReadable(evutil_socket_t socket, short, void* argument)
{
    pending_request& pending = *static_cast<pending_request*>(argument);
    bool hasData = false;
    if (!internal::isClosedByPeer(socket, hasData)) {
        // A pipelined request keeps the socket readable, so a later close can no longer be detected here.
        if (hasData)
            pending.closeWatcher.reset();
        return;
    }
    evhttp_connection* connection = pending.connection;
    http_server& server = *pending.server;
    const request_id id = pending.id;
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    server.removePending(id);
    evhttp_connection_free(connection);
    if (server.m_disconnectHandler)
        server.m_loop.guard([&] { server.m_disconnectHandler(id); });
}

void http_server::onClosed(evhttp_connection*, void* argument)
{
    pending_request& pending = *static_cast<pending_request*>(argument);
    http_server& server = *pending.server;
    const request_id id = pending.id;
    server.removePending(id);
    if (server.m_disconnectHandler)
        server.m_loop.post([&server, id] { server.m_disconnectHandler(id); });
}

void http_server::removePending(request_id id) { m_pending.erase(id); }

void http_server::answer(request_id id, const http_response& response)
{
    const auto position = m_pending.find(id);
    if (position == m_pending.end())
        return;
    evhttp_request* request = position->second->request;
    evhttp_connection_set_closecb(position->second->connection, nullptr, nullptr);
    m_pending.erase(position);
    send(request, response);
}

void http_server::send(evhttp_request* request, const http_response& response)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    for (const std::pair<std::string, std::string>& header : response.headers)
        evhttp_add_header(headers, header.first.c_str(), header.second.c_str());
    if (!response.contentType.empty())
        evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
    evbuffer* body = evbuffer_new();
    if (body != nullptr)
        evbuffer_add(body, response.body.data(), response.body.size());
    bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    m_isReplying = true;
    evhttp_send_reply(request, response.status, nullptr, body);
    internal::writeNowAndNotify(stream);
    m_isReplying = false;
    if (body != nullptr)
        evbuffer_free(body);
}

http_response http_server::makeServerError(int status, std::string_view kind, std::string_view message) const
{
    http_response response = errorResponse(status, kind, message);
    response.headers = m_settings.errorHeaders;
    return response;
}

void http_server::onOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* self)
{
    http_server& server = *static_cast<http_server*>(self);
    if (server.m_isReplying || info->n_added == 0)
        return;
    server.m_loop.guard([&] { server.replaceErrorPage(buffer); });
}

void http_server::replaceErrorPage(evbuffer* buffer)
{
    // evhttp 2.1 has no hook for its own error responses; they are recognised by their HTML page and replaced by JSON.
    constexpr std::size_t statusStart = sizeof("HTTP/1.1 ") - 1;
    constexpr std::size_t statusDigits = 3;
    std::string page(evbuffer_get_length(buffer), '\0');
    // The front of a bufferevent's output is frozen except while the bufferevent writes. After its first write, this
    // applies to evbuffer_copyout too.
    evbuffer_unfreeze(buffer, 1);
    evbuffer_copyout(buffer, page.data(), page.size());
    evbuffer_freeze(buffer, 1);
    if (page.compare(0, 5, "HTTP/") != 0 || page.find("\r\n\r\n<HTML>") == std::string::npos)
        return;
    const int status = std::atoi(page.substr(statusStart, statusDigits).c_str()); // NOLINT: digits from evhttp
    const std::string statusLine = page.substr(0, page.find('\r'));
    http_response response = makeServerError(status, "invalid_value", "the request is malformed; check its syntax");
    if (status == 413) {
        response = makeServerError(status, "body_too_large",
            "the body is too large; send at most " + std::to_string(m_settings.maxBodyBytes) + " bytes, and at most "
                + std::to_string(m_settings.maxHeaderBytes) + " bytes of headers");
    } else if (status == 501) {
        response = makeServerError(status, "unknown_operation", "the method is not supported; use GET or POST");
    }
    std::string text = statusLine + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(response.body.size()) + "\r\nConnection: close\r\n";
    for (const std::pair<std::string, std::string>& header : response.headers)
        text += header.first + ": " + header.second + "\r\n";
    text += "\r\n" + response.body;
    m_isReplying = true;
    evbuffer_unfreeze(buffer, 1);
    evbuffer_drain(buffer, page.size());
    evbuffer_add(buffer, text.data(), text.size());
    evbuffer_freeze(buffer, 1);
    m_isReplying = false;
}

} // namespace knapweedcroft
