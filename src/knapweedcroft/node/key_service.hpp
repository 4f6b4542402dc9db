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

/** @brief Decides on keyed calls at the holder of their keys, and moves keys when the holder changes. */
class key_service {
public:
    /**
     * @brief Constructs a service that holds no key.
     * @param self Name and incarnation of this node.
     * @param service Service of the upstream of this host.
     * @param settings Bounds of the table.
     * @param seed Seed of the retry times.
     * @param membership Views of the services.
     * @param leases Leases between the members of the service.
     */
    key_service(node_identity self, service_name service, const idempotency_settings& settings, std::uint64_t seed,
        const membership_state& membership, const lease_table& leases);

    /**
     * @brief Sets the present times; to be called before anything else for each event.
     * @param now Present time.
     * @param wallNow Present wall-clock time.
     */
    void setTime(time_point now, time_point wallNow);

    /**
     * @brief Decides on a keyed call.
     * @param key Its key.
     * @param entry Name of its catalogue entry.
     * @param bodyHash Hash of its body.
     * @param window Time for which its result is kept.
     * @return The decision.
     */
    [[nodiscard]] key_decision admit(
        const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window);

    /**
     * @brief Returns the time until which this node may start keyed calls.
     * @return The time, or nothing if it may not now.
     */
    [[nodiscard]] std::optional<time_point> leaseUntil() const;

    /**
     * @brief Notes that the call of a key is dispatched.
     * @param key The key.
     */
    void markRunning(const std::string& key) { m_table.markRunning(key); }

    /**
     * @brief Records the result of a key's call, or sends it to the present holder if the key has moved.
     * @param key The key.
     * @param entry Name of the call's catalogue entry.
     * @param bodyHash Hash of the call's body.
     * @param window Time for which the result is kept.
     * @param outcome The result.
     * @param actions Receives what is to be done.
     */
    void resolve(const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window,
        const call_result& outcome, node_actions& actions);

    /**
     * @brief Sends the hand-overs that are owed and have not been acknowledged.
     * @param linked Peers with an open link.
     * @param actions Receives what is to be done.
     */
    void sendOwed(const std::set<node_name>& linked, node_actions& actions);

    /**
     * @brief Takes a hand-over and acknowledges it.
     * @param peer Sender.
     * @param message The hand-over.
     * @param actions Receives what is to be done.
     */
    void receive(const node_name& peer, const hand_over_message& message, node_actions& actions);

    /**
     * @brief Takes the acknowledgement of a hand-over.
     * @param peer Sender.
     * @param message The acknowledgement.
     */
    void acknowledged(const node_name& peer, const hand_over_ack_message& message);

    /** @brief Takes notice of a change of the view of the service. */
    void viewChanged() { m_mayOwe = true; }

    /** @brief Tells whether hand-overs wait to be sent or acknowledged. */
    [[nodiscard]] bool owesHandOver() const;

    /** @brief Returns the number of keys in the table. */
    [[nodiscard]] std::size_t size() const noexcept { return m_table.size(); }

private:
    using hand_over_id = std::pair<node_name, std::int64_t>;

    struct hand_over_transmission {
        hand_over_message message;
        time_point sendAt;
    };

    [[nodiscard]] std::optional<key_decision> checkPlacement(const std::string& key, milliseconds window);
    void prepareOwed();
    void passOn(const key_record& record, node_actions& actions);

    node_identity m_self;
    service_name m_service;
    jitter m_jitter;
    const membership_state& m_membership;
    const lease_table& m_leases;
    key_table m_table;
    key_placement m_placement;
    time_point m_now;
    time_point m_wallNow;
    bool m_mayOwe = false;
    time_point m_nextCheck;
    std::map<hand_over_id, hand_over_transmission> m_pending;
};

} // namespace knapweedcroft

#endif
