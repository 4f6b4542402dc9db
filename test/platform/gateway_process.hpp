#ifndef KNAPWEEDCROFT_TEST_PLATFORM_GATEWAY_PROCESS_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_GATEWAY_PROCESS_HPP

#include "fake_store.hpp"

#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/process/test_process.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Settings of one process of the real program. */
struct gateway_process_settings {
    std::string name { "n1" };
    std::string ip;
    std::string service { "shop" };
    std::string upstreamAddress;
    std::size_t memoryMiB = 64;
};

/** @brief One process of the real program, with the calls that the platform makes to it. */
class gateway_process {
public:
    /**
     * @brief Starts the program.
     * @param loop Event loop; must outlive this object.
     * @param store Store that the program reads; must outlive this object.
     * @param settings Settings of the program.
     */
    gateway_process(event_loop& loop, const fake_store& store, gateway_process_settings settings);

    /** @brief Returns the address for clients. */
    [[nodiscard]] std::string clientAddress() const { return m_settings.ip + ":7001"; }

    [[nodiscard]] test_process& process() { return *m_process; }

    /** @brief Returns true if the readiness probe gets 200. */
    [[nodiscard]] bool isReady();

    /** @brief Announces an upstream as ready; returns true if this is acknowledged. */
    [[nodiscard]] bool announceUpstream(const std::string& id, std::int64_t sequence, std::size_t slots = 24);

    /** @brief Returns the value of a metric, or -1 if the program does not report it. */
    [[nodiscard]] double metric(const std::string& name);

    /** @brief Checks a condition every 50 ms for up to 5 s; returns whether it has become true. */
    bool waitUntil(const std::function<bool()>& isDone);

private:
    [[nodiscard]] http_response send(const http_client_request& request);

    event_loop& m_loop;
    gateway_process_settings m_settings;
    http_client m_client;
    test_folder m_folder;
    std::unique_ptr<test_process> m_process;
};

/** @brief Returns a configuration whose only route leads from `/look/` of the host `farm.example` to a service. */
[[nodiscard]] std::string makeLookConfiguration(
    const std::string& service, bool isIdempotent, std::size_t maxBodyBytes, const std::string& timeout = "4s");

} // namespace knapweedcroft::platform

#endif
