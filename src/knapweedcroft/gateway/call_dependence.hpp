#ifndef KNAPWEEDCROFT_GATEWAY_CALL_DEPENDENCE_HPP
#define KNAPWEEDCROFT_GATEWAY_CALL_DEPENDENCE_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/call_rates.hpp"

#include <string>
#include <unordered_map>

namespace knapweedcroft {

/**
 * @brief Learns which entries of an upstream depend on the calls that the upstream makes.
 *
 * A call carries no mark of the request that made it. While a good part of the calls of an upstream fail or are late,
 * the requests that depend on them do so at least as often, and the others go on as before. What has been learned is
 * kept while calls end well, because then there is nothing to learn from. Until something has been learned in this way,
 * the rates of calls decide.
 */
class call_dependence {
public:
    /**
     * @brief Takes the end of a call that the upstream made.
     * @param isGood True if it succeeded within its target latency.
     * @param now Present time.
     */
    void callEnded(bool isGood, time_point now);

    /**
     * @brief Takes note of a call that the upstream makes.
     * @param now Present time.
     */
    void called(time_point now) { m_rates.called(now); }

    /**
     * @brief Takes note that the upstream started to work on a request.
     * @param entry Its entry.
     * @param now Present time.
     */
    void requestStarted(const std::string& entry, time_point now) { m_rates.started(entry, now); }

    /**
     * @brief Takes note that the upstream no longer works on a request, however it ended.
     * @param entry Its entry.
     * @param now Present time.
     */
    void requestLeft(const std::string& entry, time_point now) { m_rates.ended(entry, now); }

    /**
     * @brief Takes the end of a request that the upstream worked on.
     * @param entry Its entry.
     * @param isGood True if it succeeded within its target latency.
     * @param now Present time.
     */
    void requestEnded(const std::string& entry, bool isGood, time_point now);

    /**
     * @brief Tells whether requests of an entry depend on calls of the upstream.
     * @param entry The entry.
     * @return False only if its requests have ended well while calls did not; an overload that is not met at its start
     * costs more than some requests that are turned away without need.
     */
    [[nodiscard]] bool isDependent(const std::string& entry) const;

    /**
     * @brief Returns the fitted rate of the calls of an entry, relative to the mean rate.
     * @param entry The entry.
     * @return The rate; 1 while there is too little to tell.
     */
    [[nodiscard]] double relativeCallRate(const std::string& entry) const
    {
        return m_rates.relativeRate(entry).value_or(1.0);
    }

private:
    struct entry_counts {
        double expected = 0.0; /*!< Bad ends to expect if each request made one call. */
        double bad = 0.0;
    };

    [[nodiscard]] double badCallShare(time_point now) const;

    call_rates m_rates;
    double m_calls = 0.0; /*!< Recent calls; decays. */
    double m_badCalls = 0.0;
    time_point m_decayedAt;
    std::unordered_map<std::string, entry_counts> m_entries;
};

} // namespace knapweedcroft

#endif
