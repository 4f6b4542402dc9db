#ifndef KNAPWEEDCROFT_GATEWAY_CALL_DEPENDENCY_ESTIMATOR_HPP
#define KNAPWEEDCROFT_GATEWAY_CALL_DEPENDENCY_ESTIMATOR_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/call_rate_estimator.hpp"

#include <string>
#include <unordered_map>

namespace knapweedcroft {

/**
 * @brief Learns which entries of an upstream depend on the calls that the upstream makes.
 *
 * Calls do not identify the request that caused them. While a significant share of the calls of an upstream fail or are
 * late, requests that depend on calls fail at least as often, and other requests are unaffected. While calls succeed
 * there is nothing to learn, and earlier results are kept. Until there is a result, the fitted call rates decide.
 */
class call_dependency_estimator {
public:
    /**
     * @brief Records the end of a call made by the upstream.
     * @param isTimelySuccess True if the call succeeded within its target latency.
     */
    void recordCallEnd(bool isTimelySuccess, time_point now);

    /** @brief Records a call made by the upstream. */
    void recordCall(time_point now) { m_rates.recordCall(now); }

    /** @brief Records that the upstream started to process a request. */
    void recordRequestStart(const std::string& entry, time_point now) { m_rates.recordStart(entry, now); }

    /** @brief Records that the upstream stopped processing a request, with any outcome. */
    void recordRequestStop(const std::string& entry, time_point now) { m_rates.recordEnd(entry, now); }

    /**
     * @brief Records the outcome of a request that the upstream processed.
     * @param isTimelySuccess True if the request succeeded within its target latency.
     */
    void recordRequestOutcome(const std::string& entry, bool isTimelySuccess, time_point now);

    /**
     * @brief Returns whether requests of an entry depend on calls of the upstream.
     * @return True by default, because missing the start of an overload costs more than refusing some requests
     * needlessly; false if requests of the entry succeeded while calls failed or, with too few samples, if their fitted
     * call rate is low.
     */
    [[nodiscard]] bool isDependent(const std::string& entry) const;

    /** @brief Returns the fitted call rate of an entry, relative to the mean rate; 1 if there are too few samples. */
    [[nodiscard]] double relativeCallRate(const std::string& entry) const
    {
        return m_rates.relativeRate(entry).value_or(1.0);
    }

private:
    struct failure_counts {
        double expectedFailures = 0.0; /*!< Failures to expect if each request made one call. */
        double failures = 0.0;
    };

    [[nodiscard]] double callFailureRatio(time_point now) const;

    call_rate_estimator m_rates;
    double m_calls = 0.0; /*!< Recent calls; decays exponentially. */
    double m_failedCalls = 0.0; /*!< Recent failed or late calls; decays exponentially. */
    time_point m_lastDecay;
    std::unordered_map<std::string, failure_counts> m_entries;
};

} // namespace knapweedcroft

#endif
