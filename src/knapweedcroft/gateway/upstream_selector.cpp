#include "knapweedcroft/gateway/upstream_selector.hpp"

#include <algorithm>
#include <cmath>

namespace knapweedcroft {

namespace internal {

static constexpr double averageWeight = 0.15;
static constexpr double defaultServiceTimeMs = 50.0; // Assumed for entries without a sample.
static constexpr double measurementHalfLifeMs = 4000.0; // Lets an upstream that is no longer selected be tried again.
static constexpr milliseconds ownMeasurementValidity { 400 };
static constexpr double failureHalfLifeMs = 1500.0;
// Latency penalty per recent failure, in multiples of the expected service time. Without it, an upstream that fails
// fast would look fast.
static constexpr double failurePenaltyFactor = 0.5;
// Only answers report the load of an upstream. Without decay, an upstream that once looked full would receive no more
// requests and so look full indefinitely.
static constexpr double loadHalfLifeMs = 1000.0;
static constexpr double warmUpFactor = 2.0; // Upstreams are about half as fast while they warm up.
// Share of the remaining target latency that the local data centre may use before a remote one is considered.
static constexpr double localTargetShare = 0.45;
// Occupancy from which an upstream counts as full. The last slots are reserved for bursts between two load reports.
static constexpr double fullThreshold = 0.85;
// A remote upstream takes overflow only below this occupancy, which keeps some of its slots for local requests.
static constexpr double freeThreshold = 0.75;
static constexpr double minFreeShare = 0.02; // Keeps full upstreams selectable when all are full.
// A remote data centre replaces a slow local one only if its predicted latency is below this share of the local one.
static constexpr double maxRemoteLatencyRatio = 0.8;

// Returns the rest of the time until an upstream that limits its rate takes another request.
[[nodiscard]] static milliseconds remainingStartDelay(const upstream_candidate& candidate)
{
    return std::max(milliseconds {}, candidate.load.startDelay - candidate.loadAge);
}

[[nodiscard]] static double decay(milliseconds age, double halfLifeMs) { return std::exp2(-age.count() / halfLifeMs); }

} // namespace internal

upstream_selector::upstream_selector(std::string localDataCentre, std::uint64_t seed)
    : m_localDataCentre { std::move(localDataCentre) }
    , m_random { seed }
{
}

const upstream_selector::node_measurements* upstream_selector::find(const node_name& node) const
{
    const auto position = m_measurements.find(node);
    return position == m_measurements.end() ? nullptr : &position->second;
}

double upstream_selector::expectedServiceTime(
    const node_measurements* measured, const std::string& entry, time_point now) const
{
    const auto overall = m_entryMeansMs.find(entry);
    const double mean = overall == m_entryMeansMs.end() ? internal::defaultServiceTimeMs : overall->second;
    if (measured == nullptr)
        return mean;
    const auto estimate = measured->byEntry.find(entry);
    if (estimate == measured->byEntry.end())
        return mean;
    const double weight = internal::decay(now - estimate->second.at, internal::measurementHalfLifeMs);
    return weight * estimate->second.mean + (1.0 - weight) * mean;
}

double upstream_selector::decayedFailures(const node_measurements* measured, time_point now) const
{
    if (measured == nullptr)
        return 0.0;
    return measured->failures * internal::decay(now - measured->failedAt, internal::failureHalfLifeMs);
}

milliseconds upstream_selector::predictLatency(
    const upstream_candidate& candidate, const std::string& entry, time_point now) const
{
    const node_measurements* measured = find(candidate.node);
    double time = expectedServiceTime(measured, entry, now);
    if (milliseconds {} < candidate.remainingWarmUp)
        time *= internal::warmUpFactor;
    const double slots = std::max(1.0, static_cast<double>(candidate.load.slots));
    const double excess = std::max(0.0, usedSlots(candidate) + 1.0 - slots);
    const double slotTime = std::max(candidate.load.serviceTime.count(), 1.0);
    const double failures = decayedFailures(measured, now) * internal::failurePenaltyFactor * time;
    return milliseconds::fromFraction(time + excess / slots * slotTime + failures)
        + internal::remainingStartDelay(candidate);
}

// Number of slots in use or queued for: the reported load, decayed by its age, or the outstanding requests of this
// node, whichever is greater.
double upstream_selector::usedSlots(const upstream_candidate& candidate) const
{
    const node_measurements* measured = find(candidate.node);
    const double outstanding = measured == nullptr ? 0.0 : static_cast<double>(measured->outstanding);
    const double reported = static_cast<double>(candidate.load.running + candidate.load.queued);
    return std::max(reported * internal::decay(candidate.loadAge, internal::loadHalfLifeMs), outstanding);
}

double upstream_selector::occupancy(const upstream_candidate& candidate) const
{
    if (milliseconds {} < internal::remainingStartDelay(candidate))
        return 1.0;
    const double slots = std::max(1.0, static_cast<double>(candidate.load.slots));
    return (usedSlots(candidate) + 1.0) / slots;
}

// Selects at random, weighted by free slots and predicted speed. Always selecting the best upstream would send bursts
// to a single upstream, and no requests to one without measurements.
std::optional<std::size_t> upstream_selector::pickWeighted(
    const std::vector<upstream_candidate>& candidates, const std::string& entry, bool isLocal, time_point now)
{
    std::optional<std::size_t> picked;
    double total = 0.0;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const upstream_candidate& candidate = candidates[position];
        if ((candidate.data_centre == m_localDataCentre) != isLocal)
            continue;
        const double time = std::max(1.0, predictLatency(candidate, entry, now).count());
        const double free = std::max(internal::minFreeShare, 1.0 - occupancy(candidate));
        const double weight = free * static_cast<double>(std::max(1U, candidate.load.slots)) / (time * time);
        total += weight;
        std::uniform_real_distribution<double> range { 0.0, total };
        if (range(m_random) < weight)
            picked = position;
    }
    return picked;
}

