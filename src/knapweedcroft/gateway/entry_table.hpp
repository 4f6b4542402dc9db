#ifndef KNAPWEEDCROFT_GATEWAY_ENTRY_TABLE_HPP
#define KNAPWEEDCROFT_GATEWAY_ENTRY_TABLE_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Service that receives a share of an entry's requests, in proportion to its weight. */
struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service& lhs, const weighted_service& rhs)
    {
        return lhs.service == rhs.service && lhs.weight == rhs.weight;
    }
};

/** @brief Catalogue entry for opaque requests: which requests match it and how they are handled. */
struct forward_entry {
    std::string name;
    std::string host; /*!< Value of the `Host` header, without a port. */
    std::string pathPrefix; /*!< Begins and ends with a slash. */
    bool isIdempotent = false; /*!< Requests may run more than once. */
    milliseconds timeout { 1000 }; /*!< Maximum time until a client is answered. */
    milliseconds targetLatency { 1000 }; /*!< Answers after this time count as late. */
    std::uint32_t rank = 0; /*!< Priority; zero is the highest. */
    std::uint32_t maxAttempts = 1; /*!< Maximum number of upstreams to which a request is sent. */
    std::vector<weighted_service> services;

    friend bool operator==(const forward_entry& lhs, const forward_entry& rhs)
    {
        return lhs.name == rhs.name && lhs.host == rhs.host && lhs.pathPrefix == rhs.pathPrefix
            && lhs.isIdempotent == rhs.isIdempotent && lhs.timeout == rhs.timeout
            && lhs.targetLatency == rhs.targetLatency && lhs.rank == rhs.rank && lhs.maxAttempts == rhs.maxAttempts
            && lhs.services == rhs.services;
    }
};

/** @brief Limits on client connections and requests, as set by the catalogue. */
struct client_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;
    milliseconds headerTime { 10'000 };
    milliseconds idleTime { 60'000 };

    friend bool operator==(const client_limits& lhs, const client_limits& rhs)
    {
        return lhs.maxHeaderBytes == rhs.maxHeaderBytes && lhs.maxBodyBytes == rhs.maxBodyBytes
            && lhs.headerTime == rhs.headerTime && lhs.idleTime == rhs.idleTime;
    }
};

/** @brief Immutable table of all entries of one catalogue version; a newer version replaces the whole table. */
class entry_table {
public:
    /** @brief Constructs a table without entries that is older than any version. */
    entry_table() = default;

    /**
     * @brief Constructs a table.
     * @param version Catalogue version.
     * @param entries The entries; of several with the same host and prefix, the first one is used.
     * @param limits Limits on client connections and requests.
     */
    entry_table(std::int64_t version, std::vector<forward_entry> entries, const client_limits& limits);

    /** @brief Parses a table that a peer wrote with `format`; returns the first error if it is malformed. */
    [[nodiscard]] static result<entry_table> parse(std::string_view text);

    /** @brief Returns the JSON text of the table, to be sent to peers. */
    [[nodiscard]] std::string format() const;

    /** @brief Returns the catalogue version; -1 if there is no catalogue. */
    [[nodiscard]] std::int64_t version() const noexcept { return m_version; }

    /** @brief Returns the limits on client connections and requests. */
    [[nodiscard]] const client_limits& limits() const noexcept { return m_limits; }

    /** @brief Returns the entries in catalogue order. */
    [[nodiscard]] const std::vector<forward_entry>& entries() const noexcept { return m_entries; }

    /**
     * @brief Finds the entry of a request: the one of the host with the longest matching path prefix.
     * @param host Value of the `Host` header; its port and its case are ignored.
     * @param target Path and query; the query is ignored.
     * @return The entry, or null if none matches.
     */
    [[nodiscard]] const forward_entry* find(std::string_view host, std::string_view target) const;

private:
    std::int64_t m_version = -1;
    std::vector<forward_entry> m_entries;
    client_limits m_limits;
    std::map<std::string, std::map<std::string, std::size_t>> m_index; /*!< Entry by host and path prefix. */
};

} // namespace knapweedcroft

#endif
