#include "knapweedcroft/gateway/placement.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double timeSampleWeight = 0.15;
static constexpr double unknownTime = 50.0; // In ms, for an entry without a sample.
static constexpr double measurementHalfLife = 4000.0; // In ms; an upstream that is not used any more gets another try.
static constexpr double failureHalfLife = 1500.0; // In ms.
// A failure counts like this many times the mean time of the entry, so that failing fast does not look like speed.
static constexpr double failurePenalty = 0.5;
// In ms. The load of an upstream is told by its answers only: one that looked full and gets no requests since then must
// get one again, or it would look full for ever.
static constexpr double loadHalfLife = 1000.0;
static constexpr double warmUpFactor = 2.0; // Upstreams take about twice the time while they warm up.
// Part of the remaining target latency that the own data centre may use before another one is considered.
static constexpr double ownShare = 0.45;
// Requests arrive in bursts between two reports of the load, so the last slots are left for them.
static constexpr double fullOccupancy = 0.85;
// An upstream of another data centre takes what a full one cannot, as long as it keeps some slots for its own.
static constexpr double freeOccupancy = 0.75;
static constexpr double leastFree = 0.02; // A full upstream is still taken if all are full.
// Another data centre is used only if it is predicted to be faster by this factor.
static constexpr double leastGain = 0.8;

[[nodiscard]] static double decay(milliseconds age, double halfLife) { return std::exp2(-age.count() / halfLife); }

} // namespace internal

placement::placement(std::string ownDataCentre, std::uint64_t seed)
    : m_ownDataCentre { std::move(ownDataCentre) }
    , m_random { seed }
{
}

const placement::node_measurements* placement::find(const node_name& node) const
{
    const auto position = m_nodes.find(node);
    return position == m_nodes.end() ? nullptr : &position->second;
}

double placement::expectedTime(const node_measurements* measured, const std::string& entry, time_point now) const
{
    const auto overall = m_entryMeans.find(entry);
    const double mean = overall == m_entryMeans.end() ? internal::unknownTime : overall->second;
    if (measured == nullptr)
        return mean;
    const auto own = measured->byEntry.find(entry);
    if (own == measured->byEntry.end())
        return mean;
    const double weight = internal::decay(now - own->second.at, internal::measurementHalfLife);
    return weight * own->second.mean + (1.0 - weight) * mean;
}

double placement::recentFailures(const node_measurements* measured, time_point now) const
{
    if (measured == nullptr)
        return 0.0;
    return measured->failures * internal::decay(now - measured->failedAt, internal::failureHalfLife);
}

milliseconds placement::predict(const placement_candidate& candidate, const std::string& entry, time_point now) const
{
    const node_measurements* measured = find(candidate.node);
    double time = expectedTime(measured, entry, now);
    if (milliseconds {} < candidate.warmUpLeft)
        time *= internal::warmUpFactor;
    const double slots = std::max(1.0, static_cast<double>(candidate.load.slots));
    const double excess = std::max(0.0, inUse(candidate) + 1.0 - slots);
    const double occupancy = std::max(candidate.load.serviceTime.count(), 1.0);
    const double failures = recentFailures(measured, now) * internal::failurePenalty * time;
    return milliseconds::fromFraction(time + excess / slots * occupancy + failures);
}

// Slots that are taken or asked for: as the upstream told, or as this node knows by its own requests.
double placement::inUse(const placement_candidate& candidate) const
{
    const node_measurements* measured = find(candidate.node);
    const double outstanding = measured == nullptr ? 0.0 : static_cast<double>(measured->outstanding);
    const double told = static_cast<double>(candidate.load.running + candidate.load.queued);
    return std::max(told * internal::decay(candidate.loadAge, internal::loadHalfLife), outstanding);
}

double placement::occupancy(const placement_candidate& candidate) const
{
    const double slots = std::max(1.0, static_cast<double>(candidate.load.slots));
    return (inUse(candidate) + 1.0) / slots;
}

// Shares the requests among several upstreams by their speed and free slots. Always taking the best one would send all
// requests of a moment to one upstream, and none to one that is not known yet.
std::optional<std::size_t> placement::pick(
    const std::vector<placement_candidate>& candidates, const std::string& entry, bool isOwn, time_point now)
{
    std::optional<std::size_t> picked;
    double total = 0.0;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const placement_candidate& candidate = candidates[position];
        if ((candidate.data_centre == m_ownDataCentre) != isOwn)
            continue;
        const double time = std::max(1.0, predict(candidate, entry, now).count());
        const double free = std::max(internal::leastFree, 1.0 - occupancy(candidate));
        const double weight = free * static_cast<double>(std::max(1U, candidate.load.slots)) / (time * time);
        total += weight;
        std::uniform_real_distribution<double> range { 0.0, total };
        if (range(m_random) < weight)
            picked = position;
    }
    return picked;
}

std::optional<std::size_t> placement::choose(
    const std::vector<placement_candidate>& candidates, const placement_request& request, time_point now)
{
    const std::optional<std::size_t> own = pick(candidates, request.entry, true, now);
    const std::optional<std::size_t> other = pick(candidates, request.entry, false, now);
    if (!own || !other)
        return own ? own : other;
    const double ownTime = predict(candidates[*own], request.entry, now).count();
    const double otherTime = predict(candidates[*other], request.entry, now).count();
    const bool isOwnSlow = ownTime > internal::ownShare * request.target.count();
    const bool isOwnFull = occupancy(candidates[*own]) >= internal::fullOccupancy;
    const bool isOtherFree = occupancy(candidates[*other]) < internal::freeOccupancy;
    const bool isOtherWorthIt = isOtherFree && (isOwnFull || (isOwnSlow && otherTime < internal::leastGain * ownTime));
    return isOtherWorthIt ? other : own;
}

void placement::sent(const node_name& node) { ++m_nodes[node].outstanding; }

void placement::ended(
    const node_name& node, const std::string& entry, std::optional<milliseconds> upstreamTime, time_point now)
{
    node_measurements& measured = m_nodes[node];
    if (measured.outstanding > 0)
        --measured.outstanding;
    if (!upstreamTime)
        return;
    const double sample = upstreamTime->count();
    const auto average
        = [sample](double& mean) { mean = mean <= 0.0 ? sample : mean + internal::timeSampleWeight * (sample - mean); };
    measured_time& own = measured.byEntry[entry];
    average(own.mean);
    own.at = now;
    average(m_entryMeans[entry]);
}

void placement::failed(const node_name& node, time_point now)
{
    node_measurements& measured = m_nodes[node];
    measured.failures = recentFailures(&measured, now) + 1.0;
    measured.failedAt = now;
}

void placement::forget(const node_name& node)
{
    const auto position = m_nodes.find(node);
    if (position == m_nodes.end())
        return;
    position->second.byEntry.clear();
    position->second.failures = 0.0;
}

} // namespace knapweedcroft
