#include "knapweedcroft/gateway/node_directory.hpp"

#include "knapweedcroft/core/json_reader.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t maxTextBytes = 1024; // Names and addresses are shorter; copies hold them for all nodes.

[[nodiscard]] static nlohmann::json toJson(const directory_record& record)
{
    const upstream_announcement& upstream = record.upstream;
    nlohmann::json object = { { "node", record.node }, { "peer_address", record.peerAddress },
        { "data_centre", record.data_centre }, { "written_ms", record.writtenAt }, { "service", upstream.service },
        { "upstream", upstream.incarnation.id }, { "started_ms", upstream.incarnation.startedAt },
        { "address", upstream.address }, { "slots", upstream.slots },
        { "serving", upstream.state == upstream_state::serving } };
    if (record.storeEra != 0)
        object["store_era"] = record.storeEra;
    for (const upstream_incarnation& departed : record.departed)
        object["departed"].push_back({ { "upstream", departed.id }, { "started_ms", departed.startedAt } });
    if (record.isWithdrawn)
        object["withdrawn"] = true;
    return object;
}

[[nodiscard]] static std::string readText(json_reader& reader, std::string_view field)
{
    std::string text = reader.string(field);
    if (text.size() > maxTextBytes)
        reader.fail(error_kind::out_of_range,
            "field \"" + std::string { field } + "\" must have at most " + std::to_string(maxTextBytes) + " bytes");
    return text;
}

static void readDeparted(json_reader& reader, directory_record& record)
{
    const nlohmann::json& list = reader.child("departed");
    if (list.is_null())
        return;
    if (!list.is_array() || list.size() > directory_record::maxDeparted) {
        reader.fail(error_kind::wrong_type,
            "field \"departed\" must be a list of at most " + std::to_string(directory_record::maxDeparted));
        return;
    }
    for (const nlohmann::json& item : list) {
        json_reader entry { item, "departed upstream" };
        upstream_incarnation departed { readText(entry, "upstream"), entry.integer("started_ms", 0, INT64_MAX) };
        if (const std::optional<error> fault = entry.finishLenient())
            reader.fail(fault->kind, fault->message);
        record.departed.push_back(std::move(departed));
    }
}

[[nodiscard]] static result<directory_record> fromJson(const nlohmann::json& object)
{
    json_reader reader { object, "directory record" };
    directory_record record;
    record.node = readText(reader, "node");
    record.peerAddress = readText(reader, "peer_address");
    const result<host_port> address = parseHostPort(record.peerAddress);
    if (!hasValue(address))
        reader.fail(error_kind::invalid_value, "field \"peer_address\": " + errorOf(address).message);
    record.data_centre = readText(reader, "data_centre");
    record.writtenAt = reader.integer("written_ms", 0, INT64_MAX / 2);
    record.upstream.service = readText(reader, "service");
    record.upstream.incarnation.id = readText(reader, "upstream");
    record.upstream.incarnation.startedAt = reader.integer("started_ms", 0, INT64_MAX / 2);
    record.upstream.address = readText(reader, "address");
    record.upstream.slots = static_cast<std::uint32_t>(reader.integer("slots", 0, directory_record::maxSlots));
    record.storeEra = static_cast<std::uint64_t>(reader.integer("store_era", 0, INT64_MAX, 0));
    record.isWithdrawn = reader.boolean("withdrawn", false);
    readDeparted(reader, record);
    record.upstream.data_centre = record.data_centre;
    record.upstream.state = reader.boolean("serving", false) ? upstream_state::serving : upstream_state::draining;
    if (const std::optional<error> fault = reader.finishLenient())
        return *fault;
    return record;
}

} // namespace internal

std::string directory_record::format() const { return internal::toJson(*this).dump(); }

result<directory_record> directory_record::parse(std::string_view text)
{
    const result<nlohmann::json> document = parseJson(text, "directory record");
    if (!hasValue(document))
        return errorOf(document);
    return internal::fromJson(valueOf(document));
}

