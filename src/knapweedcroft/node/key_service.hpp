#ifndef KNAPWEEDCROFT_NODE_KEY_SERVICE_HPP
#define KNAPWEEDCROFT_NODE_KEY_SERVICE_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/idempotency/key_placement.hpp"
#include "knapweedcroft/idempotency/key_table.hpp"
#include "knapweedcroft/membership/lease_table.hpp"
#include "knapweedcroft/membership/membership_state.hpp"
#include "knapweedcroft/node/actions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace knapweedcroft {

/** @brief Deduplicates keyed calls at the holder of their keys, and hands keys over when the holder changes. */
class key_service {
public:
    /**
     * @brief Constructs a service without keys.
     * @param self Name and incarnation of this node.
     * @param service Service of the upstream of this host.
     * @param settings Limits of the key table.
     * @param seed Seed of the jitter of retry-after times.
     * @param membership Membership views of the services.
     * @param leases Leases between the members of the service.
     */
    key_service(node_identity self, service_name service, const idempotency_settings& settings, std::uint64_t seed,
        const membership_state& membership, const lease_table& leases);

    /**
     * @brief Sets the current time; must be called before any other function for each event.
     * @param now Current monotonic time.
     * @param wallNow Current wall-clock time.
     */
    void setTime(time_point now, time_point wallNow);

    /**
     * @brief Decides whether a keyed call runs, joins a running call, gets a recorded result or is refused.
     * @param key Idempotency key.
     * @param entry Name of the catalogue entry.
     * @param bodyHash Hash of the body, which reveals the reuse of a key for another request.
     * @param window Retention of the result.
     */
    [[nodiscard]] key_decision admit(
        const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window);

    /** @brief Returns the end of the lease under which this node may start keyed calls, or nothing without a lease. */
    [[nodiscard]] std::optional<time_point> leaseEnd() const;

    /** @brief Marks the call of a key as dispatched. */
    void markRunning(const std::string& key) { m_table.markRunning(key); }

    /**
     * @brief Records the result of a keyed call, or sends it to the current holder if the key has moved.
     * @param key Idempotency key.
     * @param entry Name of the catalogue entry.
     * @param bodyHash Hash of the body.
     * @param window Retention of the result.
     * @param outcome Result of the call.
     * @param actions Receives the resulting actions.
     */
    void resolve(const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window,
        const call_result& outcome, node_actions& actions);

    /**
     * @brief Sends pending hand-overs, and resends those that are not acknowledged yet.
     * @param linked Peers with an open link.
     * @param actions Receives the resulting actions.
     */
    void sendPendingHandOvers(const std::set<node_name>& linked, node_actions& actions);

    /**
     * @brief Imports the records of a hand-over, and acknowledges it if it is complete.
     * @param peer Sender.
     * @param message The hand-over.
     * @param actions Receives the resulting actions.
     */
    void receive(const node_name& peer, const hand_over_message& message, node_actions& actions);

    /** @brief Handles the acknowledgement of a hand-over by a peer. */
    void handleAcknowledgement(const node_name& peer, const hand_over_ack_message& message);

    /** @brief Handles a change of the membership view of the service. */
    void handleViewChange() { m_mayHaveHandOvers = true; }

    /** @brief Returns whether any hand-over is not sent or not acknowledged yet. */
    [[nodiscard]] bool hasPendingHandOvers() const;

    /** @brief Returns the number of keys in the table. */
    [[nodiscard]] std::size_t size() const noexcept { return m_table.size(); }

private:
    using hand_over_id = std::pair<node_name, std::int64_t>;

    struct hand_over_transmission {
        hand_over_message message;
        time_point sendAt;
    };

    [[nodiscard]] std::optional<key_decision> checkPlacement(const std::string& key, milliseconds window);
    void prepareHandOvers();
    void forwardResult(const key_record& record, node_actions& actions);

    node_identity m_self;
    service_name m_service;
    jitter m_jitter;
    const membership_state& m_membership;
    const lease_table& m_leases;
    key_table m_table;
    key_placement m_placement;
    time_point m_now;
    time_point m_wallNow;
    bool m_mayHaveHandOvers = false;
    time_point m_nextCheck;
    std::map<hand_over_id, hand_over_transmission> m_pending;
};

} // namespace knapweedcroft

#endif
