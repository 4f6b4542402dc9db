#include "knapweedcroft/wire/codec.hpp"

#include "knapweedcroft/wire/internal_cbor.hpp"

#include <algorithm>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t lengthBytes = 4;
static constexpr std::uint64_t maxClass = static_cast<std::uint64_t>(call_class::low);

// --- encoding

[[nodiscard]] static std::int64_t toWireDuration(milliseconds duration)
{
    return std::clamp(duration.microseconds(), -maxMicroseconds, maxMicroseconds);
}

[[nodiscard]] static std::int64_t toWireTime(time_point time)
{
    return std::clamp<std::int64_t>(time.sinceEpoch().microseconds(), 0, maxMicroseconds);
}

[[nodiscard]] static std::int64_t toWireOffset(std::int64_t offset)
{
    return std::clamp<std::int64_t>(offset, -1, maxOffset);
}

[[nodiscard]] static std::int64_t toWireStart(std::int64_t unixTime)
{
    return std::clamp<std::int64_t>(unixTime, 0, maxOffset);
}

struct outcome_writer {
    map_builder& header;

    void operator()(const answered& value) const
    {
        header.add("status", value.status).add("content_type", value.contentType);
    }
    void operator()(const refused_not_run& value) const
    {
        header.add("reason", toString(value.reason)).add("retry_after_us", toWireDuration(value.retryAfter));
        header.add("message", value.message);
    }
    void operator()(const failed_after_start& value) const { header.add("message", value.message); }
    void operator()(const outcome_unknown& value) const
    {
        header.add("retry_after_us", toWireDuration(value.retryAfter)).add("message", value.message);
    }
};

static void writeOutcome(map_builder& header, const call_result& outcome)
{
    header.add("result", kindName(outcome));
    std::visit(outcome_writer { header }, outcome);
}

[[nodiscard]] static wire_json toJson(priority value)
{
    return wire_json::array({ static_cast<std::uint64_t>(value.importance()), value.rank() });
}

[[nodiscard]] static wire_json toJson(const http_headers& headers)
{
    wire_json list = wire_json::array();
    for (const std::pair<std::string, std::string>& header : headers) {
        list.push_back(header.first);
        list.push_back(header.second);
    }
    return list;
}

static constexpr double partsPerMillion = 1e6;

[[nodiscard]] static std::uint64_t toPartsPerMillion(double ratio)
{
    return static_cast<std::uint64_t>(std::clamp(ratio, 0.0, 1.0) * partsPerMillion);
}

// Rates are transferred in thousandths of a request per second, and no part of a load exceeds 32 bits.
static constexpr double rateUnitsPerRequest = 1000.0;

[[nodiscard]] static std::uint64_t toRateUnits(double rate)
{
    return static_cast<std::uint64_t>(std::clamp(rate * rateUnitsPerRequest, 0.0, static_cast<double>(UINT32_MAX)));
}

[[nodiscard]] static std::uint64_t toLoadUnits(milliseconds duration)
{
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(duration.microseconds(), 0, UINT32_MAX));
}

[[nodiscard]] static wire_json toJson(const upstream_load& load)
{
    wire_json list = wire_json::array({ load.running, load.queued, load.slots, toLoadUnits(load.serviceTime) });
    if (load.rate) {
        list.push_back(toRateUnits(*load.rate));
        list.push_back(toLoadUnits(load.startDelay));
    }
    return list;
}

struct kind_namer {
    std::string_view operator()(const hello_message&) const { return "hello"; }
    std::string_view operator()(const call_request&) const { return "call"; }
    std::string_view operator()(const call_answer&) const { return "answer"; }
    std::string_view operator()(const cancel_message&) const { return "cancel"; }
    std::string_view operator()(const ping_message&) const { return "ping"; }
    std::string_view operator()(const pong_message&) const { return "pong"; }
    std::string_view operator()(const heartbeat_message&) const { return "heartbeat"; }
    std::string_view operator()(const state_change_message&) const { return "state_change"; }
    std::string_view operator()(const hand_over_message&) const { return "hand_over"; }
    std::string_view operator()(const hand_over_ack_message&) const { return "hand_over_ack"; }
    std::string_view operator()(const catch_up_request_message&) const { return "catch_up_request"; }
    std::string_view operator()(const catch_up_message&) const { return "catch_up"; }
    std::string_view operator()(const store_progress_message&) const { return "store_progress"; }
    std::string_view operator()(const forward_request&) const { return "fwd"; }
    std::string_view operator()(const forward_answer&) const { return "fwd_ans"; }
    std::string_view operator()(const upstream_status_message&) const { return "upstream"; }
    std::string_view operator()(const entry_callers_message&) const { return "entry_callers"; }
    std::string_view operator()(const service_times_message&) const { return "service_times"; }
    std::string_view operator()(const reported_notices_message&) const { return "reported_notices"; }
    std::string_view operator()(const crash_report_message&) const { return "crash_report"; }
    std::string_view operator()(const quarantine_message&) const { return "quarantine"; }
    std::string_view operator()(const forward_offer&) const { return "fwd_offer"; }
    std::string_view operator()(const forward_grant&) const { return "fwd_grant"; }
    std::string_view operator()(const forward_answer_offer&) const { return "fwd_ans_offer"; }
    std::string_view operator()(const forward_answer_grant&) const { return "fwd_ans_grant"; }
};

