#ifndef KNAPWEEDCROFT_ROUTING_ROUTER_HPP
#define KNAPWEEDCROFT_ROUTING_ROUTER_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/routing/settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Member of a service. */
struct member_info {
    node_name node;
    service_name service;
    std::string data_centre;
    bool isSelf = false; /*!< The member is the routing node itself, which needs no link. */
};

/** @brief How an attempt to run a call on a member ended. */
enum class attempt_outcome : std::uint8_t {
    succeeded,
    refused, /*!< Answered as not run; not a failure of the member. */
    failed,
    timed_out,
    cancelled /*!< Cancelled by the caller; no information about the member. */
};

/**
 * @brief Load balancer among the members of a service, based on what this node measures.
 *
 * Of two randomly chosen members, the call goes to the one with the lower load (power of two choices), which is scored
 * by calls in flight, latency and advertised queueing time. A member with consecutive failures is ejected for a time
 * (outlier ejection) and then probed with one call.
 */
class router {
public:
    /**
     * @brief Constructs a router without members.
     * @param ownDataCentre Data centre of the routing node.
     * @param seed Seed of the random choices.
     */
    router(const routing_settings& settings, std::string ownDataCentre, std::uint64_t seed);

    /** @brief Adds or updates a member; the share of calls of a new one grows over `rampTime`. */
    void setMember(const member_info& member, time_point now);

    /** @brief Removes a member; ignored if unknown. */
    void removeMember(const node_name& node);

    /**
     * @brief Sets whether calls can be sent to a node; may be called before the node is a member.
     * @param isAvailable True if the link is up and the node is not draining. Until this is set, only the routing node
     * itself is available.
     */
    void setAvailable(const node_name& node, bool isAvailable);

    /** @brief Returns whether calls can be sent to a node. */
    [[nodiscard]] bool isAvailable(const node_name& node) const { return m_available.count(node) > 0; }

    /** @brief Returns whether a service has a member that was never available, so that its link may still open. */
    [[nodiscard]] bool hasPendingMember(const service_name& service) const;

    /**
     * @brief Chooses the member for the next call of a service.
     * @param excluded Members to which the call was already sent.
     * @return Name of the member, or nothing if none is available.
     */
    [[nodiscard]] std::optional<node_name> choose(
        const service_name& service, const std::vector<node_name>& excluded, time_point now);

    /** @brief Returns the names of all members of a service, available or not, in ascending order. */
    [[nodiscard]] std::vector<node_name> members(const service_name& service) const;

    /** @brief Returns whether a service has a member, available or not. */
    [[nodiscard]] bool hasService(const service_name& service) const;

    /**
     * @brief Records that a call was sent to a member.
     * @param node Name of the member; ignored if unknown.
     */
    void started(const node_name& node, time_point now);

    /**
     * @brief Records that a call sent to a member ended; each `started` must be followed by one `finished`.
     * @param node Name of the member; ignored if unknown.
     * @param latency Time from sending the call to its end.
     * @param queueTime Queueing time advertised by the member; zero if there was no answer.
     */
    void finished(
        const node_name& node, attempt_outcome outcome, milliseconds latency, milliseconds queueTime, time_point now);

    /** @brief Returns the number of calls sent to a node that have not ended. */
    [[nodiscard]] std::uint32_t inFlight(const node_name& node) const;

    /** @brief Returns whether a member is ejected; it stays so until a call to it is answered. */
    [[nodiscard]] bool isEjected(const node_name& node) const;

private:
    struct member_state {
        member_info info;
        time_point rampStart;
        std::uint32_t inFlight = 0;
        std::optional<double> latency; /*!< Exponentially weighted moving average in milliseconds. */
        milliseconds queueTime;
        std::uint32_t failures = 0; /*!< Consecutive failures. */
        std::uint32_t ejections = 0; /*!< Consecutive ejections. */
        std::optional<time_point> ejectedUntil;
        bool hasProbeInFlight = false;
    };

    using candidates = std::vector<const member_state*>;

    [[nodiscard]] bool isAvailable(const member_state& member) const;
    [[nodiscard]] const member_state* pickLessLoaded(const candidates& from, time_point now);
    [[nodiscard]] const member_state* sample(const candidates& from, time_point now);
    [[nodiscard]] double loadScore(const member_state& member) const;
    void recordFailure(member_state& member, time_point now);
    void recordResponse(member_state& member);
    [[nodiscard]] bool mayEject(const service_name& service) const;

    routing_settings m_settings;
    std::string m_ownDataCentre;
    std::mt19937_64 m_random;
    std::map<node_name, member_state> m_members;
    std::map<service_name, std::set<node_name>> m_services;
    std::set<node_name> m_available;
    std::set<node_name> m_onceAvailable;
};

} // namespace knapweedcroft

#endif
