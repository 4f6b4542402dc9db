#ifndef KNAPWEEDCROFT_LOAD_LOAD_RUN_HPP
#define KNAPWEEDCROFT_LOAD_LOAD_RUN_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/client_request.hpp"
#include "knapweedcroft/load/settings.hpp"
#include "knapweedcroft/load/trace.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief One action of a user, from its arrival to its end. */
struct action_record {
    std::size_t entry = 0; /*!< Index in the entries of the shape. */
    std::size_t phase = 0; /*!< Phase of the arrival. */
    milliseconds arrivedAt; /*!< Since the start of the run. */
    milliseconds startedAt; /*!< Since the start of the run; later than the arrival if the load tool is too slow. */
    milliseconds endedAt; /*!< Since the start of the run. */
    attempt_end end = attempt_end::timed_out; /*!< End of the last attempt. */
    attempt_counts attempts {}; /*!< Attempts by how they ended. */
    std::string key; /*!< Idempotency key as sent; empty if none. */
    expected_answer expect = expected_answer::answered;
};

/** @brief What an emulated upstream has counted since it started. */
struct upstream_counts {
    std::string host;
    service_name service;
    bool isKnown = false; /*!< False if the upstream did not answer. */
    std::map<std::string, std::uint64_t> executions; /*!< By operation. */
    std::map<std::string, std::uint64_t> unwound; /*!< Executions that ended as not run, by operation. */
    std::map<std::string, std::uint64_t> effects; /*!< By operation. */
    std::unordered_map<std::string, std::uint64_t> keys; /*!< Effects by idempotency key. */
    std::uint64_t mismatched = 0; /*!< Sub-calls that got the answer of another call. */
    std::uint64_t afterLeave = 0; /*!< Calls received more than 2 s after the upstream left. */
};

/** @brief A phase as it was run. */
struct phase_span {
    std::string name;
    milliseconds start; /*!< Since the start of the run. */
    milliseconds end; /*!< Since the start of the run. */
    double demand = 1.0;
    std::vector<load_fault> faults;
};

/** @brief Record of a run. */
struct load_run {
    std::vector<phase_span> phases;
    std::vector<action_record> actions;
    std::vector<std::string> answerFaults; /*!< Partial, mismatched or duplicate answers. */
    std::vector<std::string> interfaceFaults; /*!< Answers without a valid `Knapweed-Result`. */
    std::vector<upstream_counts> before;
    std::vector<upstream_counts> after; /*!< In the order of `before`. */
    bool isInterrupted = false; /*!< Ended by a signal. */
};

/**
 * @brief Reads the counts of an upstream.
 * @param document Answer of the upstream to `GET /stats`.
 * @param context Name of the upstream, used in messages.
 * @return The counts without host and service, or an error of a `json_reader`.
 */
[[nodiscard]] result<upstream_counts> parseUpstreamCounts(const nlohmann::json& document, const std::string& context);

} // namespace knapweedcroft

#endif
