#include "fake_store.hpp"

#include <websocketpp/base64/base64.hpp>

#include <algorithm>
#include <utility>

namespace knapweedcroft::platform {

namespace internal {

[[nodiscard]] static std::string topicOf(const http_request& request)
{
    return findQueryParameter(request, "Topic").value_or("");
}

[[nodiscard]] static std::string encodeOffset(std::size_t value)
{
    constexpr unsigned bits = 8;
    std::string bytes;
    for (unsigned shift = 8 * bits; shift > 0; shift -= bits)
        bytes.push_back(static_cast<char>((value >> (shift - bits)) & 0xFFU));
    return bytes;
}

} // namespace internal

fake_store::fake_store(event_loop& loop, const std::string& host, std::uint16_t port)
    : m_loop { loop }
    , m_server { loop, http_server_settings {} }
{
    m_server.route(http_method::get, "/knapweedcroft/log-newest",
        [this](std::uint64_t id, const http_request& request) { onSnapshot(id, request); });
    m_server.route(http_method::get, "/knapweedcroft/log-read",
        [this](std::uint64_t id, const http_request& request) { onRead(id, request); });
    m_server.route(http_method::post, "/knapweedcroft/log-append",
        [this](std::uint64_t id, const http_request& request) { onAppend(id, request); });
    m_address = valueOf(m_server.listen(host, port));
}

void fake_store::append(const std::string& topic, const keyed_record& record)
{
    appendWithoutNotify(topic, record);
    std::vector<pending_read> pendingReads;
    pendingReads.swap(m_topics[topic].pendingReads);
    for (const pending_read& read : pendingReads)
        respondToRead(read.id, m_topics[topic], read.from);
}

void fake_store::truncateAll()
{
    for (std::pair<const std::string, topic_log>& item : m_topics)
        item.second.firstOffset = item.second.records.size();
}

void fake_store::onSnapshot(std::uint64_t id, const http_request& request)
{
    ++snapshotCalls;
    if (injectFailure(id))
        return;
    const topic_log& log = m_topics[internal::topicOf(request)];
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < log.records.size(); ++offset)
        newest[log.records[offset].key] = offset;
    nlohmann::json items = nlohmann::json::array();
    for (const std::pair<const std::string, std::size_t>& item : newest) {
        const keyed_record& record = log.records[item.second];
        if (!record.value.empty())
            items.push_back({ { "Key", record.key }, { "Value", websocketpp::base64_encode(record.value) },
                { "Offset", item.second } });
    }
    const nlohmann::json body
        = { { "items", std::move(items) }, { "More", false }, { "EndOffset", log.records.size() } };
    answer(id, jsonResponse(200, body.dump()));
}

void fake_store::onRead(std::uint64_t id, const http_request& request)
{
    ++readCalls;
    const std::int64_t wait = std::stol(findQueryParameter(request, "WaitMs").value_or("0"));
    lastReadWaitMs = wait;
    if (injectFailure(id))
        return;
    const std::string name = internal::topicOf(request);
    topic_log& log = m_topics[name];
    const std::size_t from = std::stoul(findQueryParameter(request, "From").value_or("0"));
    if (from < log.firstOffset || from > log.records.size()) {
        answer(id, jsonResponse(410, "{\"First\":" + std::to_string(log.firstOffset) + "}"));
        return;
    }
    if (from < log.records.size()) {
        respondToRead(id, log, from);
        return;
    }
    // The pending read owns the timer, so it is removed only after the timer's callback has returned.
    std::unique_ptr<loop_timer> timeout = std::make_unique<loop_timer>(
        m_loop, [this, name, id] { m_loop.post([this, name, id] { onReadTimeout(name, id); }); });
    timeout->start(milliseconds { wait });
    log.pendingReads.push_back(pending_read { id, from, std::move(timeout) });
}

