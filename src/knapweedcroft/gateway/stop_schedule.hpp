#ifndef KNAPWEEDCROFT_GATEWAY_STOP_SCHEDULE_HPP
#define KNAPWEEDCROFT_GATEWAY_STOP_SCHEDULE_HPP

#include "knapweedcroft/core/time.hpp"

namespace knapweedcroft {

/** @brief Times of a planned stop, counted from its start. */
struct stop_schedule {
    milliseconds idleClose; /*!< Connections without requests are closed from here on. */
    /** @brief Nothing is started any more, and a request is given up once it holds back an answer that is ready. */
    milliseconds lastStart;
    milliseconds lastAnswer; /*!< All unanswered requests are given up. */
    milliseconds end; /*!< The process ends, whatever has been written by then. */

    friend bool operator==(const stop_schedule& lhs, const stop_schedule& rhs)
    {
        return lhs.idleClose == rhs.idleClose && lhs.lastStart == rhs.lastStart && lhs.lastAnswer == rhs.lastAnswer
            && lhs.end == rhs.end;
    }
};

/**
 * @brief Plans a stop.
 * @param grace Time after which the process is killed.
 */
[[nodiscard]] stop_schedule makeStopSchedule(milliseconds grace);

} // namespace knapweedcroft

#endif
