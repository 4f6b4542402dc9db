#ifndef KNAPWEEDCROFT_WIRE_FWD_HPP
#define KNAPWEEDCROFT_WIRE_FWD_HPP

namespace knapweedcroft {

struct call_context;
struct call_request;
struct call_answer;
struct heartbeat_message;
struct hello_message;

} // namespace knapweedcroft

#endif
