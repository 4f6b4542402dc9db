#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_BUFFEREVENT_PTR_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_BUFFEREVENT_PTR_HPP

#include <event2/bufferevent.h>

#include <memory>

namespace knapweedcroft::internal {

/** @brief Deleter for a bufferevent; also closes its socket if it was created with `BEV_OPT_CLOSE_ON_FREE`. */
struct bufferevent_deleter {
    void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
};

using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

} // namespace knapweedcroft::internal

#endif
