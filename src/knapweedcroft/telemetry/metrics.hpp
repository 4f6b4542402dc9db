#ifndef KNAPWEEDCROFT_TELEMETRY_METRICS_HPP
#define KNAPWEEDCROFT_TELEMETRY_METRICS_HPP

#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Count, mean, maximum and percentiles of a duration; percentiles are estimated with the P-square algorithm. */
class latency_metric {
public:
    latency_metric();
    latency_metric(latency_metric&&) noexcept;
    latency_metric& operator=(latency_metric&&) noexcept;
    ~latency_metric();

    /** @brief Adds a sample. */
    void add(milliseconds sample);

    /**
     * @brief Returns `{"count","mean_ms","max_ms","p50_ms","p99_ms"}`.
     *
     * Without samples only the count is present; percentiles are present from 7 samples on.
     */
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct accumulators;

    std::unique_ptr<accumulators> m_accumulators;
};

/** @brief Counters and latency metrics of a process, by name. */
class metrics {
public:
    /** @brief Increments a counter by `amount`; an unknown counter is created. */
    void count(std::string_view name, std::uint64_t amount = 1);

    /** @brief Adds a sample to a latency metric; an unknown metric is created. */
    void record(std::string_view name, milliseconds sample);

    /** @brief Returns `{"counters":{...},"latencies":{...}}`. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, latency_metric, std::less<>> m_latencies;
};

} // namespace knapweedcroft

#endif
