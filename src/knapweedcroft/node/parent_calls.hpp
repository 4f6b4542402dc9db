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

/** @brief A call that runs on the upstream of this host and may make sub-calls. */
struct parent_call {
    action_id action;
    call_class importance = call_class::low;
    time_point deadline;
    std::uint32_t depth = 0;
    retry_budget budget { 0 };
    sub_call_history history { 0 };
    bool hasSubCallRun = false; /*!< A sub-call ended with anything but `refused_not_run`. */
    bool hasSubCallRefused = false; /*!< A sub-call ended with `refused_not_run`. */
    std::set<service_name> reachedServices;
    std::map<call_id, std::uint32_t> openSubCalls; /*!< With the retry budget reserved for each. */
};

/** @brief Summary of a call and its sub-calls at the end of the call. */
struct parent_summary {
    std::uint32_t budgetLeft = 0;
    bool maySubCallHaveRun = false; /*!< A sub-call ran or is still open. */
    std::set<service_name> reachedServices;
};

/** @brief Calls running on the upstream of this host. Sub-calls name them in the `Knapweed-Context` header. */
class parent_calls {
public:
    /** @brief Adds a call that is about to be dispatched. */
    void open(call_id id, parent_call call);

    /** @brief Returns a running call, or null if no call has this identifier. */
    [[nodiscard]] parent_call* find(call_id id) noexcept;

    /**
     * @brief Removes a call; its open sub-calls become orphans, and the budget reserved for them is lost.
     * @param id Identifier of the call.
     * @return Summary of the call; empty if it is not running.
     */
    parent_summary close(call_id id);

    /**
     * @brief Records the end of a sub-call.
     * @param id Identifier of the calling call; ignored if it has ended.
     * @param subCall Identifier of the sub-call.
     * @param outcome Result of the sub-call.
     * @param budgetLeft Unspent retry budget of the sub-call.
     * @param reachedServices Services that the sub-call reached, directly or through its own sub-calls.
     */
    void recordSubCallEnd(call_id id, call_id subCall, const call_result& outcome, std::uint32_t budgetLeft,
        const std::set<service_name>& reachedServices);

    /** @brief Returns and clears the open sub-calls of the calls that have ended. */
    [[nodiscard]] std::vector<call_id> takeOrphans();

private:
    std::unordered_map<call_id, parent_call> m_calls;
    std::vector<call_id> m_orphans;
};

} // namespace knapweedcroft

#endif
