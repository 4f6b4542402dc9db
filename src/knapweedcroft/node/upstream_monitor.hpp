#ifndef KNAPWEEDCROFT_NODE_UPSTREAM_MONITOR_HPP
#define KNAPWEEDCROFT_NODE_UPSTREAM_MONITOR_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Address and concurrency of the upstream of this host. */
struct upstream_capacity {
    std::string address; /*!< `host:port`. */
    std::uint32_t slots = 0; /*!< Calls that it can run concurrently; 0 if it accepts none. */
    bool isColdStart = false; /*!< The upstream has just started. */

    friend bool operator==(const upstream_capacity& lhs, const upstream_capacity& rhs)
    {
        return lhs.address == rhs.address && lhs.slots == rhs.slots && lhs.isColdStart == rhs.isColdStart;
    }
};

/**
 * @brief Tracks the life cycle of the upstream of this host from its announcements.
 *
 * The reported load is kept only for operators, since it may be outdated or misleading.
 */
class upstream_monitor {
public:
    /**
     * @brief Constructs a monitor that has not received an announcement.
     * @param lifeCycle State chart of an upstream.
     * @param service Service that the upstream must announce.
     */
    upstream_monitor(const chart& lifeCycle, std::string service);

    /**
     * @brief Handles an announcement; one for another service is ignored.
     * @param now Current time.
     * @return The new capacity if it changed.
     */
    [[nodiscard]] std::optional<upstream_capacity> handleAnnouncement(const upstream_announced& event, time_point now);

    /**
     * @brief Marks the upstream as silent, without capacity, after 5 s without an announcement.
     * @param now Current time.
     * @return The new capacity if it changed.
     */
    [[nodiscard]] std::optional<upstream_capacity> expire(time_point now);

    /** @brief Returns the time at which `expire` is due, if any. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Handles the end of the warm-up, when the concurrency limit has reached the number of slots. */
    void handleWarmUpEnd();

    /** @brief Returns whether the upstream accepts calls. */
    [[nodiscard]] bool isServing() const noexcept;

    /** @brief Returns whether the upstream announced that it is about to stop. */
    [[nodiscard]] bool isDraining() const noexcept;

    /** @brief Returns the name of the current state. */
    [[nodiscard]] std::string stateName() const;

    /** @brief Returns the newest announcement, if any. */
    [[nodiscard]] const std::optional<upstream_announced>& latest() const noexcept { return m_latest; }

private:
    [[nodiscard]] upstream_capacity capacity(bool isColdStart) const;

    upstream_chart_instance m_state;
    std::string m_service;
    std::optional<upstream_announced> m_latest;
    time_point m_lastAnnouncedAt;
    upstream_capacity m_reported;
};

} // namespace knapweedcroft

#endif
