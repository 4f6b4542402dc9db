#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_RUN_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_RUN_HPP

#include "fake_store.hpp"
#include "soak/configuration_ledger.hpp"
#include "soak/fake_upstream.hpp"
#include "soak/fault_plan.hpp"
#include "soak/fault_relay.hpp"
#include "soak/request_ledger.hpp"

#include "knapweedcroft/process/test_process.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Result of a soak run. */
struct soak_report {
    std::vector<std::string> violations; /*!< Violated guarantees; empty if the run passed. */
    std::string summary;
    std::string plan;
};

/**
 * @brief Runs hosts in two data centres, each with a process of the real program, and injects planned faults.
 *
 * The store, the upstreams, the clients and the operator are simulated in this process. Each link between nodes and
 * each connection to the store goes through a relay. Service `shop` calls service `stock`.
 */
class soak_run {
public:
    soak_run(std::uint64_t seed, fault_plan plan);
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    ~soak_run() = default;

    /** @brief Injects the faults under load, waits for recovery, stops the nodes and checks the guarantees. */
    [[nodiscard]] soak_report execute();

private:
    enum class process_state : unsigned char { down, starting, running, frozen, stopping };

    struct soak_host {
        std::string node;
        std::string service;
        std::size_t number = 0;
        std::string data_centre;
        std::string ip;
        nlohmann::json settings;
        std::string settingsPath;
        std::unique_ptr<fault_relay> links;
        std::unique_ptr<fault_relay> store;
        std::unique_ptr<fake_upstream> upstream;
        std::unique_ptr<test_process> process;
        process_state state = process_state::down;
        std::size_t starts = 0;
        bool isReadinessPending = false; // A readiness request is in flight.
    };

    void makeHost(std::size_t number, std::uint64_t seed);
    void changeConfiguration(std::size_t versions);
    void writeConfiguration();
    void startNode(soak_host& host);
    void killNode(soak_host& host);
    void beginFault(const planned_fault& fault);
    void endFault(const planned_fault& fault);
    void beginNodeFault(fault_kind kind, soak_host& host);
    void endNodeFault(soak_host& host);
    void reloadSettings(soak_host& host);
    [[nodiscard]] bool isAffected(const planned_fault& fault, const soak_host& host) const;
    [[nodiscard]] bool isUnder(const soak_host& host, const std::function<bool(fault_kind)>& isMatch) const;
    [[nodiscard]] bool isStoreAway() const;
    void updateHosts();
    void updateHost(soak_host& host);
    void updateDisturbance(soak_host& host);
    void pollNodes();
    void detectStall();
    void checkReadiness(soak_host& host);
    void handleNodeExit(soak_host& host);
    void sendNextRequest();
    void sendNextPoison();
    void send(soak_host& host, const soak_entry& entry, const std::string& target = {});
    void sendNextProbe();
    [[nodiscard]] bool awaitAllRoutes(const std::string& what);
    [[nodiscard]] bool awaitSuccess(soak_host& host, const soak_entry& entry);
    void stopNodes();
    void schedule(milliseconds delay, std::function<void()> task);

    fault_plan m_plan;
    std::vector<planned_fault> m_activeFaults; /*!< In the order of their start. */
    std::mt19937_64 m_random;
    test_folder m_folder;
    event_loop m_loop;
    std::vector<soak_entry> m_entries;
    request_ledger m_ledger;
    configuration_ledger m_configurationLedger;
    clock m_clock { system_time_source {} };
    time_point m_polledAt;
    std::string m_network; /*!< First three octets; from the process id, so that parallel runs do not collide. */
    std::unique_ptr<fake_store> m_store;
    std::vector<std::unique_ptr<soak_host>> m_hosts;
    exchange_client m_clients;
    loop_timer m_loadTimer;
    loop_timer m_poisonTimer;
    loop_timer m_probeTimer;
    loop_timer m_pollTimer;
    http_client m_readiness;
    std::vector<std::unique_ptr<loop_timer>> m_timers;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastRequest = 0;
    std::int64_t m_version = 0;
    std::int64_t m_reloads = 0;
    std::string m_configuration; /*!< Latest document of the operator. */
    std::size_t m_deferredVersions = 0; /*!< Versions that the operator writes once the store is back. */
    bool m_isLoading = false;
};

} // namespace knapweedcroft::platform

#endif
