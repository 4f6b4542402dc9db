#ifndef KNAPWEEDCROFT_GATEWAY_FWD_HPP
#define KNAPWEEDCROFT_GATEWAY_FWD_HPP

namespace knapweedcroft {

struct forward_entry;
struct directory_record;
struct gateway_settings;
struct upstream_announcement;
class entry_table;
class gateway_core;
class node_directory;
class origin_requests;
class placement;
class retry_allowance;
class served_requests;
class service_split;
class upstream_queue;
class upstream_registry;

} // namespace knapweedcroft

#endif
