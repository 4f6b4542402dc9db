#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_NOTICE_LEDGER_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_NOTICE_LEDGER_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/message.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Bounds on what an upstream receives after it has named a limit or said that it leaves. */
struct notice_bounds {
    milliseconds contact { 500 }; /*!< From the first naming of a limit; the platform's rule allows 3 s. */
    milliseconds passedOn { 500 }; /*!< A node counts from this long after it passed on an answer with the limit. */
    milliseconds window { 4000 };
    double ratio = 1.5; /*!< Of what the limit allows in a window. */
    double slack = 5.0; /*!< Further requests in a window. */
    /** @brief From the answer in which an upstream says that it leaves; the platform's rule allows 2 s. */
    milliseconds drain { 0 };
    /** @brief From the acknowledgement of a leave to the last request that may be sent to the upstream, by the
     * platform's rule. */
    milliseconds acknowledgedDrain { 2000 };
    /** @brief A node is bound by an acknowledgement from this long after a disturbance; the platform's rule allows 3 s.
     */
    milliseconds inTouch { 500 };
};

/**
 * @brief Records the notices in the answers of upstreams, who passed them on, and what the upstreams received.
 *
 * A node is bound by a notice once a caller has received an answer with it from that node. A disturbance of the process
 * of the node ends this until the node passes on another such answer.
 */
class notice_ledger {
public:
    explicit notice_ledger(const notice_bounds& bounds = {})
        : m_bounds { bounds }
    {
    }

    /** @brief Records the limit that an upstream names from now on, in requests per second; nothing if it names none.
     */
    void recordLimit(const std::string& upstream, std::optional<double> limit, time_point now);

    /** @brief Records that a caller received a response from a node. */
    void recordResponse(const std::string& node, const opaque_response& response, time_point now);

    /** @brief Records that a request which a caller sent to a node reached an upstream. */
    void recordArrival(const std::string& upstream, const std::string& node, time_point sentAt, time_point now);

    /** @brief Records that the process of a node was killed, frozen or stopped, or has started. */
    void recordDisturbance(const std::string& node);

    /** @brief Records that a node has acknowledged that its upstream leaves; only the first time counts. */
    void recordLeaveAcknowledged(const std::string& upstream, const std::string& node, time_point now);

    /** @brief Records whether the process or the links of a node are disturbed from now on. */
    void setOutOfTouch(const std::string& node, bool isOutOfTouch, time_point now);

    /** @brief Returns the greatest number of requests in a window in which a limit bound their nodes. */
    [[nodiscard]] std::size_t maxCounted() const;

    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct limit_period {
        double limit = 0.0;
        time_point from;
        std::optional<time_point> until;
    };

    /** @brief Window in which a limit bound the nodes all the while. */
    struct checked_window {
        std::string upstream;
        std::size_t count = 0; /*!< Requests that arrived in it. */
        double allowed = 0.0;
    };

    struct acknowledged_leave {
        std::string node;
        time_point at;
    };

    [[nodiscard]] bool isInTouch(const std::string& node, time_point at) const;
    void checkAcknowledgedLeave(const std::string& upstream, const std::string& node, time_point sentAt);

    using arrival_times = std::vector<time_point>;
    using told_times = std::map<std::string, std::map<std::string, time_point>>; /*!< By node and upstream. */

    [[nodiscard]] static std::optional<time_point> find(
        const told_times& told, const std::string& node, const std::string& upstream);

    [[nodiscard]] std::size_t countWindow(const arrival_times& arrivals, std::size_t first) const;
    [[nodiscard]] std::vector<checked_window> checkedWindows() const;
    [[nodiscard]] std::optional<double> allowance(const std::string& upstream, time_point from) const;

    notice_bounds m_bounds;
    std::map<std::string, std::vector<limit_period>> m_limits; /*!< By upstream, in the order of time. */
    told_times m_limitToldAt;
    told_times m_leaveToldAt;
    std::map<std::string, acknowledged_leave> m_acknowledgedLeaves; /*!< By upstream. */
    /** @brief When the latest disturbance of a node ended; nothing while it lasts. */
    std::map<std::string, std::optional<time_point>> m_disturbedUntil;
    std::vector<std::string> m_afterLeave; /*!< A message for each request that reached a leaving upstream. */
    std::map<std::string, arrival_times> m_arrivals; /*!< Of requests from nodes that had been told, by upstream. */
};

} // namespace knapweedcroft::platform

#endif
