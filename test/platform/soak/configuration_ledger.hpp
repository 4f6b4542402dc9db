#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_CONFIGURATION_LEDGER_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_CONFIGURATION_LEDGER_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Deadlines for configuration changes, as the platform's rules state them. */
struct configuration_bounds {
    milliseconds contact { 3000 }; /*!< A node must have been undisturbed for this long. */
    milliseconds apply { 2000 }; /*!< From the acknowledgement of a version until it is in force. */
    milliseconds stretch { 5000 }; /*!< Added to `apply` while the store turns away some nodes. */
    milliseconds regression { 250 }; /*!< After the effect of a version was seen, no older one may show. */
};

/** @brief A request for a route that exists in one version only. */
struct configuration_probe {
    std::string node;
    std::size_t process = 0; /*!< Number of the process of the node that received it. */
    std::int64_t version = 0;
    time_point sentAt;
    time_point endedAt;
    bool isServed = false; /*!< Served, which shows that `version` was in force; otherwise answered with 404. */
};

/** @brief Records changes, disturbances and probes, and checks which version was in force when. */
class configuration_ledger {
public:
    explicit configuration_ledger(const configuration_bounds& bounds = {})
        : m_bounds { bounds }
    {
    }

    /** @brief Records that the store has acknowledged a version; versions rise. */
    void recordChange(std::int64_t version, time_point acknowledgedAt) { m_acknowledgedAt[version] = acknowledgedAt; }

    /** @brief Begins or ends a disturbance of a node: of its process, of its links or of its path to the store. */
    void setDisturbed(const std::string& node, bool isDisturbed, time_point now)
    {
        m_disturbances[node].set(isDisturbed, now);
    }

    /** @brief Begins or ends an outage of the store for all nodes. */
    void setOutage(bool isOutage, time_point now) { m_outages.set(isOutage, now); }

    /** @brief Begins or ends a time in which the store turns away some nodes. */
    void setTurningAway(bool isTurningAway, time_point now) { m_refusals.set(isTurningAway, now); }

    void recordProbe(configuration_probe probe) { m_probes.push_back(std::move(probe)); }

    /** @brief Returns the latest version that a request must be handled by; nothing if no version is due. */
    [[nodiscard]] std::optional<std::int64_t> requiredVersion(const std::string& node, time_point sentAt) const;

    /** @brief Returns the number of probes at nodes for which a version was due. */
    [[nodiscard]] std::size_t checkedProbes() const;

    [[nodiscard]] std::vector<std::string> violations() const;

private:
    /** @brief Periods in which a condition holds; calls to `set` may repeat a state. */
    class periods {
    public:
        void set(bool isActive, time_point now);
        /** @brief Returns whether the condition holds at any moment from `from` to `until`. */
        [[nodiscard]] bool overlaps(time_point from, time_point until) const;

    private:
        struct period {
            time_point from;
            std::optional<time_point> until;
        };
        std::vector<period> m_all;
    };

    [[nodiscard]] std::optional<std::string> findFault(const configuration_probe& probe) const;
    [[nodiscard]] std::vector<std::string> findRegressions() const;

    configuration_bounds m_bounds;
    std::map<std::int64_t, time_point> m_acknowledgedAt;
    std::map<std::string, periods> m_disturbances;
    periods m_outages;
    periods m_refusals;
    std::vector<configuration_probe> m_probes;
};

} // namespace knapweedcroft::platform

#endif