struct header_writer {
    wire_json operator()(const hello_message& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("node", value.node).add("incarnation", value.incarnation.value());
        header.add("service", value.service).add("data_centre", value.data_centre);
        header.add("peer_address", value.peerAddress).add("view_offset", toWireOffset(value.viewOffset));
        header.add("catalogue_offset", toWireOffset(value.catalogueOffset));
        if (value.grantsAnswers)
            header.add("grants_answers", true);
        return header.take();
    }

    wire_json operator()(const call_request& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("id", value.id.value()).add("action", value.action.value());
        header.add("entry", value.entry).add("class", static_cast<std::uint64_t>(value.importance));
        header.add("deadline_us", toWireDuration(value.deadline)).add("depth", value.depth);
        header.add("budget", value.budget).add("role", static_cast<std::uint64_t>(value.role));
        header.add("content_type", value.contentType);
        if (value.key)
            header.add("key", *value.key);
        return header.take();
    }

    wire_json operator()(const call_answer& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("id", value.id.value()).add("budget_left", value.budgetLeft);
        header.add("queue_us", toWireDuration(value.queueTime));
        writeOutcome(header, value.outcome);
        if (value.threshold) {
            header.add("threshold", toJson(*value.threshold));
            header.add("validity_us", toWireDuration(value.thresholdValidity));
        }
        if (!value.thresholds.empty()) {
            wire_json list = wire_json::array();
            for (const service_threshold& item : value.thresholds) {
                list.push_back({ { "service", item.service }, { "threshold", toJson(item.threshold) },
                    { "validity_us", toWireDuration(item.validity) } });
            }
            header.add("thresholds", std::move(list));
        }
        if (!value.touched.empty())
            header.add("touched", value.touched);
        return header.take();
    }

    // Traffic between data centres is expensive, so the fields of the most frequent messages have short names.
    wire_json operator()(const forward_request& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("id", value.id.value()).add("s", value.service);
        header.add("c", value.caller).add("e", value.entry).add("r", value.requestId);
        header.add("p", value.rank).add("a", value.hasAlternative);
        if (value.isRetry)
            header.add("n", true);
        header.add("d", toWireDuration(value.deadline)).add("t", toWireDuration(value.target));
        header.add("m", value.request.method).add("u", value.request.target);
        header.add("h", toJson(value.request.headers));
        return header.take();
    }

    wire_json operator()(const forward_answer& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("id", value.id.value());
        header.add("c", value.isCalledByUpstreamsOnly).add("o", toPartsPerMillion(value.admissionRatio));
        header.add("l", toJson(value.load)).add("u", toWireDuration(value.upstreamTime));
        if (!value.leavingUpstream.empty())
            header.add("v", value.leavingUpstream);
        if (const opaque_response* response = std::get_if<opaque_response>(&value.outcome))
            header.add("s", response->status).add("h", toJson(response->headers));
        if (const forward_refusal* refusal = std::get_if<forward_refusal>(&value.outcome)) {
            header.add("w", toString(refusal->reason)).add("y", toWireDuration(refusal->retryAfter));
            header.add("x", refusal->reachedUpstream).add("z", refusal->isFinal);
        }
        if (const forward_failure* failure = std::get_if<forward_failure>(&value.outcome))
            header.add("f", failure->message);
        return header.take();
    }

