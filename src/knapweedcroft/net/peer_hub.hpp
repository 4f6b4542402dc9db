#ifndef KNAPWEEDCROFT_NET_PEER_HUB_HPP
#define KNAPWEEDCROFT_NET_PEER_HUB_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/large_frame_queue.hpp"
#include "knapweedcroft/net/peer_link.hpp"
#include "knapweedcroft/net/tcp_listener.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace knapweedcroft {

/** @brief Timing of the links between nodes. */
struct peer_hub_settings {
    milliseconds pingInterval { 250 };
    milliseconds openTimeout { 1000 }; /*!< Maximum time to open a link, up to the peer's hello, and to close one. */
    milliseconds replacementGracePeriod { 50 }; /*!< Time for the old link to respond once its replacement is open. */
    milliseconds initialBackoff { 50 };
    milliseconds maxBackoff { 2000 };
    std::uint64_t seed = 1; /*!< Seed of the back-off jitter. */
};

/** @brief Messages of one kind that were sent to peers. */
struct sent_message_counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t remoteBytes = 0; /*!< To other data centres. */
};

/** @brief Faults of the links to all peers since the start. */
struct link_fault_counts {
    std::uint64_t endedLinks = 0; /*!< Active links that ended, for whatever reason. */
    std::uint64_t endedCalls = 0; /*!< Unanswered calls of this node on these links. */
    std::uint64_t unwrittenCalls = 0; /*!< Part of them that can be sent on another link. */
    std::uint64_t unreadableMessages = 0; /*!< Received messages that were answered or dropped one by one. */
    std::uint64_t untransferableMessages = 0; /*!< Messages of this node beyond the limits of the wire. */
};

/** @brief Callbacks of a peer hub. */
struct peer_hub_handlers {
    std::function<hello_message()> makeHello; /*!< Returns the hello message for a newly opened link. */
    std::function<void(node_event)> deliver; /*!< Receives link_opened, link_closed and message_received. */
    std::function<void(write_log)> log; /*!< Receives log lines; may be empty. */
    std::function<void(const node_name&, bool)> suspected; /*!< Whether a peer misses pings; may be empty. */
};

/**
 * @brief Manages the links to all peers: opens, accepts, checks, replaces and closes them. One link per peer is active.
 *
 * The state chart `peer_link` defines the states of the link to a peer. An open link is pinged while a reply is
 * expected on it; the hub answers pings itself. If both sides open a link at the same time, both use the one opened by
 * the node whose name sorts first.
 *
 * A large request or answer waits until its link has written most of what is before it, and small messages pass it. So
 * the output buffer of a link stays small, whatever the owner sends. A peer that says so in its hello message is
 * offered large answers, which wait until it grants them.
 */
class peer_hub {
public:
    /**
     * @brief Constructs a hub without links.
     * @param loop Must outlive the hub.
     * @param self Name of this node.
     * @param linkChart State chart `peer_link`; must outlive the hub.
     * @param settings Timing of the links.
     * @param handlers Callbacks.
     */
    peer_hub(event_loop& loop, node_name self, const chart& linkChart, const peer_hub_settings& settings,
        peer_hub_handlers handlers);
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;
    ~peer_hub();

    /**
     * @brief Starts to accept links.
     * @param host IP address to listen on.
     * @param port Port, or 0 for a port chosen by the system.
     * @return The bound address as `host:port`, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /**
     * @brief Keeps a link to a peer open: opens it, and reopens it with back-off whenever it fails.
     *
     * If only an address is given, one link is opened and not reopened.
     * @param action The peer and its address, or only an address.
     */
    void open(const open_link& action);

    /**
     * @brief Opens a second link to a peer, which replaces the active one unless that one responds again.
     * @param action The peer; its address is updated unless empty.
     */
    void replace(const replace_link& action);

    /** @brief Closes the link to a peer and stops reopening it. */
    void close(const close_link& action);

    /**
     * @brief Sends a message to a peer; without an active link, discards it and reports a call as unwritten.
     *
     * A call beyond the limits of the wire is answered as refused, and an answer beyond them is replaced by a failure.
     */
    void send(const send_to_peer& action);

    /** @brief Returns true if a call that was sent to a peer awaits its answer. */
    [[nodiscard]] bool isPending(const node_name& peer, call_id call) const;

    /** @brief Removes all peers and closes all links gracefully, without delivering link_closed. */
    void reset();

    /** @brief Stops accepting and opening links, and closes all links gracefully. */
    void shutDown();

    /** @brief Returns the number of links, including those being opened or closed. */
    [[nodiscard]] std::size_t linkCount() const noexcept { return m_links.size(); }

    /** @brief Returns the bytes that have been sent and not yet written to the sockets of all links. */
    [[nodiscard]] std::size_t unwrittenBytes() const;

    /** @brief Returns the bytes of the large answers that wait for their turn on all links. */
    [[nodiscard]] std::size_t waitingAnswerBytes() const;