// The store keeps records of removed hosts, whose addresses may be reused by other hosts.
bool node_directory::isAddressInUse(const directory_record& record) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&record](const std::pair<const node_name, known_node>& item) {
        return item.second.isLinked && item.first != record.node
            && item.second.record.peerAddress == record.peerAddress;
    });
}

bool node_directory::apply(const directory_record& record)
{
    for (const upstream_incarnation& departed : record.departed)
        m_departed.insert(departed);
    if (record.isWithdrawn) {
        keepWithdrawn(record);
        const bool wasKnown = m_nodes.count(record.node) != 0;
        withdraw(record.node);
        return wasKnown;
    }
    m_withdrawn.erase(record.node);
    if (isAddressInUse(record))
        return false;
    known_node& known = m_nodes[record.node];
    const upstream_incarnation& before = known.record.upstream.incarnation;
    const upstream_incarnation& after = record.upstream.incarnation;
    const bool isOlder = after.startedAt < before.startedAt
        || (after.startedAt == before.startedAt && record.writtenAt < known.record.writtenAt);
    if (isOlder)
        return false;
    // A status received on the link is more recent than a record in the store, which may even be from an older copy.
    if (known.isLinked && known.status && after.startedAt <= before.startedAt) {
        known.record.writtenAt = record.writtenAt;
        known.record.storeEra = record.storeEra;
        known.record.departed = record.departed;
        return std::exchange(known.record.peerAddress, record.peerAddress) != record.peerAddress;
    }
    const bool isServing = record.upstream.state == upstream_state::serving && !isLeaving(after);
    const bool isChanged
        = before != after || known.record.peerAddress != record.peerAddress || known.isServing != isServing;
    known.record = record;
    known.isServing = isServing;
    return isChanged;
}

void node_directory::keepWithdrawn(const directory_record& record)
{
    if (m_withdrawn.size() >= maxWithdrawn)
        m_withdrawn.erase(m_withdrawn.begin());
    m_withdrawn[record.node] = record;
}

void node_directory::withdraw(const node_name& node)
{
    const auto position = m_nodes.find(node);
    if (position != m_nodes.end() && !position->second.isLinked)
        m_nodes.erase(position);
}

std::vector<node_name> node_directory::removeReplacedNodes(const node_name& node)
{
    std::vector<node_name> removed;
    const auto current = m_nodes.find(node);
    if (current == m_nodes.end())
        return removed;
    for (auto position = m_nodes.begin(); position != m_nodes.end();) {
        const known_node& known = position->second;
        const bool isReplaced
            = position != current && !known.isLinked && known.record.peerAddress == current->second.record.peerAddress;
        if (isReplaced)
            removed.push_back(position->first);
        position = isReplaced ? m_nodes.erase(position) : std::next(position);
    }
    return removed;
}

void node_directory::onLinkOpened(const hello_message& hello)
{
    known_node& known = m_nodes[hello.node];
    known.isLinked = true;
    known.isSuspected = false;
    known.record.node = hello.node;
    known.record.data_centre = hello.data_centre;
    if (!hello.peerAddress.empty())
        known.record.peerAddress = hello.peerAddress;
    known.record.upstream.service = hello.service;
}

void node_directory::onLinkClosed(const node_name& node)
{
    const auto position = m_nodes.find(node);
    if (position == m_nodes.end())
        return;
    position->second.isLinked = false;
    position->second.isSuspected = false;
    position->second.status.reset();
}

void node_directory::setSuspected(const node_name& node, bool isSuspected)
{
    const auto position = m_nodes.find(node);
    if (position != m_nodes.end())
        position->second.isSuspected = isSuspected;
}

bool node_directory::updateStatus(const node_name& node, const upstream_status_message& status, time_point now)
{
    const auto position = m_nodes.find(node);
    if (position == m_nodes.end())
        return false;
    known_node& known = position->second;
    upstream_incarnation& incarnation = known.record.upstream.incarnation;
    const upstream_incarnation reported { status.upstream, status.startedAt };
    const bool isServing = status.isServing && !isLeaving(reported);
    const bool isChanged = incarnation != reported || known.isServing != isServing;
    incarnation = reported;
    known.record.upstream.slots = status.load.slots;
    known.record.upstream.state = isServing ? upstream_state::serving : upstream_state::draining;
    known.isServing = isServing;
    known.status = status;
    known.loadReceivedAt = now;
    return isChanged;
}

