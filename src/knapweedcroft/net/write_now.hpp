#ifndef KNAPWEEDCROFT_NET_WRITE_NOW_HPP
#define KNAPWEEDCROFT_NET_WRITE_NOW_HPP

struct bufferevent;

namespace knapweedcroft::internal {

/**
 * @brief Writes the output of a connected bufferevent to its socket immediately; left to libevent, the write would
 * happen in the next iteration of the loop and cost three more system calls.
 * @param stream The bufferevent; it reports socket errors itself, through its event callback.
 * @return True if the output buffer is empty afterwards.
 */
bool writeNow(bufferevent* stream) noexcept;

/**
 * @brief Writes like `writeNow` and schedules the write callback of the bufferevent in the current loop iteration.
 * @param stream A connected bufferevent with writing enabled; it completes a partial write itself.
 */
void writeNowAndNotify(bufferevent* stream) noexcept;

} // namespace knapweedcroft::internal

#endif
