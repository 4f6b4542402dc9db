#include "knapweedcroft/settings/command_line.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace knapweedcroft {

[[nodiscard]] static result<command_line> parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "program");
    return parseCommandLine(arguments, { { "port", "PORT", "" }, { "json", "", "" } });
}

// Guards against options that are ignored when they follow positional arguments.
TEST(CommandLine, TakesOptionsAnywhere)
{
    const result<command_line> line = parse({ "get", "--port", "1", "name", "--json", "--port=2" });
    ASSERT_TRUE(hasValue(line));
    EXPECT_EQ(valueOf(line).arguments, (std::vector<std::string> { "get", "name" }));
    EXPECT_EQ(valueOf(line).value("port"), "2");
    EXPECT_TRUE(valueOf(line).has("json"));
    EXPECT_EQ(valueOf(line).value("host", "fallback"), "fallback");
}

// Guards against invalid options that are silently ignored.
TEST(CommandLine, ReportsFaultyOptions)
{
    for (const std::vector<std::string>& arguments :
        { std::vector<std::string> { "--prot", "1" }, std::vector<std::string> { "--port" },
            std::vector<std::string> { "--json=1" }, std::vector<std::string> { "-x" } }) {
        const result<command_line> line = parse(arguments);
        ASSERT_FALSE(hasValue(line)) << arguments[0];
        EXPECT_EQ(errorOf(line).kind, error_kind::command_line);
        EXPECT_NE(errorOf(line).message.find(arguments[0]), std::string::npos) << errorOf(line).message;
    }
}

TEST(CommandLine, ParsesIntegers)
{
    EXPECT_EQ(parseInteger("-1", -1, 5), -1);
    for (const char* text : { "", "6", "-2", "1x", " 1", "1.0", "99999999999999999999" })
        EXPECT_FALSE(parseInteger(text, -1, 5)) << text;
}

// Guards against a ready line that start scripts cannot parse.
TEST(CommandLine, FormatsReadyLine)
{
    const nlohmann::json line = nlohmann::json::parse(formatReadyLine("n", "127.0.0.1:1", "127.0.0.1:2"));
    EXPECT_EQ(line.at("ready"), true);
    EXPECT_EQ(line.at("http"), "127.0.0.1:1");
    EXPECT_EQ(line.at("peer"), "127.0.0.1:2");
    EXPECT_FALSE(nlohmann::json::parse(formatReadyLine("n", "127.0.0.1:1", "")).contains("peer"));
}

} // namespace knapweedcroft
