#include "knapweedcroft/log_service/log_store.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds appendWindow { 1000 };
static constexpr std::size_t maxStreamNameLength = 64;

} // namespace internal

bool isStreamName(std::string_view name) noexcept
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-";
    return !name.empty() && name.size() <= internal::maxStreamNameLength
        && name.find_first_not_of(allowed) == std::string_view::npos;
}

log_store::log_store(log_store_settings settings)
    : m_settings { settings }
{
}

std::int64_t log_store::nextOffset(const stream_data& data) noexcept
{
    return data.first + static_cast<std::int64_t>(data.records.size());
}

void log_store::discardOldest(stream_data& data) noexcept
{
    data.records.pop_front();
    ++data.first;
}

void log_store::expire(stream_data& data, time_point wallNow) const
{
    while (!data.records.empty() && wallNow - data.records.front().wallTime > m_settings.retention)
        discardOldest(data);
    while (m_settings.retentionRecords > 0 && data.records.size() > m_settings.retentionRecords)
        discardOldest(data);
}

append_result log_store::append(const std::string& stream, std::string_view payload, time_point now, time_point wallNow)
{
    if (!isStreamName(stream))
        return append_invalid { "the name of a stream must be 1 to 64 letters, digits, \"_\" or \"-\"" };
    if (payload.size() > m_settings.maxRecordBytes)
        return append_too_large { m_settings.maxRecordBytes };
    if (!nlohmann::json::accept(payload.begin(), payload.end()))
        return append_invalid { "the record is not valid JSON; correct it" };
    while (!m_recentAppends.empty() && now - m_recentAppends.front() >= internal::appendWindow)
        m_recentAppends.pop_front();
    if (m_recentAppends.size() >= m_settings.maxAppendsPerSecond)
        return append_throttled { internal::appendWindow - (now - m_recentAppends.front()) };
    m_recentAppends.push_back(now);
    stream_data& data = m_streams[stream];
    const std::int64_t offset = nextOffset(data);
    data.records.push_back({ offset, wallNow, std::string { payload } });
    expire(data, wallNow);
    return append_accepted { offset };
}

read_result log_store::read(const std::string& stream, std::int64_t from, std::size_t limit, time_point wallNow)
{
    const auto position = m_streams.find(stream);
    if (position == m_streams.end())
        return log_page {};
    stream_data& data = position->second;
    expire(data, wallNow);
    if (from < data.first)
        return page_trimmed { data.first, nextOffset(data) };
    log_page page;
    page.first = data.first;
    page.next = nextOffset(data);
    if (from >= page.next)
        return page;
    const auto start = data.records.begin() + (from - data.first);
    const std::size_t count = std::min(limit, static_cast<std::size_t>(page.next - from));
    page.records.assign(start, start + static_cast<std::ptrdiff_t>(count));
    return page;
}

void log_store::trim(const std::string& stream, std::int64_t before)
{
    const auto position = m_streams.find(stream);
    if (position == m_streams.end())
        return;
    stream_data& data = position->second;
    while (!data.records.empty() && data.first < before)
        discardOldest(data);
}

std::int64_t log_store::next(const std::string& stream) const
{
    const auto position = m_streams.find(stream);
    return position == m_streams.end() ? 0 : nextOffset(position->second);
}

std::map<std::string, page_trimmed> log_store::offsets() const
{
    std::map<std::string, page_trimmed> all;
    for (const std::map<std::string, stream_data>::value_type& item : m_streams)
        all.emplace(item.first, page_trimmed { item.second.first, nextOffset(item.second) });
    return all;
}

} // namespace knapweedcroft
