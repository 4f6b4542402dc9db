#ifndef KNAPWEEDCROFT_GATEWAY_REQUEST_QUARANTINE_HPP
#define KNAPWEEDCROFT_GATEWAY_REQUEST_QUARANTINE_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/recent_ids.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief What is known about a request content. */
struct quarantine_status {
    std::uint32_t crashes = 0; /*!< Upstreams that crashed while they ran it; zero if it is not suspected. */
    milliseconds holdLeft; /*!< Time for which it must not run; zero if it may. */

    [[nodiscard]] bool isSuspected() const noexcept { return crashes > 0; }
    [[nodiscard]] bool isHeld() const noexcept { return milliseconds {} < holdLeft; }
};

/**
 * @brief Request contents that were running when upstreams crashed, by their digests.
 *
 * A crash ends all requests of an upstream, and one of them may have caused it. That one is running again at the next
 * crash, while the others complete. So a content is suspected after one crash, held back for a while after each further
 * one, and cleared by a complete answer.
 */
class request_quarantine {
public:
    static constexpr std::size_t maxSuspects = 4096; /*!< Number of contents that are remembered. */

    /**
     * @brief Records the crash of an upstream.
     * @param upstream Identifier of the upstream; each incarnation has a new one.
     * @param digests Contents that it was running.
     * @return False if this crash is known already; nothing changes then.
     */
    bool recordCrash(const std::string& upstream, const std::vector<std::uint64_t>& digests, time_point now);

    /**
     * @brief Takes over what another node knows.
     * @param entries Contents; one without crashes is cleared, one with fewer crashes than known is ignored.
     * @return True if a content was cleared.
     */
    bool merge(const std::vector<quarantine_entry>& entries, time_point now);

    /**
     * @brief Clears a content that an upstream has answered completely.
     * @return True if it was suspected.
     */
    bool clear(std::uint64_t digest) { return m_entries.erase(digest) != 0; }

    /** @brief Forgets contents that have not been running at a crash for long. */
    void poll(time_point now);

    /** @brief Returns what is known about a content. */
    [[nodiscard]] quarantine_status statusOf(std::uint64_t digest, time_point now) const;

    /** @brief Returns true if no content is suspected. */
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

    /** @brief Returns the number of suspected contents. */
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

    /** @brief Returns the number of contents that must not run now. */
    [[nodiscard]] std::size_t heldCount(time_point now) const;

    /** @brief Returns the suspected contents to tell a node that starts, those with most crashes first. */
    [[nodiscard]] std::vector<quarantine_entry> entries(time_point now) const;

private:
    static constexpr std::size_t maxKnownCrashes = 1024;

    struct suspect {
        std::uint32_t crashes = 0;
        time_point lastCrash;
        time_point heldUntil;
    };

    void makeRoom();

    std::unordered_map<std::uint64_t, suspect> m_entries;
    recent_ids m_knownCrashes { maxKnownCrashes }; /*!< Identifiers of crashed upstreams. */
};

} // namespace knapweedcroft

#endif