    wire_json operator()(const upstream_status_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "upstream", value.upstream },
            { "started_ms", toWireStart(value.startedAt) }, { "serving", value.isServing },
            { "leaving", value.isLeaving }, { "warm_up_us", toWireDuration(value.remainingWarmUp) },
            { "load", toJson(value.load) }, { "catalogue", toWireOffset(value.catalogueVersion) } };
    }

    wire_json operator()(const reported_notices_message& value) const
    {
        map_builder header;
        header.add("k", kind_namer {}(value)).add("upstream", value.upstream).add("leaving", value.isLeaving);
        header.add("started_ms", toWireStart(value.startedAt));
        if (value.rate)
            header.add("rate", toRateUnits(*value.rate));
        return header.take();
    }

    wire_json operator()(const crash_report_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "upstream", value.upstream }, { "digests", value.digests } };
    }

    wire_json operator()(const quarantine_message& value) const
    {
        wire_json entries = wire_json::array();
        for (const quarantine_entry& item : value.entries)
            entries.push_back(
                { { "d", item.digest }, { "n", item.crashes }, { "hold_us", toWireDuration(item.holdLeft) } });
        return { { "k", kind_namer {}(value) }, { "entries", std::move(entries) } };
    }

    wire_json operator()(const entry_callers_message& value) const
    {
        wire_json counts = wire_json::array();
        for (const entry_caller_count& item : value.counts)
            counts.push_back({ { "e", item.entry }, { "c", item.caller }, { "n", item.count } });
        return { { "k", kind_namer {}(value) }, { "counts", std::move(counts) } };
    }

    wire_json operator()(const service_times_message& value) const
    {
        wire_json times = wire_json::array();
        for (const entry_service_time& item : value.times)
            times.push_back({ { "e", item.entry }, { "us", toWireDuration(item.time) } });
        return { { "k", kind_namer {}(value) }, { "times", std::move(times) } };
    }

    wire_json operator()(const cancel_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "id", value.id.value() } };
    }
    wire_json operator()(const forward_offer& value) const
    {
        return { { "k", kind_namer {}(value) }, { "id", value.id.value() }, { "service", value.service },
            { "bytes", value.bodyBytes } };
    }
    wire_json operator()(const forward_grant& value) const
    {
        return { { "k", kind_namer {}(value) }, { "id", value.id.value() } };
    }
    wire_json operator()(const forward_answer_offer& value) const
    {
        return { { "k", kind_namer {}(value) }, { "id", value.id.value() }, { "bytes", value.bytes } };
    }
    wire_json operator()(const forward_answer_grant& value) const
    {
        return { { "k", kind_namer {}(value) }, { "id", value.id.value() } };
    }
    wire_json operator()(const ping_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "seq", value.sequence } };
    }
    wire_json operator()(const pong_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "seq", value.sequence } };
    }

    wire_json operator()(const heartbeat_message& value) const
    {
        wire_json header
            = { { "k", kind_namer {}(value) }, { "seq", value.sequence }, { "wall_us", toWireTime(value.wallTime) },
                  { "incarnation", value.incarnation.value() }, { "view_offset", toWireOffset(value.viewOffset) },
                  { "catalogue_offset", toWireOffset(value.catalogueOffset) },
                  { "state", static_cast<std::uint64_t>(value.state) } };
        if (value.grant) {
            header["lease_grant"] = { { "incarnation", value.grant->incarnation.value() },
                { "echo_seq", value.grant->echoSequence }, { "duration_us", toWireDuration(value.grant->duration) } };
        }
        if (!value.suspects.empty())
            header["suspects"] = value.suspects;
        return header;
    }

    wire_json operator()(const state_change_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "state", static_cast<std::uint64_t>(value.state) } };
    }

    wire_json operator()(const hand_over_message& value) const
    {
        wire_json header = { { "k", kind_namer {}(value) }, { "view_offset", toWireOffset(value.viewOffset) },
            { "complete", value.isComplete }, { "complete_since_us", toWireTime(value.completeSince) } };
        wire_json& entries = header["entries"] = wire_json::array();
        for (const key_record& record : value.records) {
            map_builder item;
            item.add("key", record.key).add("entry", record.entry).add("body_hash", record.bodyHash);
            item.add("window_us", toWireDuration(record.remainingWindow)).add("running", record.isRunning);
            writeOutcome(item, record.outcome);
            if (const answered* answer = std::get_if<answered>(&record.outcome))
                item.add("body", answer->body);
            entries.push_back(item.take());
        }
        return header;
    }

    wire_json operator()(const hand_over_ack_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "view_offset", toWireOffset(value.viewOffset) } };
    }

    wire_json operator()(const catch_up_request_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "catalogue_offset", toWireOffset(value.catalogueOffset) },
            { "membership_offset", toWireOffset(value.membershipOffset) } };
    }

    wire_json operator()(const catch_up_message& value) const
    {
        wire_json header
            = { { "k", kind_namer {}(value) }, { "catalogue", value.catalogue }, { "membership", value.membership },
                  { "era", value.storeEra }, { "membership_from", toWireOffset(value.membershipFrom) },
                  { "membership_offset", toWireOffset(value.membershipOffset) } };
        if (!value.withdrawn.empty())
            header["withdrawn"] = value.withdrawn;
        return header;
    }

    wire_json operator()(const store_progress_message& value) const
    {
        return { { "k", kind_namer {}(value) }, { "era", value.storeEra },
            { "catalogue", toWireOffset(value.catalogueVersion) },
            { "membership_offset", toWireOffset(value.membershipOffset) } };
    }
};

