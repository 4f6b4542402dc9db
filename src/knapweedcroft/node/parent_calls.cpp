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
    summary.mayChildHaveRun = call.hasChildRun || !call.openChildren.empty();
    summary.touched = std::move(call.touched);
    for (const std::pair<const call_id, std::uint32_t>& child : call.openChildren)
        m_orphans.push_back(child.first);
    m_calls.erase(position);
    return summary;
}

void parent_calls::finishChild(call_id id, call_id child, const call_result& outcome, std::uint32_t budgetLeft,
    const std::set<service_name>& touched)
{
    parent_call* call = find(id);
    if (call == nullptr)
        return;
    const auto position = call->openChildren.find(child);
    if (position == call->openChildren.end())
        return;
    call->budget.release(position->second, budgetLeft);
    call->openChildren.erase(position);
    call->touched.insert(touched.begin(), touched.end());
    if (std::holds_alternative<refused_not_run>(outcome))
        call->hasChildRefused = true;
    else
        call->hasChildRun = true;
}

std::vector<call_id> parent_calls::takeOrphans() { return std::exchange(m_orphans, {}); }

} // namespace knapweedcroft
