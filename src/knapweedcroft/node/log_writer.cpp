#include "knapweedcroft/node/log_writer.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds retryInterval { 1000 };
static constexpr std::size_t maxPurposes = 256;

} // namespace internal

log_writer::log_writer(id_source& ids, std::uint64_t seed)
    : m_ids { ids }
    , m_jitter { seed }
{
}

void log_writer::appendPaced(const std::string& purpose, const std::string& stream, const std::string& payload,
    time_point now, node_actions& actions)
{
    if (m_purposes.size() > internal::maxPurposes && m_inFlight.empty())
        m_purposes.clear();
    retry_state& state = m_purposes[purpose];
    if (state.isInFlight || now < state.earliestRetry)
        return;
    const append_handle handle = m_ids.nextAppend();
    state.isInFlight = true;
    m_inFlight.emplace(handle, purpose);
    actions.emplace_back(append_record { handle, stream, payload });
}

void log_writer::handleAppendFinished(const append_finished& event, time_point now)
{
    const auto position = m_inFlight.find(event.handle);
    if (position == m_inFlight.end())
        return;
    retry_state& state = m_purposes[position->second];
    state.isInFlight = false;
    state.earliestRetry = now + m_jitter.spread(internal::retryInterval);
    m_inFlight.erase(position);
}

} // namespace knapweedcroft
