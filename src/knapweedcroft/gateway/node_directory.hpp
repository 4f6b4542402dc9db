#ifndef KNAPWEEDCROFT_GATEWAY_NODE_DIRECTORY_HPP
#define KNAPWEEDCROFT_GATEWAY_NODE_DIRECTORY_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/gateway/departed_upstreams.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Address of a node and the upstream on its host, as published by the node. */
struct directory_record {
    static constexpr std::int64_t maxSlots = 1'000'000;
    static constexpr std::size_t maxDeparted = 64;

    node_name node;
    std::string peerAddress; /*!< `host:port` on which it accepts links. */
    std::string data_centre;
    std::int64_t writtenAt = 0; /*!< Unix time in ms at which the node wrote the record, by its own clock. */
    std::uint64_t storeEra = 0; /*!< Latest era of the store that the node had seen; zero if none. */
    upstream_announcement upstream; /*!< Without an identifier if the node knows only departed upstreams. */
    std::vector<upstream_incarnation> departed; /*!< Latest upstreams of the host that have left. */
    bool isWithdrawn = false; /*!< The node has stopped; only the departed upstreams are of use. */

    /** @brief Returns the JSON text of the record. */
    [[nodiscard]] std::string format() const;

    /** @brief Parses a record from its JSON text; returns the first error if it is malformed. */
    [[nodiscard]] static result<directory_record> parse(std::string_view text);
};

/** @brief Rate that an upstream has named in its latest answer. */
struct named_rate {
    std::string upstream; /*!< Identifier of the upstream. */
    double rate = 0.0; /*!< Requests per second. */
};

/** @brief Directory entry of a node: its record, the state of its link and the status of its upstream. */
struct known_node {
    directory_record record;
    bool isLinked = false;
    bool isSuspected = false; /*!< The peer currently does not answer on its link. */
    bool isServing = false; /*!< Its upstream accepted new requests when last heard of. */
    std::optional<upstream_status_message> status; /*!< Latest status received on the link. */
    time_point loadReceivedAt; /*!< When the load in `status` was received. */
    std::optional<named_rate> namedRate; /*!< Outlives the link; nothing if the upstream names none. */
};

/**
 * @brief Known nodes and their upstreams. Addresses come from the store, liveness from the links.
 *
 * Records with a newer incarnation of an upstream replace older ones, regardless of their source.
 */
class node_directory {
public:
    /**
     * @brief Constructs an empty directory.
     * @param departed Upstreams that have left, to which this directory adds; must outlive the directory.
     */
    explicit node_directory(departed_upstreams& departed)
        : m_departed { departed }
    {
    }

    /**
     * @brief Adds or updates a node from its record, unless the record is older than the known one; removes it if the
     * record is withdrawn.
     * @param record The record; ignored if a linked node of another name uses its address.
     * @return True if the node is new or its address, its upstream or whether that serves has changed.
     */
    bool apply(const directory_record& record);

    /** @brief Removes a node that withdrew its record, unless it is linked. */
    void withdraw(const node_name& node);

    /**
     * @brief Removes unlinked nodes with the same address as a node; addresses of removed hosts are reused.
     * @param node Current user of the address.
     * @return The removed nodes.
     */
    std::vector<node_name> removeReplacedNodes(const node_name& node);

    /** @brief Marks a node as linked and adopts the data centre, service and address of its hello message. */
    void onLinkOpened(const hello_message& hello);

    /** @brief Marks a node as not linked and discards its status. */
    void onLinkClosed(const node_name& node);

    /**
     * @brief Sets whether a link is suspected.
     * @param node The peer.
     * @param isSuspected True if the peer does not answer on the link, false if it answers again.
     */
    void setSuspected(const node_name& node, bool isSuspected);

    /**
     * @brief Updates the status of a node's upstream.
     * @return True if the upstream started or stopped accepting requests, or is another incarnation.
     */
    bool updateStatus(const node_name& node, const upstream_status_message& status, time_point now);

    /**
     * @brief Updates the load of a node's upstream, as received with an answer; ignored without a status.
     * @param isFromUpstream True if the upstream itself gave the answer, so that the rate is the one that it named.
     */
    void updateLoad(const node_name& node, const upstream_load& load, bool isFromUpstream, time_point now);

    /** @brief Returns what to report to a node about its upstream, or nothing if this node knows nothing of interest.
     */
    [[nodiscard]] std::optional<reported_notices_message> noticesFor(const node_name& node) const;

    /** @brief Marks the upstream of a node as not serving until its next status message. */
    void markNotServing(const node_name& node);

    /**
     * @brief Remembers an upstream that has said that it leaves, and marks its node as not serving.
     *
     * The node beside the upstream may forget this when it starts again, and would offer the upstream to others.
     * @param node Node of the upstream.
     * @param upstream The upstream; no later record or status makes this incarnation serve again.
     */
    void markLeaving(const node_name& node, const upstream_incarnation& upstream);

    /** @brief Returns the latest known incarnation of a node's upstream with an identifier; starts at 0 if unknown. */
    [[nodiscard]] upstream_incarnation incarnationOf(const node_name& node, const std::string& upstream) const;

    /** @brief Returns true if an upstream has said that it leaves. */
    [[nodiscard]] bool isLeaving(const upstream_incarnation& upstream) const;

    /** @brief Returns the entry of a node, or null if the node is unknown. */
    [[nodiscard]] const known_node* find(const node_name& node) const;

    /** @brief Returns the nodes whose upstream belongs to a service, ordered by name. */
    [[nodiscard]] std::vector<const known_node*> nodesOfService(const service_name& service) const;

    /** @brief Returns all nodes, keyed by name. */
    [[nodiscard]] const std::map<node_name, known_node>& nodes() const noexcept { return m_nodes; }

    /** @brief Returns the JSON text of all records, for peers that do not read the store. */
    [[nodiscard]] std::string format() const;

    /** @brief Returns the JSON text of some records, in the format of `format`. */
    [[nodiscard]] static std::string formatRecords(const std::vector<directory_record>& records);

    /** @brief Parses the records that a peer wrote with `format`, without malformed ones; returns an error if the text
     * is no list of records. */
    [[nodiscard]] static result<std::vector<directory_record>> parseRecords(std::string_view text);

private:
    static constexpr std::size_t maxWithdrawn = 1024; // Exceeds the hosts of a fleet that is replaced at once.

    void keepWithdrawn(const directory_record& record);
    [[nodiscard]] bool isAddressInUse(const directory_record& record) const;

    std::map<node_name, known_node> m_nodes;
    std::map<node_name, directory_record> m_withdrawn; /*!< Kept for copies of the directory. */
    departed_upstreams& m_departed;
};

} // namespace knapweedcroft

#endif
