#ifndef KNAPWEEDCROFT_NET_FWD_HPP
#define KNAPWEEDCROFT_NET_FWD_HPP

#include <cstdint>

namespace knapweedcroft {

enum class http_method : std::uint8_t;
enum class link_purpose : std::uint8_t;

class event_loop;
class http_client;
class http_server;
class log_client;
class loop_timer;
class node_runtime;
class peer_hub;
class peer_link;
class tcp_listener;

struct bound_socket;
struct host_port;
struct http_client_request;
struct http_client_settings;
struct http_failure;
struct http_request;
struct http_response;
struct http_server_settings;
struct link_end;
struct log_client_handlers;
struct log_client_settings;
struct node_addresses;
struct node_logic;
struct peer_hub_handlers;
struct peer_hub_settings;
struct peer_link_handlers;

} // namespace knapweedcroft

#endif
