#include "knapweedcroft/gateway/request_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Some contents are running at two crashes by coincidence, but a trial of the one that caused them ends another
// upstream.
static constexpr milliseconds secondCrashHold { 30'000 };
static constexpr milliseconds thirdCrashHold { 60'000 }; // Doubles with each further crash.
static constexpr milliseconds maxHold { 600'000 };
static constexpr milliseconds retention { 600'000 }; // From the end of the hold.
static constexpr std::size_t maxReportedEntries = 1024;

[[nodiscard]] static milliseconds holdAfter(std::uint32_t crashes)
{
    constexpr std::uint32_t firstLongHold = 3;
    if (crashes + 1 < firstLongHold)
        return {};
    if (crashes < firstLongHold)
        return secondCrashHold;
    constexpr std::uint32_t maxDoublings = 10;
    const std::uint32_t doublings = std::min(crashes - firstLongHold, maxDoublings);
    return std::min(maxHold, thirdCrashHold * (std::int64_t { 1 } << doublings));
}

} // namespace internal

bool request_quarantine::recordCrash(
    const std::string& upstream, const std::vector<std::uint64_t>& digests, time_point now)
{
    if (!m_knownCrashes.insert(upstream))
        return false;
    for (const std::uint64_t digest : std::set<std::uint64_t> { digests.begin(), digests.end() }) {
        if (m_entries.count(digest) == 0)
            makeRoom();
        suspect& entry = m_entries[digest];
        ++entry.crashes;
        entry.lastCrash = now;
        entry.heldUntil = now + internal::holdAfter(entry.crashes);
    }
    return true;
}

bool request_quarantine::merge(const std::vector<quarantine_entry>& entries, time_point now)
{
    bool hasCleared = false;
    for (const quarantine_entry& reported : entries) {
        if (reported.crashes == 0) {
            hasCleared = clear(reported.digest) || hasCleared;
            continue;
        }
        const auto known = m_entries.find(reported.digest);
        if (known != m_entries.end() && reported.crashes <= known->second.crashes)
            continue;
        if (known == m_entries.end())
            makeRoom();
        m_entries[reported.digest] = { reported.crashes, now, now + std::min(reported.holdLeft, internal::maxHold) };
    }
    return hasCleared;
}

// The contents with the fewest crashes, and of these the earliest, give way.
void request_quarantine::makeRoom()
{
    if (m_entries.size() < maxSuspects)
        return;
    using item_type = std::pair<const std::uint64_t, suspect>;
    const auto least
        = std::min_element(m_entries.begin(), m_entries.end(), [](const item_type& lhs, const item_type& rhs) {
              return std::tie(lhs.second.crashes, lhs.second.lastCrash)
                  < std::tie(rhs.second.crashes, rhs.second.lastCrash);
          });
    m_entries.erase(least);
}

void request_quarantine::poll(time_point now)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const bool isForgotten = position->second.heldUntil + internal::retention <= now;
        position = isForgotten ? m_entries.erase(position) : std::next(position);
    }
}

quarantine_status request_quarantine::statusOf(std::uint64_t digest, time_point now) const
{
    const auto position = m_entries.find(digest);
    if (position == m_entries.end())
        return {};
    return { position->second.crashes, std::max(milliseconds {}, position->second.heldUntil - now) };
}

std::size_t request_quarantine::heldCount(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [now](const std::pair<const std::uint64_t, suspect>& item) { return now < item.second.heldUntil; }));
}

std::vector<quarantine_entry> request_quarantine::entries(time_point now) const
{
    std::vector<quarantine_entry> all;
    all.reserve(m_entries.size());
    for (const std::pair<const std::uint64_t, suspect>& item : m_entries)
        all.push_back({ item.first, item.second.crashes, std::max(milliseconds {}, item.second.heldUntil - now) });
    std::sort(all.begin(), all.end(), [](const quarantine_entry& lhs, const quarantine_entry& rhs) {
        return std::tie(rhs.crashes, lhs.digest) < std::tie(lhs.crashes, rhs.digest);
    });
    all.resize(std::min(all.size(), internal::maxReportedEntries));
    return all;
}

} // namespace knapweedcroft
