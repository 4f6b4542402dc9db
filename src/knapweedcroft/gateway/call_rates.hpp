#ifndef KNAPWEEDCROFT_GATEWAY_CALL_RATES_HPP
#define KNAPWEEDCROFT_GATEWAY_CALL_RATES_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Estimates how many calls a request of each entry makes.
 *
 * A call carries no mark of the request that made it. The numbers of requests of the entries vary independently, so a
 * non-negative least-squares fit of the calls of short windows to them tells the entries apart. Requests are counted,
 * not the time for which they run, because that time grows with the wait of their calls.
 */
class call_rates {
public:
    /**
     * @brief Takes note that the upstream started to work on a request.
     * @param entry Its entry.
     * @param now Present time.
     */
    void started(const std::string& entry, time_point now) { count(entry, now); }

    /**
     * @brief Takes note that the upstream has ended its work on a request.
     * @param entry Its entry.
     * @param now Present time.
     */
    void ended(const std::string& entry, time_point now) { count(entry, now); }

    /**
     * @brief Takes note of a call of the upstream.
     * @param now Present time.
     */
    void called(time_point now);

    /**
     * @brief Returns the calls of an entry relative to those of all entries together.
     * @param entry The entry.
     * @return The rate divided by the mean rate; nothing if there is too little to tell.
     */
    [[nodiscard]] std::optional<double> relativeRate(const std::string& entry) const;

private:
    void count(const std::string& entry, time_point now);
    void advance(time_point now);
    void closeWindow();
    void fit();

    std::map<std::string, std::size_t> m_positions;
    std::vector<double>
        m_requests; /*!< Requests of the present window, per entry; half at the start, half at the end. */
    std::vector<std::vector<double>> m_products; /*!< Sums of products of requests over the windows. */
    std::vector<double> m_callProducts; /*!< Sums of products of requests and calls. */
    std::vector<double> m_rates; /*!< Calls per request, fitted. */
    double m_calls = 0.0;
    double m_allCalls = 0.0;
    double m_allRequests = 0.0;
    double m_windows = 0.0;
    time_point m_windowStart;
};

} // namespace knapweedcroft

#endif