[[nodiscard]] static const std::string* bodyOf(const peer_message& message)
{
    if (const call_request* call = std::get_if<call_request>(&message))
        return &call->body;
    if (const forward_request* forward = std::get_if<forward_request>(&message))
        return &forward->request.body;
    if (const forward_answer* forwarded = std::get_if<forward_answer>(&message)) {
        const opaque_response* response = std::get_if<opaque_response>(&forwarded->outcome);
        return response == nullptr ? nullptr : &response->body;
    }
    const call_answer* answer = std::get_if<call_answer>(&message);
    const answered* outcome = answer == nullptr ? nullptr : std::get_if<answered>(&answer->outcome);
    return outcome == nullptr ? nullptr : &outcome->body;
}

static void storeLength(std::string& frame, std::size_t length)
{
    for (std::size_t index = 0; index < lengthBytes; ++index)
        frame[index] = static_cast<char>((length >> (8U * (lengthBytes - 1 - index))) & 0xFFU);
}

[[nodiscard]] static std::size_t loadLength(std::string_view frame)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index)
        length = (length << 8U) | static_cast<unsigned char>(frame[index]);
    return length;
}

// --- decoding

[[nodiscard]] static milliseconds readDuration(field_reader& reader, const char* field)
{
    return milliseconds::fromMicroseconds(reader.integer(field, -maxMicroseconds, maxMicroseconds));
}

[[nodiscard]] static time_point readTime(field_reader& reader, const char* field)
{
    return time_point { milliseconds::fromMicroseconds(reader.integer(field, 0, maxMicroseconds)) };
}

[[nodiscard]] static std::int64_t readOffset(field_reader& reader, const char* field)
{
    return reader.integer(field, -1, maxOffset);
}

[[nodiscard]] static std::uint32_t readCount(field_reader& reader, const char* field)
{
    return static_cast<std::uint32_t>(reader.unsignedInteger(field, UINT32_MAX));
}

[[nodiscard]] static node_state readState(field_reader& reader)
{
    return static_cast<node_state>(reader.unsignedInteger("state", static_cast<std::uint64_t>(node_state::gone)));
}

// Reads a list of maps, each with `read`.
template <typename Item>
[[nodiscard]] static std::vector<Item> readItems(field_reader& reader, const char* field, Item (*read)(field_reader&))
{
    std::vector<Item> items;
    for (const wire_json& item : reader.list(field)) {
        field_reader nested { item, field };
        items.push_back(read(nested));
        reader.mergeError(nested);
    }
    return items;
}

[[nodiscard]] static std::vector<std::string> readNames(field_reader& reader, const char* field)
{
    std::vector<std::string> names;
    for (const wire_json& item : reader.list(field)) {
        const std::string* text = item.get_ptr<const std::string*>();
        if (text == nullptr) {
            reader.fail(field, "a list of strings");
            return {};
        }
        names.push_back(*text);
    }
    return names;
}

[[nodiscard]] static priority readPriority(field_reader& reader, const char* field)
{
    const wire_json& value = reader.list(field);
    const bool isPair = value.size() == 2 && value[0].is_number_unsigned() && value[1].is_number_unsigned()
        && value[0].get<std::uint64_t>() <= maxClass;
    if (!isPair) {
        reader.fail(field, "a pair of class and rank");
        return {};
    }
    return priority { static_cast<call_class>(value[0].get<std::uint64_t>()), value[1].get<std::uint64_t>() };
}

[[nodiscard]] static refusal_reason readReason(field_reader& reader, const char* field)
{
    const std::string name = reader.text(field);
    for (std::uint8_t number = 0; number < UINT8_MAX; ++number) {
        const refusal_reason reason = static_cast<refusal_reason>(number);
        if (toString(reason) == name)
            return reason;
        if (toString(reason) == "unknown")
            break;
    }
    reader.fail(field, "the name of a refusal reason");
    return refusal_reason::overloaded;
}

[[nodiscard]] static call_result readOutcome(field_reader& reader, std::string&& body)
{
    const std::string kind = reader.text("result");
    if (kind == "answered") {
        const int status = static_cast<int>(reader.unsignedInteger("status", maxStatus));
        return answered { status, reader.text("content_type"), std::move(body) };
    }
    if (kind == "refused_not_run") {
        const refusal_reason reason = readReason(reader, "reason");
        const milliseconds retryAfter = readDuration(reader, "retry_after_us");
        return refused_not_run { reason, retryAfter, reader.text("message") };
    }
    if (kind == "failed_after_start")
        return failed_after_start { reader.text("message") };
    if (kind == "outcome_unknown") {
        const milliseconds retryAfter = readDuration(reader, "retry_after_us");
        return outcome_unknown { retryAfter, reader.text("message") };
    }
    reader.fail("result", "the name of a result kind");
    return failed_after_start {};
}

