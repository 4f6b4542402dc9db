#include "knapweedcroft/settings/command_line.hpp"

#include <nlohmann/json.hpp>

#include <getopt.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>

namespace knapweedcroft {

namespace internal {

// Each option gets a distinct code: getopt_long accepts an abbreviation that is ambiguous between options with the same
// code, such as --retention, as the first of them.
static constexpr int firstOptionCode = 1000;

[[nodiscard]] static std::vector<option> toLongOptions(const std::vector<option_spec>& specs)
{
    std::vector<option> options;
    options.reserve(specs.size() + 1);
    for (const option_spec& spec : specs) {
        const int code = firstOptionCode + static_cast<int>(options.size());
        options.push_back({ spec.name.c_str(), spec.value.empty() ? no_argument : required_argument, nullptr, code });
    }
    options.push_back({ nullptr, 0, nullptr, 0 });
    return options;
}

[[nodiscard]] static error optionError(int code, const std::string& text)
{
    if (code == ':')
        return error { error_kind::command_line, "option " + text + " requires a value; see --help" };
    return error { error_kind::command_line, "option " + text + " is unknown or takes no value; see --help" };
}

} // namespace internal

std::string command_line::value(const std::string& name, const std::string& fallback) const
{
    const auto position = options.find(name);
    return position == options.end() ? fallback : position->second;
}

result<command_line> parseCommandLine(
    const std::vector<std::string>& arguments, const std::vector<option_spec>& options)
{
    const std::vector<option> longOptions = internal::toLongOptions(options);
    std::vector<std::string> argumentCopies = arguments;
    std::vector<char*> argumentPointers;
    argumentPointers.reserve(argumentCopies.size() + 1);
    for (std::string& text : argumentCopies)
        argumentPointers.push_back(text.data());
    argumentPointers.push_back(nullptr);
    const int count = static_cast<int>(argumentCopies.size());
    command_line parsed;
    opterr = 0;
    optind = 0; // Resets glibc's parser, because tests parse several command lines.
    int index = 0;
    // NOLINTNEXTLINE(concurrency-mt-unsafe): command lines are parsed by one thread
    for (int code = 0; (code = getopt_long(count, argumentPointers.data(), ":", longOptions.data(), &index)) != -1;) {
        if (code < internal::firstOptionCode)
            return internal::optionError(code, argumentPointers[static_cast<std::size_t>(optind - 1)]);
        parsed.options[options[static_cast<std::size_t>(index)].name] = optarg == nullptr ? "" : optarg;
    }
    for (std::size_t position = static_cast<std::size_t>(optind); position < argumentCopies.size(); ++position)
        parsed.arguments.emplace_back(argumentPointers[position]);
    return parsed;
}

std::string formatOptions(const std::vector<option_spec>& options)
{
    constexpr std::size_t helpColumn = 30;
    std::string text;
    for (const option_spec& spec : options) {
        std::string line = "  --" + spec.name + (spec.value.empty() ? "" : " " + spec.value);
        line.resize(std::max(line.size() + 1, helpColumn), ' ');
        text += line + spec.help + "\n";
    }
    return text;
}

std::optional<std::int64_t> parseInteger(const std::string& text, std::int64_t minValue, std::int64_t maxValue) noexcept
{
    std::int64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isFullyParsed = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
    return isFullyParsed && value >= minValue && value <= maxValue ? std::optional<std::int64_t> { value }
                                                                   : std::nullopt;
}

std::string formatReadyLine(const std::string& name, const std::string& http, const std::string& peer)
{
    nlohmann::json line = { { "ready", true }, { "name", name }, { "pid", getpid() }, { "http", http } };
    if (!peer.empty())
        line["peer"] = peer;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace knapweedcroft
