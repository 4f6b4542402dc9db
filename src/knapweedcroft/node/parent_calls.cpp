#include "knapweedcroft/node/parent_calls.hpp"

#include <utility>

namespace knapweedcroft {

void parent_calls::open(call_id id, parent_call call) { m_calls.insert_or_assign(id, std::move(call)); }

parent_call* parent_calls::find(call_id id) noexcept
{
    const auto position = m_calls.find(id);
    return position == m_calls.end() ? nullptr : &position->second;
}

parent_summary parent_calls::close(call_id id)
{
    const auto position = m_calls.find(id);
    if (position == m_calls.end())
        return {};
    parent_call& call = position->second;
    parent_summary summary;
    summary.budgetLeft = call.budget.balance();
    summary.maySubCallHaveRun = call.hasSubCallRun || !call.openSubCalls.empty();
    summary.reachedServices = std::move(call.reachedServices);
    for (const std::pair<const call_id, std::uint32_t>& subCall : call.openSubCalls)
        m_orphans.push_back(subCall.first);
    m_calls.erase(position);
    return summary;
}

void parent_calls::recordSubCallEnd(call_id id, call_id subCall, const call_result& outcome, std::uint32_t budgetLeft,
    const std::set<service_name>& reachedServices)
{
    parent_call* call = find(id);
    if (call == nullptr)
        return;
    const auto position = call->openSubCalls.find(subCall);
    if (position == call->openSubCalls.end())
        return;
    call->budget.release(position->second, budgetLeft);
    call->openSubCalls.erase(position);
    call->reachedServices.insert(reachedServices.begin(), reachedServices.end());
    if (std::holds_alternative<refused_not_run>(outcome))
        call->hasSubCallRefused = true;
    else
        call->hasSubCallRun = true;
}

std::vector<call_id> parent_calls::takeOrphans() { return std::exchange(m_orphans, {}); }

} // namespace knapweedcroft
