#ifndef KNAPWEEDCROFT_LOAD_ORACLE_HPP
#define KNAPWEEDCROFT_LOAD_ORACLE_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/load/settings.hpp"
#include "knapweedcroft/load/shape.hpp"

#include <map>
#include <string>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Computes the maximum rates of whole requests that the upstreams can complete without wasted work.
 *
 * Classes are served in order of importance. Within a class, all entries get the same share of their demand, except
 * that an entry stops growing once a service that it needs is full. A call takes a slot for its own service time only;
 * the time for which it waits for its sub-calls is left out, so the figure is an upper bound.
 * @param offered Requests per second by entry, in the order of the shape's entries.
 * @return Whole requests per second by entry.
 */
[[nodiscard]] std::vector<double> oracleRates(
    const shape& on, const std::vector<double>& offered, const std::vector<load_fault>& faults);

} // namespace knapweedcroft

#endif