void node_directory::updateLoad(const node_name& node, const upstream_load& load, bool isFromUpstream, time_point now)
{
    const auto position = m_nodes.find(node);
    if (position == m_nodes.end() || !position->second.status)
        return;
    position->second.status->load = load;
    position->second.loadReceivedAt = now;
    if (!isFromUpstream)
        return;
    position->second.namedRate.reset();
    if (load.rate)
        position->second.namedRate = named_rate { position->second.status->upstream, *load.rate };
}

std::optional<reported_notices_message> node_directory::noticesFor(const node_name& node) const
{
    const known_node* known = find(node);
    if (known == nullptr)
        return std::nullopt;
    reported_notices_message message;
    const upstream_incarnation& upstream = known->record.upstream.incarnation;
    message.upstream = upstream.id;
    message.startedAt = upstream.startedAt;
    message.isLeaving = isLeaving(upstream);
    if (known->namedRate && known->namedRate->upstream == message.upstream)
        message.rate = known->namedRate->rate;
    return message.isLeaving || message.rate ? std::optional { message } : std::nullopt;
}

void node_directory::markNotServing(const node_name& node)
{
    const auto position = m_nodes.find(node);
    if (position != m_nodes.end())
        position->second.isServing = false;
}

upstream_incarnation node_directory::incarnationOf(const node_name& node, const std::string& upstream) const
{
    const known_node* known = find(node);
    const bool isKnown = known != nullptr && known->record.upstream.incarnation.id == upstream;
    return isKnown ? known->record.upstream.incarnation : upstream_incarnation { upstream, 0 };
}

bool node_directory::isLeaving(const upstream_incarnation& upstream) const { return m_departed.contains(upstream); }

void node_directory::markLeaving(const node_name& node, const upstream_incarnation& upstream)
{
    const auto position = m_nodes.find(node);
    if (position != m_nodes.end() && position->second.record.upstream.incarnation == upstream) {
        position->second.isServing = false;
        position->second.record.upstream.state = upstream_state::draining;
        std::vector<upstream_incarnation>& departed = position->second.record.departed;
        const bool isListed = std::find(departed.begin(), departed.end(), upstream) != departed.end();
        if (!isListed && departed.size() < directory_record::maxDeparted)
            departed.push_back(upstream);
    }
    m_departed.insert(upstream);
}

const known_node* node_directory::find(const node_name& node) const
{
    const auto position = m_nodes.find(node);
    return position == m_nodes.end() ? nullptr : &position->second;
}

std::vector<const known_node*> node_directory::nodesOfService(const service_name& service) const
{
    std::vector<const known_node*> nodes;
    for (const std::pair<const node_name, known_node>& item : m_nodes) {
        if (item.second.record.upstream.service == service)
            nodes.push_back(&item.second);
    }
    return nodes;
}

std::string node_directory::format() const
{
    std::vector<directory_record> records;
    for (const std::pair<const node_name, known_node>& item : m_nodes) {
        if (!item.second.record.peerAddress.empty())
            records.push_back(item.second.record);
    }
    for (const std::pair<const node_name, directory_record>& item : m_withdrawn)
        records.push_back(item.second);
    return formatRecords(records);
}

std::string node_directory::formatRecords(const std::vector<directory_record>& records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const directory_record& record : records)
        list.push_back(internal::toJson(record));
    return list.dump();
}

result<std::vector<directory_record>> node_directory::parseRecords(std::string_view text)
{
    const result<nlohmann::json> document = parseJson(text, "directory snapshot from a peer");
    if (!hasValue(document))
        return errorOf(document);
    if (!valueOf(document).is_array())
        return error { error_kind::wrong_type, "directory snapshot from a peer: must be a list of records" };
    std::vector<directory_record> records;
    for (const nlohmann::json& item : valueOf(document)) {
        const result<directory_record> record = internal::fromJson(item);
        if (hasValue(record))
            records.push_back(valueOf(record));
    }
    return records;
}

} // namespace knapweedcroft
