#ifndef KNAPWEEDCROFT_SETTINGS_COMMAND_LINE_HPP
#define KNAPWEEDCROFT_SETTINGS_COMMAND_LINE_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Specification of a long option. */
struct option_spec {
    std::string name; /*!< Without the leading dashes. */
    std::string value; /*!< Placeholder of the value in the help text; empty if the option takes no value. */
    std::string help;
};

/** @brief Parsed command line; options and positional arguments may be mixed. */
struct command_line {
    std::map<std::string, std::string> options; /*!< Last value by name; empty for an option without value. */
    std::vector<std::string> arguments; /*!< Positional arguments, in order. */

    /** @brief Returns whether an option was given. */
    [[nodiscard]] bool has(const std::string& name) const { return options.count(name) != 0; }

    /** @brief Returns the value of an option, or `fallback` if the option was not given. */
    [[nodiscard]] std::string value(const std::string& name, const std::string& fallback = {}) const;
};

/**
 * @brief Parses the command line with `getopt_long`.
 * @param arguments The arguments, starting with the name of the program.
 * @param options The supported options.
 * @return The parsed command line, or an error of kind `command_line`.
 */
[[nodiscard]] result<command_line> parseCommandLine(
    const std::vector<std::string>& arguments, const std::vector<option_spec>& options);

/** @brief Formats the options for a help text, one line per option. */
[[nodiscard]] std::string formatOptions(const std::vector<option_spec>& options);

/**
 * @brief Parses a decimal integer; limits are inclusive.
 * @return The integer, or nothing if the text is not exactly one decimal integer or the value is out of range.
 */
[[nodiscard]] std::optional<std::int64_t> parseInteger(
    const std::string& text, std::int64_t minValue, std::int64_t maxValue) noexcept;

/**
 * @brief Formats the line that a server prints to stdout when it is ready.
 * @param name Name of the server.
 * @param http `host:port` of its HTTP interface.
 * @param peer `host:port` on which it accepts links from peers; empty if it accepts none.
 * @return One line of JSON without a line break.
 */
[[nodiscard]] std::string formatReadyLine(const std::string& name, const std::string& http, const std::string& peer);

} // namespace knapweedcroft

#endif
