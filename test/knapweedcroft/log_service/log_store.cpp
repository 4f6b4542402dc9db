#include "knapweedcroft/log_service/log_store.hpp"

#include "knapweedcroft/log_service/fault_plan.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace knapweedcroft {

[[nodiscard]] static time_point atTime(std::int64_t count) { return time_point { milliseconds { count } }; }

[[nodiscard]] static append_result appendAt(log_store& store, std::int64_t time, const std::string& payload = "{}")
{
    return store.append("catalogue", payload, atTime(time), atTime(time));
}

/** @brief Formats the result of a read: first offset, next offset and the offsets of the records. */
[[nodiscard]] static std::string readAt(log_store& store, std::int64_t time, std::int64_t from, std::size_t limit = 100)
{
    const read_result found = store.read("catalogue", from, limit, atTime(time));
    if (const page_trimmed* trimmed = std::get_if<page_trimmed>(&found))
        return "trimmed " + std::to_string(trimmed->first) + " " + std::to_string(trimmed->next);
    const log_page& page = std::get<log_page>(found);
    std::string text = std::to_string(page.first) + " " + std::to_string(page.next) + ":";
    for (const log_record& record : page.records)
        text += " " + std::to_string(record.offset);
    return text;
}

// Guards against offsets that are skipped, reused or shared between streams.
TEST(LogStore, NumbersRecordsOfEachStream)
{
    log_store store { {} };
    for (std::int64_t offset = 0; offset < 3; ++offset)
        EXPECT_EQ(std::get<append_accepted>(appendAt(store, 1)).offset, offset);
    EXPECT_EQ(std::get<append_accepted>(store.append("membership", "{}", atTime(1), atTime(1))).offset, 0);
    EXPECT_EQ(readAt(store, 1, 0), "0 3: 0 1 2");
    EXPECT_EQ(readAt(store, 1, 1, 1), "0 3: 1");
    EXPECT_EQ(readAt(store, 1, 3), "0 3:");
    EXPECT_EQ(readAt(store, 1, 9), "0 3:");
    EXPECT_EQ(store.next("other"), 0);
}

// Guards against offsets that start again after records have been discarded.
TEST(LogStore, DropsRecordsByTimeCountAndTrim)
{
    log_store_settings settings;
    settings.retention = milliseconds { 1000 };
    settings.retentionRecords = 3;
    log_store store { settings };
    for (std::int64_t time = 0; time < 5; ++time)
        ASSERT_TRUE(std::holds_alternative<append_accepted>(appendAt(store, 100 * time)));
    EXPECT_EQ(readAt(store, 400, 1), "trimmed 2 5");
    EXPECT_EQ(readAt(store, 1200, 2), "2 5: 2 3 4");
    EXPECT_EQ(readAt(store, 1201, 2), "trimmed 3 5");
    store.trim("catalogue", 4);
    EXPECT_EQ(readAt(store, 1201, 4), "4 5: 4");
    store.trim("catalogue", 100);
    EXPECT_EQ(readAt(store, 1201, 5), "5 5:");
    EXPECT_EQ(std::get<append_accepted>(appendAt(store, 1300)).offset, 5);
}

// Guards against a stand-in that accepts more appends than the platform's log, which would falsify experiments.
TEST(LogStore, LimitsAppendsInAnySecond)
{
    log_store_settings settings;
    settings.maxAppendsPerSecond = 2;
    log_store store { settings };
    EXPECT_TRUE(std::holds_alternative<append_accepted>(appendAt(store, 0)));
    EXPECT_TRUE(std::holds_alternative<append_accepted>(appendAt(store, 900)));
    EXPECT_EQ(std::get<append_throttled>(appendAt(store, 950)).retryAfter, milliseconds { 50 });
    EXPECT_TRUE(std::holds_alternative<append_accepted>(appendAt(store, 1000)));
    EXPECT_TRUE(std::holds_alternative<append_throttled>(appendAt(store, 1899)));
    EXPECT_EQ(store.next("catalogue"), 3);
}

// Guards against records that readers cannot parse, and against rejected records that consume an offset.
TEST(LogStore, RejectsBadRecords)
{
    log_store_settings settings;
    settings.maxRecordBytes = 10;
    log_store store { settings };
    EXPECT_TRUE(std::holds_alternative<append_invalid>(appendAt(store, 0, "{")));
    EXPECT_TRUE(std::holds_alternative<append_too_large>(appendAt(store, 0, "\"123456789\"")));
    EXPECT_TRUE(std::holds_alternative<append_invalid>(store.append("a/b", "{}", atTime(0), atTime(0))));
    EXPECT_EQ(store.next("catalogue"), 0);
}

struct fault_case {
    const char* name;
    const char* body;
    const char* appends; /*!< Faults of four appends, one letter each. */
    const char* reads; /*!< Faults of four reads before the appends, one letter each. */
};

class fault_plan_test : public testing::TestWithParam<fault_case> { };

// Guards against a fault plan that injects another fault than the requested one, or for another number of requests.
TEST_P(fault_plan_test, TreatsRequests)
{
    fault_plan plan = valueOf(fault_plan::fromJson(nlohmann::json::parse(GetParam().body)));
    const auto decideFour = [&plan](log_request kind) {
        std::string letters;
        for (int index = 0; index < 4; ++index)
            letters += "-dsl"[static_cast<int>(plan.decide(kind).fault)];
        return letters;
    };
    EXPECT_EQ(decideFour(log_request::read), GetParam().reads);
    EXPECT_EQ(decideFour(log_request::append), GetParam().appends);
}

INSTANTIATE_TEST_SUITE_P(Table, fault_plan_test,
    testing::Values(fault_case { "None", R"({"mode":"none","delay_ms":5})", "----", "----" },
        fault_case { "Down", R"({"mode":"down"})", "dddd", "dddd" },
        fault_case { "DownTwice", R"({"mode":"down","count":2})", "----", "dd--" },
        fault_case { "Slow", R"({"mode":"slow","delay_ms":10,"count":5})", "s---", "ssss" },
        fault_case { "LoseAnswer", R"({"mode":"lose_answer","count":1})", "l---", "----" }),
    [](const testing::TestParamInfo<fault_case>& parameter) { return std::string { parameter.param.name }; });

TEST(FaultPlan, ReportsBadBodies)
{
    for (const char* body :
        { "{}", R"({"mode":"broken"})", R"({"mode":"down","count":-1})", R"({"mode":"down","x":1})" })
        EXPECT_FALSE(hasValue(fault_plan::fromJson(nlohmann::json::parse(body)))) << body;
}

// Guards against invalid settings that are accepted, and against settings that are misread.
TEST(LogServiceSettings, AreChecked)
{
    const nlohmann::json good = nlohmann::json::parse(R"({"retention_ms":5,"max_appends_per_second":7})");
    const result<log_service_settings> settings = readLogServiceSettings(good, "settings");
    ASSERT_TRUE(hasValue(settings));
    EXPECT_EQ(valueOf(settings).store.retention, milliseconds { 5 });
    EXPECT_EQ(valueOf(settings).store.maxAppendsPerSecond, 7U);
    for (const char* body : { "[]", R"({"retention_ms":0})", R"({"port":70000})", R"({"retention":1})" })
        EXPECT_FALSE(hasValue(readLogServiceSettings(nlohmann::json::parse(body), "settings"))) << body;
}

} // namespace knapweedcroft
