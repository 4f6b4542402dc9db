#include "knapweedcroft/gateway/leave_acknowledgements.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

class leave_acknowledgements_test : public testing::Test {
protected:
    [[nodiscard]] static time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

    using verdicts = std::vector<leave_verdict>;

    leave_acknowledgements m_leaves;
};

// The store outlives all nodes, so its answer decides at once.
TEST_F(leave_acknowledgements_test, FollowsTheStore)
{
    EXPECT_FALSE(m_leaves.await("u", at(0)));
    EXPECT_TRUE(m_leaves.takeVerdicts(at(1)).empty());
    m_leaves.recordStored();
    EXPECT_EQ(m_leaves.takeVerdicts(at(2)), (verdicts { { "u", true } }));
    EXPECT_TRUE(m_leaves.takeVerdicts(at(3)).empty());
    EXPECT_TRUE(m_leaves.await("u", at(4)));
    EXPECT_EQ(m_leaves.takeVerdicts(at(4)), (verdicts { { "u", true } })) << "acknowledged before";
}

// Guards against a leave that is answered after the upstream has stopped waiting, or never.
TEST_F(leave_acknowledgements_test, RefusesWhatNobodyConfirms)
{
    m_leaves.await("u", at(0));
    EXPECT_EQ(m_leaves.nextWakeup(), at(900));
    EXPECT_EQ(m_leaves.takeVerdicts(at(900)), (verdicts { { "u", false } }));
    EXPECT_FALSE(m_leaves.await("u", at(1500)));
    EXPECT_TRUE(m_leaves.takeVerdicts(at(1501)).empty());
    m_leaves.recordStored();
    EXPECT_EQ(m_leaves.takeVerdicts(at(1502)), (verdicts { { "u", true } }));
}

} // namespace knapweedcroft
