#include "knapweedcroft/settings/node_program_settings.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft {

namespace {

[[nodiscard]] nlohmann::json minimalDocument()
{
    return { { "name", "q1" }, { "service", "quota" }, { "data_centre", "varna-1" }, { "log", "127.0.0.1:1" },
        { "charts", "charts" } };
}

} // namespace

TEST(NodeProgramSettings, KeepsDefaultsOfAbsentFields)
{
    const result<node_program_settings> settings = readNodeSettings(minimalDocument(), "test");
    ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
    EXPECT_EQ(valueOf(settings).node.membership.leaseTime, membership_settings {}.leaseTime);
    EXPECT_TRUE(std::holds_alternative<gradient_limit>(valueOf(settings).node.admission.limit));
    EXPECT_EQ(valueOf(settings).logging.level, log_level::info);
}

TEST(NodeProgramSettings, ReadsEveryField)
{
    nlohmann::json document = minimalDocument();
    document.update({ { "host", "127.0.0.2" }, { "http_port", 1 }, { "peer_port", 2 }, { "seeds", { "127.0.0.1:3" } },
        { "seed", 4 }, { "log_level", "debug" }, { "log_file", "f" },
        { "limits", { { "max_body_bytes", 5 }, { "max_header_bytes", 2000 } } },
        { "admission",
            { { "enabled", false }, { "limit", "aimd" }, { "aimd_decrease", 0.5 }, { "gradient_smoothing", 0.1 },
                { "queue_delay_target_ms", 4 }, { "queue_delay_interval_ms", 90 }, { "order", "random" },
                { "drop_unreachable_deadlines", false }, { "initial_limit", 6 }, { "queue_bound_ms", 7.5 },
                { "threshold_validity_ms", 8 }, { "initial_service_time_ms", 9 }, { "shortest_retry_after_ms", 10 },
                { "longest_retry_after_ms", 11 } } },
        { "routing",
            { { "foreign_penalty", 2.0 }, { "ejection_failures", 3 }, { "first_ejection_ms", 12 },
                { "longest_ejection_ms", 13 }, { "ramp_time_ms", 14 } } },
        { "pressure", { { "enabled", false }, { "longest_validity_ms", 15 } } },
        { "membership",
            { { "heartbeat_interval_ms", 16 }, { "suspicion_time_ms", 40 }, { "lease_time_ms", 41 },
                { "skew_bound_ms", 42 } } },
        { "idempotency", { { "max_keys", 17 }, { "max_answer_bytes", 18 }, { "skew_bound_ms", 19 } } } });
    const result<node_program_settings> read = readNodeSettings(document, "test");
    ASSERT_TRUE(hasValue(read)) << errorOf(read).message;
    const node_program_settings& settings = valueOf(read);
    EXPECT_EQ(settings.host, "127.0.0.2");
    EXPECT_EQ(settings.httpPort, 1);
    EXPECT_EQ(settings.peerPort, 2);
    EXPECT_EQ(settings.node.seeds, std::vector<std::string> { "127.0.0.1:3" });
    EXPECT_EQ(settings.node.seed, 4U);
    EXPECT_EQ(settings.logging.level, log_level::debug);
    EXPECT_EQ(settings.maxBodyBytes, 5U);
    EXPECT_FALSE(settings.node.admission.isEnabled);
    EXPECT_EQ(std::get<aimd_limit>(settings.node.admission.limit).decrease, 0.5);
    EXPECT_TRUE(std::holds_alternative<random_order>(settings.node.admission.order));
    EXPECT_EQ(settings.node.admission.queueBound, milliseconds::fromFraction(7.5));
    EXPECT_EQ(settings.node.routing.rampTime, milliseconds { 14 });
    EXPECT_FALSE(settings.node.pressure.isEnabled);
    EXPECT_EQ(settings.node.membership.skewBound, milliseconds { 42 });
    EXPECT_EQ(settings.node.idempotency.maxKeys, 17U);
}

// Guards against invalid settings that are misinterpreted or silently ignored.
TEST(NodeProgramSettings, ReportsFaults)
{
    struct settings_fault {
        const char* patch;
        error_kind kind;
        const char* field;
    };
    const std::vector<settings_fault> faults { { R"({"naem":"x"})", error_kind::unknown_field, "naem" },
        { R"({"name":null})", error_kind::missing_field, "name" },
        { R"({"name":"a b"})", error_kind::invalid_value, "name" },
        { R"({"log":"localhost:1"})", error_kind::invalid_value, "log" },
        { R"({"host":"here"})", error_kind::invalid_value, "host" },
        { R"({"http_port":65536})", error_kind::out_of_range, "http_port" },
        { R"({"seeds":"x"})", error_kind::wrong_type, "seeds" },
        { R"({"seeds":["x"]})", error_kind::invalid_value, "seeds" },
        { R"({"log_level":"loud"})", error_kind::invalid_value, "log_level" },
        { R"({"limits":{"max_body_bytes":"1"}})", error_kind::wrong_type, "max_body_bytes" },
        { R"({"admission":[]})", error_kind::wrong_type, "admission" },
        { R"({"admission":{"limit":"magic"}})", error_kind::invalid_value, "limit" },
        { R"({"admission":{"order":"lifo"}})", error_kind::invalid_value, "order" },
        { R"({"admission":{"queue":1}})", error_kind::unknown_field, "queue" },
        { R"({"routing":{"foreign_penalty":0.5}})", error_kind::out_of_range, "foreign_penalty" },
        { R"({"pressure":{"enabled":1}})", error_kind::wrong_type, "enabled" },
        { R"({"membership":{"lease_time_ms":600}})", error_kind::out_of_range, "lease_time_ms" },
        { R"({"idempotency":{"max_keys":0}})", error_kind::out_of_range, "max_keys" } };
    for (const settings_fault& fault : faults) {
        nlohmann::json document = minimalDocument();
        document.merge_patch(nlohmann::json::parse(fault.patch));
        const result<node_program_settings> settings = readNodeSettings(document, "test");
        ASSERT_FALSE(hasValue(settings)) << fault.patch;
        EXPECT_EQ(errorOf(settings).kind, fault.kind) << fault.patch;
        EXPECT_NE(errorOf(settings).message.find(fault.field), std::string::npos) << errorOf(settings).message;
    }
}

} // namespace knapweedcroft
