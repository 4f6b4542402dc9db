#ifndef KNAPWEEDCROFT_TEST_PROCESS_CLUSTER_HPP
#define KNAPWEEDCROFT_TEST_PROCESS_CLUSTER_HPP

#include "knapweedcroft/process/http_exchange.hpp"
#include "knapweedcroft/process/test_process.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Server process of a test, and its addresses. */
struct cluster_server {
    std::unique_ptr<test_process> process;
    std::string http;
    std::string peer;
};

/**
 * @brief Fixture that runs the log, nodes and upstreams as processes of the real programs.
 *
 * Service `front` (front-1 to front-3) calls service `back` (back-1 and back-2); each name is a node and its upstream.
 *
 * | operation | keyed | behaviour |
 * |---|---|---|
 * | front.order | yes | commits its effect after the keyed sub-call back.reserve |
 * | front.long | yes | commits its effect after 1,500 ms |
 * | front.look | no | answers after 5 ms |
 * | front.visit | no | waits for back.wait |
 * | back.reserve | yes | commits its effect at once |
 * | back.wait | no | answers after 10 minutes, so that only cancellation ends it |
 */
class cluster_test : public testing::Test {
protected:
    using names = std::vector<std::string>;

    cluster_test();
    ~cluster_test() override;

    /** @brief Starts all nodes and upstreams, publishes the catalogue and waits until all nodes are ready. */
    void startAll();

    void startLog();
    void startNode(const std::string& name);
    void startUpstream(const std::string& name);

    /** @brief Waits until a process has printed its ready line, and stores its addresses. */
    void awaitServer(cluster_server& server, const std::string& name);

    /** @brief Publishes the whole catalogue with knapweedctl. */
    void publishCatalogue();

    /**
     * @brief Waits until the nodes are in the view, hold their leases, have an upstream and the catalogue, and are
     * linked within their service.
     */
    [[nodiscard]] bool awaitReady(const names& nodes);

    /** @brief Starts knapweedctl with JSON output. */
    std::unique_ptr<test_process> startControl(const std::string& name, std::vector<std::string> arguments);

    /** @brief Waits until a process has exited. */
    [[nodiscard]] bool awaitEnd(test_process& process);

    /** @brief Returns the state of a node; an empty object if it does not answer. */
    nlohmann::json state(const std::string& node);

    /** @brief Returns the names of the members in the state of a node. */
    names members(const std::string& node);

    /** @brief Sends a call to a node, with the key as its token and, unless empty, as its idempotency key. */
    exchange startCall(const std::string& node, const std::string& operation, const std::string& key);

    /** @brief Sends a call to the nodes in turn until one answers; retries only calls that were refused without
     * running. */
    exchange callUntilAnswered(const names& nodes, const std::string& operation, const std::string& key);

    /**
     * @brief Sends `front.order` with new keys placed on a node until one succeeds; returns that key.
     *
     * A key issued within the clock skew bound (2 s) after the eviction of its holder gets "outcome unknown" and must
     * not be retried.
     */
    std::string orderUntilAnswered(const names& nodes, const std::string& holder);

    /** @brief Returns the counters of an upstream. */
    nlohmann::json stats(const std::string& upstream);

    /** @brief Returns the sum of a counter over all upstreams of a service, such as `effects` of operation `order`. */
    std::int64_t total(const std::string& service, const std::string& count, const std::string& name);

    /** @brief Returns a new UUIDv7 with the current time. */
    std::string makeKey();

    /** @brief Returns a new key that is placed on a node when the given nodes are the members of its service. */
    std::string makeKeyHeldBy(const std::string& holder, const names& nodes);

    const names m_fronts { "front-1", "front-2", "front-3" };
    const names m_backs { "back-1", "back-2" };
    test_folder m_folder;
    event_loop m_loop;
    http_exchanger m_http { m_loop };
    cluster_server m_log;
    std::string m_logAddress; /*!< Log address in the settings of the nodes. */
    std::map<std::string, cluster_server> m_nodes;
    std::map<std::string, cluster_server> m_upstreams;
    std::uint64_t m_lastKey = 0;
};

} // namespace knapweedcroft

#endif
