#ifndef KNAPWEEDCROFT_MEMBERSHIP_FWD_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_FWD_HPP

namespace knapweedcroft {

struct member;
struct node_identity;
struct service_view;
struct service_history;
struct view_entry;
struct membership_settings;
class membership_state;
class lease_table;

} // namespace knapweedcroft

#endif
