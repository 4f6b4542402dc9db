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

/** @brief Names and values of the fields of a log line. */
using log_fields = std::vector<std::pair<std::string, std::string>>;

/** @brief Level and destination of the log lines of a process. */
struct log_settings {
    log_level level = log_level::info; /*!< Minimum level to write; audit lines are always written. */
    bool isOnStandardOutput = false; /*!< Writes to stdout, rate-limited and without blocking on a slow reader. */
    std::string file; /*!< Path; empty for stderr. The file is rotated at 64 MiB and two backups are kept. */
};

/**
 * @brief Parses the name of a log level: debug, info, warning or error.
 * @return The level, or nothing if the name is unknown.
 */
[[nodiscard]] std::optional<log_level> parseLogLevel(std::string_view name) noexcept;

/** @brief Configures all loggers of this process; may be called again to change the settings. */
void configureLogging(const log_settings& settings);

/**
 * @brief Writes log lines as JSON objects: time (ISO 8601, UTC, ms), level, logger, event and fields.
 *
 * Invalid UTF-8 is replaced.
 */
class logger {
public:
    /**
     * @brief Constructs a logger.
     * @param name Name of the logger, written with each line.
     */
    explicit logger(std::string_view name);

    /**
     * @brief Writes a line.
     * @param event Stable name in snake_case.
     * @param fields Names and values; the suffix `_` is added to the reserved names time, level, logger and event.
     */
    void write(log_level level, std::string_view event, const log_fields& fields) const;

    /** @copydoc write(log_level, std::string_view, const log_fields&) const */
    void write(const write_log& line) const { write(line.level, line.event, line.fields); }

private:
    mutable log4cplus::Logger m_target;
};

/**
 * @brief Returns whether an event belongs to the audit trail: catalogue changes, membership changes and drains.
 *
 * Audit events are written by the logger `audit`.
 */
[[nodiscard]] bool isAuditEvent(std::string_view event) noexcept;

} // namespace knapweedcroft

#endif