    /** @brief Returns the state of the link to a peer; `closed` for an unknown peer. */
    [[nodiscard]] peer_link_state linkState(const node_name& peer) const;

    /** @brief Returns what was sent to peers since the start, by kind of message. */
    [[nodiscard]] const std::map<std::string_view, sent_message_counts>& sentByKind() const noexcept
    {
        return m_sentByKind;
    }

    /** @brief Returns the faults of the links since the start. */
    [[nodiscard]] const link_fault_counts& faults() const noexcept { return m_faults; }

    /** @brief Returns the names of the peers with an active link. */
    [[nodiscard]] std::vector<node_name> linkedPeers() const;

private:
    enum class link_phase : std::uint8_t {
        opening, /*!< No hello received yet. */
        standby, /*!< An open replacement that is not used yet. */
        active,
        retiring /*!< Still read from, but no longer written to, until it is closed. */
    };

    struct link_record {
        std::uint64_t id = 0;
        std::unique_ptr<peer_link> link;
        link_phase phase = link_phase::opening;
        bool isOutgoing = false;
        bool isReplacement = false;
        node_name expectedPeer; /*!< Empty for accepted links and for links opened by address only. */
        std::string address;
        std::optional<hello_message> hello;
        time_point startedAt;
        std::uint64_t pingSequence = 0;
        std::uint32_t unansweredPings = 0;
        bool isDetached = false; /*!< Existed at the last `reset`; its events are ignored. */
        bool hasCarriedMessages = false; /*!< It has been active here, or the peer has used it. */
        large_frame_queue waiting;
        bool isReplyExpected = false; /*!< A message was sent after the last one received. */
    };

    struct peer_record {
        explicit peer_record(const chart& linkChart)
            : state { linkChart }
        {
        }

        peer_link_instance state;
        std::string address;
        bool shouldStayOpen = false;
        std::uint64_t activeLink = 0;
        std::uint64_t outgoingLink = 0; /*!< Link being opened; 0 if none. */
        std::uint32_t connectFailures = 0;
        std::unordered_set<call_id> pendingCalls;
        std::unique_ptr<loop_timer> retryTimer;
        std::unique_ptr<loop_timer> graceTimer;
    };

    [[nodiscard]] link_record* find(std::uint64_t id);
    [[nodiscard]] peer_record& findOrAddPeer(const node_name& name);
    [[nodiscard]] link_record* activeLink(const node_name& peer);
    [[nodiscard]] peer_link_handlers makeLinkHandlers(std::uint64_t id);
    void accept(evutil_socket_t socket);
    std::uint64_t connect(const node_name& peer, const std::string& address, link_purpose purpose);
    void reconnect(const node_name& name);
    void scheduleReconnect(const node_name& name);

    void onOpened(std::uint64_t id);
    void onFrame(std::uint64_t id, std::string_view frame);
    void onUnreadableFrame(link_record& record, std::string_view frame, const error& reason);
    void onPong(link_record& record, const pong_message& pong);
    void onClosed(std::uint64_t id, const link_end& end);
    void onHello(link_record& record, const hello_message& hello);
    void onMessage(link_record& record, peer_message message);
    void removeLink(std::uint64_t id);

    void activate(link_record& record);
    void makeStandby(link_record& record);
    void replaceActiveLink(link_record& replacement);
    void closeActiveLink(link_record& old, std::string_view reason);
    void retire(link_record& record);
    void resolveDuplicate(link_record& existing, link_record& added);
    void activateStandby(const node_name& name);
    void onGracePeriodExpired(const node_name& name);
    void startReplacement(const node_name& name);
    void sendMessage(link_record& record, const peer_message& message, std::optional<call_id> call);
    void sendWaiting(link_record& record);
    [[nodiscard]] static std::vector<call_id> unwrittenCalls(const link_record& record);
    void onUntransferable(link_record& record, const peer_message& message, const error& reason);
    void deliverLater(const node_name& peer, peer_message message);
    void reportUnwritten(const node_name& peer, call_id call);
    void checkLinks();
    void checkLiveness(link_record& record);
    void reportSuspicion(const node_name& peer, bool isSuspected) const;
    void log(log_level level, std::string_view event, const link_record& record, std::string_view detail);

    event_loop& m_loop;
    node_name m_self;
    const chart& m_linkChart;
    peer_hub_settings m_settings;
    peer_hub_handlers m_handlers;
    clock m_clock;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, std::unique_ptr<link_record>> m_links;
    std::map<node_name, peer_record> m_peers;
    std::map<node_name, std::vector<call_id>> m_undeliverableCalls;
    std::map<std::string_view, sent_message_counts> m_sentByKind;
    link_fault_counts m_faults;
    std::string m_dataCentre; /*!< Data centre of this node, from its hello message. */
    tcp_listener m_listener;
    loop_timer m_checkTimer;
    time_point m_lastCheck;
    std::shared_ptr<bool> m_isAlive;
    std::uint64_t m_lastId = 0;
    bool m_isShuttingDown = false;
};

} // namespace knapweedcroft

#endif
