#ifndef KNAPWEEDCROFT_GATEWAY_FWD_HPP
#define KNAPWEEDCROFT_GATEWAY_FWD_HPP

namespace knapweedcroft {

struct directory_record;
struct forward_entry;
struct gateway_settings;
struct link_plan_settings;
struct local_retry_budget_settings;
struct store_read_settings;
struct upstream_announcement;
struct upstream_incarnation;
class admission_ratio_controller;
class call_dependency_estimator;
class call_rate_estimator;
class catch_up_requester;
class departed_upstreams;
class downstream_admission_ratio;
class entry_origin_classifier;
class entry_table;
class gateway_core;
class gateway_runtime;
class local_retry_budget;
class node_directory;
class origin_requests;
class served_requests;
class store_read_election;
class upstream_queue;
class upstream_registry;
class upstream_selector;
class weighted_service_selector;

} // namespace knapweedcroft

#endif
