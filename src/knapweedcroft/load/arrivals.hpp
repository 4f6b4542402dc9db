#ifndef KNAPWEEDCROFT_LOAD_ARRIVALS_HPP
#define KNAPWEEDCROFT_LOAD_ARRIVALS_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/settings.hpp"
#include "knapweedcroft/load/shape.hpp"
#include "knapweedcroft/load/trace.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief A scheduled user action; its time does not depend on earlier answers (open loop). */
struct arrival {
    milliseconds at; /*!< Since the start of the run. */
    std::size_t phase = 0;
    std::size_t entry = 0; /*!< Index in the entries of the shape. */
    std::string data_centre; /*!< Data centre of the client. */
    std::optional<std::string> key; /*!< Idempotency key with its recorded time of issue; see `key_reissuer`. */
    std::int64_t bodyBytes = 0;
    std::string token; /*!< Sent with the request and echoed in its answer; equal for equal keys. */
    expected_answer expect = expected_answer::answered;
};

/**
 * @brief Generates arrivals with exponentially distributed inter-arrival times.
 * @param settings Seed, rates and phases; the rates name entries of the shape.
 * @return Arrivals in order of time, the same for the same arguments, or an error of kind `invalid_value`.
 */
[[nodiscard]] result<std::vector<arrival>> drawArrivals(const shape& on, const load_settings& settings);

/**
 * @brief Converts the calls of a trace to arrivals in a single phase.
 * @param recorded The trace, checked with `checkTrace`.
 * @return Arrivals in order of time.
 */
[[nodiscard]] std::vector<arrival> replayArrivals(const shape& on, const trace& recorded);

/**
 * @brief Generates calls of each entry from each data centre, evenly spaced over one phase.
 * @param rounds Calls of each entry from each data centre.
 * @param length Length of the phase.
 * @param seed Seed of the keys; calls with other seeds have other keys.
 * @return Arrivals in order of time.
 */
[[nodiscard]] std::vector<arrival> probeArrivals(
    const shape& on, std::size_t rounds, milliseconds length, std::uint64_t seed);

/** @brief Parameters of a generated trace. */
struct trace_recipe {
    std::uint64_t seed = 1;
    milliseconds length { 10'000 };
    std::uint64_t calls = 400; /*!< Expected number of calls without repeats. */
};

/**
 * @brief Generates a trace with a few repeated keys and a few calls without the key that they need.
 * @param on The shape, whose demand gives the mix of entries.
 * @param recipe Seed, length and number of calls.
 * @return The trace, the same for the same arguments, or an error of kind `invalid_value`.
 */
[[nodiscard]] result<trace> makeTrace(const shape& on, const trace_recipe& recipe);

} // namespace knapweedcroft

#endif
