#ifndef KNAPWEEDCROFT_GATEWAY_ORIGIN_REQUESTS_HPP
#define KNAPWEEDCROFT_GATEWAY_ORIGIN_REQUESTS_HPP

#include "knapweedcroft/core/jitter.hpp"
#include "knapweedcroft/gateway/actions.hpp"
#include "knapweedcroft/gateway/entry_table.hpp"
#include "knapweedcroft/gateway/events.hpp"
#include "knapweedcroft/gateway/node_directory.hpp"
#include "knapweedcroft/gateway/placement.hpp"
#include "knapweedcroft/gateway/retry_allowance.hpp"
#include "knapweedcroft/gateway/served_requests.hpp"
#include "knapweedcroft/gateway/service_split.hpp"
#include "knapweedcroft/gateway/settings.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Counts of requests that began on this host. */
struct origin_request_counters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0; /*!< With the answer of an upstream. */
    std::uint64_t refused = 0; /*!< As not run. */
    std::uint64_t failed = 0; /*!< After they may have run. */
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0; /*!< By their clients. */
    std::uint64_t rerouted = 0; /*!< To another upstream, after one that did not run the request. */
    std::uint64_t repeated = 0; /*!< To another upstream, out of the retry budget. */
    std::uint64_t crossed = 0; /*!< Sent to another data centre. */
};

/** @brief The requests of the clients and of the upstream of this host, from arrival to final answer. */
class origin_requests {
public:
    /**
     * @brief Constructs an object without requests; each is refused until a catalogue is set.
     * @param settings Settings of the gateway.
     * @param directory The nodes; must outlive the object.
     * @param served Learns which requests are calls of the upstream of this host; must outlive the object.
     */
    origin_requests(const gateway_settings& settings, node_directory& directory, served_requests& served);

    /**
     * @brief Uses a catalogue for the requests that arrive from now on.
     * @param table The catalogue.
     */
    void setTable(std::shared_ptr<const entry_table> table);

    /**
     * @brief Prepares for the end of the process: requests that may not end before it are refused as not run.
     * @param now Present time.
     * @param end The end of the process.
     */
    void startDraining(time_point now, time_point end);

    /**
     * @brief Changes the bound on repeats.
     * @param settings The bound.
     */
    void configureRetries(const retry_allowance_settings& settings) { m_allowance.configure(settings); }

    /**
     * @brief Takes a request.
     * @param event The request.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void arrive(client_request event, time_point now, gateway_actions& actions);

    /**
     * @brief Gives up a request whose client has gone.
     * @param handle The request.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void abandon(request_handle handle, time_point now, gateway_actions& actions);

    /**
     * @brief Takes the answer of the node beside an upstream.
     * @param peer The node.
     * @param answer The answer.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void finish(const node_name& peer, forward_answer answer, time_point now, gateway_actions& actions);

    /**
     * @brief Settles the requests that were sent on a link which has closed.
     * @param event The peer and the requests of which no byte was written.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void linkLost(const link_closed& event, time_point now, gateway_actions& actions);

    /**
     * @brief Takes note that the upstream beside a node is another one.
     * @param node The node.
     */
    void upstreamReplaced(const node_name& node) { m_placement.forget(node); }

    /**
     * @brief Answers the requests whose time has run out.
     * @param now Present time.
     * @param actions Receives what is to be done.
     */
    void poll(time_point now, gateway_actions& actions);

    /** @brief Returns when `poll` is due, if ever. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /** @brief Returns the number of requests without an answer. */
    [[nodiscard]] std::size_t pendingCount() const noexcept { return m_requests.size(); }

    /** @brief Returns the counts since the start. */
    [[nodiscard]] const origin_request_counters& counters() const noexcept { return m_counters; }

private:
    struct origin_request {
        request_handle handle = 0;
        std::shared_ptr<const entry_table> table; /*!< Keeps the entry alive. */
        const forward_entry* entry = nullptr;
        service_name service;
        std::string requestId;
        opaque_request request;
        time_point arrival;
        time_point clientDeadline; /*!< The client stops waiting. */
        time_point deadline; /*!< The final answer is due, by the client or the entry. */
        node_name node; /*!< Node to which it was sent last. */
        std::vector<node_name> tried;
        std::uint32_t arrivals = 0; /*!< At upstreams, as far as is known. */
        bool mayHaveRun = false;
        milliseconds retryAfter; /*!< Shortest time that a refusal named. */
        refusal_reason reason = refusal_reason::no_upstream;
    };

    using request_map = std::unordered_map<std::uint64_t, origin_request>;

    void place(std::uint64_t id, time_point now, gateway_actions& actions);
    void send(std::uint64_t id, const placement_candidate& target, bool hasAlternative, time_point now,
        gateway_actions& actions);
    [[nodiscard]] std::vector<placement_candidate> candidatesFor(const origin_request& request, time_point now) const;
    [[nodiscard]] bool isTooLate(const origin_request& request, time_point now) const;
    [[nodiscard]] bool maySendAgain(const origin_request& request, time_point now);
    void takeRefusal(std::uint64_t id, const forward_refusal& refusal, time_point now, gateway_actions& actions);
    void takeFailure(std::uint64_t id, const std::string& cause, time_point now, gateway_actions& actions);
    void refuse(std::uint64_t id, time_point now, gateway_actions& actions);
    void close(std::uint64_t id, own_answer answer, gateway_actions& actions);
    void remove(std::uint64_t id);
    void log(log_level level, std::string event, const origin_request& request,
        std::vector<std::pair<std::string, std::string>> fields, time_point now, gateway_actions& actions) const;

    gateway_settings m_settings;
    node_directory& m_directory;
    served_requests& m_served;
    std::shared_ptr<const entry_table> m_table;
    service_split m_split;
    placement m_placement;
    retry_allowance m_allowance;
    jitter m_jitter;
    request_map m_requests;
    std::unordered_map<request_handle, std::uint64_t> m_ids;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    origin_request_counters m_counters;
    std::optional<time_point> m_end; /*!< End of the process, once it is to stop. */
    time_point m_drainingSince;
    std::uint64_t m_lastId = 0;
};

} // namespace knapweedcroft

#endif
