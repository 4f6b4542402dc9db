#ifndef KNAPWEEDCROFT_LOAD_LATENCY_PROBE_HPP
#define KNAPWEEDCROFT_LOAD_LATENCY_PROBE_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/percentiles.hpp"
#include "knapweedcroft/net/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief An HTTP address and a path on it. */
struct probe_target {
    std::string address; /*!< `host:port`. */
    std::string path;
};

/** @brief Settings of a latency probe. */
struct probe_settings {
    probe_target direct; /*!< Operation of an upstream, `/op/{operation}`. */
    probe_target through; /*!< The same operation through a node, `/call/{service}/{operation}`. */
    std::uint64_t count = 1000; /*!< Calls of each kind that are measured. */
    std::uint64_t warmup = 100; /*!< Unmeasured warm-up calls of each kind. */
    bool isKeyed = false; /*!< Send an idempotency key with each call. */
    milliseconds timeout { 5000 };
};

/** @brief Latencies of both kinds of call. */
struct probe_result {
    percentiles direct { {} };
    percentiles through { {} };
    std::uint64_t failures = 0; /*!< Calls that did not end with a status below 300; they are not measured. */
};

/**
 * @brief Parses an address of the form `http://host:port/path`.
 * @return Its parts, or an error of kind `command_line`.
 */
[[nodiscard]] result<probe_target> parseProbeTarget(const std::string& url);

/** @brief Alternates direct calls and calls through the node, one at a time, over persistent connections. */
[[nodiscard]] probe_result runProbe(event_loop& loop, const clock& time, const probe_settings& settings);

/**
 * @brief Writes the percentiles of both kinds of call and the differences of the percentiles as JSON.
 * @return The document; times are in milliseconds.
 */
[[nodiscard]] nlohmann::ordered_json toJson(const probe_result& measured);

} // namespace knapweedcroft

#endif
