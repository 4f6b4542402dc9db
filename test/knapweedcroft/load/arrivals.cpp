#include "knapweedcroft/load/arrivals.hpp"

#include "test_shape.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

namespace knapweedcroft {

[[nodiscard]] static load_settings twoPhases(std::uint64_t seed)
{
    load_settings settings;
    settings.seed = seed;
    settings.phases = { load_phase { "normal", milliseconds { 10'000 }, 1.0, {} },
        load_phase { "trigger", milliseconds { 10'000 }, 3.0, {} } };
    return settings;
}

// Guards against arrivals that are not reproducible or do not match the demand of the shape.
TEST(Arrivals, FollowTheSeedTheMixAndTheDemand)
{
    const shape on = deployedShape("hyggesnak");
    const std::vector<arrival> drawn = valueOf(drawArrivals(on, twoPhases(1)));
    const std::vector<arrival> again = valueOf(drawArrivals(on, twoPhases(1)));
    ASSERT_EQ(drawn.size(), again.size());
    std::map<std::pair<std::size_t, std::size_t>, double> counts;
    std::set<std::string> keys;
    std::size_t keyed = 0;
    for (std::size_t index = 0; index < drawn.size(); ++index) {
        const arrival& item = drawn[index];
        EXPECT_EQ(item.at, again[index].at);
        EXPECT_EQ(item.key, again[index].key);
        EXPECT_EQ(item.phase, item.at < milliseconds { 10'000 } ? 0U : 1U);
        EXPECT_EQ(item.key.has_value(), !on.entries[item.entry].entry.isIdempotent());
        counts[{ item.phase, item.entry }] += 1.0;
        keyed += item.key ? 1 : 0;
        if (item.key)
            keys.insert(*item.key);
    }
    EXPECT_EQ(keys.size(), keyed);
    for (std::size_t entry = 0; entry < on.entries.size(); ++entry) {
        const double expected = on.entries[entry].rate * 10.0;
        // Six standard deviations of a Poisson distribution.
        EXPECT_NEAR((counts[{ 0, entry }]), expected, 6.0 * std::sqrt(expected));
        EXPECT_NEAR((counts[{ 1, entry }]), 3.0 * expected, 6.0 * std::sqrt(3.0 * expected));
    }
    EXPECT_NE(valueOf(drawArrivals(on, twoPhases(2))).front().at, drawn.front().at);
}

TEST(Arrivals, TakeRatesOfKnownEntriesOnly)
{
    const shape on = deployedShape("hyggesnak");
    load_settings settings = twoPhases(1);
    for (const shape_entry& item : on.entries)
        settings.rates[item.entry.name()] = 0.0;
    EXPECT_EQ(errorOf(drawArrivals(on, settings)).kind, error_kind::invalid_value);
    settings.rates["home_visits.book"] = 1.0;
    const std::vector<arrival> drawn = valueOf(drawArrivals(on, settings));
    for (const arrival& item : drawn)
        EXPECT_EQ(item.entry, entryIndex(on, "home_visits.book"));
    settings.rates["home_visits.cancel"] = 1.0;
    EXPECT_EQ(errorOf(drawArrivals(on, settings)).kind, error_kind::invalid_value);
}

TEST(Arrivals, ProbesReachEachEntryFromEachDataCentre)
{
    const shape on = deployedShape("sinya_mreja");
    std::set<std::pair<std::size_t, std::string>> reached;
    for (const arrival& item : probeArrivals(on, 2, milliseconds { 100 }, 1))
        reached.emplace(item.entry, item.data_centre);
    EXPECT_EQ(reached.size(), on.entries.size() * on.data_centres.size());
}

} // namespace knapweedcroft
