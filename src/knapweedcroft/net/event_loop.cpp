#include "knapweedcroft/net/event_loop.hpp"

#include <csignal>
#include <stdexcept>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static timeval toTimeval(milliseconds delay) noexcept
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    const std::int64_t microseconds = delay.microseconds() > 0 ? delay.microseconds() : 0;
    timeval value {};
    value.tv_sec = static_cast<time_t>(microseconds / microsecondsPerSecond);
    value.tv_usec = static_cast<suseconds_t>(microseconds % microsecondsPerSecond);
    return value;
}

[[nodiscard]] static event_base* makeBase() noexcept
{
    event_config* configuration = event_config_new();
    if (configuration == nullptr)
        return nullptr;
    // With the change list, libevent batches epoll updates instead of making one system call per change.
    event_config_set_flag(configuration, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base* base = event_base_new_with_config(configuration);
    event_config_free(configuration);
    return base;
}

} // namespace internal

event_loop::event_loop()
    : m_base { internal::makeBase() }
{
    if (!m_base)
        throw std::runtime_error { "cannot create the event loop; check the limit on open files (ulimit -n)" };
    const auto callback = [](evutil_socket_t, short, void* self) { static_cast<event_loop*>(self)->runPosted(); };
    m_postedEvent.reset(event_new(m_base.get(), -1, 0, callback, this));
    if (!m_postedEvent)
        throw std::runtime_error { "cannot create an event; check the free memory of the host" };
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(concurrency-mt-unsafe): one thread
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    m_isStopped = false;
    while (!m_isStopped)
        event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() noexcept
{
    m_isStopped = true;
    event_base_loopbreak(m_base.get());
}

bool event_loop::runUntil(const std::function<bool()>& isDone, milliseconds limit)
{
    bool isTimedOut = false;
    loop_timer timer { *this, [&isTimedOut] { isTimedOut = true; } };
    timer.start(limit);
    m_isStopped = false;
    while (!isDone() && !isTimedOut && !m_isStopped)
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    return isDone();
}

void event_loop::post(std::function<void()> task)
{
    if (m_posted.empty())
        event_active(m_postedEvent.get(), EV_TIMEOUT, 1);
    m_posted.push_back(std::move(task));
}

void event_loop::runPosted()
{
    std::vector<std::function<void()>> tasks;
    tasks.swap(m_posted);
    for (const std::function<void()>& task : tasks)
        guard(task);
}

void event_loop::onSignal(int number, std::function<void()> handler)
{
    std::unique_ptr<signal_watch> watch = std::make_unique<signal_watch>();
    watch->loop = this;
    watch->handler = std::move(handler);
    const auto callback = [](evutil_socket_t, short, void* argument) {
        const signal_watch& received = *static_cast<signal_watch*>(argument);
        received.loop->guard(received.handler);
    };
    watch->source.reset(evsignal_new(m_base.get(), number, callback, watch.get()));
    if (!watch->source || evsignal_add(watch->source.get(), nullptr) != 0)
        throw std::runtime_error { "cannot install a handler for signal " + std::to_string(number) };
    m_signals.push_back(std::move(watch));
}

void event_loop::setFaultHandler(std::function<void(const std::string&)> handler)
{
    m_faultHandler = std::move(handler);
}

void event_loop::reportFault(const char* text) noexcept
{
    if (!m_faultHandler)
        return;
    try {
        m_faultHandler(text);
    } catch (const std::exception&) {
        // An exception of the fault handler itself cannot be reported; the loop continues.
        return;
    }
}

loop_timer::loop_timer(event_loop& loop, std::function<void()> task)
    : m_loop { loop }
    , m_task { std::move(task) }
{
    const auto callback = [](evutil_socket_t, short, void* argument) {
        loop_timer& self = *static_cast<loop_timer*>(argument);
        // The task may destroy the timer and its m_task with it, so a copy is called.
        const std::function<void()> copy = self.m_task;
        self.m_loop.guard(copy);
    };
    m_event.reset(evtimer_new(loop.base(), callback, this));
    if (!m_event)
        throw std::runtime_error { "cannot create a timer; check the free memory of the host" };
}

void loop_timer::start(milliseconds delay)
{
    const timeval value = internal::toTimeval(delay);
    evtimer_add(m_event.get(), &value);
}

void loop_timer::stop() { evtimer_del(m_event.get()); }

bool loop_timer::isRunning() const { return evtimer_pending(m_event.get(), nullptr) != 0; }

} // namespace knapweedcroft
