#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_RUN_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_RUN_HPP

#include "fake_store.hpp"
#include "soak/fault_plan.hpp"
#include "soak/fault_relay.hpp"
#include "soak/request_ledger.hpp"
#include "soak/upstream_stand_in.hpp"

#include "knapweedcroft/process/test_process.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief How a run of the soak went. */
struct soak_report {
    std::vector<std::string> violations; /*!< Broken promises; empty if all held. */
    std::string summary;
    std::string plan;
};

/**
 * @brief One run: four hosts in two data centres, each with a process of the real program, under the faults of a plan.
 *
 * The store, the upstreams, the clients and the operator are stand-ins in this process. Each link between nodes and
 * each connection to the store passes a relay. Service `shop` calls service `stock`.
 */
class soak_run {
public:
    explicit soak_run(std::uint64_t seed);
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    ~soak_run() = default;

    /** @brief Plays the plan, waits for the recovery, stops the nodes and checks the promises. */
    [[nodiscard]] soak_report play();

private:
    enum class process_state : unsigned char { down, starting, running, frozen, stopping };

    struct soak_host {
        std::string node;
        std::string service;
        std::string data_centre;
        std::string ip;
        std::string settingsPath;
        std::unique_ptr<fault_relay> links;
        std::unique_ptr<fault_relay> store;
        std::unique_ptr<upstream_stand_in> upstream;
        std::unique_ptr<test_process> process;
        process_state state = process_state::down;
        std::size_t starts = 0;
        bool isAsked = false; // Whether it is ready; the answer has not come yet.
    };

    void makeHost(std::size_t number, std::uint64_t seed);
    void writeConfiguration();
    void startNode(soak_host& host);
    void killNode(soak_host& host);
    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);
    void beginNodeFault(fault_kind kind, soak_host& host);
    void endNodeFault(soak_host& host);
    void watchNodes();
    void askReady(soak_host& host);
    void endStop(soak_host& host);
    void sendLoad();
    void send(soak_host& host, const soak_entry& entry);
    [[nodiscard]] bool awaitService(const std::string& what);
    [[nodiscard]] bool awaitAnswer(soak_host& host, const soak_entry& entry);
    void stopAll();
    void after(milliseconds delay, std::function<void()> task);

    std::vector<planned_fault> m_plan;
    std::mt19937_64 m_random;
    test_folder m_folder;
    event_loop m_loop;
    std::vector<soak_entry> m_entries;
    request_ledger m_ledger;
    std::string m_network; /*!< First three bytes of the addresses, of this process alone. */
    std::unique_ptr<fake_store> m_store;
    std::vector<std::unique_ptr<soak_host>> m_hosts;
    exchange_client m_clients;
    loop_timer m_load;
    loop_timer m_watch;
    http_client m_readiness;
    std::vector<std::unique_ptr<loop_timer>> m_timers;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastRequest = 0;
    std::int64_t m_version = 0;
    bool m_isLoading = false;
};

} // namespace knapweedcroft::platform

#endif
