#ifndef KNAPWEEDCROFT_GATEWAY_SERVED_REQUESTS_HPP
#define KNAPWEEDCROFT_GATEWAY_SERVED_REQUESTS_HPP

#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/call_dependence.hpp"
#include "knapweedcroft/gateway/caller_profile.hpp"
#include "knapweedcroft/gateway/downstream_room.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/room_control.hpp"
#include "knapweedcroft/gateway/settings.hpp"
#include "knapweedcroft/gateway/upstream_queue.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Counts of requests for the upstream of this host. */
struct served_request_counters {
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; /*!< By this node, before they reached the upstream. */
    std::uint64_t shed = 0; /*!< By the upstream, as not run. */
    std::uint64_t failed = 0; /*!< Without a whole answer; may have run. */
    std::uint64_t cancelled = 0;
};

/** @brief The requests for the upstream of this host, which this node alone hands over. */
class served_requests {
public:
    /**
     * @brief Constructs a server of requests.
     * @param settings Settings of the gateway.
     * @param registry The upstream of this host; must outlive the object.
     */
    served_requests(const gateway_settings& settings, upstream_registry& registry);

    /**
     * @brief Takes a request of a node.
     * @param peer The node; may be this one.
     * @param received The request.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void receive(const node_name& peer, forward_request received, time_point now, gateway_actions& actions);

    /**
     * @brief Gives up a request that its sender no longer wants.
     * @param peer The sender.
     * @param id Identifier of the request at its sender.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void cancel(const node_name& peer, call_id id, time_point now, gateway_actions& actions);

    /**
     * @brief Gives up the requests of a peer that can no longer be answered.
     * @param peer The peer whose link has closed.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void peerLost(const node_name& peer, time_point now, gateway_actions& actions);

    /**
     * @brief Takes the end of an exchange with the upstream.
     * @param event How it ended.
     * @param now Present time.
     * @param actions Receives what is to be done.
     * @return True if the upstream at the address is another one or none.
     */
    [[nodiscard]] bool finish(exchange_ended event, time_point now, gateway_actions& actions);

    /**
     * @brief Uses the slots of the upstream, or refuses what waits if it takes no requests any more.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void upstreamChanged(time_point now, gateway_actions& actions);

    /**
     * @brief Sets the services that have hosts in the own data centre.
     * @param services The services.
     */
    void setServices(std::set<service_name> services) { m_callers.setServices(std::move(services)); }

    /**
     * @brief Takes note of a request that began on this host and may be a call of the upstream.
     * @param entry Its entry.
     * @param now Present time.
     */
    void noteArrival(const std::string& entry, time_point now);

    /**
     * @brief Takes the answer to a request that began on this host and may be a call of the upstream.
     * @param entry Its entry.
     * @param answer The answer; tells the room of the services that the upstream calls.
     * @param isTimely True if it came within the target latency.
     * @param now Present time.
     */
    void noteAnswer(const std::string& entry, const forward_answer& answer, bool isTimely, time_point now);

    /** @brief Refuses requests of other nodes from now on, for a planned stop of this node. */
    void startDraining() { m_isDraining = true; }

    /**
     * @brief Refuses what has waited too long.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void poll(time_point now, gateway_actions& actions);

    /** @brief Returns when `poll` is due, if ever. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const { return m_queue.nextWakeup(); }

    /** @brief Returns the load of the upstream. */
    [[nodiscard]] upstream_load load() const { return m_queue.load(); }

    /**
     * @brief Describes the load for the log: the inputs of the decisions on new requests.
     * @param now Present time.
     * @return Names and values.
     */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> describeLoad(time_point now) const;

    /**
     * @brief Describes the room for new work: own, of the services below, and what each entry gets of it.
     * @param now Present time.
     * @return A JSON object.
     */
    [[nodiscard]] nlohmann::json describeRoom(time_point now) const;

    /** @brief Returns the counts since the start. */
    [[nodiscard]] const served_request_counters& counters() const noexcept { return m_counters; }

private:
    struct served_request {
        node_name peer;
        forward_request message;
        time_point deadline;
        time_point target;
        std::optional<time_point> startedAt;
        std::string upstream; /*!< Upstream to which it was sent. */
    };

    using request_map = std::unordered_map<std::uint64_t, served_request>;

    [[nodiscard]] std::optional<refusal_reason> immediateRefusal(
        const node_name& peer, const forward_request& message) const;
    [[nodiscard]] bool isTurnedAway(const forward_request& message, time_point now);
    void noteOutcome(const served_request& request, const exchange_ended& event, time_point now);
    [[nodiscard]] double roomFor(const std::string& entry, time_point now) const;
    [[nodiscard]] served_request take(request_map::iterator position);
    void apply(const slot_decisions& decisions, time_point now, gateway_actions& actions);
    void start(std::uint64_t id, time_point now, gateway_actions& actions);
    void refuse(std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions);
    void drop(std::uint64_t id, time_point now, gateway_actions& actions);
    void answer(const served_request& request, forward_outcome outcome, time_point now, gateway_actions& actions) const;
    void updateRoom(time_point now);
    [[nodiscard]] forward_outcome outcomeOf(
        const served_request& request, upstream_response& response, gateway_actions& actions);
    [[nodiscard]] forward_outcome outcomeOf(
        const served_request& request, const exchange_failure& failure, gateway_actions& actions);
    void log(std::string event, const served_request& request, std::vector<std::pair<std::string, std::string>> fields,
        gateway_actions& actions) const;

    gateway_settings m_settings;
    upstream_registry& m_registry;
    upstream_queue m_queue;
    caller_profile m_callers;
    call_dependence m_dependence;
    room_control m_room;
    downstream_room m_downstream;
    std::set<std::string> m_calledEntries; /*!< Entries that only upstreams call, as answers told. */
    std::unordered_map<std::string, double> m_credits; /*!< Per entry; a new request starts for each whole unit. */
    request_map m_requests;
    std::map<std::pair<node_name, call_id>, std::uint64_t> m_ids;
    served_request_counters m_counters;
    std::uint64_t m_lastId = 0;
    bool m_isDraining = false;
};

} // namespace knapweedcroft

#endif
