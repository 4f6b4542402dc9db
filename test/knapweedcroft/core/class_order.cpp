#include "knapweedcroft/core/class_order.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

// Guards against priority inversion: a less important call admitted within 100 ms of refusing a more important one.
TEST(ClassOrder, RemembersOtherClassesForTheWindow)
{
    const time_point start { milliseconds { 1000 } };
    class_order order;
    order.recordAdmitted(call_class::normal, start);
    order.recordRefused(call_class::high, start);
    EXPECT_TRUE(order.hasAdmittedBelow(call_class::critical, start + milliseconds { 100 }));
    EXPECT_FALSE(order.hasAdmittedBelow(call_class::critical, start + milliseconds { 101 }));
    EXPECT_FALSE(order.hasAdmittedBelow(call_class::normal, start));
    EXPECT_TRUE(order.hasRefusedAbove(call_class::low, start + milliseconds { 100 }));
    EXPECT_FALSE(order.hasRefusedAbove(call_class::low, start + milliseconds { 101 }));
    EXPECT_FALSE(order.hasRefusedAbove(call_class::high, start));
}

} // namespace knapweedcroft
