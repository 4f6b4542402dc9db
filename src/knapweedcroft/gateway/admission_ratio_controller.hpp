#ifndef KNAPWEEDCROFT_GATEWAY_ADMISSION_RATIO_CONTROLLER_HPP
#define KNAPWEEDCROFT_GATEWAY_ADMISSION_RATIO_CONTROLLER_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstdint>

namespace knapweedcroft {

/** @brief State of an upstream at the time of an update. */
struct load_sample {
    double slots = 0.0; /*!< Slots that can be in use at the same time. */
    milliseconds wait; /*!< Predicted wait of a request queued last. */
};

/**
 * @brief Computes the admission ratio of an upstream: the share of new work for which it has capacity.
 *
 * If a service deep in the call tree has less capacity than demand, each of its refusals fails a whole request after
 * other services have worked on it. Nearly all requests then fail, while the deep service stays busy with their calls.
 * To prevent this, the node beside the service advertises the admission ratio, answers carry it back along the
 * call tree to the nodes where requests enter, and the excess is refused there.
 *
 * The ratio is adjusted as in the Rate Control Protocol (RCP): in proportion to the spare capacity minus the capacity
 * needed to drain the queue. It therefore settles within a few round trips and recovers as fast when the load falls.
 */
class admission_ratio_controller {
public:
    /**
     * @brief Adds the work of a request that arrived for the upstream.
     * @param serviceTime Expected service time of the request.
     */
    void addOfferedWork(milliseconds serviceTime) { m_offeredWorkMs += serviceTime.count(); }

    /** @brief Updates the ratio; does nothing if the last update is too recent or the upstream has no slots. */
    void update(const load_sample& sample, time_point now);

    /** @brief Returns the admission ratio, above 0 and at most 1. */
    [[nodiscard]] double admissionRatio() const noexcept { return m_admissionRatio; }

    /** @brief Returns the moving average of offered work divided by capacity. */
    [[nodiscard]] double utilization() const noexcept { return m_utilization; }

private:
    double m_admissionRatio = 1.0;
    double m_offeredWorkMs = 0.0; /*!< Work since the last update, in slot time. */
    double m_utilization = 0.0; /*!< Offered work divided by capacity; moving average. */
    time_point m_lastUpdate;
};

/**
 * @brief Returns the share of the requests of a rank that may start.
 * @param ratio Admission ratio over all ranks.
 * @param rank Priority of the requests; zero is the highest.
 * @return Share in [0, 1]; lower for lower priorities.
 */
[[nodiscard]] double rankAdmissionRatio(double ratio, std::uint32_t rank) noexcept;

} // namespace knapweedcroft

#endif