[[nodiscard]] static peer_message readHello(field_reader& reader, std::string&&)
{
    hello_message message;
    message.node = reader.text("node");
    message.incarnation = incarnation_id { reader.unsignedInteger("incarnation") };
    message.service = reader.text("service");
    message.data_centre = reader.text("data_centre");
    message.peerAddress = reader.text("peer_address");
    message.viewOffset = readOffset(reader, "view_offset");
    message.catalogueOffset = readOffset(reader, "catalogue_offset");
    message.grantsAnswers = reader.has("grants_answers") && reader.boolean("grants_answers");
    if (message.node.empty())
        reader.fail("node", "a name");
    return message;
}

[[nodiscard]] static peer_message readCall(field_reader& reader, std::string&& body)
{
    call_request message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.action = action_id { reader.unsignedInteger("action") };
    message.entry = reader.text("entry");
    message.importance = static_cast<call_class>(reader.unsignedInteger("class", maxClass));
    message.deadline = readDuration(reader, "deadline_us");
    message.depth = readCount(reader, "depth");
    message.budget = readCount(reader, "budget");
    message.role
        = static_cast<keyed_role>(reader.unsignedInteger("role", static_cast<std::uint64_t>(keyed_role::delegate)));
    message.contentType = reader.text("content_type");
    if (reader.has("key"))
        message.key = reader.text("key");
    if (message.role != keyed_role::none && !message.key)
        reader.fail("key", "present in a keyed call");
    message.body = std::move(body);
    return message;
}

[[nodiscard]] static service_threshold readThreshold(field_reader& reader)
{
    service_threshold threshold;
    threshold.service = reader.text("service");
    threshold.threshold = readPriority(reader, "threshold");
    threshold.validity = readDuration(reader, "validity_us");
    return threshold;
}

[[nodiscard]] static peer_message readCallAnswer(field_reader& reader, std::string&& body)
{
    call_answer message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.budgetLeft = readCount(reader, "budget_left");
    message.queueTime = readDuration(reader, "queue_us");
    const bool hasBody = !body.empty();
    message.outcome = readOutcome(reader, std::move(body));
    if (hasBody && !std::holds_alternative<answered>(message.outcome))
        reader.fail("result", "\"answered\" in a frame with a body");
    if (reader.has("threshold")) {
        message.threshold = readPriority(reader, "threshold");
        message.thresholdValidity = readDuration(reader, "validity_us");
    }
    message.thresholds = readItems(reader, "thresholds", &readThreshold);
    message.touched = readNames(reader, "touched");
    return message;
}

[[nodiscard]] static http_headers readHeaders(field_reader& reader)
{
    const std::vector<std::string> parts = readNames(reader, "h");
    if (parts.size() % 2 != 0) {
        reader.fail("h", "a list of names and values");
        return {};
    }
    http_headers headers;
    for (std::size_t index = 0; index < parts.size(); index += 2)
        headers.emplace_back(parts[index], parts[index + 1]);
    return headers;
}

[[nodiscard]] static upstream_load readLoad(field_reader& reader, const char* field)
{
    constexpr std::size_t fieldCount = 4;
    constexpr std::size_t fieldCountWithRate = 6;
    const wire_json& list = reader.list(field);
    upstream_load load;
    for (const wire_json& item : list) {
        if (!item.is_number_unsigned() || item.get<std::uint64_t>() > UINT32_MAX) {
            reader.fail(field, "a list of four or six numbers");
            return load;
        }
    }
    if (list.size() != fieldCount && list.size() != fieldCountWithRate) {
        reader.fail(field, "a list of four or six numbers");
        return load;
    }
    load.running = list[0].get<std::uint32_t>();
    load.queued = list[1].get<std::uint32_t>();
    load.slots = list[2].get<std::uint32_t>();
    load.serviceTime = milliseconds::fromMicroseconds(list[3].get<std::int64_t>());
    if (list.size() == fieldCountWithRate) {
        load.rate = list[4].get<double>() / rateUnitsPerRequest;
        load.startDelay = milliseconds::fromMicroseconds(list[5].get<std::int64_t>());
    }
    return load;
}

