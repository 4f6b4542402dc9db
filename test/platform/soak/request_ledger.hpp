#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_REQUEST_LEDGER_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_REQUEST_LEDGER_HPP

#include "knapweedcroft/http/exchange_client.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief A kind of request that the soak sends. */
struct soak_entry {
    std::string path; /*!< Path prefix of its route. */
    std::string service;
    bool isIdempotent = false;
    std::string innerPath; /*!< Path of the call that its upstream makes; empty if it makes none. */
};

/** @brief What callers and upstreams saw of each request, and the promises that follow from it. */
class request_ledger {
public:
    /** @brief Bound on the repeats, as it stands in the settings of the nodes. */
    struct repeat_bound {
        double ratio = 0.2;
        double slack = 20.0;
        std::size_t windows = 3; /*!< Windows that a run may touch; each has its own slack. */
    };

    /** @brief Takes note of a request that a client or an upstream sends to a node. */
    void sent(const std::string& id, const std::string& node, const soak_entry& entry);

    /** @brief Takes note of how a request ended for its caller. */
    void ended(const std::string& id, const exchange_outcome& outcome);

    /** @brief Takes note that a caller left before the end. */
    void left(const std::string& id) { m_requests[id].hasLeft = true; }

    /** @brief The requests of a node that have no answer yet may stay without one, as its process was disturbed. */
    void excuse(const std::string& node);

    /** @brief Requests that are sent to a node while it is unsteady may stay without an answer. */
    void setUnsteady(const std::string& node, bool isUnsteady);

    /** @brief Takes note that a request reached an upstream, which may reject it. */
    void arrived(const std::string& id) { ++m_requests[id].arrivals; }

    /** @brief Takes note that an upstream began to run a request. */
    void began(const std::string& id, const std::string& upstream) { m_requests[id].runs.push_back(upstream); }

    /** @brief Returns the body of the answer to a request that an upstream ran. */
    [[nodiscard]] static std::string bodyFor(const std::string& id, const std::string& upstream);

    /** @brief Tells whether a request has neither ended nor been left. */
    [[nodiscard]] bool isOpen(const std::string& id) const;

    /** @brief Returns the number of requests that have not ended. */
    [[nodiscard]] std::size_t openCount() const;

    /** @brief Returns counts of requests by their end, for the report of a run. */
    [[nodiscard]] std::string summary() const;

    /** @brief Returns the promises that were broken, with the request of each. */
    [[nodiscard]] std::vector<std::string> violations(const repeat_bound& bound, std::size_t maxAttempts) const;

private:
    struct request {
        std::string node;
        std::string service;
        std::string path;
        bool isIdempotent = false;
        bool hasEnded = false;
        bool hasLeft = false;
        bool isExcused = false;
        int status = 0; // Zero without an answer.
        std::string body;
        std::string failure;
        std::size_t arrivals = 0;
        std::vector<std::string> runs; // Identifiers of the upstreams that began to run it.
    };

    static void check(
        const std::string& id, const request& seen, std::size_t maxAttempts, std::vector<std::string>& found);

    std::map<std::string, request> m_requests;
    std::set<std::string> m_unsteady;
};

} // namespace knapweedcroft::platform

#endif
