#ifndef KNAPWEEDCROFT_CORE_TIME_HPP
#define KNAPWEEDCROFT_CORE_TIME_HPP

#include <cstdint>
#include <variant>

namespace knapweedcroft {

/** @brief Duration in milliseconds with microsecond resolution. */
class milliseconds {
public:
    constexpr milliseconds() noexcept = default;

    /** @brief Constructs a duration from whole milliseconds. */
    explicit constexpr milliseconds(std::int64_t count) noexcept
        : m_microseconds { count * microsecondsPerMillisecond }
    {
    }

    /** @brief Constructs a duration from microseconds. */
    [[nodiscard]] static constexpr milliseconds fromMicroseconds(std::int64_t count) noexcept
    {
        milliseconds value;
        value.m_microseconds = count;
        return value;
    }

    /** @brief Constructs a duration from fractional milliseconds, truncated to microseconds. */
    [[nodiscard]] static constexpr milliseconds fromFraction(double count) noexcept
    {
        return fromMicroseconds(static_cast<std::int64_t>(count * static_cast<double>(microsecondsPerMillisecond)));
    }

    /** @brief Returns the duration in fractional milliseconds. */
    [[nodiscard]] constexpr double count() const noexcept
    {
        return static_cast<double>(m_microseconds) / static_cast<double>(microsecondsPerMillisecond);
    }

    /** @brief Returns the duration in whole milliseconds, truncated. */
    [[nodiscard]] constexpr std::int64_t whole() const noexcept { return m_microseconds / microsecondsPerMillisecond; }

    /** @brief Returns the duration in microseconds. */
    [[nodiscard]] constexpr std::int64_t microseconds() const noexcept { return m_microseconds; }

    friend constexpr milliseconds operator+(milliseconds lhs, milliseconds rhs) noexcept
    {
        return fromMicroseconds(lhs.m_microseconds + rhs.m_microseconds);
    }

    friend constexpr milliseconds operator-(milliseconds lhs, milliseconds rhs) noexcept
    {
        return fromMicroseconds(lhs.m_microseconds - rhs.m_microseconds);
    }

    friend constexpr milliseconds operator*(milliseconds lhs, std::int64_t factor) noexcept
    {
        return fromMicroseconds(lhs.m_microseconds * factor);
    }

    friend constexpr milliseconds operator/(milliseconds lhs, std::int64_t divisor) noexcept
    {
        return fromMicroseconds(lhs.m_microseconds / divisor);
    }

    friend constexpr bool operator==(milliseconds lhs, milliseconds rhs) noexcept
    {
        return lhs.m_microseconds == rhs.m_microseconds;
    }
    friend constexpr bool operator!=(milliseconds lhs, milliseconds rhs) noexcept { return !(lhs == rhs); }
    friend constexpr bool operator<(milliseconds lhs, milliseconds rhs) noexcept
    {
        return lhs.m_microseconds < rhs.m_microseconds;
    }
    friend constexpr bool operator>(milliseconds lhs, milliseconds rhs) noexcept { return rhs < lhs; }
    friend constexpr bool operator<=(milliseconds lhs, milliseconds rhs) noexcept { return !(rhs < lhs); }
    friend constexpr bool operator>=(milliseconds lhs, milliseconds rhs) noexcept { return !(lhs < rhs); }

private:
    static constexpr std::int64_t microsecondsPerMillisecond = 1000;

    std::int64_t m_microseconds = 0;
};

/** @brief Point in time, measured from the epoch of the clock that produced it. */
class time_point {
public:
    constexpr time_point() noexcept = default;

    /**
     * @brief Constructs a point in time.
     * @param sinceEpoch Time since the epoch of the clock.
     */
    explicit constexpr time_point(milliseconds sinceEpoch) noexcept
        : m_sinceEpoch { sinceEpoch }
    {
    }

    /** @brief Returns the time since the epoch of the clock. */
    [[nodiscard]] constexpr milliseconds sinceEpoch() const noexcept { return m_sinceEpoch; }

    friend constexpr time_point operator+(time_point lhs, milliseconds rhs) noexcept
    {
        return time_point { lhs.m_sinceEpoch + rhs };
    }
    friend constexpr time_point operator-(time_point lhs, milliseconds rhs) noexcept
    {
        return time_point { lhs.m_sinceEpoch - rhs };
    }
    friend constexpr milliseconds operator-(time_point lhs, time_point rhs) noexcept
    {
        return lhs.m_sinceEpoch - rhs.m_sinceEpoch;
    }
    friend constexpr bool operator==(time_point lhs, time_point rhs) noexcept
    {
        return lhs.m_sinceEpoch == rhs.m_sinceEpoch;
    }
    friend constexpr bool operator!=(time_point lhs, time_point rhs) noexcept { return !(lhs == rhs); }
    friend constexpr bool operator<(time_point lhs, time_point rhs) noexcept
    {
        return lhs.m_sinceEpoch < rhs.m_sinceEpoch;
    }
    friend constexpr bool operator>(time_point lhs, time_point rhs) noexcept { return rhs < lhs; }
    friend constexpr bool operator<=(time_point lhs, time_point rhs) noexcept { return !(rhs < lhs); }
    friend constexpr bool operator>=(time_point lhs, time_point rhs) noexcept { return !(lhs < rhs); }

private:
    milliseconds m_sinceEpoch;
};

/** @brief Reads the clocks of the host. */
class system_time_source {
public:
    /** @brief Returns the monotonic time, which also advances while the host is suspended. */
    [[nodiscard]] time_point now() const noexcept;

    /** @brief Returns the wall-clock time since the Unix epoch. */
    [[nodiscard]] time_point wallNow() const noexcept;
};

/** @brief Returns fixed times, for tests and replay. */
class fixed_time_source {
public:
    /**
     * @brief Constructs a source that always returns the given times.
     * @param now Monotonic time.
     * @param wallNow Wall-clock time since the Unix epoch.
     */
    constexpr fixed_time_source(time_point now, time_point wallNow) noexcept
        : m_now { now }
        , m_wallNow { wallNow }
    {
    }

    [[nodiscard]] constexpr time_point now() const noexcept { return m_now; }
    [[nodiscard]] constexpr time_point wallNow() const noexcept { return m_wallNow; }

private:
    time_point m_now;
    time_point m_wallNow;
};

/** @brief Source of time for all code of the project: the clocks of the host, or fixed times. */
class clock {
public:
    using source_type = std::variant<system_time_source, fixed_time_source>;

    /** @brief Constructs a clock that reads from a source. */
    explicit clock(source_type source) noexcept
        : m_source { source }
    {
    }

    /** @brief Returns the monotonic time, which also advances while the host is suspended. */
    [[nodiscard]] time_point now() const noexcept;

    /** @brief Returns the wall-clock time since the Unix epoch. */
    [[nodiscard]] time_point wallNow() const noexcept;

private:
    source_type m_source;
};

} // namespace knapweedcroft

#endif
