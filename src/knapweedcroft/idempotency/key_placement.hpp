#ifndef KNAPWEEDCROFT_IDEMPOTENCY_KEY_PLACEMENT_HPP
#define KNAPWEEDCROFT_IDEMPOTENCY_KEY_PLACEMENT_HPP

#include "knapweedcroft/idempotency/settings.hpp"
#include "knapweedcroft/membership/lease_table.hpp"
#include "knapweedcroft/membership/view.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief The key has never run, given that this node's table has no record of it. */
struct admit_new { };

/** @brief The call may have run, either at an earlier holder whose table is lost or before the key's window. */
struct unknown_outcome { };

/** @brief An earlier holder may still execute calls with the key; refuse the call as not run. */
struct wait_for_hand_over {
    milliseconds retryAfter;
};

/** @brief Another node holds the key. */
struct not_holder {
    node_name holder; /*!< Empty if the service has no member. */
};

/** @brief The key's timestamp is ahead of this clock by more than the skew bound; refuse the call as not run. */
struct refuse_clock_ahead { };

/** @brief Decision on a key without a record in this node's table, derived from the views of its service. */
using placement_decision = std::variant<admit_new, unknown_outcome, wait_for_hand_over, not_holder, refuse_clock_ahead>;

/** @brief A hand-over that this node must send repeatedly until the receiver acknowledges it. */
struct pending_hand_over {
    node_name to;
    std::int64_t viewOffset = -1;
    time_point completeSince; /*!< Wall time; this node's table has every key issued later that has run. */
};

/** @brief Determines which node holds a key, and whether the key may have run at an earlier holder. */
class key_placement {
public:
    /**
     * @brief Constructs a placement that has neither received nor sent a hand-over.
     * @param settings Supplies the clock skew bound and the retry delay.
     * @param self Name and incarnation of this node.
     */
    key_placement(const idempotency_settings& settings, node_identity self);

    /**
     * @brief Selects the holder of a key by rendezvous hashing over the node names of a view.
     * @return The holder, or null if the view is empty.
     */
    [[nodiscard]] static const member* holder(const service_view& view, std::string_view key) noexcept;

    /**
     * @brief Decides whether a key without a record in this node's table may run.
     *
     * A key is admitted only if every incarnation that held it in a retained view has provably stopped acting on that
     * view or has handed its keys over.
     * @param history Retained views of the service.
     * @param leases Tells when other incarnations stopped acting on their keys.
     * @param window Time for which the result of a call with this key is kept.
     * @param now Monotonic time.
     * @param wallNow Wall time.
     */
    [[nodiscard]] placement_decision check(std::string_view key, const service_history& history,
        const lease_table& leases, milliseconds window, time_point now, time_point wallNow) const;

    /**
     * @brief Registers a received hand-over; its records must already be in the table.
     * @param from Name of the sender.
     * @param viewOffset Offset of the view that moved the keys.
     * @param completeSince Wall time; the sender had a record of every key issued later.
     * @param isComplete False for the later result of a call that was still running; such a message is ignored here.
     */
    void registerHandOver(const node_name& from, std::int64_t viewOffset, time_point completeSince, bool isComplete);

    /**
     * @brief Returns the unacknowledged hand-overs that this node can send now.
     *
     * A hand-over is left out while an earlier holder of this node's keys may still execute calls with them.
     * @param history Retained views of the service.
     * @param leases Tells when other incarnations stopped acting on their keys.
     * @param now Monotonic time.
     * @param wallNow Wall time.
     * @return The hand-overs in order of their views.
     */
    [[nodiscard]] std::vector<pending_hand_over> pendingHandOvers(
        const service_history& history, const lease_table& leases, time_point now, time_point wallNow) const;

    /**
     * @brief Registers the acknowledgement of a complete hand-over, which is then no longer sent.
     * @param to Name of the receiver.
     * @param viewOffset Offset of the view that moved the keys.
     */
    void registerAcknowledgement(const node_name& to, std::int64_t viewOffset);

    /**
     * @brief Checks whether a view moved a key from this node to another; the predicate for `key_table::exportMoved`.
     *
     * If a later view moved the key on, the receiver forwards it with the hand-over of that view.
     * @param history Retained views of the service.
     * @param viewOffset Offset of the view that moved the keys.
     * @param to Name of the receiver.
     */
    [[nodiscard]] bool isMovedTo(
        const service_history& history, std::int64_t viewOffset, const node_name& to, std::string_view key) const;

    /**
     * @brief Removes hand-overs and acknowledgements of views that are no longer retained.
     * @param viewOffset Offset of the oldest retained view.
     */
    void forgetBefore(std::int64_t viewOffset);

private:
    /** @brief How far this node's records cover earlier executions of a key; a later time is the safer one. */
    struct record_coverage {
        bool isExclusive = true; /*!< No earlier holder can still execute calls with the key. */
        time_point completeSince; /*!< Wall time; keys issued later that have run are recorded. Epoch: all keys. */
    };

    struct clock_reading {
        time_point now;
        time_point wallNow;
    };

    void addFormerHolder(record_coverage& coverage, const node_identity& identity, std::int64_t viewOffset,
        const lease_table& leases, const clock_reading& clocks) const;
    void addForgottenHolders(record_coverage& coverage, const service_history& history, const lease_table& leases,
        const clock_reading& clocks) const;
    [[nodiscard]] record_coverage coverageOfKey(std::string_view key, const service_history& history,
        const lease_table& leases, const clock_reading& clocks) const;
    [[nodiscard]] record_coverage coverageOfTable(
        const service_history& history, std::size_t last, const lease_table& leases, const clock_reading& clocks) const;
    [[nodiscard]] std::optional<time_point> receivedHandOver(const node_name& from, std::int64_t viewOffset) const;
    [[nodiscard]] bool mayStillHandOver(const service_history& history, const node_identity& identity,
        const lease_table& leases, const clock_reading& clocks) const;
    void addAllFormerHolders(record_coverage& coverage, const service_history& history, std::size_t index,
        const lease_table& leases, const clock_reading& clocks) const;
    void addPendingHandOvers(std::vector<pending_hand_over>& pending, const service_history& history, std::size_t index,
        const lease_table& leases, const clock_reading& clocks) const;

    idempotency_settings m_settings;
    node_identity m_self;
    /** @brief `completeSince` of each complete hand-over received, by sender and view offset. */
    std::map<std::pair<node_name, std::int64_t>, time_point> m_received;
    /** @brief Acknowledged hand-overs, by receiver and view offset. */
    std::set<std::pair<node_name, std::int64_t>> m_acknowledged;
};

} // namespace knapweedcroft

#endif
