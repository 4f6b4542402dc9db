#ifndef KNAPWEEDCROFT_NET_EVENT_LOOP_HPP
#define KNAPWEEDCROFT_NET_EVENT_LOOP_HPP

#include "knapweedcroft/core/time.hpp"

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace internal {

/** @brief Frees a libevent event. */
struct event_deleter {
    void operator()(event* value) const noexcept { event_free(value); }
};

/** @brief Frees a libevent event base. */
struct event_base_deleter {
    void operator()(event_base* value) const noexcept { event_base_free(value); }
};

using event_owner = std::unique_ptr<event, event_deleter>;

} // namespace internal

/**
 * @brief Single-threaded event loop on top of libevent; it and everything that uses it must stay on one thread.
 *
 * Ignores SIGPIPE for the whole process, so that writing to a closed connection reports an error instead of raising a
 * signal.
 */
class event_loop {
public:
    /** @warning Throws `std::runtime_error` if the event queue cannot be created. */
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /** @brief Returns the event base, for direct calls to libevent. */
    [[nodiscard]] event_base* base() const noexcept { return m_base.get(); }

    /** @brief Runs until `stop` is called. */
    void run();

    /** @brief Makes `run` and `runUntil` return after the current callback has returned. */
    void stop() noexcept;

    /**
     * @brief Runs until a condition holds.
     * @param isDone Checked before the first and after each iteration of the loop.
     * @param limit Maximum time to run.
     * @return True if the condition holds, false if the limit was reached or the loop was stopped.
     */
    bool runUntil(const std::function<bool()>& isDone, milliseconds limit);

    /** @brief Queues a task that runs after the current callback has returned. */
    void post(std::function<void()> task);

    /**
     * @brief Registers a handler for a signal.
     * @param number Signal number, such as SIGTERM.
     * @param handler Called from the loop, not in signal context.
     */
    void onSignal(int number, std::function<void()> handler);

    /**
     * @brief Sets the handler of exceptions that escape from callbacks.
     * @param handler Called with the text of the exception.
     */
    void setFaultHandler(std::function<void(const std::string&)> handler);

    /**
     * @brief Runs a task from a C callback; an exception is passed to the fault handler, because it must not propagate
     * through C frames.
     */
    template <typename Task> void guard(Task&& task) noexcept
    {
        try {
            task();
        } catch (const std::exception& fault) {
            reportFault(fault.what());
        }
    }

private:
    struct signal_watch {
        event_loop* loop;
        std::function<void()> handler;
        internal::event_owner source;
    };

    void runPosted();
    void reportFault(const char* text) noexcept;

    std::unique_ptr<event_base, internal::event_base_deleter> m_base;
    internal::event_owner m_postedEvent;
    std::vector<std::function<void()>> m_posted;
    std::vector<std::unique_ptr<signal_watch>> m_signals;
    std::function<void(const std::string&)> m_faultHandler;
    bool m_isStopped = false;
};

/** @brief One-shot timer. */
class loop_timer {
public:
    /**
     * @brief Constructs a stopped timer.
     * @param loop Must outlive the timer.
     * @param task Called when the timer expires; may destroy the timer.
     */
    loop_timer(event_loop& loop, std::function<void()> task);
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;
    ~loop_timer() = default;

    /**
     * @brief Starts or restarts the timer.
     * @param delay Time from now; a negative delay counts as zero.
     */
    void start(milliseconds delay);

    void stop();

    [[nodiscard]] bool isRunning() const;

private:
    event_loop& m_loop;
    std::function<void()> m_task;
    internal::event_owner m_event;
};

} // namespace knapweedcroft

#endif
