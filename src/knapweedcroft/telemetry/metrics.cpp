#include "knapweedcroft/telemetry/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace knapweedcroft {

namespace internal {

namespace statistics = boost::accumulators;

static constexpr std::array<double, 2> trackedQuantiles = { 0.5, 0.99 };

using latency_set = statistics::accumulator_set<double,
    statistics::stats<statistics::tag::count, statistics::tag::mean, statistics::tag::max,
        statistics::tag::extended_p_square>>;

} // namespace internal

struct latency_metric::accumulators {
    internal::latency_set set { boost::accumulators::tag::extended_p_square::probabilities
        = internal::trackedQuantiles };
};

latency_metric::latency_metric()
    : m_accumulators { std::make_unique<accumulators>() }
{
}

latency_metric::latency_metric(latency_metric&&) noexcept = default;
latency_metric& latency_metric::operator=(latency_metric&&) noexcept = default;
latency_metric::~latency_metric() = default;

void latency_metric::add(milliseconds sample) { m_accumulators->set(sample.count()); }

nlohmann::json latency_metric::describe() const
{
    namespace statistics = internal::statistics;
    const internal::latency_set& set = m_accumulators->set;
    nlohmann::json summary = { { "count", statistics::count(set) } };
    if (statistics::count(set) == 0)
        return summary;
    summary["mean_ms"] = statistics::mean(set);
    summary["max_ms"] = statistics::max(set);
    // The P-square estimator has 2 * quantiles + 3 markers and needs one sample for each before its first estimate.
    constexpr std::size_t minSamples = 2 * internal::trackedQuantiles.size() + 3;
    if (statistics::count(set) < minSamples)
        return summary;
    summary["p50_ms"] = statistics::extended_p_square(set)[0];
    summary["p99_ms"] = statistics::extended_p_square(set)[1];
    return summary;
}

void metrics::count(std::string_view name, std::uint64_t amount)
{
    const auto position = m_counters.find(name);
    if (position == m_counters.end())
        m_counters.emplace(std::string { name }, amount);
    else
        position->second += amount;
}

void metrics::record(std::string_view name, milliseconds sample)
{
    auto position = m_latencies.find(name);
    if (position == m_latencies.end())
        position = m_latencies.emplace(std::string { name }, latency_metric {}).first;
    position->second.add(sample);
}

nlohmann::json metrics::describe() const
{
    nlohmann::json counters = nlohmann::json::object();
    for (const std::pair<const std::string, std::uint64_t>& item : m_counters)
        counters[item.first] = item.second;
    nlohmann::json latencies = nlohmann::json::object();
    for (const std::pair<const std::string, latency_metric>& item : m_latencies)
        latencies[item.first] = item.second.describe();
    return { { "counters", std::move(counters) }, { "latencies", std::move(latencies) } };
}

} // namespace knapweedcroft