[[nodiscard]] static peer_message readForward(field_reader& reader, std::string&& body)
{
    forward_request message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.service = reader.text("s");
    message.caller = reader.text("c");
    message.entry = reader.text("e");
    message.requestId = reader.text("r");
    message.rank = readCount(reader, "p");
    message.hasAlternative = reader.boolean("a");
    message.isRetry = reader.has("n") && reader.boolean("n");
    message.deadline = readDuration(reader, "d");
    message.target = readDuration(reader, "t");
    message.request.method = reader.text("m");
    message.request.target = reader.text("u");
    message.request.headers = readHeaders(reader);
    message.request.body = std::move(body);
    return message;
}

[[nodiscard]] static forward_outcome readForwardOutcome(field_reader& reader, std::string&& body)
{
    if (reader.has("s")) {
        opaque_response response;
        response.status = static_cast<int>(reader.unsignedInteger("s", maxStatus));
        response.headers = readHeaders(reader);
        response.body = std::move(body);
        return response;
    }
    if (reader.has("w")) {
        forward_refusal refusal;
        refusal.reason = readReason(reader, "w");
        refusal.retryAfter = readDuration(reader, "y");
        refusal.reachedUpstream = reader.boolean("x");
        refusal.isFinal = reader.boolean("z");
        return refusal;
    }
    return forward_failure { reader.text("f") };
}

[[nodiscard]] static peer_message readForwardAnswer(field_reader& reader, std::string&& body)
{
    forward_answer message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.isCalledByUpstreamsOnly = reader.boolean("c");
    message.admissionRatio
        = static_cast<double>(reader.unsignedInteger("o", static_cast<std::uint64_t>(partsPerMillion)))
        / partsPerMillion;
    message.load = readLoad(reader, "l");
    message.upstreamTime = readDuration(reader, "u");
    if (reader.has("v"))
        message.leavingUpstream = reader.text("v");
    const bool hasBody = !body.empty();
    message.outcome = readForwardOutcome(reader, std::move(body));
    if (hasBody && !std::holds_alternative<opaque_response>(message.outcome))
        reader.fail("s", "present in a frame with a body");
    return message;
}

[[nodiscard]] static peer_message readUpstreamStatus(field_reader& reader, std::string&&)
{
    upstream_status_message message;
    message.upstream = reader.text("upstream");
    message.startedAt = reader.integer("started_ms", 0, maxOffset);
    message.isServing = reader.boolean("serving");
    message.isLeaving = reader.boolean("leaving");
    message.remainingWarmUp = readDuration(reader, "warm_up_us");
    message.load = readLoad(reader, "load");
    message.catalogueVersion = reader.integer("catalogue", -1, maxOffset);
    return message;
}

[[nodiscard]] static entry_caller_count readCallerCount(field_reader& reader)
{
    entry_caller_count count;
    count.entry = reader.text("e");
    count.caller = reader.text("c");
    count.count = readCount(reader, "n");
    return count;
}

[[nodiscard]] static peer_message readEntryCallers(field_reader& reader, std::string&&)
{
    return entry_callers_message { readItems(reader, "counts", &readCallerCount) };
}

[[nodiscard]] static entry_service_time readServiceTime(field_reader& reader)
{
    entry_service_time time;
    time.entry = reader.text("e");
    time.time = readDuration(reader, "us");
    return time;
}

[[nodiscard]] static peer_message readServiceTimes(field_reader& reader, std::string&&)
{
    return service_times_message { readItems(reader, "times", &readServiceTime) };
}

[[nodiscard]] static peer_message readReportedNotices(field_reader& reader, std::string&&)
{
    reported_notices_message message;
    message.upstream = reader.text("upstream");
    message.isLeaving = reader.boolean("leaving");
    message.startedAt = reader.integer("started_ms", 0, maxOffset);
    if (reader.has("rate"))
        message.rate = static_cast<double>(reader.unsignedInteger("rate", UINT32_MAX)) / rateUnitsPerRequest;
    return message;
}

[[nodiscard]] static peer_message readCrashReport(field_reader& reader, std::string&&)
{
    crash_report_message message;
    message.upstream = reader.text("upstream");
    for (const wire_json& item : reader.list("digests")) {
        if (!item.is_number_unsigned()) {
            reader.fail("digests", "a list of numbers");
            return message;
        }
        message.digests.push_back(item.get<std::uint64_t>());
    }
    return message;
}

[[nodiscard]] static quarantine_entry readQuarantineEntry(field_reader& reader)
{
    quarantine_entry entry;
    entry.digest = reader.unsignedInteger("d");
    entry.crashes = readCount(reader, "n");
    entry.holdLeft = readDuration(reader, "hold_us");
    return entry;
}

[[nodiscard]] static peer_message readQuarantine(field_reader& reader, std::string&&)
{
    return quarantine_message { readItems(reader, "entries", &readQuarantineEntry) };
}

