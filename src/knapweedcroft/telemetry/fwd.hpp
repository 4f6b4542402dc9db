#ifndef KNAPWEEDCROFT_TELEMETRY_FWD_HPP
#define KNAPWEEDCROFT_TELEMETRY_FWD_HPP

namespace knapweedcroft {

class latency_metric;
class logger;
class metrics;

} // namespace knapweedcroft

#endif
