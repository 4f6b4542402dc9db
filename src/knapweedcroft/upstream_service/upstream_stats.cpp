#include "knapweedcroft/upstream_service/upstream_stats.hpp"

#include <nlohmann/json.hpp>

namespace knapweedcroft {

nlohmann::json upstream_stats::toJson() const
{
    return { { "executions", executions }, { "unwound", unwound }, { "effects", effects }, { "keys", keys },
        { "sub_calls", subCalls }, { "mismatched", mismatched }, { "cancelled", cancelled }, { "expired", expired },
        { "shed", shed }, { "after_leave", afterLeave }, { "cut", cut } };
}

} // namespace knapweedcroft
