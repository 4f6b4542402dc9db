#ifndef KNAPWEEDCROFT_HTTP_FWD_HPP
#define KNAPWEEDCROFT_HTTP_FWD_HPP

namespace knapweedcroft {

struct opaque_request;
struct opaque_response;
struct message_limits;
struct parse_error;
class request_parser;
class response_parser;
class pipelined_server;
class exchange_client;

} // namespace knapweedcroft

#endif
