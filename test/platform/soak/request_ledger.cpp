#include "soak/request_ledger.hpp"

#include <algorithm>
#include <sstream>

namespace knapweedcroft::platform {

namespace internal {

static constexpr int okStatus = 200;
static constexpr int notFoundStatus = 404;

// These statuses guarantee that the request has not run and will not run.
[[nodiscard]] static bool isNotRunStatus(int status)
{
    const std::set<int> notRunStatuses { 408, 421, 429, 503 };
    return notRunStatuses.count(status) != 0;
}

// Upstreams answer 500 when their sub-call fails; 502 and 504 leave open whether the request ran.
[[nodiscard]] static bool isExpectedStatus(int status)
{
    const std::set<int> expected { 200, 500, 502, 503, 504 };
    return expected.count(status) != 0;
}

static void setMember(std::set<std::string>& nodes, const std::string& node, bool isMember)
{
    if (isMember)
        nodes.insert(node);
    else
        nodes.erase(node);
}

} // namespace internal

void request_ledger::recordSent(const std::string& id, const std::string& node, const soak_entry& entry, time_point now)
{
    request& added = m_requests[id];
    added.node = node;
    added.sentAt = now;
    added.service = entry.service;
    added.path = entry.path;
    added.isIdempotent = entry.isIdempotent;
    added.mayBeUnknown = entry.mayBeUnknown;
    added.mayStayUnanswered = m_disturbedNodes.count(node) != 0;
    added.mayStayUnread = m_stoppingNodes.count(node) != 0;
}

void request_ledger::recordEnd(const std::string& id, const exchange_outcome& outcome, time_point now)
{
    request& seen = m_requests[id];
    seen.hasEnded = true;
    if (const opaque_response* response = std::get_if<opaque_response>(&outcome)) {
        seen.status = response->status;
        seen.body = response->body;
        m_notices.recordResponse(seen.node, *response, now);
    } else {
        seen.failure = std::get<exchange_failure>(outcome).cause.message;
    }
}

void request_ledger::recordArrival(const std::string& id, const std::string& upstream, time_point now)
{
    request& seen = m_requests[id];
    ++seen.arrivals;
    m_notices.recordArrival(upstream, seen.node, seen.sentAt, now);
}

void request_ledger::exemptOpenRequests(const std::string& node)
{
    for (std::pair<const std::string, request>& item : m_requests) {
        if (item.second.node == node && !item.second.hasEnded)
            item.second.mayStayUnanswered = true;
    }
}

void request_ledger::setDisturbed(const std::string& node, bool isDisturbed)
{
    m_notices.recordDisturbance(node);
    internal::setMember(m_disturbedNodes, node, isDisturbed);
}

void request_ledger::setStopping(const std::string& node, bool isStopping)
{
    m_notices.recordDisturbance(node);
    internal::setMember(m_stoppingNodes, node, isStopping);
}

std::string request_ledger::responseBody(const std::string& id, const std::string& upstream)
{
    return "ran " + id + " at " + upstream;
}

bool request_ledger::isOpen(const std::string& id) const
{
    const auto position = m_requests.find(id);
    return position != m_requests.end() && !position->second.hasEnded && !position->second.isCancelled;
}

std::size_t request_ledger::openCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const std::pair<const std::string, request>& item) {
            return !item.second.hasEnded && !item.second.isCancelled;
        }));
}

std::string request_ledger::summary() const
{
    std::map<int, std::size_t> counts;
    for (const std::pair<const std::string, request>& item : m_requests)
        ++counts[item.second.status];
    std::ostringstream text;
    text << m_requests.size() << " requests";
    for (const std::pair<const int, std::size_t>& item : counts)
        text << "; " << (item.first == 0 ? std::string { "no answer" } : std::to_string(item.first)) << ": "
             << item.second;
    return text.str();
}

void request_ledger::check(
    const std::string& id, const request& seen, std::size_t maxAttempts, std::vector<std::string>& found)
{
    const std::string name = seen.path + " " + id + " on " + seen.node + ": ";
    if (!seen.isIdempotent && seen.runs.size() > 1)
        found.push_back(name + "ran " + std::to_string(seen.runs.size()) + " times, though it must run at most once");
    if (seen.arrivals > maxAttempts)
        found.push_back(name + "reached upstreams " + std::to_string(seen.arrivals) + " times");
    if (internal::isNotRunStatus(seen.status) && !seen.runs.empty())
        found.push_back(name + "answered " + std::to_string(seen.status) + ", though it ran at " + seen.runs.front());
    const auto isAnswerOf = [&id, &seen](const std::string& run) { return seen.body == responseBody(id, run); };
    if (seen.status == internal::okStatus && std::none_of(seen.runs.begin(), seen.runs.end(), isAnswerOf))
        found.push_back(name + "received an answer that no upstream sent for it: " + seen.body);
    const bool isProperNotFound = seen.mayBeUnknown && seen.status == internal::notFoundStatus;
    if (seen.status != 0 && !isProperNotFound && !internal::isExpectedStatus(seen.status))
        found.push_back(name + "unexpected status " + std::to_string(seen.status) + " " + seen.body);
    const bool mustBeAnswered = !seen.mayStayUnanswered && !(seen.mayStayUnread && seen.arrivals == 0);
    if (seen.status == 0 && mustBeAnswered && !seen.isCancelled)
        found.push_back(name + "no answer, though its node "
            + (seen.mayStayUnread ? "only stopped" : "was not disturbed") + ": " + seen.failure);
}

std::vector<std::string> request_ledger::violations(const retry_bound& bound, std::size_t maxAttempts) const
{
    std::vector<std::string> found;
    std::map<std::string, std::size_t> requests;
    std::map<std::string, std::size_t> retries;
    for (const std::pair<const std::string, request>& item : m_requests) {
        const request& seen = item.second;
        check(item.first, seen, maxAttempts, found);
        ++requests[seen.service];
        retries[seen.service] += seen.arrivals > 1 ? seen.arrivals - 1 : 0;
    }
    for (const std::pair<const std::string, std::size_t>& item : retries) {
        const double maxRetries = bound.ratio * static_cast<double>(requests[item.first])
            + bound.slack * static_cast<double>(bound.windows);
        if (static_cast<double>(item.second) > maxRetries)
            found.push_back("service " + item.first + ": " + std::to_string(item.second) + " retries for "
                + std::to_string(requests[item.first]) + " requests");
    }
    const std::vector<std::string> ignoredNotices = m_notices.violations();
    found.insert(found.end(), ignoredNotices.begin(), ignoredNotices.end());
    const std::vector<std::string> poisonRetries = m_poison.violations();
    found.insert(found.end(), poisonRetries.begin(), poisonRetries.end());
    return found;
}

} // namespace knapweedcroft::platform
