#include "knapweedcroft/load/oracle.hpp"

#include "test_shape.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

[[nodiscard]] static std::vector<double> ratesAt(const shape& on, double demand)
{
    std::vector<double> rates;
    for (const shape_entry& item : on.entries)
        rates.push_back(item.rate * demand);
    return rates;
}

TEST(Oracle, CompletesEverythingWhileThereIsRoom)
{
    for (const std::string name : { "hyggesnak", "sinya_mreja" }) {
        const shape on = deployedShape(name);
        const std::vector<double> offered = ratesAt(on, 1.0);
        const std::vector<double> completed = oracleRates(on, offered, {});
        for (std::size_t entry = 0; entry < offered.size(); ++entry)
            EXPECT_NEAR(completed[entry], offered[entry], 1e-6);
    }
}

// The slowed member register has 4 x 10 slots / 125 ms = 320 lookups/s; bookings take 2 x 150 of them.
TEST(Oracle, ServesClassesInOrderOfImportance)
{
    const shape on = deployedShape("hyggesnak");
    const std::vector<double> completed = oracleRates(on, ratesAt(on, 3.0), { { "member_register", "", 5.0 } });
    EXPECT_NEAR(completed[entryIndex(on, "home_visits.book")], 150.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "call_planning.day_list")], 20.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "call_diary.last_notes")], 240.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "call_planning.list")], 240.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "member_register.lookup")], 0.0, 1e-6);
}

// The slowed quota service has 3 x 45 slots / 500 ms = 270 calls/s, which filings and quota answers share.
TEST(Oracle, SharesWithinAClass)
{
    const shape on = deployedShape("sinya_mreja");
    const std::vector<double> completed = oracleRates(on, ratesAt(on, 3.0), { { "quota", "", 5.0 } });
    EXPECT_NEAR(completed[entryIndex(on, "logbook.file_haul")], 270.0 * 80.0 / 280.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "quota.balance")], 270.0 * 200.0 / 280.0, 1e-6);
    EXPECT_NEAR(completed[entryIndex(on, "vessel_register.lookup")], 300.0, 1e-6);
}

TEST(Oracle, CountsASlowHostByItself)
{
    const shape on = deployedShape("sinya_mreja");
    std::vector<double> offered(on.entries.size(), 0.0);
    offered[entryIndex(on, "quota.balance")] = 10'000.0;
    const std::vector<double> completed = oracleRates(on, offered, { { "quota", "quota-1", 5.0 } });
    EXPECT_NEAR(completed[entryIndex(on, "quota.balance")], 450.0 + 450.0 + 90.0, 1e-6);
}

} // namespace knapweedcroft
