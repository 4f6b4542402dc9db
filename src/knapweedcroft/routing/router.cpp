#include "knapweedcroft/routing/router.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr double latencySampleWeight = 0.1;
static constexpr double minRampShare = 0.1;

[[nodiscard]] static bool contains(const std::vector<node_name>& names, const node_name& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace internal

router::router(const routing_settings& settings, std::string ownDataCentre, std::uint64_t seed)
    : m_settings { settings }
    , m_ownDataCentre { std::move(ownDataCentre) }
    , m_random { seed }
{
}

void router::setMember(const member_info& member, time_point now)
{
    const auto position = m_members.find(member.node);
    if (position != m_members.end() && position->second.info.service == member.service) {
        position->second.info = member;
        return;
    }
    removeMember(member.node);
    member_state state;
    state.info = member;
    state.rampStart = now;
    m_members.emplace(member.node, std::move(state));
    m_services[member.service].insert(member.node);
    if (member.isSelf)
        m_available.insert(member.node);
}

void router::removeMember(const node_name& node)
{
    const auto position = m_members.find(node);
    if (position == m_members.end())
        return;
    const auto service = m_services.find(position->second.info.service);
    service->second.erase(node);
    if (service->second.empty())
        m_services.erase(service);
    m_members.erase(position);
}

void router::setAvailable(const node_name& node, bool isAvailable)
{
    if (isAvailable) {
        m_available.insert(node);
        m_onceAvailable.insert(node);
    } else {
        m_available.erase(node);
    }
}

bool router::hasPendingMember(const service_name& service) const
{
    const auto position = m_services.find(service);
    if (position == m_services.end())
        return false;
    return std::any_of(position->second.begin(), position->second.end(),
        [this](const node_name& node) { return m_onceAvailable.count(node) == 0; });
}

bool router::isAvailable(const member_state& member) const { return m_available.count(member.info.node) != 0; }

std::optional<node_name> router::choose(
    const service_name& service, const std::vector<node_name>& excluded, time_point now)
{
    const auto position = m_services.find(service);
    if (position == m_services.end())
        return std::nullopt;
    candidates local;
    candidates remote;
    candidates ejected;
    for (const node_name& name : position->second) {
        const member_state& member = m_members.at(name);
        if (!isAvailable(member) || internal::contains(excluded, name))
            continue;
        if (!member.ejectedUntil) {
            (member.info.data_centre == m_ownDataCentre ? local : remote).push_back(&member);
            continue;
        }
        // A call that was already sent to another member is not used as a probe, since the probe may fail.
        if (excluded.empty() && !member.hasProbeInFlight && now >= *member.ejectedUntil)
            return name;
        ejected.push_back(&member);
    }
    const member_state* bestLocal = pickLessLoaded(local, now);
    const member_state* bestRemote = pickLessLoaded(remote, now);
    if (bestLocal != nullptr && bestRemote != nullptr)
        return loadScore(*bestLocal) <= loadScore(*bestRemote) * m_settings.foreignPenalty ? bestLocal->info.node
                                                                                           : bestRemote->info.node;
    if (bestLocal != nullptr || bestRemote != nullptr)
        return (bestLocal != nullptr ? bestLocal : bestRemote)->info.node;
    // With no other member available, an ejected one is used, since it may have recovered.
    const member_state* bestEjected = pickLessLoaded(ejected, now);
    return bestEjected == nullptr ? std::nullopt : std::optional<node_name> { bestEjected->info.node };
}

const router::member_state* router::pickLessLoaded(const candidates& from, time_point now)
{
    if (from.empty())
        return nullptr;
    const member_state* first = sample(from, now);
    const member_state* second = sample(from, now);
    return loadScore(*second) < loadScore(*first) ? second : first;
}

const router::member_state* router::sample(const candidates& from, time_point now)
{
    // A new member is accepted with a probability that grows linearly over the ramp time.
    const std::size_t start = std::uniform_int_distribution<std::size_t> { 0, from.size() - 1 }(m_random);
    for (std::size_t step = 0; step < from.size(); ++step) {
        const member_state* member = from[(start + step) % from.size()];
        const double rampProgress = (now - member->rampStart).count() / std::max(1.0, m_settings.rampTime.count());
        const double share = std::max(internal::minRampShare, rampProgress);
        if (share >= 1.0 || std::uniform_real_distribution<double> { 0.0, 1.0 }(m_random) < share)
            return member;
    }
    return from[start];
}

double router::loadScore(const member_state& member) const
{
    // A member without a measured latency scores as if it were fast, so that it gets calls and is measured.
    const double latency = member.latency.value_or(1.0);
    return (static_cast<double>(member.inFlight) + 1.0) * latency + member.queueTime.count();
}

std::vector<node_name> router::members(const service_name& service) const
{
    const auto position = m_services.find(service);
    if (position == m_services.end())
        return {};
    return { position->second.begin(), position->second.end() };
}

bool router::hasService(const service_name& service) const { return m_services.count(service) != 0; }

void router::started(const node_name& node, time_point now)
{
    const auto position = m_members.find(node);
    if (position == m_members.end())
        return;
    member_state& member = position->second;
    ++member.inFlight;
    if (member.ejectedUntil && now >= *member.ejectedUntil)
        member.hasProbeInFlight = true;
}

void router::finished(
    const node_name& node, attempt_outcome outcome, milliseconds latency, milliseconds queueTime, time_point now)
{
    const auto position = m_members.find(node);
    if (position == m_members.end())
        return;
    member_state& member = position->second;
    if (member.inFlight > 0)
        --member.inFlight;
    switch (outcome) {
    case attempt_outcome::succeeded:
        member.latency = member.latency
            ? *member.latency + internal::latencySampleWeight * (latency.count() - *member.latency)
            : latency.count();
        member.queueTime = queueTime;
        recordResponse(member);
        break;
    case attempt_outcome::refused:
        // Refusals are fast; counting their latency would direct more calls to the most loaded member.
        member.queueTime = queueTime;
        recordResponse(member);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::timed_out:
        recordFailure(member, now);
        break;
    case attempt_outcome::cancelled:
        member.hasProbeInFlight = false;
        break;
    }
}

void router::recordResponse(member_state& member)
{
    member.failures = 0;
    member.ejections = 0;
    member.hasProbeInFlight = false;
    member.ejectedUntil.reset();
}

void router::recordFailure(member_state& member, time_point now)
{
    ++member.failures;
    const bool hasProbeFailed = member.hasProbeInFlight;
    member.hasProbeInFlight = false;
    const bool isFailureLimitReached = !member.ejectedUntil && member.failures >= m_settings.ejectionFailures;
    if (!hasProbeFailed && !(isFailureLimitReached && mayEject(member.info.service)))
        return;
    milliseconds duration = m_settings.firstEjection;
    for (std::uint32_t count = 0; count < member.ejections && duration < m_settings.longestEjection; ++count)
        duration = duration * 2;
    ++member.ejections;
    member.ejectedUntil = now + std::min(duration, m_settings.longestEjection);
}

bool router::mayEject(const service_name& service) const
{
    std::size_t available = 0;
    std::size_t ejected = 0;
    for (const node_name& name : m_services.at(service)) {
        const member_state& member = m_members.at(name);
        available += isAvailable(member) ? 1 : 0;
        ejected += isAvailable(member) && member.ejectedUntil ? 1 : 0;
    }
    return 2 * (ejected + 1) <= available;
}

std::uint32_t router::inFlight(const node_name& node) const
{
    const auto position = m_members.find(node);
    return position == m_members.end() ? 0 : position->second.inFlight;
}

bool router::isEjected(const node_name& node) const
{
    const auto position = m_members.find(node);
    return position != m_members.end() && position->second.ejectedUntil.has_value();
}

} // namespace knapweedcroft
