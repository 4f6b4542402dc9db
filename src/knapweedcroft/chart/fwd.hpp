#ifndef KNAPWEEDCROFT_CHART_FWD_HPP
#define KNAPWEEDCROFT_CHART_FWD_HPP

namespace knapweedcroft {

class chart;
struct chart_symbols;
struct chart_set;
template <typename State, typename Event> class chart_instance;

} // namespace knapweedcroft

#endif
