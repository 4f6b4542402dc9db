#ifndef KNAPWEEDCROFT_GATEWAY_CALL_RATE_ESTIMATOR_HPP
#define KNAPWEEDCROFT_GATEWAY_CALL_RATE_ESTIMATOR_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Estimates the number of calls that a request of each entry causes.
 *
 * Calls do not identify the request that caused them. Request counts vary independently between entries, so a
 * non-negative least-squares fit of the calls in short windows to the request counts separates the entries. The fit
 * uses request counts rather than processing times, because processing times grow with the wait for the calls.
 */
class call_rate_estimator {
public:
    /** @brief Records that the upstream started to process a request. */
    void recordStart(const std::string& entry, time_point now) { addHalfRequest(entry, now); }

    /** @brief Records that the upstream stopped processing a request. */
    void recordEnd(const std::string& entry, time_point now) { addHalfRequest(entry, now); }

    /** @brief Records a call made by the upstream. */
    void recordCall(time_point now);

    /**
     * @brief Returns the call rate of an entry, divided by the mean rate over all entries; nothing if there are too few
     * samples.
     */
    [[nodiscard]] std::optional<double> relativeRate(const std::string& entry) const;

private:
    void addHalfRequest(const std::string& entry, time_point now);
    void advanceWindow(time_point now);
    void accumulateWindow();
    void fit();

    std::map<std::string, std::size_t> m_indexes;
    std::vector<double> m_windowRequests; /*!< Per entry; a start and an end count half each. */
    std::vector<std::vector<double>> m_requestProducts; /*!< Decaying sums of products of request counts. */
    std::vector<double> m_requestCallProducts; /*!< Decaying sums of products of request and call counts. */
    std::vector<double> m_rates; /*!< Fitted calls per request, per entry. */
    double m_windowCalls = 0.0;
    double m_totalCalls = 0.0;
    double m_totalRequests = 0.0;
    double m_windowCount = 0.0;
    time_point m_windowStart;
};

} // namespace knapweedcroft

#endif
