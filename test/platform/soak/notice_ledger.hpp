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

/** @brief Bounds on what an upstream receives after it has named a limit. */
struct notice_bounds {
    milliseconds contact { 500 }; /*!< From the first naming of a limit; the platform's rule allows 3 s. */
    milliseconds passedOn { 500 }; /*!< A node counts from this long after it passed on an answer with the limit. */
    milliseconds window { 4000 };
    double ratio = 1.5; /*!< Of what the limit allows in a window. */
    double slack = 5.0; /*!< Further requests in a window. */
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

    /** @brief Records that a request which began at a node reached an upstream. */
    void recordArrival(const std::string& upstream, const std::string& node, time_point now);

    /** @brief Records that the process of a node was killed, frozen or stopped, or has started. */
    void recordDisturbance(const std::string& node) { m_toldAt.erase(node); }

    /** @brief Returns the greatest number of requests in a window in which a limit bound their nodes. */
    [[nodiscard]] std::size_t maxCounted() const;

    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct limit_period {
        double limit = 0.0;
        time_point from;
        std::optional<time_point> until;
    };

    using arrival_times = std::vector<time_point>;

    [[nodiscard]] std::size_t countWindow(const arrival_times& arrivals, std::size_t first) const;
    [[nodiscard]] std::optional<double> allowance(const std::string& upstream, time_point from) const;

    notice_bounds m_bounds;
    std::map<std::string, std::vector<limit_period>> m_limits; /*!< By upstream, in the order of time. */
    std::map<std::string, std::map<std::string, time_point>> m_toldAt; /*!< By node and upstream. */
    std::map<std::string, arrival_times> m_arrivals; /*!< Of requests from nodes that had been told, by upstream. */
};

} // namespace knapweedcroft::platform

#endif
