#include "knapweedcroft/gateway/crash_detector.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] time_point at(std::int64_t time) { return time_point { milliseconds { time } }; }

[[nodiscard]] interrupted_content content(std::uint64_t digest) { return { digest, "r", "read", "/read/x" }; }

// Number of contents of a crash; nothing if the verdict is another one.
[[nodiscard]] std::optional<std::size_t> interruptedBy(const check_verdict& verdict)
{
    const upstream_crash* crash = std::get_if<upstream_crash>(&verdict);
    return crash == nullptr ? std::nullopt : std::optional { crash->interrupted.size() };
}

} // namespace

TEST(CrashDetector, FindsACrashIfNobodyListensAndNothingGoesOn)
{
    crash_detector detector;
    EXPECT_TRUE(detector.recordInterruption("u", content(1), at(0)));
    EXPECT_FALSE(detector.recordInterruption("u", content(2), at(1))) << "one check for all of them";
    EXPECT_EQ(interruptedBy(detector.handleCheck(true, std::nullopt, at(2))), 2U);
    EXPECT_FALSE(detector.isCheckPending());
    EXPECT_TRUE(detector.recordInterruption("v", content(1), at(10)));
}

TEST(CrashDetector, FindsNoCrashIfAProcessListens)
{
    crash_detector detector;
    static_cast<void>(detector.recordInterruption("u", content(1), at(0)));
    EXPECT_TRUE(std::holds_alternative<upstream_alive>(detector.handleCheck(false, std::nullopt, at(2))));
}

// An exchange that started after the interruption is on its way to be refused.
TEST(CrashDetector, ChecksAgainWhileAnOlderExchangeGoesOn)
{
    crash_detector detector;
    static_cast<void>(detector.recordInterruption("u", content(1), at(10)));
    EXPECT_TRUE(std::holds_alternative<check_again>(detector.handleCheck(true, at(5), at(11))));
    EXPECT_TRUE(detector.isCheckPending());
    EXPECT_FALSE(detector.takeDueCheck(at(30)));
    EXPECT_TRUE(detector.takeDueCheck(at(31)));
    EXPECT_FALSE(detector.takeDueCheck(at(31)));
    EXPECT_EQ(interruptedBy(detector.handleCheck(true, at(10), at(32))), 1U);
}

// Guards against requests that wait for an upstream which refuses connections and never ends.
TEST(CrashDetector, GivesUpCheckingAfterAWhile)
{
    crash_detector detector;
    static_cast<void>(detector.recordInterruption("u", content(1), at(10)));
    std::int64_t time = 11;
    int checks = 1;
    for (; std::holds_alternative<check_again>(detector.handleCheck(true, at(5), at(time))); ++checks) {
        time += 20;
        ASSERT_TRUE(detector.takeDueCheck(at(time)));
    }
    EXPECT_EQ(checks, 5);
    EXPECT_FALSE(detector.isCheckPending());
}

TEST(CrashDetector, FindsACrashByTheNextProcess)
{
    crash_detector detector;
    static_cast<void>(detector.recordInterruption("u", content(1), at(0)));
    static_cast<void>(detector.handleCheck(false, std::nullopt, at(1)));
    EXPECT_FALSE(detector.handleReplacement("other", at(100)));
    static_cast<void>(detector.recordInterruption("u", content(1), at(200)));
    static_cast<void>(detector.handleCheck(false, std::nullopt, at(201)));
    ASSERT_TRUE(detector.handleReplacement("u", at(5200)));
    EXPECT_FALSE(detector.handleReplacement("u", at(5200))) << "once";
}

TEST(CrashDetector, FindsNoCrashIfTheUpstreamHasAnsweredSince)
{
    crash_detector detector;
    static_cast<void>(detector.recordInterruption("u", content(1), at(0)));
    static_cast<void>(detector.handleCheck(false, std::nullopt, at(1)));
    detector.recordAnswer("u", 7, at(0), at(5));
    detector.recordAnswer("u", 7, at(2), at(9));
    EXPECT_FALSE(detector.handleReplacement("u", at(100)));
}

// Guards against a popular content that is suspected because it is running at every crash.
TEST(CrashDetector, LeavesOutWhatWasAnsweredJustBefore)
{
    crash_detector detector;
    detector.recordAnswer("u", 1, at(0), at(500));
    static_cast<void>(detector.recordInterruption("u", content(1), at(1000)));
    static_cast<void>(detector.recordInterruption("u", content(2), at(1000)));
    EXPECT_EQ(interruptedBy(detector.handleCheck(true, std::nullopt, at(1001))), 1U);
}

} // namespace knapweedcroft