std::optional<std::size_t> upstream_selector::choose(
    const std::vector<upstream_candidate>& candidates, const selection_request& request, time_point now)
{
    const std::optional<std::size_t> local = pickWeighted(candidates, request.entry, true, now);
    const std::optional<std::size_t> remote = pickWeighted(candidates, request.entry, false, now);
    if (!local || !remote)
        return local ? local : remote;
    const double localTime = predictLatency(candidates[*local], request.entry, now).count();
    const double remoteTime = predictLatency(candidates[*remote], request.entry, now).count();
    const bool isLocalSlow = localTime > internal::localTargetShare * request.target.count();
    const bool isLocalFull = occupancy(candidates[*local]) >= internal::fullThreshold;
    const bool isRemoteFree = occupancy(candidates[*remote]) < internal::freeThreshold;
    const bool isRemotePreferred
        = isRemoteFree && (isLocalFull || (isLocalSlow && remoteTime < internal::maxRemoteLatencyRatio * localTime));
    return isRemotePreferred ? remote : local;
}

void upstream_selector::recordSent(const node_name& node) { ++m_measurements[node].outstanding; }

void upstream_selector::recordEnd(
    const node_name& node, const std::string& entry, std::optional<milliseconds> upstreamTime, time_point now)
{
    node_measurements& measured = m_measurements[node];
    if (measured.outstanding > 0)
        --measured.outstanding;
    if (!upstreamTime)
        return;
    const double sample = upstreamTime->count();
    const auto updateAverage
        = [sample](double& mean) { mean = mean <= 0.0 ? sample : mean + internal::averageWeight * (sample - mean); };
    service_time_estimate& estimate = measured.byEntry[entry];
    updateAverage(estimate.mean);
    estimate.at = now;
    updateAverage(m_entryMeansMs[entry]);
}

void upstream_selector::recordReportedServiceTime(
    const node_name& node, const entry_service_time& reported, time_point now)
{
    constexpr milliseconds maxPlausible { 600'000 };
    const bool isKnownEntry = m_entryMeansMs.count(reported.entry) != 0;
    if (!isKnownEntry || reported.time <= milliseconds {} || reported.time > maxPlausible)
        return;
    service_time_estimate& estimate = m_measurements[node].byEntry[reported.entry];
    // A node that sends this upstream many requests knows better from their answers.
    if (estimate.mean > 0.0 && now - estimate.at < internal::ownMeasurementValidity)
        return;
    estimate = { reported.time.count(), now };
}

void upstream_selector::recordFailure(const node_name& node, time_point now)
{
    node_measurements& measured = m_measurements[node];
    measured.failures = decayedFailures(&measured, now) + 1.0;
    measured.failedAt = now;
}

void upstream_selector::resetMeasurements(const node_name& node)
{
    const auto position = m_measurements.find(node);
    if (position == m_measurements.end())
        return;
    position->second.byEntry.clear();
    position->second.failures = 0.0;
}

} // namespace knapweedcroft
