#ifndef KNAPWEEDCROFT_NET_PEER_HUB_HPP
#define KNAPWEEDCROFT_NET_PEER_HUB_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/net/event_loop.hpp"
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

/** @brief Times of the links between nodes. */
struct peer_hub_settings {
    milliseconds pingInterval { 250 };
    milliseconds openTime { 1000 }; /*!< Longest time to open a link, up to the peer's hello. */
    milliseconds silenceGrace { 50 }; /*!< Time for the old link to answer once its replacement is open. */
    milliseconds firstBackOff { 50 };
    milliseconds longestBackOff { 2000 };
    std::uint64_t seed = 1; /*!< Seed of the jitter. */
};

/** @brief What the hub tells its program. */
struct peer_hub_handlers {
    std::function<hello_message()> makeHello; /*!< Returns the hello to send now. */
    std::function<void(node_event)> deliver; /*!< Receives link_opened, link_closed and message_received. */
    std::function<void(write_log)> log; /*!< Receives log lines. */
    std::function<void(const node_name&, bool)> suspected; /*!< A peer missed a ping, or answers again; may be empty. */
};

/**
 * @brief The links to all peers: opens, accepts, checks, replaces and closes them; one is used per peer.
 *
 * The link to each peer runs by the chart `peer_link`; an open link is pinged while something on it waits for an
 * answer. Answers pings itself. If both sides open a link at once, the one opened by the node with the lesser name is
 * used.
 */
class peer_hub {
public:
    /**
     * @brief Constructs a hub without links.
     * @param loop The loop; must outlive the hub.
     * @param self Name of this node.
     * @param linkChart Chart of a link; must outlive the hub.
     * @param settings The times.
     * @param handlers The receivers.
     */
    peer_hub(event_loop& loop, node_name self, const chart& linkChart, const peer_hub_settings& settings,
        peer_hub_handlers handlers);
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;
    ~peer_hub();

    /**
     * @brief Starts to accept links.
     * @param host IP address to listen on.
     * @param port Port, or 0 to have the system choose one.
     * @return The address as `host:port`, or an error of kind `connection_failed`.
     */
    [[nodiscard]] result<std::string> listen(const std::string& host, std::uint16_t port);

    /**
     * @brief Keeps a link to a peer open from now on; one that fails is opened again with back-off.
     *
     * A link to an address alone is opened once, with a few tries.
     * @param action Names the peer or the address.
     */
    void open(const open_link& action);

    /**
     * @brief Opens a second link to a peer and then closes the present one.
     * @param action Names the peer.
     */
    void replace(const replace_link& action);

    /**
     * @brief Closes the link to a peer and stops opening it.
     * @param action Names the peer.
     */
    void close(const close_link& action);

    /**
     * @brief Sends a message to a peer; without a link it is dropped, and a call is reported as unwritten.
     * @param action The peer and the message.
     */
    void send(const send_to_peer& action);

    /** @brief Closes all links after what was sent has been read, forgets all peers, and reports neither. */
    void reset();

    /** @brief Stops accepting and opening links, and closes all after what was sent has been read. */
    void shutDown();

    /** @brief Returns the number of links of any state. */
    [[nodiscard]] std::size_t linkCount() const noexcept { return m_links.size(); }

    /**
     * @brief Returns the state of the link to a peer.
     * @param peer The peer.
     * @return The state; `closed` for an unknown peer.
     */
    [[nodiscard]] peer_link_state linkState(const node_name& peer) const;

    /** @brief Returns the names of the peers with a link in use. */
    [[nodiscard]] std::vector<node_name> linkedPeers() const;

private:
    enum class link_phase : std::uint8_t {
        opening, /*!< No hello yet. */
        standby, /*!< A replacement that is open but not in use. */
        active,
        retiring /*!< Only read from, until it is closed. */
    };

    struct link_record {
        std::uint64_t id = 0;
        std::unique_ptr<peer_link> link;
        link_phase phase = link_phase::opening;
        bool isOutgoing = false;
        bool isReplacement = false;
        node_name expected; /*!< Peer that is meant; empty for accepted links and links to an address. */
        std::string address;
        std::optional<hello_message> hello;
        time_point startedAt;
        std::uint64_t pingSequence = 0;
        std::uint32_t unansweredPings = 0;
        bool isForgotten = false; /*!< Left over from before a reset. */
        bool isAwaited = false; /*!< Something was sent since the last receipt. */
    };

    struct peer_record {
        explicit peer_record(const chart& linkChart)
            : state { linkChart }
        {
        }

        peer_link_instance state;
        std::string address;
        bool isWanted = false;
        std::uint64_t activeLink = 0;
        std::uint64_t outgoingLink = 0; /*!< Link being opened. */
        std::uint32_t failures = 0;
        std::unordered_set<call_id> openCalls;
        std::unique_ptr<loop_timer> retryTimer;
        std::unique_ptr<loop_timer> graceTimer;
    };

    [[nodiscard]] link_record* find(std::uint64_t id);
    [[nodiscard]] peer_record& peerOf(const node_name& name);
    [[nodiscard]] link_record* activeLink(const node_name& peer);
    [[nodiscard]] peer_link_handlers handlersFor(std::uint64_t id);
    void accept(evutil_socket_t socket);
    std::uint64_t connect(const node_name& peer, const std::string& address, link_purpose purpose);
    void reconnect(const node_name& name);
    void scheduleReconnect(const node_name& name);

    void onOpened(std::uint64_t id);
    void onFrame(std::uint64_t id, std::string_view frame);
    void onPong(link_record& record, const pong_message& pong);
    void onEnded(std::uint64_t id, const link_end& end);
    void onHello(link_record& record, const hello_message& hello);
    void onMessage(link_record& record, peer_message message);
    void dispose(std::uint64_t id);

    void activate(link_record& record);
    void standBy(link_record& record);
    void switchOver(link_record& replacement);
    void settle(link_record& old, std::string_view reason);
    void retire(link_record& record);
    void resolveDuplicate(link_record& present, link_record& added);
    void activateStandby(const node_name& name);
    void endGrace(const node_name& name);
    void startReplacement(const node_name& name);
    void transmit(link_record& record, const peer_message& message, std::optional<call_id> call);
    void reportUnwritten(const node_name& peer, call_id call);
    void tick();
    void checkPings(link_record& record);
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
    std::map<node_name, std::vector<call_id>> m_undeliverable;
    tcp_listener m_listener;
    loop_timer m_tickTimer;
    time_point m_lastTick;
    std::shared_ptr<bool> m_isAlive;
    std::uint64_t m_lastId = 0;
    bool m_isShuttingDown = false;
};

} // namespace knapweedcroft

#endif
