#ifndef KNAPWEEDCROFT_GATEWAY_FWD_HPP
#define KNAPWEEDCROFT_GATEWAY_FWD_HPP

namespace knapweedcroft {

struct directory_record;
struct forward_entry;
struct gateway_settings;
struct retry_allowance_settings;
struct upstream_announcement;
class call_dependence;
class call_rates;
class caller_profile;
class downstream_room;
class entry_table;
class gateway_core;
class gateway_runtime;
class node_directory;
class origin_requests;
class placement;
class retry_allowance;
class room_control;
class served_requests;
class service_split;
class upstream_queue;
class upstream_registry;

} // namespace knapweedcroft

#endif
