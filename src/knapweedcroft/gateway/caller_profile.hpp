#ifndef KNAPWEEDCROFT_GATEWAY_CALLER_PROFILE_HPP
#define KNAPWEEDCROFT_GATEWAY_CALLER_PROFILE_HPP

#include "knapweedcroft/core/fwd.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace knapweedcroft {

/** @brief Who sends the requests of an entry. */
enum class entry_origin : unsigned char {
    unknown, /*!< Too few requests so far. */
    clients, /*!< Clients, which run on hosts of all services. */
    upstreams /*!< Upstreams only: they come from the hosts of a few services. */
};

/**
 * @brief Tells calls of upstreams from requests of clients by the services on whose hosts they begin.
 *
 * Neither carries a mark. Clients run beside the upstreams of every service, while an entry for calls between services
 * is called by the upstreams of a few services only.
 */
class caller_profile {
public:
    /**
     * @brief Counts a request.
     * @param entry Name of the entry.
     * @param caller Service of the host on which the request began.
     */
    void count(const std::string& entry, const service_name& caller);

    /**
     * @brief Sets the services that have hosts in the own data centre, from which most requests come.
     * @param services The services.
     */
    void setServices(std::set<service_name> services) { m_services = std::move(services); }

    /**
     * @brief Returns who sends the requests of an entry.
     * @param entry Name of the entry.
     */
    [[nodiscard]] entry_origin originOf(const std::string& entry) const;

private:
    struct entry_counts {
        double total = 0.0;
        std::map<service_name, double> byCaller;
    };

    std::set<service_name> m_services;
    std::unordered_map<std::string, entry_counts> m_entries;
};

} // namespace knapweedcroft

#endif
