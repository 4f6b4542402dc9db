#ifndef KNAPWEEDCROFT_LOAD_TRACE_HPP
#define KNAPWEEDCROFT_LOAD_TRACE_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/load/shape.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedcroft {

/** @brief Name of the format of trace files. */
inline constexpr std::string_view traceFormat = "knapweed-trace/1";

/** @brief Required final answer of a recorded call. */
enum class expected_answer : std::uint8_t {
    answered, /*!< A complete answer with a status of 2xx. */
    refused_not_run /*!< A refusal that a retry would not change, such as a booking without a key. */
};

/** @brief One recorded call by a client. */
struct trace_call {
    std::int64_t atMs = 0; /*!< Milliseconds since the start of the recording. */
    std::string entry;
    std::string data_centre;
    std::optional<std::string> key; /*!< A client that repeats a call uses the same key again. */
    std::int64_t bodyBytes = 0;
    expected_answer expect = expected_answer::answered;

    friend bool operator==(const trace_call& lhs, const trace_call& rhs)
    {
        return lhs.atMs == rhs.atMs && lhs.entry == rhs.entry && lhs.data_centre == rhs.data_centre
            && lhs.key == rhs.key && lhs.bodyBytes == rhs.bodyBytes && lhs.expect == rhs.expect;
    }
};

/** @brief A recording of client calls. */
struct trace {
    std::string shapeName; /*!< Shape that the trace was recorded for. */
    std::vector<trace_call> calls; /*!< In order of time. */

    friend bool operator==(const trace& lhs, const trace& rhs)
    {
        return lhs.shapeName == rhs.shapeName && lhs.calls == rhs.calls;
    }
};

/**
 * @brief Parses and checks the text of a trace.
 * @param context Name of the source, used in messages.
 * @return The trace. Otherwise an error of kind `malformed_json` that names the line, or of kind `invalid_trace` or of
 * a `json_reader` that names the call, counted from 1.
 */
[[nodiscard]] result<trace> parseTrace(std::string_view text, const std::string& context);

/**
 * @brief Reads and checks a trace file.
 * @return The trace, or an error of kind `unreadable_file` or as of `parseTrace`.
 */
[[nodiscard]] result<trace> readTrace(const std::string& path);

/**
 * @brief Validates the calls of a trace against a shape.
 * @return An error of kind `invalid_trace` that names the first invalid call.
 */
[[nodiscard]] std::optional<error> checkTrace(const trace& recorded, const shape& on);

/** @brief Formats a trace with one call per line. */
[[nodiscard]] std::string formatTrace(const trace& value);

} // namespace knapweedcroft

#endif