void fake_store::onReadTimeout(const std::string& name, std::uint64_t id)
{
    topic_log& log = m_topics[name];
    const auto position = std::find_if(
        log.pendingReads.begin(), log.pendingReads.end(), [id](const pending_read& read) { return read.id == id; });
    if (position == log.pendingReads.end())
        return;
    respondToRead(id, log, position->from);
    log.pendingReads.erase(position);
}

void fake_store::respondToRead(std::uint64_t id, const topic_log& log, std::size_t from)
{
    http_response response;
    response.body = internal::encodeOffset(log.records.size()) + internal::encodeOffset(log.firstOffset);
    for (std::size_t offset = from; offset < log.records.size(); ++offset)
        response.body += encodeRecord(log.records[offset]);
    answer(id, response);
}

void fake_store::onAppend(std::uint64_t id, const http_request& request)
{
    ++appendCalls;
    if (injectFailure(id))
        return;
    if (appendDelay) {
        m_delayedAppends.push_back(
            std::make_unique<loop_timer>(m_loop, [this, request] { static_cast<void>(runAppend(request)); }));
        m_delayedAppends.back()->start(*std::exchange(appendDelay, std::nullopt));
        return;
    }
    const http_response response = runAppend(request);
    if (appendsWithoutResponse > 0) {
        --appendsWithoutResponse;
        return;
    }
    answer(id, response);
}

// Each producer here uses sequence 0 in each of its epochs, so an append of the latest epoch is a repeat.
http_response fake_store::runAppend(const http_request& request)
{
    const std::string name = internal::topicOf(request);
    bool isRepeat = false;
    if (const std::optional<std::string> producer = findQueryParameter(request, "Producer")) {
        const std::uint64_t epoch = std::stoull(findQueryParameter(request, "epoch").value_or("0"));
        std::uint64_t& latest = m_topics[name].epochs[*producer];
        if (epoch < latest) {
            ++fencedAppends;
            return jsonResponse(409, R"({"why":"fenced"})");
        }
        isRepeat = epoch == latest;
        latest = epoch;
    }
    appendedBodies.push_back(request.body);
    const result<record_batch> sent
        = decodeRecordBatch(internal::encodeOffset(0) + internal::encodeOffset(0) + request.body);
    if (hasValue(sent) && !isRepeat) {
        for (const keyed_record& record : valueOf(sent).records)
            append(name, record);
    }
    return jsonResponse(200, "{\"Offset\":0,\"EndOffset\":" + std::to_string(size(name)) + "}");
}

void fake_store::answer(std::uint64_t id, http_response response)
{
    if (era)
        response.headers.emplace_back("Store-Era", *era);
    m_server.answer(id, response);
}

void fake_store::startEra()
{
    era = std::to_string(std::stoull(era.value_or("0")) + 1);
    for (std::pair<const std::string, topic_log>& item : m_topics) {
        item.second.firstOffset = std::min(item.second.firstOffset, item.second.records.size());
        std::vector<pending_read> pendingReads;
        pendingReads.swap(item.second.pendingReads);
        for (const pending_read& read : pendingReads)
            answer(read.id, jsonResponse(503, "{}"));
    }
}

void fake_store::restoreOlderCopy(const std::string& topic, std::size_t count)
{
    topic_log& log = m_topics[topic];
    log.records.resize(log.records.size() - count);
    log.appendedAt.resize(log.records.size());
    startEra();
}

void fake_store::restoreOlderCopy(milliseconds age)
{
    const time_point copied = m_clock.now() - age;
    for (std::pair<const std::string, topic_log>& item : m_topics) {
        topic_log& log = item.second;
        while (!log.records.empty() && log.appendedAt.back() > copied) {
            log.records.pop_back();
            log.appendedAt.pop_back();
        }
    }
    startEra();
}

bool fake_store::injectFailure(std::uint64_t id)
{
    if (ignoresRequests)
        return true;
    if (failureStatus)
        answer(id, jsonResponse(*failureStatus, "{}"));
    return failureStatus.has_value();
}

} // namespace knapweedcroft::platform
