#include "knapweedcroft/http/internal/message_writer.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <memory>
#include <utility>

namespace knapweedcroft::internal {

void writeMessage(bufferevent* stream, std::string head, std::string body)
{
    constexpr std::size_t maxCopiedBytes = std::size_t { 64 } * 1024;
    const bool isCopied = body.size() <= maxCopiedBytes;
    if (isCopied)
        head.append(body);
    bufferevent_write(stream, head.data(), head.size());
    if (isCopied)
        return;
    std::string* owned = std::make_unique<std::string>(std::move(body)).release();
    const auto release = [](const void*, std::size_t, void* argument) {
        std::unique_ptr<std::string> { static_cast<std::string*>(argument) };
    };
    evbuffer_add_reference(bufferevent_get_output(stream), owned->data(), owned->size(), release, owned);
}

} // namespace knapweedcroft::internal
