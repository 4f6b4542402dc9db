#ifndef KNAPWEEDCROFT_TEST_GATEWAY_GATEWAY_GROUP_HPP
#define KNAPWEEDCROFT_TEST_GATEWAY_GATEWAY_GROUP_HPP

#include "knapweedcroft/gateway/gateway_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief What requests of an entry cost and call. */
struct entry_model {
    milliseconds work { 10 };
    std::string calls; /*!< Entry that is called; empty for none. */
    int times = 0; /*!< Calls, one after the other. */
};

/** @brief How the requests of a client ended. */
struct client_counts {
    int sent = 0;
    int succeeded = 0;
    int timely = 0;
    int refused = 0; /*!< 503, as not run. */
    int failed = 0;
};

/**
 * @brief Some gateways with their upstreams in virtual time.
 *
 * Links deliver at once and in order. Each upstream works on what its gateway sends it, makes its calls through the
 * same gateway, and answers 500 if one of them fails.
 */
class gateway_group {
public:
    explicit gateway_group(std::shared_ptr<const entry_table> table);

    /** @brief Adds a gateway beside an upstream; call `start` after the last one. */
    void add(const std::string& name, const std::string& service, const std::string& dataCentre, std::uint32_t slots);
    void model(const std::string& entry, const entry_model& value) { m_models[entry] = value; }
    void start();

    /** @brief Sends a request of an entry to a gateway and counts its end under the entry's name. */
    void send(const std::string& name, const std::string& entry);

    /** @brief Sends requests at random times for a while, spread over all gateways, and plays on until they end. */
    void load(const std::map<std::string, double>& perSecond, milliseconds length);

    void run(milliseconds length);
    void handle(const std::string& name, const gateway_event& event);

    /** @brief Cuts the link between two gateways; `unwritten` tells whether frames on their way were not written. */
    void cut(const std::string& first, const std::string& second);

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] gateway_core& core(const std::string& node) { return *m_nodes.at(node)->core; }
    [[nodiscard]] const client_counts& counts(const std::string& entry) { return m_counts[entry]; }
    [[nodiscard]] const std::map<std::string, int>& runs() const { return m_runs; }
    [[nodiscard]] const std::vector<answer_client>& answers(const std::string& node)
    {
        return m_nodes.at(node)->answers;
    }
    [[nodiscard]] const std::vector<start_exchange>& exchanges(const std::string& node)
    {
        return m_nodes.at(node)->exchanges;
    }

    bool answersAutomatically = true; /*!< Upstreams answer by the models; otherwise the test does. */

private:
    struct member_node {
        std::string service;
        std::unique_ptr<gateway_core> core;
        std::vector<answer_client> answers;
        std::vector<start_exchange> exchanges;
        std::set<std::uint64_t> running;
    };

    struct client_state {
        std::string entry;
        time_point sentAt;
        std::function<void(bool)> done; /*!< Set for the call of an upstream. */
    };

    void at(time_point time, std::function<void()> task) { m_tasks.emplace(time, std::move(task)); }
    void perform(const std::string& name, gateway_actions& actions);
    void runExchange(const std::string& name, const start_exchange& action);
    void makeCalls(const std::string& name, std::uint64_t id, const entry_model& work, int left);
    void finish(const std::string& name, std::uint64_t id, bool isGood);
    void request(const std::string& name, const std::string& entry, std::function<void(bool)> done);
    void onAnswer(const std::string& name, const answer_client& answer);
    [[nodiscard]] const forward_entry& entryOf(const std::string& name) const;

    chart_set m_charts;
    std::shared_ptr<const entry_table> m_table;
    std::map<std::string, std::unique_ptr<member_node>> m_nodes;
    std::map<std::string, entry_model> m_models;
    std::multimap<time_point, std::function<void()>> m_tasks;
    std::map<std::pair<std::string, request_handle>, client_state> m_clients;
    std::map<std::string, client_counts> m_counts;
    std::map<std::string, int> m_runs; /*!< By request id. */
    std::mt19937_64 m_random { 17 };
    time_point m_now { milliseconds { 1000 } };
    request_handle m_lastHandle = 0;
};

/** @brief Makes an entry of a catalogue; its host is `h`, its prefix its name between slashes. */
[[nodiscard]] forward_entry makeEntry(const std::string& name, const std::string& service, std::uint32_t rank,
    bool isIdempotent, milliseconds target, milliseconds timeout);

} // namespace knapweedcroft

#endif
