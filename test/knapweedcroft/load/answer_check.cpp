#include "knapweedcroft/load/answer_check.hpp"

#include "test_shape.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

static constexpr const char* goodBody
    = R"({"service":"s","operation":"o","echo":"t","payload":"xxx","children":["t.1","t.2"]})";

struct answer_case {
    const char* name;
    const char* kind; /*!< Value of `Knapweed-Result`; empty for none. */
    int status;
    const char* body;
    attempt_end end;
};

class answer_case_test : public testing::TestWithParam<answer_case> { };

// Guards against counting partial or mismatched answers (P3) as completed requests.
TEST_P(answer_case_test, IsClassified)
{
    const answer_spec spec { "s", "o", 3, 2 };
    http_response response { GetParam().status, {}, "application/json", GetParam().body };
    if (*GetParam().kind != '\0')
        response.headers = { { "Knapweed-Result", GetParam().kind }, { "Knapweed-Retry-After-Ms", "70" } };
    const classified_answer answer = checkAnswer(spec, "t", response);
    EXPECT_EQ(toString(answer.end), toString(GetParam().end)) << answer.fault;
    const bool hasKind = *GetParam().kind != '\0';
    EXPECT_EQ(answer.retryAfter.has_value(), hasKind);
    EXPECT_EQ(answer.retryAfter.value_or(milliseconds { 70 }), milliseconds { 70 });
}

INSTANTIATE_TEST_SUITE_P(Table, answer_case_test,
    testing::Values(answer_case { "Whole", "answered", 200, goodBody, attempt_end::completed },
        answer_case { "ErrorOfUpstream", "answered", 500, "", attempt_end::failed_answer },
        answer_case { "Refused", "refused_not_run", 503, "", attempt_end::refused_not_run },
        answer_case { "Rejected", "refused_not_run", 400, "", attempt_end::rejected },
        answer_case { "Failed", "failed_after_start", 502, "", attempt_end::failed_after_start },
        answer_case { "Unknown", "outcome_unknown", 504, "", attempt_end::outcome_unknown },
        answer_case { "NoKind", "", 200, goodBody, attempt_end::unclassified },
        answer_case { "OtherKind", "done", 200, goodBody, attempt_end::unclassified },
        answer_case {
            "Cut", "answered", 200, R"({"service":"s","operation":"o","echo":"t")", attempt_end::broken_answer },
        answer_case { "ForeignToken", "answered", 200,
            R"({"service":"s","operation":"o","echo":"u","payload":"xxx","children":["t.1","t.2"]})",
            attempt_end::broken_answer },
        answer_case { "OtherOperation", "answered", 200,
            R"({"service":"s","operation":"p","echo":"t","payload":"xxx","children":["t.1","t.2"]})",
            attempt_end::broken_answer },
        answer_case { "ShortPayload", "answered", 200,
            R"({"service":"s","operation":"o","echo":"t","payload":"xx","children":["t.1","t.2"]})",
            attempt_end::broken_answer },
        answer_case { "MissingSubAnswer", "answered", 200,
            R"({"service":"s","operation":"o","echo":"t","payload":"xxx","children":["t.1"]})",
            attempt_end::broken_answer },
        answer_case { "ForeignSubAnswer", "answered", 200,
            R"({"service":"s","operation":"o","echo":"t","payload":"xxx","children":["t.1","u.2"]})",
            attempt_end::broken_answer }),
    [](const testing::TestParamInfo<answer_case>& parameter) { return std::string { parameter.param.name }; });

TEST(AnswerCheck, DescribesOperationsAndMakesBodiesOfTheGivenSize)
{
    const answer_spec spec = answerSpecOf(deployedShape("hyggesnak"), "home_visits", "book");
    EXPECT_EQ(spec.subCalls, 2U);
    EXPECT_EQ(spec.payloadBytes, 300U);
    EXPECT_EQ(makeRequestBody("0123", 100).size(), 100U);
    EXPECT_EQ(makeRequestBody("0123", 1), R"({"token":"0123","padding":""})");
}

} // namespace knapweedcroft
