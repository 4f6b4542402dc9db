#ifndef KNAPWEEDCROFT_UPSTREAM_SERVICE_FWD_HPP
#define KNAPWEEDCROFT_UPSTREAM_SERVICE_FWD_HPP

namespace knapweedcroft {

class upstream_model;
struct upstream_faults;
struct upstream_operation;
struct upstream_settings;
struct upstream_stats;

} // namespace knapweedcroft

#endif
