#include "knapweedcroft/core/error.hpp"

namespace knapweedcroft {

std::string_view toString(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::unreadable_file:
        return "unreadable_file";
    case error_kind::malformed_json:
        return "malformed_json";
    case error_kind::missing_field:
        return "missing_field";
    case error_kind::unknown_field:
        return "unknown_field";
    case error_kind::wrong_type:
        return "wrong_type";
    case error_kind::out_of_range:
        return "out_of_range";
    case error_kind::invalid_value:
        return "invalid_value";
    case error_kind::unknown_service:
        return "unknown_service";
    case error_kind::unknown_operation:
        return "unknown_operation";
    case error_kind::missing_idempotency_key:
        return "missing_idempotency_key";
    case error_kind::malformed_idempotency_key:
        return "malformed_idempotency_key";
    case error_kind::malformed_context:
        return "malformed_context";
    case error_kind::body_too_large:
        return "body_too_large";
    case error_kind::header_too_large:
        return "header_too_large";
    case error_kind::malformed_frame:
        return "malformed_frame";
    case error_kind::unknown_message:
        return "unknown_message";
    case error_kind::invalid_chart:
        return "invalid_chart";
    case error_kind::invalid_trace:
        return "invalid_trace";
    case error_kind::version_conflict:
        return "version_conflict";
    case error_kind::command_line:
        return "command_line";
    case error_kind::log_unavailable:
        return "log_unavailable";
    case error_kind::log_trimmed:
        return "log_trimmed";
    case error_kind::connection_failed:
        return "connection_failed";
    case error_kind::timed_out:
        return "timed_out";
    }
    return "unknown";
}

} // namespace knapweedcroft
