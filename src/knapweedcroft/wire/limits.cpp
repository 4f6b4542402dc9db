#include "knapweedcroft/wire/limits.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace knapweedcroft {

namespace internal {

// Keeps the first field that is beyond its limit.
class excess_finder {
public:
    [[nodiscard]] const std::optional<error>& fault() const noexcept { return m_fault; }

    void operator()(const hello_message& value)
    {
        text("node", value.node);
        text("service", value.service);
        text("data_centre", value.data_centre);
        text("peer_address", value.peerAddress);
    }
    void operator()(const call_request& value)
    {
        text("entry", value.entry);
        if (value.key)
            text("key", *value.key);
        text("content_type", value.contentType);
    }
    void operator()(const call_answer& value)
    {
        outcome(value.outcome);
        count("thresholds", value.thresholds.size());
        for (const service_threshold& item : value.thresholds)
            text("thresholds", item.service);
        names("touched", value.touched);
    }
    void operator()(const heartbeat_message& value) { names("suspects", value.suspects); }
    void operator()(const hand_over_message& value)
    {
        count("entries", value.records.size());
        for (const key_record& record : value.records) {
            text("key", record.key);
            text("entry", record.entry);
            outcome(record.outcome);
        }
    }
    void operator()(const catch_up_message& value) { names("withdrawn", value.withdrawn); }
    void operator()(const forward_request& value)
    {
        text("s", value.service);
        text("c", value.caller);
        text("e", value.entry);
        const opaque_request& request = value.request;
        head(value.requestId.size() + request.method.size() + request.target.size(), request.headers);
    }
    void operator()(const forward_answer& value)
    {
        text("v", value.leavingUpstream);
        if (const opaque_response* response = std::get_if<opaque_response>(&value.outcome)) {
            status("s", response->status);
            head(0, response->headers);
        }
        if (const forward_failure* failure = std::get_if<forward_failure>(&value.outcome))
            text("f", failure->message);
    }
    void operator()(const forward_offer& value) { text("service", value.service); }
    void operator()(const upstream_status_message& value) { text("upstream", value.upstream); }
    void operator()(const entry_callers_message& value)
    {
        count("counts", value.counts.size());
        for (const entry_caller_count& item : value.counts) {
            text("e", item.entry);
            text("c", item.caller);
        }
    }
    void operator()(const service_times_message& value)
    {
        count("times", value.times.size());
        for (const entry_service_time& item : value.times)
            text("e", item.entry);
    }
    void operator()(const reported_notices_message& value) { text("upstream", value.upstream); }
    void operator()(const crash_report_message& value)
    {
        text("upstream", value.upstream);
        count("digests", value.digests.size());
    }
    void operator()(const quarantine_message& value) { count("entries", value.entries.size()); }
    // The other messages have numbers only.
    void operator()(const cancel_message&) { }
    void operator()(const ping_message&) { }
    void operator()(const pong_message&) { }
    void operator()(const state_change_message&) { }
    void operator()(const hand_over_ack_message&) { }
    void operator()(const catch_up_request_message&) { }
    void operator()(const store_progress_message&) { }
    void operator()(const forward_grant&) { }
    void operator()(const forward_answer_offer&) { }
    void operator()(const forward_answer_grant&) { }

private:
    void check(std::string_view field, std::size_t size, std::size_t limit, std::string_view unit)
    {
        if (size <= limit || m_fault)
            return;
        std::string message { "field \"" };
        message.append(field).append("\" has ").append(std::to_string(size)).append(" ").append(unit);
        message.append("; send at most ").append(std::to_string(limit));
        m_fault = error { error_kind::malformed_frame, std::move(message) };
    }

    void text(std::string_view field, const std::string& value) { check(field, value.size(), maxTextBytes, "bytes"); }
    void count(std::string_view field, std::size_t items) { check(field, items, maxListItems, "items"); }

    void names(std::string_view field, const std::vector<std::string>& values)
    {
        count(field, values.size());
        for (const std::string& value : values)
            text(field, value);
    }

    void head(std::size_t startLineBytes, const http_headers& headers)
    {
        constexpr std::size_t lineOverhead = 4;
        std::size_t bytes = startLineBytes;
        for (const std::pair<std::string, std::string>& header : headers)
            bytes += header.first.size() + header.second.size() + lineOverhead;
        check("h", bytes, maxHeadBytes, "bytes");
    }

    void status(std::string_view field, int value)
    {
        if ((value >= 0 && value <= maxStatus) || m_fault)
            return;
        m_fault = error { error_kind::malformed_frame,
            "field \"" + std::string { field } + "\" is " + std::to_string(value) + "; send a status of 0 to 999" };
    }

    void outcome(const call_result& value)
    {
        if (const answered* answer = std::get_if<answered>(&value)) {
            status("status", answer->status);
            text("content_type", answer->contentType);
        } else if (const refused_not_run* refusal = std::get_if<refused_not_run>(&value)) {
            text("message", refusal->message);
        } else if (const failed_after_start* failure = std::get_if<failed_after_start>(&value)) {
            text("message", failure->message);
        } else if (const outcome_unknown* unknown = std::get_if<outcome_unknown>(&value)) {
            text("message", unknown->message);
        }
    }

    std::optional<error> m_fault;
};

template <typename Message, typename Item>
[[nodiscard]] static std::vector<peer_message> splitItems(const std::vector<Item>& items)
{
    std::vector<peer_message> parts;
    if (items.size() <= maxItemsPerReport)
        return parts;
    for (std::size_t first = 0; first < items.size(); first += maxItemsPerReport) {
        const std::size_t last = std::min(items.size(), first + maxItemsPerReport);
        parts.emplace_back(Message { std::vector<Item>(
            items.begin() + static_cast<std::ptrdiff_t>(first), items.begin() + static_cast<std::ptrdiff_t>(last)) });
    }
    return parts;
}

} // namespace internal

std::optional<error> findExcess(const peer_message& message)
{
    internal::excess_finder finder;
    std::visit(finder, message);
    return finder.fault();
}

std::vector<peer_message> splitReport(const peer_message& message)
{
    if (const entry_callers_message* callers = std::get_if<entry_callers_message>(&message))
        return internal::splitItems<entry_callers_message>(callers->counts);
    if (const service_times_message* times = std::get_if<service_times_message>(&message))
        return internal::splitItems<service_times_message>(times->times);
    return {};
}

} // namespace knapweedcroft
