#include "knapweedcroft/catalogue/snapshot_schedule.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr double minRetentionShare = 1.0 / 6.0;
static constexpr double maxRetentionShare = 1.0 / 3.0;

[[nodiscard]] static double toUnitInterval(std::uint64_t hash) noexcept
{
    constexpr unsigned mantissaShift = 11;
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(hash >> mantissaShift) * scale;
}

} // namespace internal

snapshot_schedule::snapshot_schedule(snapshot_schedule_settings settings, std::uint64_t seed)
    : m_settings { settings }
    , m_seed { seed }
{
    drawDelay();
}

void snapshot_schedule::drawDelay()
{
    const double fraction = internal::toUnitInterval(hash64(m_drawCount, m_seed));
    ++m_drawCount;
    m_retentionShare
        = internal::minRetentionShare + fraction * (internal::maxRetentionShare - internal::minRetentionShare);
}

void snapshot_schedule::addRequiredRecord(std::int64_t offset, time_point wallTime)
{
    m_requiredRecords.push_back({ offset, wallTime });
}

void snapshot_schedule::handleSnapshot(std::int64_t offset, std::int64_t upTo, time_point wallTime)
{
    const auto isIncluded = [upTo](const required_record& record) { return record.offset < upTo; };
    m_requiredRecords.erase(
        std::remove_if(m_requiredRecords.begin(), m_requiredRecords.end(), isIncluded), m_requiredRecords.end());
    m_requiredRecords.push_back({ offset, wallTime });
    m_nextAttempt.reset();
    drawDelay();
}

void snapshot_schedule::recordAttempt(time_point wallNow) { m_nextAttempt = wallNow + m_settings.retryDelay; }

std::optional<time_point> snapshot_schedule::dueAt() const
{
    if (m_requiredRecords.empty())
        return std::nullopt;
    const time_point due = m_requiredRecords.front().wallTime
        + milliseconds::fromFraction(m_settings.retention.count() * m_retentionShare);
    return m_nextAttempt ? std::max(due, *m_nextAttempt) : due;
}

bool snapshot_schedule::isDue(time_point wallNow, std::int64_t nextOffset) const
{
    if (m_requiredRecords.empty() || (m_nextAttempt && wallNow < *m_nextAttempt))
        return false;
    if (m_requiredRecords.front().offset < m_oldestOffset || wallNow >= *dueAt())
        return true;
    const double recordLimit = static_cast<double>(m_settings.retentionRecords) * m_retentionShare;
    return m_settings.retentionRecords > 0
        && static_cast<double>(nextOffset - m_requiredRecords.front().offset) >= recordLimit;
}

} // namespace knapweedcroft
