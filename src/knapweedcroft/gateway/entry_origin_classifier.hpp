#ifndef KNAPWEEDCROFT_GATEWAY_ENTRY_ORIGIN_CLASSIFIER_HPP
#define KNAPWEEDCROFT_GATEWAY_ENTRY_ORIGIN_CLASSIFIER_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief Origin of the requests of an entry. */
enum class entry_origin : unsigned char {
    unknown, /*!< Too few requests to decide. */
    clients, /*!< Clients, which run on hosts of all services. */
    upstreams /*!< Upstreams only; requests come from hosts of a few services. */
};

/**
 * @brief Distinguishes calls of upstreams from client requests by the services on whose hosts they originate.
 *
 * Neither carries a mark of its origin. Clients run beside the upstreams of every service, whereas an entry for calls
 * between services is called by the upstreams of a few services only.
 *
 * In a large fleet each node receives too few requests to decide within the first seconds of an overload, so the nodes
 * of a service pool their counts until each of them can decide.
 */
class entry_origin_classifier {
public:
    /**
     * @brief Records a request of an entry.
     * @param caller Service of the host on which the request originated.
     */
    void recordRequest(const std::string& entry, const service_name& caller);

    /**
     * @brief Adds requests that a peer of the same service has counted.
     * @param counted Implausibly large counts are limited, so that a faulty peer cannot decide alone.
     */
    void recordPeerRequests(const entry_caller_count& counted);

    /** @brief Returns the requests recorded here since the last call, of entries that are still undecided. */
    [[nodiscard]] std::vector<entry_caller_count> takeNewCounts();

    /** @brief Returns counts of all entries, for a peer that starts; just as many as it needs to decide. */
    [[nodiscard]] std::vector<entry_caller_count> summary() const;

    /** @brief Sets the services that have hosts in the local data centre, which most requests come from. */
    void setServices(std::set<service_name> services) { m_services = std::move(services); }

    /** @brief Returns the origin of the requests of an entry. */
    [[nodiscard]] entry_origin originOf(const std::string& entry) const;

private:
    struct request_counts {
        double total = 0.0;
        std::map<service_name, double> byCaller;
        std::map<service_name, std::uint32_t> newByCaller; /*!< Recorded here and not yet sent to peers. */
    };

    static void add(request_counts& counts, const service_name& caller, double requests);

    std::set<service_name> m_services;
    std::unordered_map<std::string, request_counts> m_entries;
};

} // namespace knapweedcroft

#endif
