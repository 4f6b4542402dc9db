#include "knapweedcroft/net/write_now.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace knapweedcroft::internal {

bool writeNow(bufferevent* stream) noexcept
{
    evbuffer* output = bufferevent_get_output(stream);
    if (evbuffer_get_length(output) == 0)
        return true;
    // The front of a bufferevent's output is frozen except while the bufferevent writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(stream));
    evbuffer_freeze(output, 1);
    return evbuffer_get_length(output) == 0;
}

void writeNowAndNotify(bufferevent* stream) noexcept
{
    const bool hadOutput = evbuffer_get_length(bufferevent_get_output(stream)) > 0;
    if (!hadOutput || !writeNow(stream))
        return;
    bufferevent_disable(stream, EV_WRITE);
    // Deferred, because the owner of the bufferevent may still be on the call stack.
    bufferevent_trigger(stream, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
}

} // namespace knapweedcroft::internal
