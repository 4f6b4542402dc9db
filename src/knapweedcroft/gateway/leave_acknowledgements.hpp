#ifndef KNAPWEEDCROFT_GATEWAY_LEAVE_ACKNOWLEDGEMENTS_HPP
#define KNAPWEEDCROFT_GATEWAY_LEAVE_ACKNOWLEDGEMENTS_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/recent_ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Answer that is due to an upstream which has announced that it leaves. */
struct leave_verdict {
    std::string upstream; /*!< Identifier of the upstream. */
    bool isAcknowledged = false; /*!< False if the upstream must announce its leave again. */

    friend bool operator==(const leave_verdict& lhs, const leave_verdict& rhs)
    {
        return lhs.upstream == rhs.upstream && lhs.isAcknowledged == rhs.isAcknowledged;
    }
};

/**
 * @brief Decides when the leave of an upstream is acknowledged.
 *
 * An acknowledged leave binds all later processes, and all processes may end at once. So a leave is acknowledged once
 * the store holds it, and refused if the store does not answer in time.
 */
class leave_acknowledgements {
public:
    /**
     * @brief Starts to wait for the record of a leave, or continues if it is waited for already.
     * @return True if the leave has been recorded before.
     */
    bool await(const std::string& upstream, time_point now);

    /** @brief Returns true if a leave has been announced and the store does not hold it yet. */
    [[nodiscard]] bool isPending(const std::string& upstream) const { return m_leaves.count(upstream) != 0; }

    /** @brief Records that the store holds the latest record of this node. */
    void recordStored();

    /** @brief Returns an upstream whose leave has been announced and not acknowledged, if there is one. */
    [[nodiscard]] std::optional<std::string> unacknowledged() const;

    /** @brief Returns the verdicts that are due, each once. */
    [[nodiscard]] std::vector<leave_verdict> takeVerdicts(time_point now);

    /** @brief Returns when the next verdict is due without a further event, if a leave is waited for. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

private:
    static constexpr std::size_t maxAcknowledged = 64; // Bounds the memory for upstreams of this host that have left.

    struct announced_leave {
        bool isAwaited = false; /*!< The upstream waits for an answer. */
        time_point since; /*!< When it began to wait. */
        bool isStored = false;
    };

    std::map<std::string, announced_leave> m_leaves; /*!< By upstream; not acknowledged yet. */
    recent_ids m_acknowledged { maxAcknowledged }; /*!< Upstreams may announce their leave several times. */
};

} // namespace knapweedcroft

#endif
