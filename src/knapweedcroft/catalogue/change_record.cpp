#include "knapweedcroft/catalogue/change_record.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxChangeIdBytes = 64;
static constexpr std::size_t maxOperatorBytes = 128;
static constexpr std::int64_t maxOffset = std::numeric_limits<std::int64_t>::max() - 1;

[[nodiscard]] static bool isChangeId(std::string_view text) noexcept
{
    const auto isVisible = [](char character) { return character > ' ' && character <= '~'; };
    return !text.empty() && text.size() <= maxChangeIdBytes && std::all_of(text.begin(), text.end(), isVisible);
}

[[nodiscard]] static bool isOperatorName(std::string_view text) noexcept
{
    return text.size() <= maxOperatorBytes && text.find_first_not_of(" \t\r\n") != std::string_view::npos;
}

[[nodiscard]] static nlohmann::json entryOrNull(const std::optional<catalogue_entry>& entry)
{
    return entry ? entry->toJson() : nlohmann::json {};
}

struct record_formatter {
    nlohmann::json operator()(const change_record& change) const
    {
        nlohmann::json object = { { "type", "change" }, { "change_id", change.changeId },
            { "operator", change.operatorName }, { "base_version", change.baseVersion }, { "name", change.name } };
        if (change.entry)
            object["entry"] = change.entry->toJson();
        else
            object["removal"] = true;
        return object;
    }

    nlohmann::json operator()(const snapshot_record& snapshot) const
    {
        nlohmann::json versions = nlohmann::json::array();
        for (const entry_version& version : snapshot.versions)
            versions.push_back({ { "name", version.name }, { "version", version.version },
                { "change_id", version.changeId }, { "operator", version.operatorName },
                { "time_ms", version.wallTime.sinceEpoch().whole() }, { "entry", entryOrNull(version.entry) } });
        return { { "type", "snapshot" }, { "up_to", snapshot.upTo }, { "versions", std::move(versions) } };
    }
};

// The base version is checked for the name in the record; an entry with another name would change an unchecked entry.
[[nodiscard]] static std::optional<catalogue_entry> readEntry(
    json_reader& reader, const nlohmann::json& object, const std::string& name)
{
    result<catalogue_entry> entry = catalogue_entry::fromJson(object, "entry", unknown_fields::ignored);
    if (!hasValue(entry)) {
        reader.fail(errorOf(entry).kind, errorOf(entry).message);
        return std::nullopt;
    }
    if (valueOf(entry).name() != name)
        reader.fail(error_kind::invalid_value, "field \"name\" must be the name of the entry in the record");
    return valueOf(std::move(entry));
}

[[nodiscard]] static result<catalogue_record> readChange(json_reader& reader)
{
    change_record change;
    change.changeId = reader.string("change_id");
    if (!isChangeId(change.changeId))
        reader.fail(error_kind::invalid_value, "field \"change_id\" must be 1 to 64 visible ASCII characters");
    change.operatorName = reader.string("operator");
    if (!isOperatorName(change.operatorName))
        reader.fail(
            error_kind::invalid_value, "field \"operator\" must name who made the change, in at most 128 bytes");
    change.baseVersion = reader.integer("base_version", noVersion, maxOffset);
    change.name = reader.string("name");
    if (change.name.empty())
        reader.fail(error_kind::invalid_value, "field \"name\" must be the name of an entry");
    const bool isRemoval = reader.boolean("removal", false);
    const nlohmann::json& entry = reader.child("entry");
    if (isRemoval != entry.is_null())
        reader.fail(error_kind::invalid_value, "the record must have either an \"entry\" or \"removal\": true");
    else if (!isRemoval)
        change.entry = readEntry(reader, entry, change.name);
    if (std::optional<error> failure = reader.finishLenient())
        return *std::move(failure);
    return catalogue_record { std::move(change) };
}

[[nodiscard]] static result<entry_version> readVersion(const nlohmann::json& object, std::int64_t upTo)
{
    json_reader reader { object, "snapshot version" };
    entry_version version;
    version.name = reader.string("name");
    version.version = reader.integer("version", 0, upTo - 1);
    version.changeId = reader.string("change_id");
    version.operatorName = reader.string("operator");
    version.wallTime = time_point { milliseconds { reader.integer("time_ms", 0, maxOffset / 1000) } };
    const nlohmann::json& entry = reader.child("entry");
    if (!entry.is_null())
        version.entry = readEntry(reader, entry, version.name);
    if (std::optional<error> failure = reader.finishLenient())
        return *std::move(failure);
    return version;
}

[[nodiscard]] static result<catalogue_record> readSnapshot(json_reader& reader)
{
    snapshot_record snapshot;
    snapshot.upTo = reader.integer("up_to", 0, maxOffset);
    const nlohmann::json& versions = reader.child("versions");
    if (!versions.is_array())
        reader.fail(error_kind::wrong_type, "field \"versions\" must be a list");
    if (std::optional<error> failure = reader.finishLenient())
        return *std::move(failure);
    std::set<std::string> names;
    for (const nlohmann::json& item : versions) {
        result<entry_version> version = readVersion(item, snapshot.upTo);
        if (!hasValue(version))
            return errorOf(version);
        if (!names.insert(valueOf(version).name).second)
            return error { error_kind::invalid_value, "snapshot: entry " + valueOf(version).name + " occurs twice" };
        snapshot.versions.push_back(valueOf(std::move(version)));
    }
    return catalogue_record { std::move(snapshot) };
}

} // namespace internal

std::string formatRecord(const catalogue_record& record)
{
    // With the default error handler, `dump` throws on invalid UTF-8.
    return std::visit(internal::record_formatter {}, record)
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<catalogue_record> parseRecord(std::string_view payload)
{
    const result<nlohmann::json> document = parseJson(payload, "record");
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), "record" };
    const std::string type = reader.string("type");
    if (type == "change")
        return internal::readChange(reader);
    if (type == "snapshot")
        return internal::readSnapshot(reader);
    reader.fail(error_kind::invalid_value, "field \"type\" must be change or snapshot");
    return *reader.finishLenient();
}

std::string findChangeId(std::string_view payload)
{
    const result<nlohmann::json> document = parseJson(payload, "record");
    if (!hasValue(document))
        return {};
    json_reader reader { valueOf(document), "record" };
    std::string changeId = reader.string("change_id", "");
    return internal::isChangeId(changeId) ? changeId : std::string {};
}

} // namespace knapweedcroft
