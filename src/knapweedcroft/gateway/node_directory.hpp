#ifndef KNAPWEEDCROFT_GATEWAY_NODE_DIRECTORY_HPP
#define KNAPWEEDCROFT_GATEWAY_NODE_DIRECTORY_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/gateway/upstream_registry.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Where a node is and which upstream it stands beside, as the node itself published it. */
struct directory_record {
    node_name node;
    std::string peerAddress; /*!< `host:port` on which it accepts links. */
    std::string data_centre;
    std::int64_t writtenAt = 0; /*!< Unix time in ms of the node when it wrote the record. */
    upstream_announcement upstream;

    /** @brief Returns the JSON text of the record. */
    [[nodiscard]] std::string format() const;

    /**
     * @brief Reads a record from its JSON text.
     * @param text The text.
     * @return The record, or the first error.
     */
    [[nodiscard]] static result<directory_record> parse(std::string_view text);
};

/** @brief What is known of a node beside an upstream. */
struct known_node {
    directory_record record;
    bool isLinked = false;
    bool isSuspected = false; /*!< The link carries no answers at present. */
    bool isServing = false; /*!< Its upstream takes new requests, as far as is known. */
    std::optional<upstream_status_message> status; /*!< Newest status from the link. */
    time_point loadAt; /*!< When the load of the status was told. */
};

/**
 * @brief The nodes and their upstreams: where they are comes from the store, whether they live from the links.
 *
 * A newer incarnation of an upstream always wins over an older one, whichever way it came.
 */
class node_directory {
public:
    /**
     * @brief Takes a record.
     * @param record The record.
     * @return True if the node is new or its address or upstream has changed; false also if its address belongs to a
     * linked node of another name by now.
     */
    bool apply(const directory_record& record);

    /**
     * @brief Removes a node that withdrew its record, unless it is linked.
     * @param node The node.
     */
    void withdraw(const node_name& node);

    /**
     * @brief Removes the nodes whose address now belongs to another node; addresses of hosts are used again.
     * @param node The node that has its address now.
     * @return The nodes that were removed.
     */
    std::vector<node_name> dropFormerOwners(const node_name& node);

    /**
     * @brief Takes note of an open link.
     * @param hello What the peer said of itself.
     */
    void linked(const hello_message& hello);

    /**
     * @brief Takes note that the link to a node has closed.
     * @param node The node.
     */
    void unlinked(const node_name& node);

    /**
     * @brief Takes note that a link carries no answers, or does so again.
     * @param node The peer.
     * @param isSuspected True if it carries none.
     */
    void suspect(const node_name& node, bool isSuspected);

    /**
     * @brief Takes the status of a peer's upstream.
     * @param node The peer.
     * @param status The status.
     * @param now Present time.
     * @return True if the peer's upstream started or stopped taking requests, or is another one.
     */
    bool update(const node_name& node, const upstream_status_message& status, time_point now);

    /**
     * @brief Takes the load that came with an answer.
     * @param node The peer.
     * @param load The load.
     * @param now Present time.
     */
    void updateLoad(const node_name& node, const upstream_load& load, time_point now);

    /**
     * @brief Takes note that a peer refuses requests until its next status.
     * @param node The peer.
     */
    void markNotServing(const node_name& node);

    /**
     * @brief Returns a node.
     * @param node Its name.
     * @return The node, or null if it is not known.
     */
    [[nodiscard]] const known_node* find(const node_name& node) const;

    /**
     * @brief Returns the nodes whose upstream belongs to a service.
     * @param service The service.
     * @return The nodes, ordered by name.
     */
    [[nodiscard]] std::vector<const known_node*> nodesOf(const service_name& service) const;

    /** @brief Returns all nodes by name. */
    [[nodiscard]] const std::map<node_name, known_node>& nodes() const noexcept { return m_nodes; }

    /** @brief Returns the JSON text of all records, for a node that cannot read the store. */
    [[nodiscard]] std::string format() const;

    /**
     * @brief Reads the records of a peer's directory.
     * @param text JSON text of `format`.
     * @return The records, or the first error.
     */
    [[nodiscard]] static result<std::vector<directory_record>> parseAll(std::string_view text);

private:
    [[nodiscard]] bool isAddressOfAnother(const directory_record& record) const;

    std::map<node_name, known_node> m_nodes;
};

} // namespace knapweedcroft

#endif