[[nodiscard]] static peer_message readForwardOffer(field_reader& reader, std::string&&)
{
    forward_offer message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.service = reader.text("service");
    message.bodyBytes = reader.unsignedInteger("bytes");
    return message;
}

[[nodiscard]] static peer_message readForwardGrant(field_reader& reader, std::string&&)
{
    return forward_grant { call_id { reader.unsignedInteger("id") } };
}

[[nodiscard]] static peer_message readForwardAnswerOffer(field_reader& reader, std::string&&)
{
    forward_answer_offer message;
    message.id = call_id { reader.unsignedInteger("id") };
    message.bytes = reader.unsignedInteger("bytes");
    return message;
}

[[nodiscard]] static peer_message readForwardAnswerGrant(field_reader& reader, std::string&&)
{
    return forward_answer_grant { call_id { reader.unsignedInteger("id") } };
}

[[nodiscard]] static peer_message readCancel(field_reader& reader, std::string&&)
{
    return cancel_message { call_id { reader.unsignedInteger("id") } };
}

[[nodiscard]] static peer_message readPing(field_reader& reader, std::string&&)
{
    return ping_message { reader.unsignedInteger("seq") };
}

[[nodiscard]] static peer_message readPong(field_reader& reader, std::string&&)
{
    return pong_message { reader.unsignedInteger("seq") };
}

[[nodiscard]] static peer_message readHeartbeat(field_reader& reader, std::string&&)
{
    heartbeat_message message;
    message.sequence = reader.unsignedInteger("seq");
    message.wallTime = readTime(reader, "wall_us");
    message.incarnation = incarnation_id { reader.unsignedInteger("incarnation") };
    message.viewOffset = readOffset(reader, "view_offset");
    message.catalogueOffset = readOffset(reader, "catalogue_offset");
    message.state = readState(reader);
    message.suspects = readNames(reader, "suspects");
    if (reader.has("lease_grant")) {
        field_reader nested { reader.child("lease_grant"), "lease_grant" };
        lease_grant grant;
        grant.incarnation = incarnation_id { nested.unsignedInteger("incarnation") };
        grant.echoSequence = nested.unsignedInteger("echo_seq");
        grant.duration = readDuration(nested, "duration_us");
        reader.mergeError(nested);
        message.grant = grant;
    }
    return message;
}

[[nodiscard]] static peer_message readStateChange(field_reader& reader, std::string&&)
{
    return state_change_message { readState(reader) };
}

[[nodiscard]] static key_record readRecord(field_reader& reader)
{
    key_record record;
    record.key = reader.text("key");
    record.entry = reader.text("entry");
    record.bodyHash = reader.unsignedInteger("body_hash");
    record.remainingWindow = readDuration(reader, "window_us");
    record.isRunning = reader.boolean("running");
    std::string body = reader.has("body") ? reader.text("body") : std::string {};
    record.outcome = readOutcome(reader, std::move(body));
    return record;
}

[[nodiscard]] static peer_message readHandOver(field_reader& reader, std::string&&)
{
    hand_over_message message;
    message.viewOffset = readOffset(reader, "view_offset");
    message.isComplete = reader.boolean("complete");
    message.completeSince = readTime(reader, "complete_since_us");
    message.records = readItems(reader, "entries", &readRecord);
    return message;
}

[[nodiscard]] static peer_message readHandOverAck(field_reader& reader, std::string&&)
{
    return hand_over_ack_message { readOffset(reader, "view_offset") };
}

[[nodiscard]] static peer_message readCatchUpRequest(field_reader& reader, std::string&&)
{
    catch_up_request_message message;
    message.catalogueOffset = readOffset(reader, "catalogue_offset");
    message.membershipOffset = readOffset(reader, "membership_offset");
    return message;
}

[[nodiscard]] static peer_message readCatchUp(field_reader& reader, std::string&&)
{
    catch_up_message message;
    message.catalogue = reader.text("catalogue");
    message.membership = reader.text("membership");
    message.storeEra = reader.unsignedInteger("era");
    message.membershipFrom = readOffset(reader, "membership_from");
    message.membershipOffset = readOffset(reader, "membership_offset");
    message.withdrawn = readNames(reader, "withdrawn");
    return message;
}

[[nodiscard]] static peer_message readStoreProgress(field_reader& reader, std::string&&)
{
    store_progress_message message;
    message.storeEra = reader.unsignedInteger("era");
    message.catalogueVersion = readOffset(reader, "catalogue");
    message.membershipOffset = readOffset(reader, "membership_offset");
    return message;
}

