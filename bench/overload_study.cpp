#include "knapweedcroft/node/overload_trial.hpp"
#include "knapweedcroft/node/shapes.hpp"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace internal {

struct configuration {
    std::string name;
    std::function<void(node_settings&)> change;
};

[[nodiscard]] static std::function<void(node_settings&)> withoutPressure(limit_policy limit, queue_order order)
{
    return [limit, order](node_settings& settings) {
        settings.admission.limit = limit;
        settings.admission.order = order;
        settings.pressure.isEnabled = false;
    };
}

[[nodiscard]] static std::function<void(node_settings&)> withQueueBound(std::int64_t bound)
{
    return [bound](node_settings& settings) { settings.admission.queueBound = milliseconds { bound }; };
}

[[nodiscard]] static std::function<void(node_settings&)> withThreshold(
    std::int64_t validity, std::int64_t thresholdDoublingTime)
{
    return [validity, thresholdDoublingTime](node_settings& settings) {
        settings.admission.thresholdValidity = milliseconds { validity };
        settings.admission.thresholdDoublingTime = milliseconds { thresholdDoublingTime };
        settings.pressure.thresholdDoublingTime = milliseconds { thresholdDoublingTime };
    };
}

[[nodiscard]] static std::vector<configuration> allConfigurations()
{
    return {
        { "no control",
            [](node_settings& settings) {
                settings.admission.isEnabled = false;
                settings.pressure.isEnabled = false;
            } },
        { "fixed limit, arrival order", withoutPressure(fixed_limit {}, arrival_order {}) },
        { "AIMD, arrival order", withoutPressure(aimd_limit {}, arrival_order {}) },
        { "queue delay, arrival order", withoutPressure(queue_delay_limit {}, arrival_order {}) },
        { "priority, no pressure", withoutPressure(gradient_limit {}, priority_order {}) },
        { "random order", [](node_settings& settings) { settings.admission.order = random_order {}; } },
        { "queue bound 25 ms", withQueueBound(25) },
        { "queue bound 50 ms", withQueueBound(50) },
        { "queue bound 200 ms", withQueueBound(200) },
        { "queue bound 400 ms", withQueueBound(400) },
        { "deep calls not first",
            [](node_settings& settings) { settings.admission.order = priority_order { false }; } },
        { "threshold constant for 200 ms", withThreshold(200, 0) },
        { "threshold constant for 1 s", withThreshold(1000, 0) },
        { "threshold doubles in 50 ms", withThreshold(1000, 50) },
        { "threshold doubles in 200 ms", withThreshold(1000, 200) },
        { "default", [](node_settings&) {} },
    };
}

static void study(const std::string& name, const group_shape& shape, const service_name& slow, std::uint64_t seed,
    const std::string& nameFilter, const chart_set& charts)
{
    std::printf(
        "\n| %s | critical | high | normal | low | all | recovery (s) | wasted | inversions (upstream, entry) |\n",
        name.c_str());
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const configuration& variant : allConfigurations()) {
        if (variant.name.find(nameFilter) == std::string::npos)
            continue;
        group_settings settings;
        settings.shape = shape;
        settings.seed = seed;
        variant.change(settings.node);
        overload_trigger trigger;
        trigger.slowService = slow;
        const overload_report report = runOverloadTrial(settings, trigger, charts);
        std::printf("| %s ", variant.name.c_str());
        for (const double share : report.goodputByClass)
            std::printf("| %.3f ", share);
        std::printf("| %.3f | %.1f | %.3f | %llu, %llu |\n", report.goodput, report.recovery.count() / 1000.0,
            report.wastedShare, static_cast<unsigned long long>(report.inversionsAtUpstream),
            static_cast<unsigned long long>(report.inversionsAtEntry));
        std::fflush(stdout);
    }
}

} // namespace internal

} // namespace knapweedcroft

/** @brief Prints the tables of docs/md/overload_study.md; arguments: charts folder, seed, filter of configurations. */
int main(int argc, char** argv)
{
    using namespace knapweedcroft;
    const result<chart_set> charts = loadCharts(argc > 1 ? argv[1] : "charts");
    if (!hasValue(charts)) {
        std::fprintf(stderr, "%s\n", errorOf(charts).message.c_str());
        return 1;
    }
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    const std::string nameFilter = argc > 3 ? argv[3] : "";
    internal::study("Hyggesnak", hyggesnakShape(), "member_register", seed, nameFilter, valueOf(charts));
    internal::study("Sinya Mreja", sinyaMrejaShape(), "quota", seed, nameFilter, valueOf(charts));
    return 0;
}
