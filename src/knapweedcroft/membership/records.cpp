#include "knapweedcroft/membership/records.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

using json = nlohmann::json;

[[nodiscard]] static json memberToJson(const member& value)
{
    return { { "node", value.node }, { "incarnation", toHex(value.incarnation.value()) }, { "service", value.service },
        { "data_centre", value.data_centre }, { "peer_address", value.peerAddress } };
}

[[nodiscard]] static incarnation_id readIncarnation(json_reader& reader)
{
    const std::optional<std::uint64_t> value = parseHex(reader.string("incarnation"));
    if (!value)
        reader.fail(error_kind::invalid_value, "field \"incarnation\" must be 16 lower-case hexadecimal digits");
    return incarnation_id { value.value_or(0) };
}

[[nodiscard]] static std::string readName(json_reader& reader, std::string_view field)
{
    std::string name = reader.string(field);
    if (name.empty())
        reader.fail(error_kind::invalid_value, "field \"" + std::string { field } + "\" must not be empty");
    return name;
}

[[nodiscard]] static member readMember(json_reader& reader)
{
    return { readName(reader, "node"), readIncarnation(reader), readName(reader, "service"),
        reader.string("data_centre"), reader.string("peer_address") };
}

/** @brief Reads a nested object and reports its error to the parent reader. */
template <typename ReadItem>
static void readChild(json_reader& parent, const json& object, const char* context, ReadItem read)
{
    json_reader reader { object, context };
    read(reader);
    if (const std::optional<error> found = reader.finish())
        parent.fail(found->kind, found->message);
}

template <typename ReadItem>
static void readList(json_reader& parent, std::string_view field, const char* context, ReadItem read)
{
    const json& list = parent.child(field);
    if (!list.is_array()) {
        parent.fail(error_kind::wrong_type, "field \"" + std::string { field } + "\" must be a list");
        return;
    }
    for (const json& item : list)
        readChild(parent, item, context, read);
}

[[nodiscard]] static view_change_kind readChangeKind(json_reader& reader)
{
    const std::string name = reader.string("kind");
    for (const view_change_kind kind : { view_change_kind::join, view_change_kind::new_incarnation,
             view_change_kind::refresh, view_change_kind::leave, view_change_kind::evict }) {
        if (name == toString(kind))
            return kind;
    }
    reader.fail(error_kind::invalid_value, "field \"kind\" must be join, new_incarnation, refresh, leave or evict");
    return view_change_kind::join;
}

[[nodiscard]] static json entryToJson(const view_entry& entry)
{
    json members = json::array();
    for (const member& value : entry.view.members)
        members.push_back(memberToJson(value));
    return { { "offset", entry.view.offset }, { "kind", std::string { toString(entry.kind) } },
        { "changed", memberToJson(entry.changed) }, { "time_ms", entry.wallTime.sinceEpoch().whole() },
        { "members", std::move(members) } };
}

[[nodiscard]] static view_entry readEntry(json_reader& reader, const service_name& service)
{
    view_entry entry;
    entry.view.service = service;
    entry.view.offset = reader.integer("offset", 0, INT64_MAX);
    entry.kind = readChangeKind(reader);
    entry.wallTime = time_point { milliseconds { reader.integer("time_ms", 0, INT64_MAX / 1000) } };
    readChild(reader, reader.child("changed"), "changed",
        [&entry](json_reader& child) { entry.changed = readMember(child); });
    readList(
        reader, "members", "member", [&entry](json_reader& child) { entry.view.members.push_back(readMember(child)); });
    const bool isOrdered = std::adjacent_find(entry.view.members.begin(), entry.view.members.end(),
                               [](const member& lhs, const member& rhs) { return !(lhs.node < rhs.node); })
        == entry.view.members.end();
    if (!isOrdered)
        reader.fail(error_kind::invalid_value, "field \"members\" must be sorted by node name without duplicates");
    return entry;
}

[[nodiscard]] static json historyToJson(const service_history& history)
{
    json views = json::array();
    for (const view_entry& entry : history.entries)
        views.push_back(entryToJson(entry));
    return { { "service", history.current().service }, { "is_from_genesis", history.isFromGenesis },
        { "views", std::move(views) } };
}

[[nodiscard]] static service_history readHistory(json_reader& reader)
{
    service_history history;
    const service_name service = readName(reader, "service");
    history.isFromGenesis = reader.boolean("is_from_genesis", false);
    readList(reader, "views", "view",
        [&history, &service](json_reader& child) { history.entries.push_back(readEntry(child, service)); });
    const bool isAscending
        = std::adjacent_find(history.entries.begin(), history.entries.end(),
              [](const view_entry& lhs, const view_entry& rhs) { return lhs.view.offset >= rhs.view.offset; })
        == history.entries.end();
    if (history.entries.empty() || !isAscending)
        reader.fail(
            error_kind::invalid_value, "field \"views\" must be a non-empty list of views with ascending offsets");
    return history;
}

struct record_formatter {
    json operator()(const join_record& record) const
    {
        json object = memberToJson(record.joined);
        object["type"] = "join";
        return object;
    }

    json operator()(const leave_record& record) const
    {
        return { { "type", "leave" }, { "node", record.node }, { "incarnation", toHex(record.incarnation.value()) } };
    }

    json operator()(const evict_record& record) const
    {
        return { { "type", "evict" }, { "node", record.node }, { "incarnation", toHex(record.incarnation.value()) },
            { "view_offset", record.viewOffset } };
    }

    json operator()(const views_snapshot_record& record) const
    {
        json services = json::array();
        for (const service_history& history : record.services)
            services.push_back(historyToJson(history));
        return { { "type", "snapshot" }, { "next_offset", record.nextOffset }, { "is_complete", record.isComplete },
            { "services", std::move(services) } };
    }
};

[[nodiscard]] static membership_record readRecord(json_reader& reader)
{
    const std::string type = reader.string("type");
    if (type == "join")
        return join_record { readMember(reader) };
    if (type == "leave")
        return leave_record { readName(reader, "node"), readIncarnation(reader) };
    if (type == "evict")
        return evict_record { readName(reader, "node"), readIncarnation(reader),
            reader.integer("view_offset", 0, INT64_MAX) };
    views_snapshot_record snapshot;
    if (type != "snapshot") {
        reader.fail(error_kind::invalid_value, "field \"type\" must be join, leave, evict or snapshot");
        return snapshot;
    }
    snapshot.nextOffset = reader.integer("next_offset", 0, INT64_MAX);
    snapshot.isComplete = reader.boolean("is_complete", false);
    readList(reader, "services", "service",
        [&snapshot](json_reader& child) { snapshot.services.push_back(readHistory(child)); });
    for (const service_history& history : snapshot.services) {
        if (!history.entries.empty() && history.current().offset >= snapshot.nextOffset)
            reader.fail(error_kind::invalid_value,
                "the current view of each service must have an offset below \"next_offset\"");
    }
    return snapshot;
}

} // namespace internal

std::string formatRecord(const membership_record& record)
{
    return std::visit(internal::record_formatter {}, record).dump();
}

result<membership_record> parseRecord(const std::string& payload)
{
    const result<nlohmann::json> document = parseJson(payload, "membership record");
    if (!hasValue(document))
        return errorOf(document);
    json_reader reader { valueOf(document), "membership record" };
    membership_record record = internal::readRecord(reader);
    if (const std::optional<error> found = reader.finish())
        return *found;
    return record;
}

} // namespace knapweedcroft
