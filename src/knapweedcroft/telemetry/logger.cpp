#include "knapweedcroft/telemetry/logger.hpp"

#include <nlohmann/json.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>
#include <memory>

namespace knapweedcroft {

namespace internal {

static constexpr std::string_view rootLoggerName = "knapweed";

[[nodiscard]] static log4cplus::LogLevel toLog4cplusLevel(log_level level) noexcept
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

[[nodiscard]] static std::string_view levelName(log4cplus::LogLevel level) noexcept
{
    if (level >= log4cplus::ERROR_LOG_LEVEL)
        return "error";
    if (level >= log4cplus::WARN_LOG_LEVEL)
        return "warning";
    return level >= log4cplus::INFO_LOG_LEVEL ? "info" : "debug";
}

[[nodiscard]] static std::string formatIsoTime(std::chrono::system_clock::time_point time)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = static_cast<std::time_t>(count / millisecondsPerSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(millisecondsPerSecond + count % millisecondsPerSecond);
    fraction.front() = '.';
    return std::string { text.data(), size } + fraction + "Z";
}

// Layout that adds time, level and logger to the message of an event, which is a serialized JSON object.
class json_layout : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const std::string& name = event.getLoggerName();
        const std::string displayedName
            = name.size() > rootLoggerName.size() ? name.substr(rootLoggerName.size() + 1) : name;
        output << R"({"time":")" << formatIsoTime(event.getTimestamp()) << R"(","level":")"
               << levelName(event.getLogLevel()) << R"(","logger":")" << displayedName << "\","
               << event.getMessage().substr(1) << '\n';
    }
};

static constexpr std::string_view requestLoggerName = "knapweed.requests";

// Appender that writes a limited number of lines per second to stdout. Lines above the limit are discarded, and so are
// lines that a slow reader would block, because logging must not delay requests. The next line that is written is
// preceded by a line with the number of discarded ones.
class rate_limited_appender : public log4cplus::Appender {
public:
    ~rate_limited_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const std::int64_t second
            = std::chrono::duration_cast<std::chrono::seconds>(event.getTimestamp().time_since_epoch()).count();
        if (second != m_currentSecond) {
            m_currentSecond = second;
            m_linesInCurrentSecond = 0;
        }
        const bool isRequestLine = event.getLoggerName() == requestLoggerName;
        if (m_linesInCurrentSecond >= (isRequestLine ? maxRequestLinesPerSecond : maxLinesPerSecond) || !isWritable()) {
            ++m_discardedLines;
            return;
        }
        ++m_linesInCurrentSecond;
        std::ostringstream line;
        if (m_discardedLines > 0)
            line << R"({"event":"log_lines_left_out","count":")" << m_discardedLines << "\"}\n";
        m_discardedLines = 0;
        layout->formatAndAppend(line, event);
        const std::string text = line.str();
        const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
        if (written < static_cast<ssize_t>(text.size()))
            ++m_discardedLines;
    }

private:
    // A pipe that poll reports as writable accepts at least PIPE_BUF bytes without blocking; lines are shorter.
    [[nodiscard]] static bool isWritable()
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    // The limit on lines about single requests is lower, so that lines about the process itself are still written.
    static constexpr std::uint32_t maxRequestLinesPerSecond = 120;
    static constexpr std::uint32_t maxLinesPerSecond = 200;

    std::int64_t m_currentSecond = 0;
    std::uint32_t m_linesInCurrentSecond = 0;
    std::uint64_t m_discardedLines = 0;
};

[[nodiscard]] static bool isReserved(std::string_view field) noexcept
{
    return field == "time" || field == "level" || field == "logger" || field == "event";
}

static void ensureInitialized() { static const log4cplus::Initializer initializer; }

} // namespace internal

std::optional<log_level> parseLogLevel(std::string_view name) noexcept
{
    if (name == "debug")
        return log_level::debug;
    if (name == "info")
        return log_level::info;
    if (name == "warning")
        return log_level::warning;
    if (name == "error")
        return log_level::error;
    return std::nullopt;
}

void configureLogging(const log_settings& settings)
{
    constexpr long maxFileBytes = 64L * 1024L * 1024L;
    constexpr int maxBackupFiles = 2;
    internal::ensureInitialized();
    log4cplus::SharedAppenderPtr appender;
    if (settings.isOnStandardOutput)
        appender = new internal::rate_limited_appender;
    else if (settings.file.empty())
        appender = new log4cplus::ConsoleAppender { true, true };
    else
        appender = new log4cplus::RollingFileAppender { settings.file, maxFileBytes, maxBackupFiles, true, true };
    appender->setLayout(std::make_unique<internal::json_layout>());
    log4cplus::Logger root = log4cplus::Logger::getInstance(std::string { internal::rootLoggerName });
    root.removeAllAppenders();
    root.setAdditivity(false);
    root.addAppender(appender);
    root.setLogLevel(internal::toLog4cplusLevel(settings.level));
    log4cplus::Logger::getInstance(std::string { internal::rootLoggerName } + ".audit")
        .setLogLevel(log4cplus::ALL_LOG_LEVEL);
}

logger::logger(std::string_view name)
{
    internal::ensureInitialized();
    m_target = log4cplus::Logger::getInstance(std::string { internal::rootLoggerName } + "." + std::string { name });
}

void logger::write(log_level level, std::string_view event, const log_fields& fields) const
{
    const log4cplus::LogLevel target = internal::toLog4cplusLevel(level);
    if (!m_target.isEnabledFor(target))
        return;
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const std::pair<std::string, std::string>& field : fields)
        line[internal::isReserved(field.first) ? field.first + "_" : field.first] = field.second;
    m_target.forcedLog(target, line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

bool isAuditEvent(std::string_view event) noexcept
{
    constexpr std::array<std::string_view, 7> events = { "catalogue_change", "catalogue_record_void", "view_changed",
        "membership_record_void", "drain_started", "drain_finished", "snapshot_refused" };
    return std::find(events.begin(), events.end(), event) != events.end();
}

} // namespace knapweedcroft
