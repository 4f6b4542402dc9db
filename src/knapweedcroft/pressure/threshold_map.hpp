#ifndef KNAPWEEDCROFT_PRESSURE_THRESHOLD_MAP_HPP
#define KNAPWEEDCROFT_PRESSURE_THRESHOLD_MAP_HPP

#include "knapweedcroft/core/class_order.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/pressure/settings.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Admission thresholds of services, and the services that calls of each entry usually reach.
 *
 * With n members, the threshold of a service is the (n + 1) / 2-th strictest of the thresholds of its members; a member
 * without a valid threshold counts as refusing nothing. A call beyond it would be refused by at least half of the
 * members, so that a single overloaded or idle member does not decide for the whole service.
 *
 * Thresholds reported by other nodes are used only while no member of the service has answered this node within the
 * validity of its answer. Of several reports the least strict one counts, since a call may take any path.
 */
class threshold_map {
public:
    /**
     * @brief Constructs an empty map.
     * @param ownService Service of the upstream on this host; left out of the advertised thresholds, since every answer
     * carries the threshold of the upstream itself.
     */
    threshold_map(const pressure_settings& settings, service_name ownService);

    /**
     * @brief Sets the number of members of a service.
     * @param count Number of members; zero removes the service.
     */
    void setMemberCount(const service_name& service, std::size_t count);

    /**
     * @brief Records the threshold that a member sent with an answer.
     * @param threshold Threshold of the member, or nothing if it refuses no call.
     * @param validity Time for which the threshold may be used; at most `longestValidity` counts.
     */
    void recordThreshold(const service_name& service, const node_name& node, std::optional<priority> threshold,
        milliseconds validity, time_point now);

    /**
     * @brief Records the thresholds of downstream services that a node reported; they replace its earlier report.
     * @param reported All thresholds known to the node.
     */
    void recordReports(const std::vector<service_threshold>& reported, const node_name& via, time_point now);

    /**
     * @brief Records the services that one complete call of an entry reached.
     * @param reached Names of the services; repeated names count once.
     */
    void recordReachedServices(const std::string& entry, const std::vector<service_name>& reached);

    /** @brief Removes the thresholds received from a node that left or was restarted. */
    void removeNode(const node_name& node);

    /**
     * @brief Finds a service in the call tree of an entry that would refuse a call.
     * @return The service, or nothing if none would refuse the call.
     */
    [[nodiscard]] std::optional<service_name> refusingService(
        const std::string& entry, priority order, time_point now) const;

    /**
     * @brief Admits or refuses a new action without priority inversions within 100 ms.
     *
     * A call beyond the threshold of a service is still admitted if a call of a less important class that reaches the
     * service was admitted in the last 100 ms; the queue of the service then decides. A call within the thresholds is
     * refused if a call of a more important class was refused in the last 100 ms for a service that it reaches.
     * @return The service for which the call is refused, or nothing if it is admitted.
     */
    [[nodiscard]] std::optional<service_name> admit(const std::string& entry, priority order, time_point now);

    /**
     * @brief Returns the threshold of a service.
     * @return The threshold and its remaining validity, or nothing if the service has no threshold.
     */
    [[nodiscard]] std::optional<service_threshold> threshold(const service_name& service, time_point now) const;

    /**
     * @brief Returns the thresholds to send with an answer.
     *
     * Each is sent with its remaining validity, so that it expires even if nodes report it to each other.
     * @return The known thresholds of all services except the service of this node.
     */
    [[nodiscard]] std::vector<service_threshold> advertise(time_point now) const;

    /**
     * @brief Returns the services that at least half of the recent calls of an entry reached.
     * @return The services, in ascending order; empty for an entry without recorded calls.
     */
    [[nodiscard]] std::vector<service_name> reachedServices(const std::string& entry) const;

private:
    struct received_threshold {
        priority value;
        time_point receivedAt;
        time_point expiry;
    };

    struct service_state {
        std::size_t memberCount = 0;
        std::map<node_name, received_threshold> members; /*!< Thresholds from answers, by member. */
        std::map<node_name, received_threshold> reports; /*!< Thresholds from reports, by reporting node. */
        class_order recentActions; /*!< Decisions on new actions that reach the service. */
        time_point memberThresholdsUntil; /*!< Until then, reports are not used. */
    };

    [[nodiscard]] received_threshold relaxed(received_threshold known, time_point now) const;
    [[nodiscard]] milliseconds clampedValidity(milliseconds validity) const;
    [[nodiscard]] std::optional<received_threshold> memberThreshold(const service_state& state, time_point now) const;
    [[nodiscard]] std::optional<received_threshold> reportedThreshold(const service_state& state, time_point now) const;
    [[nodiscard]] std::optional<received_threshold> serviceThreshold(const service_state& state, time_point now) const;

    pressure_settings m_settings;
    service_name m_ownService;
    std::map<service_name, service_state> m_services;
    std::map<std::string, std::map<service_name, double>> m_reachShares; /*!< Share of calls that reach a service. */
};

} // namespace knapweedcroft

#endif
