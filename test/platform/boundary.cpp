#include "knapweedcroft/settings/gateway_program_settings.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace knapweedcroft {

namespace {

[[nodiscard]] std::string readText(const std::filesystem::path& path)
{
    std::ifstream file { path };
    return { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
}

const std::filesystem::path root { KNAPWEEDCROFT_SOURCE_DIRECTORY };

} // namespace

// The core must not depend on the platform, so only the adapter may contain names of the platform's protocol.
TEST(Boundary, NoNameOfThePlatformOutsideTheAdapter)
{
    const std::vector<std::string> names { "PathPrefix", "TrafficSplit", "MaxAttempts", "TargetLatency",
        "X-Expect-Instance", "X-Not-Executed", "X-Server-Load", "X-Response-Signature", "X-Caller-Service",
        "X-Deadline-Ms", "X-Request-Id", "X-Instance-Id", "Server-Limit", "Server-Leaving", "/knapweedcroft/",
        "KNAPWEEDCROFT_BOOT", "HeartbeatUrl", "ColdRemaining", "log-append", "log-read", "log-newest", "keyed.op",
        "ListenAddrs", "NodeName" };
    for (const char* folder : { "src", "bench", "charts" }) {
        for (const std::filesystem::directory_entry& file :
            std::filesystem::recursive_directory_iterator { root / folder }) {
            if (!file.is_regular_file())
                continue;
            const std::string text = readText(file.path());
            for (const std::string& name : names) {
                const std::size_t position = text.find(name);
                // Include paths of the project itself begin with its name and do not count.
                const bool isFound
                    = position != std::string::npos && text.find("#include \"knapweedcroft" + name) > position;
                EXPECT_FALSE(isFound) << file.path() << " contains " << name;
            }
        }
    }
}

// The program must accept the settings rendered from the template, with and without the optional retry budget.
TEST(Boundary, TheTemplateRendersToValidSettings)
{
    std::string text = readText(root / "platform" / "gateway_settings.json.template");
    const std::vector<std::pair<std::string, std::string>> substitutions { { "{{NodeName|json}}", "\"n\"" },
        { "{{Zone|json}}", "\"z\"" }, { "{{Service|json}}", "\"s\"" },
        { "{{ListenAddrs.Outbound|json}}", "\"10.0.0.1:1\"" }, { "{{ListenAddrs.Ready|json}}", "\"10.0.0.1:2\"" },
        { "{{ListenAddrs.Control|json}}", "\"10.0.0.1:3\"" }, { "{{Ip}}", "10.0.0.1" }, { "{{PortRange.0}}", "7620" },
        { "{{PortRange.1}}", "7635" }, { "{{AppAddr|json}}", "\"10.0.0.1:4\"" }, { "{{Heartbeat|json}}", "\"1500ms\"" },
        { "{{Platform.Address|json}}", "\"10.0.0.2:5\"" }, { "{{Bounds.RetryBudgetRatio}}", "0.2" },
        { "{{Bounds.RetryBudgetSlack}}", "49" }, { "{{Bounds.BudgetWindow|json}}", "\"10s\"" },
        { "{{Bounds.Grace|json}}", "\"6s\"" }, { "{{#Bounds.ConfigApply}}", "" }, { "{{/Bounds.ConfigApply}}", "" },
        { "{{Bounds.ConfigApply|json}}", "\"2500ms\"" }, { "{{#Limits.MemoryMb}}", "" }, { "{{/Limits.MemoryMb}}", "" },
        { "{{Limits.MemoryMb}}", "160" } };
    for (const std::pair<std::string, std::string>& substitution : substitutions) {
        for (std::size_t position = text.find(substitution.first); position != std::string::npos;
             position = text.find(substitution.first))
            text.replace(position, substitution.first.size(), substitution.second);
    }
    const std::string sectionStart = "{{#Bounds.BudgetWindow}}";
    const std::string sectionEnd = "{{/Bounds.BudgetWindow}}";
    const std::size_t first = text.find(sectionStart);
    const std::size_t last = text.find(sectionEnd);
    ASSERT_NE(first, std::string::npos);
    ASSERT_NE(last, std::string::npos);
    std::string textWithoutBudget = text;
    textWithoutBudget.erase(first, last + sectionEnd.size() - first);
    text.erase(last, sectionEnd.size());
    text.erase(first, sectionStart.size());
    EXPECT_EQ(text.find("{{"), std::string::npos);
    for (const std::string& rendered : { text, textWithoutBudget }) {
        const result<gateway_program_settings> settings
            = readGatewaySettings(nlohmann::json::parse(rendered, nullptr, false), "template");
        ASSERT_TRUE(hasValue(settings)) << errorOf(settings).message;
        EXPECT_EQ(valueOf(settings).gateway.node, "n");
        EXPECT_EQ(valueOf(settings).grace, milliseconds { 6000 });
        EXPECT_EQ(valueOf(settings).peers.port, 7620);
        EXPECT_EQ(valueOf(settings).memoryMiB, 160U);
        EXPECT_EQ(valueOf(settings).gateway.storeReads.changeDeadline, milliseconds { 2500 });
    }
}

} // namespace knapweedcroft
