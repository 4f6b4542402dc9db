#include "knapweedcroft/settings/gateway_program_settings.hpp"

#include "knapweedcroft/core/duration_text.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace knapweedcroft {

namespace {

[[nodiscard]] nlohmann::json validSettings()
{
    return nlohmann::json::parse(R"({"node":{"name":"n","data_centre":"z","service":"s"},
        "listen":{"clients":"127.0.0.1:1","readiness":"127.0.0.1:2","announcements":"127.0.0.1:3","peers":"127.0.0.1:4"},
        "upstream":{"address":"127.0.0.1:5"},"store":{"address":"127.0.0.1:6"},"grace":"6s"})");
}

struct invalid_case {
    const char* pointer;
    nlohmann::json value;
    const char* expectedText; // Text that the error message must contain, so that the operator finds the field.
};

} // namespace

TEST(GatewayProgramSettings, TakesValidSettings)
{
    const result<gateway_program_settings> settings = readGatewaySettings(validSettings(), "settings");
    ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
    EXPECT_EQ(valueOf(settings).clients.port, 1);
    EXPECT_EQ(valueOf(settings).gateway.upstreamAddress, "127.0.0.1:5");
    EXPECT_EQ(valueOf(settings).gateway.upstreamSilence, milliseconds { 5000 });
}

// Guards against a node whose buffers may outgrow the memory of its host.
TEST(GatewayProgramSettings, TakesTheMemoryLimit)
{
    nlohmann::json document = validSettings();
    document["memory_mb"] = 160;
    const result<gateway_program_settings> settings = readGatewaySettings(document, "settings");
    ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
    EXPECT_EQ(valueOf(settings).memoryMiB, 160U);
}

// Guards against IPv6 addresses that lose their brackets: they cannot be parsed again, so every request to such an
// upstream would fail.
TEST(GatewayProgramSettings, KeepsTheBracketsOfAnIpv6Address)
{
    nlohmann::json document = validSettings();
    document["upstream"]["address"] = "[::1]:5";
    document["store"]["address"] = "[::1]:6";
    const result<gateway_program_settings> settings = readGatewaySettings(document, "settings");
    ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
    EXPECT_EQ(valueOf(settings).gateway.upstreamAddress, "[::1]:5");
    EXPECT_EQ(valueOf(settings).store, "[::1]:6");
}

// Guards against a node behind a proxy that announces its listening address, so that links would bypass the proxy.
TEST(GatewayProgramSettings, AnnouncesAnotherAddressForLinksIfOneIsSet)
{
    nlohmann::json document = validSettings();
    EXPECT_FALSE(valueOf(readGatewaySettings(document, "settings")).announcedPeers);
    document["listen"]["announced_peers"] = "127.0.0.1:9";
    const result<gateway_program_settings> settings = readGatewaySettings(document, "settings");
    ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
    ASSERT_TRUE(valueOf(settings).announcedPeers);
    EXPECT_EQ(valueOf(settings).announcedPeers->port, 9);
}

TEST(GatewayProgramSettings, NamesTheFieldThatIsWrong)
{
    const std::vector<invalid_case> rows { { "/node/name", 7, "name" }, { "/listen/clients", "nowhere", "clients" },
        { "/grace", "6", "grace" }, { "/store/address", "127.0.0.1", "address" }, { "/surplus", 1, "surplus" },
        { "/node/surplus", 1, "surplus" }, { "/log_level", "loud", "log_level" },
        { "/retries", { { "ratio", -1 } }, "ratio" }, { "/store/shared_reading_from", -1, "shared_reading_from" },
        { "/store/change_deadline", "soon", "change_deadline" },
        { "/links", { { "nodes_per_service", 0 } }, "nodes_per_service" },
        { "/links", { { "remote_nodes_per_service", -1 } }, "remote_nodes_per_service" } };
    for (const invalid_case& row : rows) {
        nlohmann::json document = validSettings();
        document[nlohmann::json::json_pointer { row.pointer }] = row.value;
        const result<gateway_program_settings> settings = readGatewaySettings(document, "settings");
        ASSERT_FALSE(hasValue(settings)) << row.pointer;
        EXPECT_NE(errorOf(settings).message.find(row.expectedText), std::string::npos) << errorOf(settings).message;
    }
}

TEST(DurationText, ReadsNumbersWithUnits)
{
    EXPECT_EQ(parseDuration("1500ms"), milliseconds { 1500 });
    EXPECT_EQ(parseDuration("2.5s"), milliseconds { 2500 });
    EXPECT_EQ(parseDuration("0ms"), milliseconds {});
    for (const char* text : { "", "s", "ms", "5", "-1s", "1e3ms", "1 s", "1m", "nans", "infs", "99999999999999s" })
        EXPECT_FALSE(parseDuration(text)) << text;
}

} // namespace knapweedcroft
