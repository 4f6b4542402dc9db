#ifndef KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_MODEL_HPP
#define KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_MODEL_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/upstream_service/settings.hpp"
#include "knapweedcroft/upstream_service/upstream_stats.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief Identifies one attempt of a sub-call. */
using sub_call_id = std::uint64_t;

/** @brief A call received from the node. */
struct upstream_call {
    request_handle handle = 0;
    std::string operation;
    std::string context; /*!< Value of the context header; empty if absent. */
    std::optional<call_id> call; /*!< Identifier from the context; used to cancel the call. */
    std::string key; /*!< Value of `Idempotency-Key`; empty if absent. */
    std::optional<milliseconds> deadline; /*!< Time remaining. */
    std::string token; /*!< Field `token` of the body; empty if absent. */
};

/** @brief How a sub-call ended. */
struct sub_call_result {
    bool isSuccess = false; /*!< Answered with a status below 300. */
    bool hasRun = true; /*!< False only if the sub-call certainly did not run on any upstream. */
    std::string echo; /*!< Field `echo` of the answer; empty if absent. */
};

/** @brief Sends the answer to a call. */
struct answer_upstream_call {
    request_handle handle = 0;
    int status = 200;
    bool isNotRun = false; /*!< Whether to send the header `Knapweed-Not-Run: 1`. */
    std::string body; /*!< JSON text. */
};

/** @brief Leaves a call unanswered, because of the fault `mute`. */
struct withhold_answer {
    request_handle handle = 0;
};

/** @brief Sends a sub-call to the node on this host. */
struct send_sub_call {
    sub_call_id id = 0;
    service_name service;
    std::string operation;
    std::string context; /*!< Value of the context header, unchanged; empty if absent. */
    std::string key; /*!< Value of `Idempotency-Key`; empty if not keyed. */
    std::string body; /*!< JSON text. */
};

/** @brief Cancels a sub-call whose answer is no longer needed, by closing its connection. */
struct abandon_sub_call {
    sub_call_id id = 0;
};

/** @brief Action that the model requests from its caller. */
using upstream_action = std::variant<answer_upstream_call, withhold_answer, send_sub_call, abandon_sub_call>;

/** @brief Actions in the order in which they must be performed. */
using upstream_actions = std::vector<upstream_action>;

/**
 * @brief Model of the emulated upstream: slots, service times, sub-calls, deadlines, cancellation and counters.
 *
 * A call occupies a slot from its start to its answer. It makes the sub-calls of its steps, does its own work, takes
 * effect and is answered. A share of its own work can be done before the first step.
 */
class upstream_model {
public:
    /**
     * @brief Constructs an idle upstream.
     * @param now Start of the cold-start period.
     */
    upstream_model(upstream_settings settings, time_point now);

    /** @brief Starts or refuses a call. */
    [[nodiscard]] upstream_actions callArrived(const upstream_call& call, time_point now);

    /**
     * @brief Handles the end of a sub-call; does nothing if the sub-call was cancelled.
     * @param id Identifier of the attempt.
     * @param outcome Result of the attempt.
     * @param now Current time.
     * @return Actions to perform.
     */
    [[nodiscard]] upstream_actions subCallEnded(sub_call_id id, const sub_call_result& outcome, time_point now);

    /**
     * @brief Stops a call and frees its slot.
     * @param call Identifier in the context of the call.
     * @return Actions to perform; empty if no such call is running.
     */
    [[nodiscard]] upstream_actions cancelArrived(call_id call);

    /** @brief Handles the timers that have expired; to be called at `nextWakeup`. */
    [[nodiscard]] upstream_actions timeReached(time_point now);

    /** @brief Returns the expiry of the next timer, if any. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Replaces the injected faults. */
    void setFaults(const upstream_faults& faults) noexcept { m_faults = faults; }

    /**
     * @brief Creates the periodic announcement and samples the load; to be called every second.
     * @param address `host:port` on which the upstream listens.
     * @param incarnation Identifies this run of the process.
     * @param now Current time.
     * @return The announcement; its load is a sample that is at least `loadLag` old, if there is one.
     */
    [[nodiscard]] upstream_announced announce(const std::string& address, std::uint64_t incarnation, time_point now);

    /** @brief Records that the upstream has asked its node to leave. */
    void leaveStarted(time_point now) noexcept;

    /** @brief Counts the calls that the end of the process interrupts. */
    void stopped() noexcept { m_stats.cut = m_active.size(); }

    /** @brief Returns the number of calls that occupy a slot. */
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_active.size(); }

    [[nodiscard]] const upstream_stats& stats() const noexcept { return m_stats; }

private:
    /** @brief Phase of a running call. */
    enum class call_phase : std::uint8_t { first_work, sub_calls, last_work };

    struct active_call {
        upstream_call call;
        const upstream_operation* operation = nullptr;
        call_phase phase = call_phase::first_work;
        std::size_t step = 0;
        std::size_t sent = 0; /*!< Sub-calls of the steps started so far, without retries. */
        std::size_t pending = 0; /*!< Sub-calls of the current step that have not ended. */
        bool hasFailed = false; /*!< Whether a sub-call failed after its last attempt. */
        bool hasSubCallRun = false;
        bool isExecuted = false; /*!< Whether the call was counted as an execution. */
        std::optional<time_point> deadline;
        std::optional<time_point> workEnd;
        std::vector<std::string> children; /*!< Tokens echoed by the sub-calls, by sub-call number. */
    };

    struct active_sub_call {
        request_handle parent = 0;
        std::size_t number = 0; /*!< Index over all steps of the call, from 0. */
        upstream_sub_call target;
        std::uint32_t attempts = 1; /*!< Attempts made, including this one. */
    };

    enum class timer_kind : std::uint8_t { work_end, deadline };
    using timer_entry = std::pair<time_point, std::pair<timer_kind, request_handle>>;

    struct earlier_timer {
        [[nodiscard]] bool operator()(const timer_entry& lhs, const timer_entry& rhs) const noexcept
        {
            return lhs.first == rhs.first ? lhs.second < rhs.second : lhs.first < rhs.first;
        }
    };

    [[nodiscard]] milliseconds drawServiceTime(const upstream_operation& operation, time_point now);
    void startWork(active_call& active, call_phase phase, double share, time_point now);
    void startStep(active_call& active, time_point now, upstream_actions& actions);
    void sendSubCall(const active_call& active, active_sub_call subCall, upstream_actions& actions);
    void finishStep(active_call& active, time_point now, upstream_actions& actions);
    void finishWork(active_call& active, time_point now, upstream_actions& actions);
    void succeed(active_call& active, upstream_actions& actions);
    void fail(active_call& active, const std::string& reason, upstream_actions& actions);
    void end(const active_call& active, answer_upstream_call answer, upstream_actions& actions);
    void markExecuted(active_call& active);
    [[nodiscard]] bool mayRetry(const active_call& active, const active_sub_call& subCall, time_point now) const;
    [[nodiscard]] double load() const noexcept;

    upstream_settings m_settings;
    time_point m_start;
    upstream_faults m_faults;
    std::optional<time_point> m_leftAt;
    std::unordered_map<request_handle, active_call> m_active;
    std::unordered_map<sub_call_id, active_sub_call> m_subCalls;
    std::set<timer_entry, earlier_timer> m_timers;
    std::deque<std::pair<time_point, double>> m_loads;
    sub_call_id m_nextSubCall = 1;
    std::uint64_t m_draws = 0;
    upstream_stats m_stats;
};

} // namespace knapweedcroft

#endif
