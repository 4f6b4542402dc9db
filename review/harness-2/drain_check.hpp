#ifndef KNAPWEEDCROFT_REVIEW_DRAIN_CHECK_HPP
#define KNAPWEEDCROFT_REVIEW_DRAIN_CHECK_HPP

#include "stand_ins.hpp"

namespace knapweedcroft::review {

/**
 * @brief Counts the requests that break DRAIN.
 *
 * A request counts if it reaches the backend later than `Drain` after the acknowledgement of its leave, and the machine
 * of its client and the one beside the backend were in touch from before it was sent: `Contact` after their latest start
 * and after the latest disruption of the store.
 * @param storeBackAt End of the latest disruption of the store; nothing if there was none.
 */
[[nodiscard]] inline std::size_t countLateRequests(deployment& played, const backend_stand_in& leaving,
    const machine& beside, std::optional<milliseconds> storeBackAt)
{
    if (!leaving.acknowledgedAt)
        return 0;
    std::size_t late = 0;
    std::size_t lost = 0;
    for (const backend_arrival& arrival : leaving.arrivals) {
        const auto position = played.calls.find(arrival.requestId);
        if (!arrival.isRun || position == played.calls.end())
            continue;
        const client_call& call = position->second;
        milliseconds inTouchFrom = beside.disturbedAt + contactBound;
        for (const std::unique_ptr<machine>& host : played.machines) {
            if (host->name == call.machineName)
                inTouchFrom = std::max(inTouchFrom, host->disturbedAt + contactBound);
        }
        if (storeBackAt)
            inTouchFrom = std::max(inTouchFrom, *storeBackAt + contactBound);
        if (arrival.at <= *leaving.acknowledgedAt + drainBound || call.sentAt <= inTouchFrom)
            continue;
        if (late == 0)
            played.record.write("check: " + arrival.requestId + " of " + call.machineName + " reached " + arrival.backend
                + " " + std::to_string((arrival.at - *leaving.acknowledgedAt).whole())
                + " ms after the acknowledgement; both machines were in touch");
        ++late;
        lost += call.status == 200 ? 0U : 1U;
    }
    played.record.write("check: " + std::to_string(late) + " requests reached the backend later than Drain, and "
        + std::to_string(lost) + " of them failed");
    return late;
}

} // namespace knapweedcroft::review

#endif
