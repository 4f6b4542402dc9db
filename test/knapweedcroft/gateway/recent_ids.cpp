#include "knapweedcroft/gateway/recent_ids.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

// Guards against memory that grows with each upstream that has ever left or crashed.
TEST(RecentIds, ForgetsTheEarliestBeyondItsLimit)
{
    recent_ids ids { 2 };
    EXPECT_TRUE(ids.insert("a"));
    EXPECT_TRUE(ids.insert("b"));
    EXPECT_FALSE(ids.insert("a"));
    EXPECT_TRUE(ids.insert("c"));
    EXPECT_FALSE(ids.contains("a"));
    EXPECT_TRUE(ids.contains("b"));
    EXPECT_TRUE(ids.contains("c"));
}

} // namespace knapweedcroft
