#ifndef KNAPWEEDCROFT_HTTP_INTERNAL_MESSAGE_WRITER_HPP
#define KNAPWEEDCROFT_HTTP_INTERNAL_MESSAGE_WRITER_HPP

#include <string>

struct bufferevent;

namespace knapweedcroft::internal {

/**
 * @brief Appends a message to the output of a bufferevent.
 * @param stream The bufferevent.
 * @param head Header section, including its empty line.
 * @param body Body; a large one is handed over without a copy.
 */
void writeMessage(bufferevent* stream, std::string head, std::string body);

} // namespace knapweedcroft::internal

#endif
