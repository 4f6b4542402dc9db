#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_REQUEST_LEDGER_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_REQUEST_LEDGER_HPP

#include "soak/notice_ledger.hpp"
#include "soak/poison_ledger.hpp"

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/exchange_client.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Kind of request in the load. */
struct soak_entry {
    std::string path; /*!< Path prefix of the route. */
    std::string service;
    bool isIdempotent = false;
    std::string subCallPath; /*!< Path of the sub-call that the upstream makes; empty if there is none. */
    bool mayBeUnknown = false; /*!< The route may be absent, so 404 is a proper answer. */
};

/** @brief Records each request as seen by callers and upstreams, and checks the guarantees of the gateway. */
class request_ledger {
public:
    /** @brief Bound on retries; must match the retry settings of the nodes. */
    struct retry_bound {
        double ratio = 0.2;
        double slack = 20.0;
        std::size_t windows = 3; /*!< Maximum number of retry windows that a run overlaps; each has its own slack. */
    };

    /** @brief Records a request that a client or an upstream sends to a node. */
    void recordSent(const std::string& id, const std::string& node, const soak_entry& entry, time_point now);

    /** @brief Records the outcome of a request at its caller. */
    void recordEnd(const std::string& id, const exchange_outcome& outcome, time_point now);

    /** @brief Records that the caller cancelled a request. */
    void recordCancellation(const std::string& id) { m_requests[id].isCancelled = true; }

    /** @brief Allows the open requests of a node to stay unanswered, because its process was disturbed. */
    void exemptOpenRequests(const std::string& node);

    /** @brief Sets whether requests sent to a node from now on may stay unanswered. */
    void setDisturbed(const std::string& node, bool isDisturbed);

    /**
     * @brief Sets whether a node has been told to stop. Requests that it gets from now on may stay unanswered unless it
     * has passed them on.
     */
    void setStopping(const std::string& node, bool isStopping);

    /** @brief Records that a request reached an upstream, which may still reject it. */
    void recordArrival(const std::string& id, const std::string& upstream, time_point now);

    /** @brief Records that an upstream started to run a request. */
    void recordExecution(const std::string& id, const std::string& upstream)
    {
        m_requests[id].runs.push_back(upstream);
    }

    /** @brief Returns the response body that an upstream sends for a request. */
    [[nodiscard]] static std::string responseBody(const std::string& id, const std::string& upstream);

    /** @brief Returns the record of the request content that crashes upstreams. */
    [[nodiscard]] poison_ledger& poison() { return m_poison; }

    /** @brief Returns the record of the notices in the answers of upstreams. */
    [[nodiscard]] notice_ledger& notices() { return m_notices; }

    /** @brief Returns whether a request has neither ended nor been cancelled. */
    [[nodiscard]] bool isOpen(const std::string& id) const;

    /** @brief Returns the number of requests that have neither ended nor been cancelled. */
    [[nodiscard]] std::size_t openCount() const;

    /** @brief Returns the number of requests by response status, as text. */
    [[nodiscard]] std::string summary() const;

    /** @brief Returns a message for each violated guarantee, with the request concerned. */
    [[nodiscard]] std::vector<std::string> violations(const retry_bound& bound, std::size_t maxAttempts) const;

private:
    struct request {
        std::string node;
        time_point sentAt;
        std::string service;
        std::string path;
        bool isIdempotent = false;
        bool mayBeUnknown = false;
        bool hasEnded = false;
        bool isCancelled = false;
        bool mayStayUnanswered = false;
        bool mayStayUnread = false; // No answer is needed if it reached no upstream.
        int status = 0; // 0 if there is no response.
        std::string body;
        std::string failure;
        std::size_t arrivals = 0;
        std::vector<std::string> runs; // Identifiers of the upstreams that started to run it.
    };

    static void check(
        const std::string& id, const request& seen, std::size_t maxAttempts, std::vector<std::string>& found);

    std::map<std::string, request> m_requests;
    std::set<std::string> m_disturbedNodes;
    std::set<std::string> m_stoppingNodes;
    notice_ledger m_notices;
    poison_ledger m_poison;
};

} // namespace knapweedcroft::platform

#endif
