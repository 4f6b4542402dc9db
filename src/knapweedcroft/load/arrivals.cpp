#include "knapweedcroft/load/arrivals.hpp"

#include "knapweedcroft/core/hash.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/load/call_key.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace knapweedcroft {

namespace internal {

// 2025-03-03 08:00:00 UTC; recorded keys get the current time of issue when they are sent.
static constexpr std::int64_t recordingStartMs = 1'740'988'800'000;
static constexpr double millisecondsPerSecond = 1000.0;

/** @brief Random numbers that are identical on all standard libraries, unlike the distributions of `<random>`. */
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : m_engine { seed }
    {
    }

    [[nodiscard]] std::uint64_t bits() { return m_engine(); }

    /** @brief Returns a number from 0 to below 1. */
    [[nodiscard]] double unit()
    {
        constexpr unsigned unusedBits = 11;
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(m_engine() >> unusedBits) * scale;
    }

    /** @brief Returns a number from 0 to below `count`. */
    [[nodiscard]] std::size_t index(std::size_t count)
    {
        return static_cast<std::size_t>(unit() * static_cast<double>(count));
    }

    /** @brief Returns an exponentially distributed number with a mean of 1. */
    [[nodiscard]] double exponential() { return -std::log(1.0 - unit()); }

private:
    std::mt19937_64 m_engine;
};

[[nodiscard]] static double total(const std::vector<double>& rates)
{
    double sum = 0.0;
    for (const double rate : rates)
        sum += rate;
    return sum;
}

[[nodiscard]] static std::size_t pick(const std::vector<double>& rates, double sum, random_source& random)
{
    double left = random.unit() * sum;
    std::size_t last = 0;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        if (rates[index] <= 0.0)
            continue;
        last = index;
        if (left < rates[index])
            return index;
        left -= rates[index];
    }
    return last;
}

[[nodiscard]] static std::string drawKey(milliseconds at, random_source& random)
{
    const time_point issued { milliseconds { recordingStartMs } + at };
    const std::uint64_t high = random.bits();
    const std::uint64_t low = random.bits();
    return makeCallKey(issued, high, low);
}

[[nodiscard]] static std::string makeToken(const std::optional<std::string>& key, std::uint64_t index)
{
    return toHex(key ? hash64(*key) : hash64(index));
}

[[nodiscard]] static result<std::vector<double>> ratesOf(const shape& on, const load_settings& settings)
{
    std::vector<double> rates;
    for (const shape_entry& item : on.entries) {
        const auto position = settings.rates.find(item.entry.name());
        rates.push_back(position == settings.rates.end() ? item.rate : position->second);
    }
    for (const std::pair<const std::string, double>& item : settings.rates) {
        if (findEntry(on, item.first) == nullptr)
            return error { error_kind::invalid_value,
                "rates: entry \"" + item.first + "\" is not in the catalogue of the shape; correct its name" };
    }
    if (total(rates) <= 0.0)
        return error { error_kind::invalid_value, "no entry has a rate above 0; set \"demand\" in the shape" };
    return rates;
}

[[nodiscard]] static bool hasDemand(const load_settings& settings, const load_phase& phase) noexcept
{
    return settings.demand * phase.demand > 0.0;
}

static void drawPhase(const shape& on, const load_settings& settings, const std::vector<double>& rates,
    std::size_t phase, milliseconds start, random_source& random, std::vector<arrival>& arrivals)
{
    const double sum = total(rates);
    const double perMillisecond = sum * settings.demand * settings.phases[phase].demand / millisecondsPerSecond;
    const milliseconds end = start + settings.phases[phase].length;
    milliseconds at = start + milliseconds::fromFraction(random.exponential() / perMillisecond);
    while (at < end) {
        arrival next;
        next.at = at;
        next.phase = phase;
        next.entry = pick(rates, sum, random);
        next.data_centre = on.data_centres[random.index(on.data_centres.size())];
        if (!on.entries[next.entry].entry.isIdempotent())
            next.key = drawKey(at, random);
        next.bodyBytes = settings.bodyBytes;
        next.token = makeToken(next.key, arrivals.size());
        arrivals.push_back(std::move(next));
        at = at + milliseconds::fromFraction(random.exponential() / perMillisecond);
    }
}

[[nodiscard]] static trace_call toTraceCall(const shape& on, const arrival& from, random_source& random)
{
    constexpr double minBodyBytes = 80.0;
    constexpr double bodyBytesRange = 400.0;
    trace_call call;
    call.atMs = from.at.whole();
    call.entry = on.entries[from.entry].entry.name();
    call.data_centre = from.data_centre;
    call.key = from.key;
    call.bodyBytes = static_cast<std::int64_t>(minBodyBytes + bodyBytesRange * random.unit());
    return call;
}

