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

/** @brief A service that gets a share of an entry's requests. */
struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service& lhs, const weighted_service& rhs)
    {
        return lhs.service == rhs.service && lhs.weight == rhs.weight;
    }
};

/** @brief Catalogue entry of opaque requests: which requests belong to it and how they are handled. */
struct forward_entry {
    std::string name;
    std::string host; /*!< Value of `Host`, without a port. */
    std::string pathPrefix; /*!< Begins and ends with a slash. */
    bool isIdempotent = false; /*!< A request may run more than once. */
    milliseconds timeout { 1000 }; /*!< Longest time for which a client is kept waiting. */
    milliseconds targetLatency { 1000 }; /*!< An answer after this time is late. */
    std::uint32_t rank = 0; /*!< Importance; zero is the highest. */
    std::uint32_t maxAttempts = 1; /*!< Upstreams to which one request may be sent. */
    std::vector<weighted_service> services;

    friend bool operator==(const forward_entry& lhs, const forward_entry& rhs)
    {
        return lhs.name == rhs.name && lhs.host == rhs.host && lhs.pathPrefix == rhs.pathPrefix
            && lhs.isIdempotent == rhs.isIdempotent && lhs.timeout == rhs.timeout
            && lhs.targetLatency == rhs.targetLatency && lhs.rank == rhs.rank && lhs.maxAttempts == rhs.maxAttempts
            && lhs.services == rhs.services;
    }
};

/** @brief Bounds on what clients may send, as the catalogue sets them. */
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

/** @brief All entries of one version of the catalogue; never changed, only replaced by a newer version. */
class entry_table {
public:
    /** @brief Constructs a table without entries, which is older than any version. */
    entry_table() = default;

    /**
     * @brief Constructs a table.
     * @param version Version of the catalogue.
     * @param entries The entries; of two with the same host and prefix the first one counts.
     * @param limits Bounds on what clients may send.
     */
    entry_table(std::int64_t version, std::vector<forward_entry> entries, const client_limits& limits);

    /**
     * @brief Reads a table from its JSON text, as another node sends it.
     * @param text The text.
     * @return The table, or the first error.
     */
    [[nodiscard]] static result<entry_table> parse(std::string_view text);

    /** @brief Returns the JSON text of the table, for other nodes. */
    [[nodiscard]] std::string format() const;

    /** @brief Returns the version; -1 if no catalogue is known. */
    [[nodiscard]] std::int64_t version() const noexcept { return m_version; }

    /** @brief Returns the bounds on what clients may send. */
    [[nodiscard]] const client_limits& limits() const noexcept { return m_limits; }

    /** @brief Returns the entries in the order of the catalogue. */
    [[nodiscard]] const std::vector<forward_entry>& entries() const noexcept { return m_entries; }

    /**
     * @brief Finds the entry of a request: among those of the host, the one with the longest prefix of the path.
     * @param host Value of `Host`; a port is left out, and case does not count.
     * @param target Path and query.
     * @return The entry, or null.
     */
    [[nodiscard]] const forward_entry* find(std::string_view host, std::string_view target) const;

private:
    std::int64_t m_version = -1;
    std::vector<forward_entry> m_entries;
    client_limits m_limits;
    std::map<std::string, std::map<std::string, std::size_t>> m_index; /*!< Position by host and prefix. */
};

} // namespace knapweedcroft

#endif
