#include "knapweedcroft/gateway/store_read_election.hpp"

#include "knapweedcroft/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

// Parts of `changeDeadline`, in percent. A progress message is due after a quarter (`pollTimeout`) plus the
// answer time of the store. The last node to take over does so after 60 %, which leaves 40 % for its own read.
static constexpr std::int64_t progressValidityPercent = 45;
static constexpr std::int64_t takeoverStepPercent = 5;
// Nodes that keep reading while the store does not answer anyone.
static constexpr std::size_t persistentReaders = 2;
// Nodes beyond this rank take over together.
static constexpr std::size_t maxTakeoverSteps = 3;

[[nodiscard]] static milliseconds percentOf(milliseconds value, std::int64_t percent)
{
    constexpr std::int64_t hundred = 100;
    return value * percent / hundred;
}

[[nodiscard]] static bool isOrderedBefore(const node_name& lhs, const node_name& rhs)
{
    const std::uint64_t left = hash64(lhs);
    const std::uint64_t right = hash64(rhs);
    return left != right ? left < right : lhs < rhs;
}

} // namespace internal

std::string_view toString(store_read_mode mode) noexcept
{
    switch (mode) {
    case store_read_mode::individual:
        return "individual";
    case store_read_mode::reader:
        return "reader";
    case store_read_mode::follower:
        return "follower";
    }
    return "unknown";
}

std::optional<milliseconds> store_read_settings::pollTimeout(store_read_mode mode) const
{
    switch (mode) {
    case store_read_mode::individual:
        return changeDeadline * 4 / 5;
    case store_read_mode::reader:
        return changeDeadline / 4;
    case store_read_mode::follower:
        break;
    }
    return std::nullopt;
}

store_read_election::store_read_election(node_name self, const store_read_settings& settings)
    : m_self { std::move(self) }
    , m_settings { settings }
{
}

bool store_read_election::isEnabled() const
{
    return m_settings.minGroupSize > 0 && m_peers.size() + 1 >= m_settings.minGroupSize && !m_peers.empty();
}

void store_read_election::setPeers(std::set<node_name> peers, time_point now)
{
    const bool wasEnabled = isEnabled();
    m_peers = std::move(peers);
    m_peersBefore.clear();
    std::copy_if(m_peers.begin(), m_peers.end(), std::inserter(m_peersBefore, m_peersBefore.end()),
        [this](const node_name& peer) { return internal::isOrderedBefore(peer, m_self); });
    for (auto position = m_progress.begin(); position != m_progress.end();)
        position = m_peers.count(position->first) == 0 ? m_progress.erase(position) : std::next(position);
    if (!wasEnabled && isEnabled())
        m_groupSince = now;
}

void store_read_election::recordPeerProgress(const node_name& peer, time_point now)
{
    if (m_peers.count(peer) != 0)
        m_progress[peer] = now;
}

void store_read_election::recordOwnRead(bool isAnswered, time_point now)
{
    if (isAnswered)
        m_ownReadFailedAt.reset();
    else
        m_ownReadFailedAt = now;
}

std::optional<time_point> store_read_election::latestProgress() const
{
    std::optional<time_point> latest;
    for (const std::pair<const node_name, time_point>& item : m_progress) {
        const bool isRelevant = m_ownReadFailedAt || m_peersBefore.count(item.first) != 0;
        if (isRelevant && (!latest || *latest < item.second))
            latest = item.second;
    }
    return latest;
}

std::optional<time_point> store_read_election::takeoverTime() const
{
    const std::size_t rank = m_peersBefore.size();
    if (!isEnabled() || (rank == 0 && !m_ownReadFailedAt))
        return std::nullopt;
    const time_point since = std::max(m_groupSince, latestProgress().value_or(m_groupSince));
    const std::size_t steps = std::min(rank == 0 ? 0 : rank - 1, internal::maxTakeoverSteps);
    const time_point takeover = since
        + internal::percentOf(m_settings.changeDeadline, internal::progressValidityPercent)
        + internal::percentOf(m_settings.changeDeadline, internal::takeoverStepPercent)
            * static_cast<std::int64_t>(steps);
    const bool isRetrying = m_ownReadFailedAt && rank >= internal::persistentReaders;
    return isRetrying ? std::max(takeover, *m_ownReadFailedAt + m_settings.changeDeadline) : takeover;
}

store_read_mode store_read_election::mode(time_point now) const
{
    if (!isEnabled())
        return store_read_mode::individual;
    const std::optional<time_point> takeover = takeoverTime();
    return !takeover || *takeover <= now ? store_read_mode::reader : store_read_mode::follower;
}

} // namespace knapweedcroft
