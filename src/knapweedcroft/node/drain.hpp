#ifndef KNAPWEEDCROFT_NODE_DRAIN_HPP
#define KNAPWEEDCROFT_NODE_DRAIN_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"

#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Conditions for the transitions of a drain. */
struct drain_conditions {
    bool isInView = false; /*!< The latest view known to this node still contains it. */
    bool isLogAvailable = false;
    bool hasPendingHandOvers = false; /*!< A hand-over of keys is not acknowledged by the new holder yet. */
    bool isIdle = false; /*!< No calls are in flight. */
};

/**
 * @brief Drain of a node: refuses new calls, leaves the view, hands its keys over, waits for calls in flight, and then
 * permits the upstream to stop.
 *
 * The wait for calls in flight has no timeout, since each call ends by its deadline.
 */
class drain_process {
public:
    /**
     * @brief Constructs a drain that has not been requested.
     * @param lifeCycle State chart of the drain.
     */
    explicit drain_process(const chart& lifeCycle) noexcept;

    /**
     * @brief Starts the drain on a request to leave; several requests may wait for the same drain.
     * @param handle The request, answered when the upstream may stop.
     * @param now Current time.
     */
    void request(request_handle handle, time_point now);

    /** @brief Starts the drain without a request to answer, after the upstream announced that it is draining. */
    void begin(time_point now);

    /**
     * @brief Makes all transitions that the conditions permit.
     * @param conditions Current conditions.
     * @param now Current time.
     * @param actions Receives the answers to the requests once the drain is done.
     */
    void advance(const drain_conditions& conditions, time_point now, node_actions& actions);

    /** @brief Returns the time at which the timeout of the current state makes `advance` due. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns whether the node is leaving or has left. */
    [[nodiscard]] bool isLeaving() const noexcept { return m_state.state() != drain_state::serving; }

    /** @brief Returns whether the upstream may stop. */
    [[nodiscard]] bool isDone() const noexcept { return m_state.state() == drain_state::done; }

    /** @brief Returns the name of the current state. */
    [[nodiscard]] std::string stateName() const { return m_state.stateName(); }

private:
    [[nodiscard]] bool step(const drain_conditions& conditions, time_point now);

    drain_instance m_state;
    time_point m_stateTimeoutAt;
    std::vector<request_handle> m_requests;
};

} // namespace knapweedcroft

#endif
