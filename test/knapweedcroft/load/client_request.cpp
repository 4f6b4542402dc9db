#include "knapweedcroft/load/client_request.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

[[nodiscard]] static time_point at(std::int64_t value) { return time_point { milliseconds { value } }; }

[[nodiscard]] static client_settings settingsOf(client_profile profile)
{
    return { profile, milliseconds { 3000 }, milliseconds { 1000 }, 3, milliseconds { 100 } };
}

[[nodiscard]] static std::string describe(const client_step& step)
{
    if (const send_attempt* send = std::get_if<send_attempt>(&step))
        return "send " + std::to_string(send->timeout.whole());
    if (const wait_to_retry* wait = std::get_if<wait_to_retry>(&step))
        return "wait " + std::to_string(wait->until.sinceEpoch().whole());
    return "end " + std::string { toString(std::get<request_ended>(step).end) };
}

struct client_case {
    const char* name;
    client_profile profile;
    attempt_end end;
    std::optional<milliseconds> retryAfter;
    const char* expected; /*!< After the first attempt ended at 200 ms. */
};

class client_case_test : public testing::TestWithParam<client_case> { };

TEST_P(client_case_test, ReactsToTheEndOfAnAttempt)
{
    const client_settings settings = settingsOf(GetParam().profile);
    client_request request { settings, at(0) };
    EXPECT_EQ(describe(request.attempt(at(0))), "send 1000");
    EXPECT_EQ(describe(request.handleAttemptEnd(GetParam().end, GetParam().retryAfter, at(200))), GetParam().expected);
}

static constexpr client_profile hard = client_profile::hard;
static constexpr client_profile polite = client_profile::polite;

INSTANTIATE_TEST_SUITE_P(Table, client_case_test,
    testing::Values(client_case { "Completed", hard, attempt_end::completed, {}, "end completed" },
        client_case { "HardIgnoresRetryAfter", hard, attempt_end::refused_not_run, milliseconds { 500 }, "send 1000" },
        client_case { "HardRepeatsUnknown", hard, attempt_end::outcome_unknown, {}, "send 1000" },
        client_case { "HardTakesRejection", hard, attempt_end::rejected, {}, "end rejected" },
        client_case { "PoliteWaits", polite, attempt_end::refused_not_run, milliseconds { 500 }, "wait 700" },
        client_case { "PoliteTakesFinalUnknown", polite, attempt_end::outcome_unknown, {}, "end outcome_unknown" },
        client_case { "PoliteAsksAgain", polite, attempt_end::outcome_unknown, milliseconds { 50 }, "wait 250" },
        client_case { "PoliteBacksOff", polite, attempt_end::timed_out, {}, "wait 300" },
        client_case { "PoliteRunsOutOfPatience", polite, attempt_end::refused_not_run, milliseconds { 2800 },
            "end refused_not_run" }),
    [](const testing::TestParamInfo<client_case>& parameter) { return std::string { parameter.param.name }; });

TEST(ClientRequest, StopsAtItsRetriesAndItsPatience)
{
    const client_settings settings = settingsOf(hard);
    client_request request { settings, at(0) };
    EXPECT_EQ(describe(request.attempt(at(0))), "send 1000");
    EXPECT_EQ(describe(request.handleAttemptEnd(attempt_end::timed_out, {}, at(1000))), "send 1000");
    EXPECT_EQ(describe(request.handleAttemptEnd(attempt_end::timed_out, {}, at(2400))), "send 600");
    EXPECT_EQ(describe(request.handleAttemptEnd(attempt_end::refused_not_run, {}, at(2500))), "send 500");
    EXPECT_EQ(describe(request.handleAttemptEnd(attempt_end::refused_not_run, {}, at(2500))), "end refused_not_run");
    EXPECT_EQ(request.attempts(), 4U);
    EXPECT_EQ(request.counts()[static_cast<std::size_t>(attempt_end::timed_out)], 2U);
    client_request late { settings, at(0) };
    EXPECT_EQ(describe(late.attempt(at(0))), "send 1000");
    EXPECT_EQ(describe(late.handleAttemptEnd(attempt_end::timed_out, {}, at(3000))), "end timed_out");
}

} // namespace knapweedcroft
