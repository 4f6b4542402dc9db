#ifndef KNAPWEEDCROFT_GATEWAY_RETRY_ALLOWANCE_HPP
#define KNAPWEEDCROFT_GATEWAY_RETRY_ALLOWANCE_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace knapweedcroft {

/** @brief Bound on the repeats that all nodes together may send to a service in any window. */
struct retry_allowance_settings {
    double ratio = 0.2; /*!< Repeats per first send. */
    double slack = 0.0; /*!< Repeats allowed besides, over all nodes. */
    milliseconds window { 10'000 };

    friend bool operator==(const retry_allowance_settings& lhs, const retry_allowance_settings& rhs)
    {
        return lhs.ratio == rhs.ratio && lhs.slack == rhs.slack && lhs.window == rhs.window;
    }
};

/**
 * @brief A node's share of the retry budget of each service, which holds over all nodes without messages.
 *
 * A node spends at most `ratio` times its own first sends of the last window, and its part of the slack. The sums over
 * all nodes then keep the bound in every window, however the load is spread.
 */
class retry_allowance {
public:
    /**
     * @brief Constructs an allowance.
     * @param settings The bound.
     */
    explicit retry_allowance(const retry_allowance_settings& settings)
        : m_settings { settings }
    {
    }

    /**
     * @brief Changes the bound.
     * @param settings The bound.
     */
    void configure(const retry_allowance_settings& settings) { m_settings = settings; }

    /**
     * @brief Sets the number of nodes among which the slack is divided.
     * @param nodes The greatest number that may be running; at least one is assumed.
     */
    void setNodes(std::uint32_t nodes) { m_nodes = nodes == 0 ? 1 : nodes; }

    /**
     * @brief Counts the first send of a request.
     * @param service The service.
     * @param now Present time.
     */
    void noteFirst(const service_name& service, time_point now);

    /**
     * @brief Spends a repeat if the bound allows it.
     * @param service The service.
     * @param now Present time.
     * @return False if the bound is reached; nothing is spent then.
     */
    [[nodiscard]] bool spend(const service_name& service, time_point now);

private:
    struct usage {
        std::deque<time_point> firsts;
        std::deque<time_point> repeats;
    };

    void expire(usage& used, time_point now) const;

    retry_allowance_settings m_settings;
    std::uint32_t m_nodes = 1;
    std::map<service_name, usage> m_usage;
};

} // namespace knapweedcroft

#endif
