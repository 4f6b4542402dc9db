#ifndef KNAPWEEDCROFT_NET_PEER_LINK_HPP
#define KNAPWEEDCROFT_NET_PEER_LINK_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <event2/util.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Purpose of a link, set by the side that opens it. */
enum class link_purpose : std::uint8_t {
    regular,
    replacement /*!< Replaces an open link that no longer responds. */
};

/** @brief How a link ended. */
struct link_end {
    bool isClean = false; /*!< The peer completed a normal close, so it has read everything that was sent. */
    std::string reason;
};

/** @brief Callbacks of a link; none is called from within a member function of the link. */
struct peer_link_handlers {
    std::function<void()> opened; /*!< The handshake is complete, and frames may be sent. */
    std::function<void(std::string_view)> received; /*!< Called for each received frame. */
    std::function<void(const link_end&)> closed; /*!< Called once, as the last callback. */
    std::function<void()> written {}; /*!< All that was sent has been written to the socket; may be empty. */
};

/**
 * @brief WebSocket connection to a peer; websocketpp implements the protocol, a libevent bufferevent the transport.
 *
 * After a link has ended, its owner must keep it at least until the current callback has returned.
 */
class peer_link {
public:
    /**
     * @brief Opens a link.
     * @param loop Must outlive the link.
     * @param address `host:port` of the peer.
     * @param purpose Sent to the peer in the handshake.
     * @param handlers Callbacks; all must be set but `written`.
     * @return The link, or an error of kind `invalid_value` or `connection_failed`.
     */
    [[nodiscard]] static result<std::unique_ptr<peer_link>> connect(
        event_loop& loop, const std::string& address, link_purpose purpose, peer_link_handlers handlers);

    /**
     * @brief Creates a link on an accepted connection.
     * @param loop Must outlive the link.
     * @param socket Owned by the link; closed also on failure.
     * @param handlers Callbacks; all must be set but `written`.
     * @return The link, or an error of kind `connection_failed`.
     */
    [[nodiscard]] static result<std::unique_ptr<peer_link>> accept(
        event_loop& loop, evutil_socket_t socket, peer_link_handlers handlers);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link();

    /**
     * @brief Sends a frame; does nothing unless the link is open.
     * @param frame Encoded message.
     * @param call The call that the frame requests, if any; see `unwrittenCalls`.
     */
    void send(std::string_view frame, std::optional<call_id> call);

    /** @brief Returns the calls of which no byte was written to the socket, in the order sent. */
    [[nodiscard]] std::vector<call_id> unwrittenCalls() const;

    /** @brief Returns the size of the output buffer in bytes. */
    [[nodiscard]] std::size_t unwrittenBytes() const;

    /** @brief Closes the link gracefully, after the peer has read everything that was sent, and then calls `closed`. */
    void close();

    /**
     * @brief Closes the link immediately and discards unwritten data; `closed` is called later, from the loop.
     * @param reason Passed to `closed`.
     */
    void abort(std::string_view reason);

    /** @brief Returns the purpose set by the opening side; on an accepted link, valid once the link is open. */
    [[nodiscard]] link_purpose purpose() const noexcept;

private:
    class stream;

    explicit peer_link(std::unique_ptr<stream> connected);

    std::unique_ptr<stream> m_stream;
};

} // namespace knapweedcroft

#endif
