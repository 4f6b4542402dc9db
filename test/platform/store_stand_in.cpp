#include "store_stand_in.hpp"

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

store_stand_in::store_stand_in(event_loop& loop, const std::string& host, std::uint16_t port)
    : m_loop { loop }
    , m_server { loop, http_server_settings {} }
{
    m_server.route(http_method::get, "/knapweedcroft/log-newest",
        [this](std::uint64_t id, const http_request& request) { onNewest(id, request); });
    m_server.route(http_method::get, "/knapweedcroft/log-read",
        [this](std::uint64_t id, const http_request& request) { onRead(id, request); });
    m_server.route(http_method::post, "/knapweedcroft/log-append",
        [this](std::uint64_t id, const http_request& request) { onAppend(id, request); });
    m_address = valueOf(m_server.listen(host, port));
}

void store_stand_in::append(const std::string& topic, const keyed_record& record)
{
    m_topics[topic].records.push_back(record);
    std::vector<waiting_read> waiting;
    waiting.swap(m_topics[topic].waiting);
    for (const waiting_read& read : waiting)
        answerRead(read.id, m_topics[topic], read.from);
}

void store_stand_in::forgetAll()
{
    for (std::pair<const std::string, topic_log>& item : m_topics)
        item.second.first = item.second.records.size();
}

void store_stand_in::onNewest(std::uint64_t id, const http_request& request)
{
    ++newestCalls;
    if (fail(id))
        return;
    const topic_log& source = m_topics[internal::topicOf(request)];
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < source.records.size(); ++offset)
        newest[source.records[offset].key] = offset;
    nlohmann::json items = nlohmann::json::array();
    for (const std::pair<const std::string, std::size_t>& item : newest) {
        const keyed_record& record = source.records[item.second];
        if (!record.value.empty())
            items.push_back({ { "Key", record.key }, { "Value", websocketpp::base64_encode(record.value) },
                { "Offset", item.second } });
    }
    const nlohmann::json body
        = { { "items", std::move(items) }, { "More", false }, { "EndOffset", source.records.size() } };
    m_server.answer(id, jsonResponse(200, body.dump()));
}

void store_stand_in::onRead(std::uint64_t id, const http_request& request)
{
    ++readCalls;
    if (fail(id))
        return;
    const std::string name = internal::topicOf(request);
    topic_log& source = m_topics[name];
    const std::size_t from = std::stoul(findQueryParameter(request, "From").value_or("0"));
    if (from < source.first) {
        m_server.answer(id, jsonResponse(410, "{\"First\":" + std::to_string(source.first) + "}"));
        return;
    }
    if (from < source.records.size()) {
        answerRead(id, source, from);
        return;
    }
    const std::int64_t wait = std::stol(findQueryParameter(request, "WaitMs").value_or("0"));
    // The timer ends with the wait, so the wait is ended after the timer's callback has returned.
    std::unique_ptr<loop_timer> limit = std::make_unique<loop_timer>(
        m_loop, [this, name, id] { m_loop.post([this, name, id] { endWait(name, id); }); });
    limit->start(milliseconds { wait });
    source.waiting.push_back(waiting_read { id, from, std::move(limit) });
}

void store_stand_in::endWait(const std::string& name, std::uint64_t id)
{
    topic_log& source = m_topics[name];
    const auto position = std::find_if(
        source.waiting.begin(), source.waiting.end(), [id](const waiting_read& read) { return read.id == id; });
    if (position == source.waiting.end())
        return;
    answerRead(id, source, position->from);
    source.waiting.erase(position);
}

void store_stand_in::answerRead(std::uint64_t id, const topic_log& source, std::size_t from)
{
    http_response response;
    response.body = internal::encodeOffset(source.records.size()) + internal::encodeOffset(source.first);
    for (std::size_t offset = from; offset < source.records.size(); ++offset)
        response.body += encodeRecord(source.records[offset]);
    m_server.answer(id, response);
}

void store_stand_in::onAppend(std::uint64_t id, const http_request& request)
{
    ++appendCalls;
    if (fail(id))
        return;
    const std::string name = internal::topicOf(request);
    appended.push_back(request.body);
    const result<keyed_records> sent
        = decodeRecords(internal::encodeOffset(0) + internal::encodeOffset(0) + request.body);
    if (hasValue(sent)) {
        for (const keyed_record& record : valueOf(sent).records)
            append(name, record);
    }
    if (lostAppends > 0) {
        --lostAppends;
        return;
    }
    m_server.answer(id, jsonResponse(200, "{\"Offset\":0,\"EndOffset\":" + std::to_string(size(name)) + "}"));
}

bool store_stand_in::fail(std::uint64_t id)
{
    if (failure)
        m_server.answer(id, jsonResponse(*failure, "{}"));
    return failure.has_value();
}

} // namespace knapweedcroft::platform
