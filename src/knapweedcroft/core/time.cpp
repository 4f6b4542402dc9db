#include "knapweedcroft/core/time.hpp"

#include <ctime>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static time_point readClock(clockid_t id) noexcept
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    constexpr std::int64_t nanosecondsPerMicrosecond = 1'000;
    timespec value {};
    clock_gettime(id, &value);
    const std::int64_t microseconds = static_cast<std::int64_t>(value.tv_sec) * microsecondsPerSecond
        + static_cast<std::int64_t>(value.tv_nsec) / nanosecondsPerMicrosecond;
    return time_point { milliseconds::fromMicroseconds(microseconds) };
}

} // namespace internal

time_point system_time_source::now() const noexcept
{
    // CLOCK_MONOTONIC does not advance while the host is suspended, so that a lease could outlive its expiry.
    return internal::readClock(CLOCK_BOOTTIME);
}

time_point system_time_source::wallNow() const noexcept { return internal::readClock(CLOCK_REALTIME); }

time_point clock::now() const noexcept
{
    return std::visit([](const auto& source) { return source.now(); }, m_source);
}

time_point clock::wallNow() const noexcept
{
    return std::visit([](const auto& source) { return source.wallNow(); }, m_source);
}

} // namespace knapweedcroft
