#ifndef KNAPWEEDCROFT_NET_SOCKET_OPTIONS_HPP
#define KNAPWEEDCROFT_NET_SOCKET_OPTIONS_HPP

#include "knapweedcroft/core/error.hpp"

#include <event2/util.h>

#include <cstdint>
#include <string>

namespace knapweedcroft {

/** @brief A TCP socket that is bound but not listening. */
struct bound_socket {
    evutil_socket_t socket = -1;
    std::string address; /*!< `host:port`. */
};

/**
 * @brief Creates and binds a non-blocking TCP socket with TCP_NODELAY, which accepted connections inherit.
 * @param host IP address.
 * @param port Port, or 0 for a port chosen by the system.
 * @return The socket, or an error of kind `invalid_value` or `connection_failed`.
 */
[[nodiscard]] result<bound_socket> bindSocket(const std::string& host, std::uint16_t port);

/**
 * @brief Sets TCP_NODELAY, so that small writes are sent immediately.
 * @param socket A TCP socket; nothing happens if it is -1.
 */
void setNoDelay(evutil_socket_t socket) noexcept;

/**
 * @brief Enables TCP keep-alive probes; a connection to an unreachable host is closed after about 25 s.
 * @param socket A TCP socket; nothing happens if it is -1.
 */
void setKeepAlive(evutil_socket_t socket) noexcept;

} // namespace knapweedcroft

#endif
