#ifndef KNAPWEEDCROFT_PRESSURE_FWD_HPP
#define KNAPWEEDCROFT_PRESSURE_FWD_HPP

namespace knapweedcroft {

struct pressure_settings;
class threshold_map;

} // namespace knapweedcroft

#endif
