#ifndef KNAPWEEDCROFT_GATEWAY_ROOM_CONTROL_HPP
#define KNAPWEEDCROFT_GATEWAY_ROOM_CONTROL_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>

namespace knapweedcroft {

/** @brief What a room control measures of an upstream at one time. */
struct room_sample {
    std::uint32_t slots = 0;
    milliseconds wait; /*!< Predicted wait of a request that is queued last. */
};

/**
 * @brief Computes the share of new work for which an upstream has room.
 *
 * Load pattern: a service deep in the call tree has less room than the demand. Each of its refusals fails a whole
 * request after other services have worked on it, so nearly all requests fail while the deep service is busy with calls
 * for them. The node beside it advertises this share, answers carry it up to where new requests enter, and the excess
 * is turned away there. The share follows the work that arrives, as in the rate control protocol RCP: it moves in
 * proportion to the spare capacity less what the queue needs to drain, so it settles within some round trips and comes
 * back as fast when the load falls.
 */
class room_control {
public:
    /**
     * @brief Counts work that arrived for the upstream.
     * @param serviceTime Expected time of the request on the upstream.
     */
    void offered(milliseconds serviceTime) { m_offered += serviceTime.count(); }

    /**
     * @brief Updates the share.
     * @param sample State of the upstream.
     * @param now Present time.
     */
    void update(const room_sample& sample, time_point now);

    /** @brief Returns the share of new work for which there is room, above 0 and at most 1. */
    [[nodiscard]] double share() const noexcept { return m_share; }

    /** @brief Returns the offered work per capacity of the last moments. */
    [[nodiscard]] double utilization() const noexcept { return m_utilization; }

private:
    double m_share = 1.0;
    double m_offered = 0.0; /*!< Work since the last update, in ms of slot time. */
    double m_utilization = 0.0; /*!< Offered work per capacity; smoothed. */
    time_point m_updatedAt;
};

/**
 * @brief Returns the share of the requests of a rank that may start.
 * @param room Share of new work for which there is room.
 * @param rank Importance of the requests; zero is the highest.
 * @return The share; less urgent requests give way first.
 */
[[nodiscard]] double admittedShare(double room, std::uint32_t rank) noexcept;

} // namespace knapweedcroft

#endif
