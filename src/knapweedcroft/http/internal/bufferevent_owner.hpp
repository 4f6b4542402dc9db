#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_BUFFEREVENT_OWNER_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_BUFFEREVENT_OWNER_HPP

#include <event2/bufferevent.h>

#include <memory>

namespace knapweedcroft::internal {

/** @brief Frees a bufferevent and closes its socket. */
struct stream_deleter {
    void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
};

using stream_owner = std::unique_ptr<bufferevent, stream_deleter>;

} // namespace knapweedcroft::internal

#endif
