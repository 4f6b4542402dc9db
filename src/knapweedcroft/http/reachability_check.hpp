#ifndef KNAPWEEDCROFT_HTTP_REACHABILITY_CHECK_HPP
#define KNAPWEEDCROFT_HTTP_REACHABILITY_CHECK_HPP

#include "knapweedcroft/http/internal/bufferevent_ptr.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <functional>
#include <string>

namespace knapweedcroft {

/** @brief Tests whether a server accepts connections, by opening one and closing it without a request. */
class reachability_check {
public:
    /** @brief Receives true if the server refused the connection, false if it accepted it or did not respond. */
    using completion_handler = std::function<void(bool)>;

    /**
     * @brief Constructs an idle check.
     * @param loop Event loop; must outlive the check.
     * @param timeout Time after which a server that does not respond counts as not refusing.
     * @param onDone Receives each result; never called from within `start`.
     */
    reachability_check(event_loop& loop, milliseconds timeout, completion_handler onDone);
    reachability_check(const reachability_check&) = delete;
    reachability_check& operator=(const reachability_check&) = delete;
    ~reachability_check() = default;

    /**
     * @brief Starts a check; replaces one that is in progress, which then reports nothing.
     * @param address `IP:PORT` of the server.
     */
    void start(const std::string& address);

private:
    static void onEvent(bufferevent*, short events, void* argument);
    void finish(bool isRefused);

    event_loop& m_loop;
    milliseconds m_timeout;
    completion_handler m_onDone;
    internal::bufferevent_ptr m_stream;
    loop_timer m_timer;
};

} // namespace knapweedcroft

#endif
