#include "knapweedcroft/core/call_result.hpp"

namespace knapweedcroft {

namespace internal {

struct kind_name_visitor {
    std::string_view operator()(const answered&) const noexcept { return "answered"; }
    std::string_view operator()(const refused_not_run&) const noexcept { return "refused_not_run"; }
    std::string_view operator()(const failed_after_start&) const noexcept { return "failed_after_start"; }
    std::string_view operator()(const outcome_unknown&) const noexcept { return "outcome_unknown"; }
};

[[nodiscard]] static int refusalStatus(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::bad_request:
        return 400;
    case refusal_reason::unknown_entry:
        return 404;
    case refusal_reason::key_conflict:
        return 409;
    case refusal_reason::body_too_large:
        return 413;
    default:
        return 503;
    }
}

struct status_visitor {
    int operator()(const answered& value) const noexcept { return value.status; }
    int operator()(const refused_not_run& value) const noexcept { return refusalStatus(value.reason); }
    int operator()(const failed_after_start&) const noexcept { return 502; }
    int operator()(const outcome_unknown&) const noexcept { return 504; }
};

} // namespace internal

std::string_view toString(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::unknown_entry:
        return "unknown_entry";
    case refusal_reason::key_conflict:
        return "key_conflict";
    case refusal_reason::body_too_large:
        return "body_too_large";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::rate_limited:
        return "rate_limited";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::upstream_shed:
        return "upstream_shed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::no_upstream:
        return "no_upstream";
    case refusal_reason::not_holder:
        return "not_holder";
    case refusal_reason::holder_unavailable:
        return "holder_unavailable";
    case refusal_reason::key_table_full:
        return "key_table_full";
    case refusal_reason::budget_exhausted:
        return "budget_exhausted";
    case refusal_reason::sub_call_limit:
        return "sub_call_limit";
    case refusal_reason::depth_limit:
        return "depth_limit";
    case refusal_reason::parent_ended:
        return "parent_ended";
    case refusal_reason::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view kindName(const call_result& outcome) noexcept
{
    return std::visit(internal::kind_name_visitor {}, outcome);
}

int httpStatus(const call_result& outcome) noexcept { return std::visit(internal::status_visitor {}, outcome); }

} // namespace knapweedcroft
