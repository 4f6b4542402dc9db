#ifndef KNAPWEEDCROFT_GATEWAY_STORE_READ_ELECTION_HPP
#define KNAPWEEDCROFT_GATEWAY_STORE_READ_ELECTION_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief How a node learns what changes in the store. */
enum class store_read_mode : std::uint8_t {
    individual, /*!< Polls the store for itself. */
    reader, /*!< Polls the store at short intervals and relays what it reads to its data centre. */
    follower /*!< Does not poll; a reader of its data centre relays what it reads. */
};

/** @brief Returns the name of a mode for logs. */
[[nodiscard]] std::string_view toString(store_read_mode mode) noexcept;

/** @brief Settings of the election of readers. */
struct store_read_settings {
    std::size_t minGroupSize
        = 8; /*!< Linked nodes of a data centre from which they share a reader; zero disables it. */
    milliseconds changeDeadline { 2000 }; /*!< Time within which a change in the store has to be in force. */

    /**
     * @brief Returns the long-poll timeout of the catalogue in a mode; nothing for a follower, which does not poll.
     *
     * A poll of an individual node on a connection that has gone silent ends after this time and the answer time of the
     * store, which has to be before the next change is due. The timeout of a reader is also the interval of its
     * progress messages.
     */
    [[nodiscard]] std::optional<milliseconds> pollTimeout(store_read_mode mode) const;

    /** @brief Returns the pause before the first poll, in which a node that starts may find a reader to follow. */
    [[nodiscard]] milliseconds firstPollDelay() const { return changeDeadline / 2; }

    friend bool operator==(const store_read_settings& lhs, const store_read_settings& rhs)
    {
        return lhs.minGroupSize == rhs.minGroupSize && lhs.changeDeadline == rhs.changeDeadline;
    }
};

/**
 * @brief Elects the node that reads the store for the linked nodes of a data centre, without coordination.
 *
 * If every node polls the store, the number of calls grows with the number of nodes, and each write completes the polls
 * of all of them. Instead, nodes are ordered by a hash of their names, and the first one reads. After each answer of
 * the store it sends a progress message to the others. A node that misses these messages takes over in the same order,
 * in time for a change acknowledged right after the last message to be in force within `changeDeadline`. A node whose
 * own reads fail follows any node that makes progress; if there is none, all but the first nodes retry at intervals of
 * `changeDeadline`. Nodes with different views of the group may elect several
 * readers, which costs calls but delays no change.
 */
class store_read_election {
public:
    /**
     * @brief Constructs an election with a group of one node.
     * @param self Name of this node.
     */
    store_read_election(node_name self, const store_read_settings& settings);

    /** @brief Sets the other nodes of the group: those of the same data centre whose links work. */
    void setPeers(std::set<node_name> peers, time_point now);

    /** @brief Records that the store has answered a peer. */
    void recordPeerProgress(const node_name& peer, time_point now);

    /** @brief Records the outcome of a read of this node. */
    void recordOwnRead(bool isAnswered, time_point now);

    /** @brief Returns the mode at a time. */
    [[nodiscard]] store_read_mode mode(time_point now) const;

    /** @brief Returns the time at which a follower takes over unless it hears of progress before. */
    [[nodiscard]] std::optional<time_point> takeoverTime() const;

    [[nodiscard]] const std::set<node_name>& peers() const noexcept { return m_peers; }

private:
    [[nodiscard]] bool isEnabled() const;
    [[nodiscard]] std::optional<time_point> latestProgress() const;

    node_name m_self;
    store_read_settings m_settings;
    std::set<node_name> m_peers;
    std::map<node_name, time_point> m_progress; /*!< Time of the last progress message of each peer. */
    std::set<node_name> m_peersBefore; /*!< Peers ordered before this node. */
    time_point m_groupSince; /*!< Time at which the group reached its minimum size. */
    std::optional<time_point> m_ownReadFailedAt; /*!< Time of the last failure, unless a read succeeded since. */
};

} // namespace knapweedcroft

#endif