struct message_kind {
    std::string_view kind;
    peer_message (*read)(field_reader&, std::string&&);
    bool mayHaveBody;
};

static constexpr message_kind messageKinds[] = { { "call", &readCall, true }, { "answer", &readCallAnswer, true },
    { "cancel", &readCancel, false }, { "ping", &readPing, false }, { "pong", &readPong, false },
    { "heartbeat", &readHeartbeat, false }, { "hello", &readHello, false }, { "state_change", &readStateChange, false },
    { "hand_over", &readHandOver, false }, { "hand_over_ack", &readHandOverAck, false },
    { "catch_up_request", &readCatchUpRequest, false }, { "catch_up", &readCatchUp, false },
    { "store_progress", &readStoreProgress, false }, { "fwd", &readForward, true },
    { "fwd_ans", &readForwardAnswer, true }, { "upstream", &readUpstreamStatus, false },
    { "entry_callers", &readEntryCallers, false }, { "service_times", &readServiceTimes, false },
    { "reported_notices", &readReportedNotices, false }, { "crash_report", &readCrashReport, false },
    { "quarantine", &readQuarantine, false }, { "fwd_offer", &readForwardOffer, false },
    { "fwd_grant", &readForwardGrant, false }, { "fwd_ans_offer", &readForwardAnswerOffer, false },
    { "fwd_ans_grant", &readForwardAnswerGrant, false } };

struct frame_parts {
    wire_json header;
    std::string_view body;
};

[[nodiscard]] static result<frame_parts> separate(std::string_view frame)
{
    if (frame.size() < lengthBytes || frame.size() > maxFrameBytes)
        return error { error_kind::malformed_frame,
            "the frame size is outside the limits of 4 bytes to 16 MiB; split the message" };
    const std::size_t length = loadLength(frame);
    frame.remove_prefix(lengthBytes);
    if (length > frame.size())
        return error { error_kind::malformed_frame,
            "the frame is truncated within its header; send the complete frame" };
    result<wire_json> header = parseCborMap(frame.substr(0, length));
    if (!hasValue(header))
        return errorOf(header);
    return frame_parts { valueOf(std::move(header)), frame.substr(length) };
}

[[nodiscard]] static result<peer_message> decodeParts(const wire_json& header, std::string_view body)
{
    field_reader reader { header, "frame" };
    const std::string kind = reader.text("k");
    if (reader.fault())
        return *reader.fault();
    for (const message_kind& entry : messageKinds) {
        if (entry.kind != kind)
            continue;
        if (!entry.mayHaveBody && !body.empty())
            reader.fail("k", "the kind of a message with a body");
        peer_message message = entry.read(reader, std::string { body });
        if (reader.fault())
            return *reader.fault();
        if (const std::optional<error> excess = findExcess(message))
            return *excess;
        return message;
    }
    return error { error_kind::unknown_message, "unknown message kind; run the same version on both nodes" };
}

} // namespace internal

std::string_view kindOf(const peer_message& message) { return std::visit(internal::kind_namer {}, message); }

result<std::string> encode(const peer_message& message)
{
    if (const std::optional<error> excess = findExcess(message))
        return *excess;
    const internal::wire_json header = std::visit(internal::header_writer {}, message);
    constexpr std::size_t typicalHeaderBytes = 400;
    const std::string* body = internal::bodyOf(message);
    std::string frame;
    frame.reserve(typicalHeaderBytes + (body == nullptr ? 0 : body->size()));
    frame.assign(internal::lengthBytes, '\0');
    internal::wire_json::to_cbor(header, frame);
    internal::storeLength(frame, frame.size() - internal::lengthBytes);
    if (body != nullptr)
        frame.append(*body);
    if (frame.size() > maxFrameBytes)
        return error { error_kind::malformed_frame,
            "the frame has " + std::to_string(frame.size()) + " bytes; send at most " + std::to_string(maxFrameBytes) };
    return frame;
}

result<peer_message> decode(std::string_view frame)
{
    const result<internal::frame_parts> parts = internal::separate(frame);
    if (!hasValue(parts))
        return errorOf(parts);
    return internal::decodeParts(valueOf(parts).header, valueOf(parts).body);
}

std::optional<message_subject> subjectOfFrame(std::string_view frame)
{
    const result<internal::frame_parts> parts = internal::separate(frame);
    if (!hasValue(parts))
        return std::nullopt;
    internal::field_reader reader { valueOf(parts).header, "frame" };
    message_subject subject;
    subject.kind = reader.text("k");
    if (reader.fault())
        return std::nullopt;
    const std::uint64_t call = reader.unsignedInteger("id");
    if (!reader.fault())
        subject.call = call_id { call };
    return subject;
}

} // namespace knapweedcroft
