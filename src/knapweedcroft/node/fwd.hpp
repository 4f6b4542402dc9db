#ifndef KNAPWEEDCROFT_NODE_FWD_HPP
#define KNAPWEEDCROFT_NODE_FWD_HPP

namespace knapweedcroft {

class node_core;
struct node_settings;

} // namespace knapweedcroft

#endif
