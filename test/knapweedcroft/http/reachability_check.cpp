#include "knapweedcroft/http/reachability_check.hpp"

#include "knapweedcroft/net/test_servers.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace knapweedcroft {

namespace {

[[nodiscard]] std::optional<bool> check(event_loop& loop, const std::string& address)
{
    std::optional<bool> isRefused;
    reachability_check checked { loop, milliseconds { 200 }, [&isRefused](bool result) { isRefused = result; } };
    checked.start(address);
    EXPECT_FALSE(isRefused) << "reported from within start";
    loop.runUntil([&isRefused] { return isRefused.has_value(); }, milliseconds { 10'000 });
    return isRefused;
}

} // namespace

TEST(ReachabilityCheck, FindsAServerThatListens)
{
    event_loop loop;
    endless_server server { loop, "", "" };
    EXPECT_EQ(check(loop, server.address()), false);
}

TEST(ReachabilityCheck, FindsAPortOnWhichNobodyListens)
{
    event_loop loop;
    std::string address;
    {
        endless_server server { loop, "", "" };
        address = server.address();
    }
    EXPECT_EQ(check(loop, address), true);
}

TEST(ReachabilityCheck, TakesNoAnswerForNoRefusal)
{
    event_loop loop;
    EXPECT_EQ(check(loop, "not an address"), false);
}

} // namespace knapweedcroft
