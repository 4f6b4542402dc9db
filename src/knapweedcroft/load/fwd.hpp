#ifndef KNAPWEEDCROFT_LOAD_FWD_HPP
#define KNAPWEEDCROFT_LOAD_FWD_HPP

namespace knapweedcroft {

class arrival_source;
class client_request;
class load_collector;
class load_engine;
struct deployment;
struct load_settings;
struct shape;
struct trace;

} // namespace knapweedcroft

#endif
