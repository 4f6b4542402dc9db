#include "knapweedcroft/process/http_exchange.hpp"
#include "knapweedcroft/process/test_process.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <ostream>

namespace knapweedcroft {

/** @brief Command line and the files that it reads; `@` in an argument is replaced by the path of their folder. */
struct command_case {
    const char* name;
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::pair<std::string, std::string>> files; /*!< Name and content. */
    int status;
    std::string text; /*!< Expected part of standard error, or of standard output if the status is 0. */
};

static std::ostream& operator<<(std::ostream& stream, const command_case& value) { return stream << value.name; }

class command_line_test : public testing::TestWithParam<command_case> {
protected:
    [[nodiscard]] std::vector<std::string> arguments() const
    {
        std::vector<std::string> values = GetParam().arguments;
        for (std::string& value : values) {
            const std::size_t mark = value.find('@');
            if (mark != std::string::npos)
                value.replace(mark, 1, m_folder.path(""));
        }
        return values;
    }

    event_loop m_loop;
    http_exchanger m_http { m_loop };
    test_folder m_folder;
};

// Guards against programs that accept invalid settings or options, or whose error does not name the remedy.
TEST_P(command_line_test, TellsWhatToCorrect)
{
    for (const std::pair<std::string, std::string>& file : GetParam().files)
        (void)m_folder.write(file.first, file.second);
    test_process process { m_folder, "program", GetParam().program, arguments() };
    ASSERT_TRUE(m_http.waitUntil([&process] { return process.hasEnded(); }));
    EXPECT_EQ(process.exitStatus(), GetParam().status) << process.output() << process.errors();
    const bool isSuccess = GetParam().status == 0;
    const std::string message = isSuccess ? process.output() : process.errors();
    EXPECT_NE(message.find(GetParam().text), std::string::npos) << message;
    // Errors start with the program name and go to standard error; standard output is reserved for results.
    EXPECT_TRUE(isSuccess || message.rfind(GetParam().program + ": ", 0) == 0) << message;
    EXPECT_TRUE(isSuccess || process.output().empty()) << process.output();
}

static const std::string node = "knapweed-node";
static const std::string ctl = "knapweedctl";
static const std::string upstream = "knapweed-upstream";
static const std::string logProgram = "knapweed-log";

[[nodiscard]] static std::string nodeSettings(const std::string& patch)
{
    nlohmann::json document = { { "name", "n1" }, { "service", "home_visits" }, { "data_centre", "a" },
        { "log", "127.0.0.1:1" }, { "charts", KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts" } };
    document.merge_patch(nlohmann::json::parse(patch));
    return document.dump();
}

[[nodiscard]] static command_case nodeCase(const char* name, const std::string& patch, const std::string& text)
{
    return { name, node, { "--settings", "@n.json" }, { { "n.json", nodeSettings(patch) } }, 1, text };
}

INSTANTIATE_TEST_SUITE_P(Node, command_line_test,
    testing::Values(command_case { "Help", node, { "--help" }, {}, 0, "usage: knapweed-node" },
        command_case {
            "Valid", node, { "--settings", "@n.json", "--check" }, { { "n.json", nodeSettings("{}") } }, 0, "valid" },
        command_case { "UnknownOption", node, { "--setings", "x" }, {}, 1, "see --help" },
        command_case { "OptionWithoutValue", node, { "--settings" }, {}, 1, "see --help" },
        command_case { "NoSettings", node, {}, {}, 1, "give --settings FILE" },
        command_case { "Arguments", node, { "--settings", "@n.json", "more" }, {}, 1, "no other arguments" },
        command_case { "NoFile", node, { "--settings", "@none.json" }, {}, 1, "check the path and its permissions" },
        command_case { "Folder", node, { "--settings", "@" }, {}, 1, "check the path and its permissions" },
        command_case { "Malformed", node, { "--settings", "@n.json" }, { { "n.json", "{\"name\":" } }, 1,
            "check it with a JSON parser" },
        command_case {
            "NotAnObject", node, { "--settings", "@n.json" }, { { "n.json", "[]" } }, 1, "must be a JSON object" },
        nodeCase("UnknownKey", R"({"nmae":"x"})", "field \"nmae\" is not known; remove it or correct its name"),
        nodeCase("NestedUnknownKey", R"({"admission":{"queue":1}})", "field \"queue\" is not known"),
        nodeCase("MissingKey", R"({"log":null})", "field \"log\" is missing; add it"),
        nodeCase("WrongType", R"({"http_port":"80"})", "field \"http_port\" must be an integer"),
        nodeCase("OutOfRange", R"({"peer_port":70000})", "field \"peer_port\" must be from 0 to 65535"),
        nodeCase("NestedOutOfRange", R"({"membership":{"lease_time_ms":1}})", "lease_time_ms"),
        nodeCase("HostName", R"({"host":"localhost"})", "field \"host\""),
        nodeCase("NoCharts", R"({"charts":"/nonexistent"})", "upstream.json"),
        nodeCase("ForeignAddress", R"({"host":"192.0.2.1"})", "192.0.2.1")),
    [](const testing::TestParamInfo<command_case>& parameter) { return std::string { parameter.param.name }; });

static const std::string entryText = R"({"name":"home_visits.book","service":"home_visits","operation":"book",)"
                                     R"("owner":"hyggesnak","class":"critical","deadline_ms":2000})";

[[nodiscard]] static command_case applyCase(
    const char* name, const std::string& file, int status, const std::string& text)
{
    return { name, ctl, { "--log", "127.0.0.1:1", "--operator", "anna", "--timeout", "1", "apply", "@e.json" },
        { { "e.json", file } }, status, text };
}

INSTANTIATE_TEST_SUITE_P(Control, command_line_test,
    testing::Values(command_case { "Help", ctl, { "--help" }, {}, 0, "usage: knapweedctl" },
        command_case { "NoCommand", ctl, {}, {}, 1, "no command given; see --help" },
        command_case { "UnknownCommand", ctl, { "--log", "127.0.0.1:1", "aply" }, {}, 1, "see --help" },
        command_case { "UnknownOption", ctl, { "--lgo", "x" }, {}, 1, "see --help" },
        command_case { "NoLog", ctl, { "get" }, {}, 1, "option --log is missing" },
        command_case { "NoNode", ctl, { "status" }, {}, 1, "needs --node" },
        command_case { "Timeout", ctl, { "--timeout", "0", "get" }, {}, 1, "from 1 to 86400" },
        command_case { "Operator", ctl, { "--log", "127.0.0.1:1", "--operator", "", "apply", "@e.json" },
            { { "e.json", entryText } }, 1, "name who makes the change" },
        command_case { "BaseVersion", ctl,
            { "--log", "127.0.0.1:1", "--operator", "a", "--base-version", "x", "remove", "home_visits.book" }, {}, 1,
            "or -1 for none" },
        command_case { "NoFile", ctl, { "--log", "127.0.0.1:1", "--operator", "a", "apply", "@none.json" }, {}, 1,
            "check the path and its permissions" },
        command_case { "Folder", ctl, { "--log", "127.0.0.1:1", "--operator", "a", "apply", "@" }, {}, 1,
            "check the path and its permissions" },
        applyCase("Malformed", "{", 1, "check it with a JSON parser"),
        applyCase("NoEntries", "[]", 1, "add at least one"),
        applyCase("EntryTwice", "[" + entryText + "," + entryText + "]", 1, "keep one of them"),
        applyCase("EntryWithoutName", "{}", 1, "add it"),
        applyCase("EntryNotAnObject", "[1]", 1, "must be a JSON object"),
        command_case { "LogNotThere", ctl, { "--log", "127.0.0.1:1", "--timeout", "1", "get" }, {}, 3, "check" },
        command_case { "LogNotAnAddress", ctl, { "--log", "here", "--timeout", "1", "get" }, {}, 3, "check" },
        command_case { "NodeNotThere", ctl, { "--node", "127.0.0.1:1", "--timeout", "1", "status" }, {}, 3,
            "check its HTTP address" },
        command_case { "DrainNotThere", ctl, { "--node", "127.0.0.1:1", "--timeout", "1", "drain" }, {}, 3,
            "knapweedctl status" }),
    [](const testing::TestParamInfo<command_case>& parameter) { return std::string { parameter.param.name }; });

[[nodiscard]] static command_case upstreamCase(const char* name, const std::string& file, const std::string& text)
{
    return { name, upstream, { "--settings", "@u.json" }, { { "u.json", file } }, 1, text };
}

INSTANTIATE_TEST_SUITE_P(StandIns, command_line_test,
    testing::Values(command_case { "LogHelp", logProgram, { "--help" }, {}, 0, "usage: knapweed-log" },
        command_case { "LogUnknownOption", logProgram, { "--retention", "1" }, {}, 1, "see --help" },
        command_case { "LogPort", logProgram, { "--port", "x" }, {}, 1, "--port must be an integer" },
        command_case { "LogRetention", logProgram, { "--retention-ms", "0" }, {}, 1, "must be from 1" },
        command_case { "LogUnknownKey", logProgram, { "--settings", "@l.json" }, { { "l.json", R"({"x":1})" } }, 1,
            "correct its name" },
        command_case { "UpstreamHelp", upstream, { "--help" }, {}, 0, "usage: knapweed-upstream" },
        command_case { "UpstreamNoSettings", upstream, {}, {}, 1, "--settings" },
        command_case {
            "UpstreamNoFile", upstream, { "--settings", "@none.json" }, {}, 1, "check the path and its permissions" },
        upstreamCase("UpstreamNoOperations", R"({"name":"u","service":"s"})", "at least one operation"),
        upstreamCase("UpstreamOperation", R"({"name":"u","service":"s","operations":{"a":{"spread":2}}})",
            "field \"spread\" must be from 0"),
        upstreamCase(
            "UpstreamUnknownKey", R"({"name":"u","service":"s","slot":1,"operations":{"a":{}}})", "correct its name")),
    [](const testing::TestParamInfo<command_case>& parameter) { return std::string { parameter.param.name }; });

/** @brief Patch that makes one chart invalid. */
struct chart_case {
    const char* name;
    std::string file;
    std::string patch; /*!< JSON merge patch; text that is not an object replaces the file. */
    std::string text; /*!< Expected part of the message, in addition to the file name. */
};

static std::ostream& operator<<(std::ostream& stream, const chart_case& value) { return stream << value.name; }

class chart_start_test : public testing::TestWithParam<chart_case> { };

// Guards against a node that starts with a chart it cannot run.
TEST_P(chart_start_test, IsAStartUpError)
{
    test_folder folder;
    for (const char* name : { "upstream.json", "peer_link.json", "keyed_call.json", "drain.json" })
        std::filesystem::copy_file(std::string { KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts/" } + name, folder.path(name));
    std::ifstream file { folder.path(GetParam().file) };
    nlohmann::json chart = nlohmann::json::parse(file);
    const nlohmann::json patch = nlohmann::json::parse(GetParam().patch, nullptr, false);
    if (patch.is_object())
        chart.merge_patch(patch);
    (void)folder.write(GetParam().file, patch.is_object() ? chart.dump() : GetParam().patch);
    const nlohmann::json charts = { { "charts", folder.path("") } };
    const std::string settings = folder.write("n.json", nodeSettings(charts.dump()));
    event_loop loop;
    http_exchanger http { loop };
    test_process process { folder, "program", node, { "--settings", settings, "--check" } };
    ASSERT_TRUE(http.waitUntil([&process] { return process.hasEnded(); }));
    EXPECT_EQ(process.exitStatus(), 1);
    EXPECT_NE(process.errors().find(GetParam().file), std::string::npos) << process.errors();
    EXPECT_NE(process.errors().find(GetParam().text), std::string::npos) << process.errors();
}

INSTANTIATE_TEST_SUITE_P(Table, chart_start_test,
    testing::Values(chart_case { "Malformed", "drain.json", "{", "JSON parser" },
        chart_case {
            "UnknownEvent", "drain.json", R"({"states":{"serving":{"on":{"go_away":"leaving"}}}})", "go_away" },
        chart_case {
            "MissingTarget", "keyed_call.json", R"({"states":{"reserved":{"on":{"refused":"nowhere"}}}})", "nowhere" },
        chart_case {
            "UnreachableState", "drain.json", R"({"states":{"waiting":{"on":{"calls_ended":"waiting"}}}})", "done" },
        chart_case { "MissingState", "peer_link.json", R"({"states":{"closed":null}})", "closed" },
        chart_case { "UnknownState", "upstream.json", R"({"states":{"asleep":{"final":true}}})", "asleep" }),
    [](const testing::TestParamInfo<chart_case>& parameter) { return std::string { parameter.param.name }; });

} // namespace knapweedcroft
