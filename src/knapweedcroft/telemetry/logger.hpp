#ifndef KNAPWEEDCROFT_TELEMETRY_LOGGER_HPP
#define KNAPWEEDCROFT_TELEMETRY_LOGGER_HPP

#include "knapweedcroft/node/actions.hpp"

#include <log4cplus/logger.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Names and values of a log line. */
using log_fields = std::vector<std::pair<std::string, std::string>>;

/** @brief Where the log lines of a process go. */
struct log_settings {
    log_level level = log_level::info; /*!< Less important lines are left out; audit lines are always written. */
    bool isOnStandardOutput = false; /*!< Writes to stdout, within a bound on lines, and never waits for its reader. */
    std::string file; /*!< Path; empty for stderr. A file is renamed at 64 MiB and two older ones are kept. */
};

/**
 * @brief Parses the name of a log level: debug, info, warning or error.
 * @param name The name.
 * @return The level, or nothing if there is none of that name.
 */
[[nodiscard]] std::optional<log_level> parseLogLevel(std::string_view name) noexcept;

/**
 * @brief Sets where the loggers of this process write; may be called again.
 * @param settings The settings.
 */
void configureLogging(const log_settings& settings);

/**
 * @brief Writes log lines as JSON objects: time (ISO 8601, UTC, ms), level, logger, event and fields.
 *
 * Bytes that are not UTF-8 are replaced.
 */
class logger {
public:
    /**
     * @brief Constructs a logger.
     * @param name Name written with each line.
     */
    explicit logger(std::string_view name);

    /**
     * @brief Writes a line.
     * @param level Its importance.
     * @param event Stable name in snake_case.
     * @param fields Names and values; a name that is also written by the logger gets the suffix `_`.
     */
    void write(log_level level, std::string_view event, const log_fields& fields) const;

    /** @copydoc write(log_level, std::string_view, const log_fields&) const */
    void write(const write_log& line) const { write(line.level, line.event, line.fields); }

private:
    mutable log4cplus::Logger m_target;
};

/**
 * @brief Tells whether a line belongs to the audit trail: catalogue changes, membership changes and drains.
 * @param event Name of the line's event.
 * @return True if it does; it is then written by the logger `audit`.
 */
[[nodiscard]] bool isAuditEvent(std::string_view event) noexcept;

} // namespace knapweedcroft

#endif
