#include "knapweedcroft/control/change_publisher.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr milliseconds rereadDelay { 200 };
static constexpr milliseconds retryDelay { 500 };

} // namespace internal

std::string_view toString(publish_verdict verdict) noexcept
{
    switch (verdict) {
    case publish_verdict::accepted:
        return "accepted";
    case publish_verdict::unchanged:
        return "unchanged";
    case publish_verdict::voided:
        return "void";
    case publish_verdict::rejected:
        return "rejected";
    case publish_verdict::unavailable:
        return "unavailable";
    case publish_verdict::unknown:
        return "unknown";
    }
    return "unknown";
}

change_publisher::change_publisher(change_request request)
    : m_request { std::move(request) }
{
}

publish_step change_publisher::begin() const { return read_stream {}; }

publish_report change_publisher::report(publish_verdict verdict, std::int64_t version, std::string message) const
{
    return { verdict, m_request.name, m_request.changeId, version, std::move(message) };
}

publish_step change_publisher::handleStreamRead(const catalogue_state& state)
{
    if (m_payload.empty())
        return prepareFirstAppend(state);
    const change_outcome* outcome = state.outcomeOf(m_request.changeId);
    if (outcome != nullptr && outcome->isAccepted())
        return report(publish_verdict::accepted, outcome->offset, "");
    if (outcome != nullptr)
        return report(publish_verdict::voided, state.version(m_request.name), outcome->voided->message);
    if (m_isStored)
        return read_stream { internal::rereadDelay };
    if (m_appends >= maxAppends)
        return reportAbandoned();
    return append();
}

publish_step change_publisher::prepareFirstAppend(const catalogue_state& state)
{
    const std::int64_t currentVersion = state.version(m_request.name);
    if (state.hasGap())
        return report(publish_verdict::rejected, currentVersion,
            "older records were removed from the log and it contains no snapshot; wait until a node has appended one");
    const catalogue_entry* entry = state.find(m_request.name);
    const bool isUpToDate = entry == nullptr ? !m_request.entry : m_request.entry && *m_request.entry == *entry;
    if (isUpToDate && currentVersion == m_request.baseVersion.value_or(currentVersion))
        return report(publish_verdict::unchanged, currentVersion,
            m_request.entry ? "the entry already has the requested value" : "the entry does not exist");
    const change_record record { m_request.changeId, m_request.operatorName,
        m_request.baseVersion.value_or(currentVersion), m_request.name, m_request.entry };
    m_payload = formatRecord(record);
    // A record that readers would reject must not be appended.
    const result<catalogue_record> check = parseRecord(m_payload);
    if (!hasValue(check))
        return report(publish_verdict::rejected, currentVersion, errorOf(check).message);
    return append();
}

publish_step change_publisher::append()
{
    ++m_appends;
    return append_change { m_payload };
}

publish_step change_publisher::handleAppendReply(append_reply reply, const std::string& detail)
{
    m_detail = detail;
    switch (reply) {
    case append_reply::accepted:
        m_isStored = true;
        return read_stream {};
    case append_reply::invalid:
        return report(publish_verdict::rejected, noVersion, detail);
    case append_reply::refused:
        return read_stream { internal::retryDelay };
    case append_reply::unknown:
        m_mayBeStored = true;
        return read_stream { internal::rereadDelay };
    }
    return reportAbandoned();
}

publish_report change_publisher::reportAbandoned() const
{
    const std::string detail = m_detail.empty() ? "" : " (" + m_detail + ")";
    if (m_isStored || m_mayBeStored)
        return report(publish_verdict::unknown, noVersion,
            "the log may have stored the change, but it cannot be read back" + detail
                + "; search for the change id with \"knapweedctl history\" before retrying");
    return report(publish_verdict::unavailable, noVersion,
        "the log did not store the change" + detail + "; nothing was changed, retry when the log is available");
}

} // namespace knapweedcroft
