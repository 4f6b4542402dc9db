#ifndef KNAPWEEDCROFT_GATEWAY_LOCAL_RETRY_BUDGET_HPP
#define KNAPWEEDCROFT_GATEWAY_LOCAL_RETRY_BUDGET_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace knapweedcroft {

/** @brief Limit on the retries that all nodes together may send to a service within any window. */
struct local_retry_budget_settings {
    double ratio = 0.2; /*!< Retries per first attempt. */
    double slack = 0.0; /*!< Additional retries per window, divided among all nodes. */
    milliseconds window { 10'000 };

    friend bool operator==(const local_retry_budget_settings& lhs, const local_retry_budget_settings& rhs)
    {
        return lhs.ratio == rhs.ratio && lhs.slack == rhs.slack && lhs.window == rhs.window;
    }
};

/**
 * @brief One node's share of the retry budget of each service; keeps the global limit without coordination.
 *
 * A node retries at most `ratio` times the first attempts that it made within the last window, plus its part of the
 * slack, less the calls of retries that it has sent. Summed over all nodes, the limit holds in every window, however
 * the load is distributed.
 */
class local_retry_budget {
public:
    /** @brief Constructs an object without recorded attempts. */
    explicit local_retry_budget(const local_retry_budget_settings& settings)
        : m_settings { settings }
    {
    }

    /** @brief Replaces the limit. */
    void configure(const local_retry_budget_settings& settings) { m_settings = settings; }

    /**
     * @brief Sets the number of nodes among which the slack is divided.
     * @param nodes Greatest number of nodes that may be running; zero counts as one.
     */
    void setNodeCount(std::uint32_t nodes) { m_nodeCount = nodes == 0 ? 1 : nodes; }

    /** @brief Records the first attempt of a request. */
    void recordFirstAttempt(const service_name& service, time_point now);

    /** @brief Charges a call that the retry of its caller has caused, whatever is left of the budget. */
    void recordInheritedRetry(const service_name& service, time_point now);

    /**
     * @brief Charges a retry to the budget.
     * @return False if the budget is exhausted; nothing is charged then.
     */
    [[nodiscard]] bool spend(const service_name& service, time_point now);

private:
    struct service_usage {
        std::deque<time_point> firstAttempts;
        std::deque<time_point> retries;
    };

    [[nodiscard]] service_usage& usageWithin(const service_name& service, time_point now);

    local_retry_budget_settings m_settings;
    std::uint32_t m_nodeCount = 1;
    std::map<service_name, service_usage> m_usageByService;
};

} // namespace knapweedcroft

#endif