/** @brief Adds repeats of keyed calls and removes the keys of two calls. */
static void addRepeatsAndMissingKeys(trace& made, std::int64_t endMs, random_source& random)
{
    constexpr double repeatedShare = 0.25;
    constexpr double keylessShare = 0.1;
    constexpr std::size_t keylessCalls = 2;
    constexpr double minRepeatDelayMs = 20.0; // Short enough that the first call is often still running.
    constexpr double repeatRangeMs = 1500.0;
    std::size_t keyless = 0;
    std::vector<trace_call> repeats;
    for (trace_call& call : made.calls) {
        if (!call.key)
            continue;
        const double draw = random.unit();
        if (draw < repeatedShare) {
            trace_call repeat = call;
            repeat.atMs += static_cast<std::int64_t>(minRepeatDelayMs + repeatRangeMs * random.unit());
            if (repeat.atMs < endMs)
                repeats.push_back(std::move(repeat));
        } else if (draw > 1.0 - keylessShare && keyless < keylessCalls) {
            ++keyless;
            call.key.reset();
            call.expect = expected_answer::refused_not_run;
        }
    }
    made.calls.insert(made.calls.end(), repeats.begin(), repeats.end());
    std::stable_sort(made.calls.begin(), made.calls.end(),
        [](const trace_call& lhs, const trace_call& rhs) { return lhs.atMs < rhs.atMs; });
}

} // namespace internal

result<std::vector<arrival>> drawArrivals(const shape& on, const load_settings& settings)
{
    const result<std::vector<double>> rates = internal::ratesOf(on, settings);
    if (!hasValue(rates))
        return errorOf(rates);
    internal::random_source random { settings.seed };
    std::vector<arrival> arrivals;
    milliseconds start;
    for (std::size_t phase = 0; phase < settings.phases.size(); ++phase) {
        if (internal::hasDemand(settings, settings.phases[phase]))
            internal::drawPhase(on, settings, valueOf(rates), phase, start, random, arrivals);
        start = start + settings.phases[phase].length;
    }
    return arrivals;
}

std::vector<arrival> replayArrivals(const shape& on, const trace& recorded)
{
    std::vector<arrival> arrivals;
    for (const trace_call& call : recorded.calls) {
        const auto position = std::find_if(on.entries.begin(), on.entries.end(),
            [&call](const shape_entry& item) { return item.entry.name() == call.entry; });
        arrival next;
        next.at = milliseconds { call.atMs };
        next.entry = static_cast<std::size_t>(position - on.entries.begin());
        next.data_centre = call.data_centre;
        next.key = call.key;
        next.bodyBytes = call.bodyBytes;
        next.token = internal::makeToken(call.key, arrivals.size());
        next.expect = call.expect;
        arrivals.push_back(std::move(next));
    }
    return arrivals;
}

std::vector<arrival> probeArrivals(const shape& on, std::size_t rounds, milliseconds length, std::uint64_t seed)
{
    constexpr std::int64_t probeBodyBytes = 100;
    internal::random_source random { seed };
    const std::size_t count = rounds * on.data_centres.size() * on.entries.size();
    std::vector<arrival> arrivals;
    for (std::size_t index = 0; index < count; ++index) {
        const double share = static_cast<double>(index) / static_cast<double>(count);
        arrival next;
        next.at = milliseconds::fromFraction(length.count() * share);
        next.entry = index % on.entries.size();
        next.data_centre = on.data_centres[index / on.entries.size() % on.data_centres.size()];
        if (!on.entries[next.entry].entry.isIdempotent())
            next.key = internal::drawKey(next.at, random);
        next.bodyBytes = probeBodyBytes;
        next.token = internal::makeToken(next.key, index);
        arrivals.push_back(std::move(next));
    }
    return arrivals;
}

result<trace> makeTrace(const shape& on, const trace_recipe& recipe)
{
    load_settings settings;
    settings.seed = recipe.seed;
    settings.phases.push_back(load_phase { "recording", recipe.length, 1.0, {} });
    const result<std::vector<double>> rates = internal::ratesOf(on, settings);
    if (!hasValue(rates))
        return errorOf(rates);
    const double seconds = recipe.length.count() / internal::millisecondsPerSecond;
    settings.demand = static_cast<double>(recipe.calls) / (internal::total(valueOf(rates)) * seconds);
    const result<std::vector<arrival>> arrivals = drawArrivals(on, settings);
    if (!hasValue(arrivals))
        return errorOf(arrivals);
    internal::random_source random { hash64(recipe.seed) };
    trace made;
    made.shapeName = on.name;
    for (const arrival& item : valueOf(arrivals))
        made.calls.push_back(internal::toTraceCall(on, item, random));
    internal::addRepeatsAndMissingKeys(made, recipe.length.whole(), random);
    return made;
}

} // namespace knapweedcroft
