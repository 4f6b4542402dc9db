#ifndef KNAPWEEDCROFT_NODE_PARENT_CALLS_HPP
#define KNAPWEEDCROFT_NODE_PARENT_CALLS_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/retry/retry_budget.hpp"
#include "knapweedcroft/retry/sub_call_history.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief A call that runs on the upstream of this host and may make calls in turn. */
struct parent_call {
    action_id action;
    call_class importance = call_class::low;
    time_point deadline;
    std::uint32_t depth = 0;
    retry_budget budget { 0 };
    sub_call_history history { 0 };
    bool hasChildRun = false; /*!< A sub-call ended with anything but `refused_not_run`. */
    bool hasChildRefused = false; /*!< A sub-call ended with `refused_not_run`. */
    std::set<service_name> touched;
    std::map<call_id, std::uint32_t> openChildren; /*!< With the extra attempts lent to each. */
};

/** @brief What is known of a call and its sub-calls when the call ends. */
struct parent_summary {
    std::uint32_t budgetLeft = 0;
    bool mayChildHaveRun = false; /*!< A sub-call ran, or is still open. */
    std::set<service_name> touched;
};

/** @brief The calls that run on the upstream of this host, to which sub-calls refer by their context header. */
class parent_calls {
public:
    /**
     * @brief Adds a call that is about to be dispatched.
     * @param id Identifier of the call.
     * @param call The call.
     */
    void open(call_id id, parent_call call);

    /**
     * @brief Finds a running call.
     * @param id Identifier of the call.
     * @return The call, or null if it is not running.
     */
    [[nodiscard]] parent_call* find(call_id id) noexcept;

    /**
     * @brief Ends a call; its open sub-calls become orphans and their share of the budget is lost.
     * @param id Identifier of the call.
     * @return What is known of the call.
     */
    parent_summary close(call_id id);

    /**
     * @brief Records the end of a sub-call.
     * @param id Identifier of the running call.
     * @param child Identifier of the sub-call.
     * @param outcome Result of the sub-call.
     * @param budgetLeft Unspent extra attempts of the sub-call.
     * @param touched Services that the sub-call reached.
     */
    void finishChild(call_id id, call_id child, const call_result& outcome, std::uint32_t budgetLeft,
        const std::set<service_name>& touched);

    /** @brief Returns the sub-calls whose caller ended since the last call of this function. */
    [[nodiscard]] std::vector<call_id> takeOrphans();

private:
    std::unordered_map<call_id, parent_call> m_calls;
    std::vector<call_id> m_orphans;
};

} // namespace knapweedcroft

#endif
