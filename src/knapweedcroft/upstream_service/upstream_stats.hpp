#ifndef KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_STATS_HPP
#define KNAPWEEDCROFT_UPSTREAM_SERVICE_UPSTREAM_STATS_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace knapweedcroft {

/** @brief Counters of the emulated upstream since its start. */
struct upstream_stats {
    std::map<std::string, std::uint64_t> executions; /*!< Calls that did own work or had a sub-call that ran. */
    std::map<std::string, std::uint64_t> unwound; /*!< Calls counted in `executions` that were answered as not run. */
    std::map<std::string, std::uint64_t> effects;
    std::unordered_map<std::string, std::uint64_t> keys; /*!< Effects by idempotency key. */
    std::uint64_t subCalls = 0; /*!< Sub-calls sent, including retries. */
    std::uint64_t mismatched = 0; /*!< Sub-calls that received the answer to another call. */
    std::uint64_t cancelled = 0; /*!< Calls stopped by `POST /cancel`. */
    std::uint64_t expired = 0; /*!< Calls refused or ended because their deadline had passed. */
    std::uint64_t shed = 0; /*!< Calls refused because no slot was free. */
    std::uint64_t afterLeave = 0; /*!< Calls that arrived more than 2 s after the leave. */
    std::uint64_t cut = 0; /*!< Calls in flight when the process stopped. */

    /** @brief Returns the body of `GET /stats`. */
    [[nodiscard]] nlohmann::json toJson() const;
};

} // namespace knapweedcroft

#endif
