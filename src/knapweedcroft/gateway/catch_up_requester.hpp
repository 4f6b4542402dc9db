#ifndef KNAPWEEDCROFT_GATEWAY_CATCH_UP_REQUESTER_HPP
#define KNAPWEEDCROFT_GATEWAY_CATCH_UP_REQUESTER_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace knapweedcroft {

/** @brief How much of the catalogue and of the directory a node knows. */
struct known_versions {
    std::int64_t catalogue = -1; /*!< Version of the catalogue; -1 if unknown. */
    std::int64_t directory = -1; /*!< Offset up to which the directory is known; -1 if it was never read. */

    friend bool operator==(const known_versions& lhs, const known_versions& rhs)
    {
        return lhs.catalogue == rhs.catalogue && lhs.directory == rhs.directory;
    }
};

/** @brief Peer that can be asked. */
struct catch_up_candidate {
    node_name node;
    bool isLocal = false; /*!< In the data centre of this node. */
};

/**
 * @brief Decides when to ask a peer for the catalogue and the directory, and which peer.
 *
 * A copy of the directory grows with the number of nodes, and a node that starts or is behind hears of it from each of
 * its peers. Asking all of them would cost the square of the number of nodes. So one peer is asked at a time, and
 * another one only if no answer arrives. A peer that is known to be ahead is asked first, in the same data centre if
 * possible; if none is known, peers of the same and of other data centres are asked in turn.
 */
class catch_up_requester {
public:
    /**
     * @brief Constructs an object that asks nobody.
     * @param seed Seed of the random selection, which spreads the requests of different nodes over their peers.
     */
    explicit catch_up_requester(std::uint64_t seed);

    /** @brief Records what a peer knows. */
    void recordPeerVersions(const node_name& peer, const known_versions& versions, time_point now);

    /** @brief Records that a peer answered a request. */
    void recordAnswer(const node_name& peer);

    /** @brief Forgets a peer that is no longer linked. */
    void removePeer(const node_name& peer);

    /** @brief Sets whether this node can read the store; while it cannot, peers are asked at intervals. */
    void setStoreAvailable(bool isAvailable, time_point now);

    /**
     * @brief Selects the peer to ask now.
     * @param known What this node knows.
     * @param candidates Linked peers.
     * @return The peer, whose answer is then awaited; nothing if there is no need to ask or an answer is awaited.
     */
    [[nodiscard]] std::optional<node_name> next(
        const known_versions& known, const std::vector<catch_up_candidate>& candidates, time_point now);

    /** @brief Returns the time at which `next` is due. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const { return m_dueAt; }

private:
    struct pending_request {
        node_name peer;
        time_point expiresAt;
    };

    [[nodiscard]] std::vector<catch_up_candidate> selectable(
        const known_versions& known, const std::vector<catch_up_candidate>& candidates) const;

    std::mt19937_64 m_random;
    std::map<node_name, known_versions> m_peerVersions; /*!< Of peers that know more than this node did. */
    std::optional<pending_request> m_pending;
    std::optional<time_point> m_dueAt;
    bool m_wasLocalAsked = false; /*!< The last peer asked is in the same data centre. */
    bool m_isPolling = false; /*!< The store was found to be unavailable. */
};

} // namespace knapweedcroft

#endif
