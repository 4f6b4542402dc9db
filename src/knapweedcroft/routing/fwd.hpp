#ifndef KNAPWEEDCROFT_ROUTING_FWD_HPP
#define KNAPWEEDCROFT_ROUTING_FWD_HPP

namespace knapweedcroft {

struct routing_settings;
struct member_info;
class router;

} // namespace knapweedcroft

#endif
