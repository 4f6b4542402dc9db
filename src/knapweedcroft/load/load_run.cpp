#include "knapweedcroft/load/load_run.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <optional>

namespace knapweedcroft {

namespace internal {

template <typename Map> static void readCounts(json_reader& reader, const char* field, Map& counts)
{
    const nlohmann::json& object = reader.child(field);
    if (object.is_null())
        return;
    if (!object.is_object()) {
        reader.fail(error_kind::wrong_type, std::string { "field \"" } + field + "\" must be an object of counts");
        return;
    }
    json_reader inner { object, reader.context() + ": " + field };
    for (const auto& item : object.items())
        counts[item.key()] = static_cast<std::uint64_t>(inner.integer(item.key(), 0, INT64_MAX));
    if (std::optional<error> found = inner.finishLenient())
        reader.fail(found->kind, found->message);
}

} // namespace internal

result<upstream_counts> parseUpstreamCounts(const nlohmann::json& document, const std::string& context)
{
    upstream_counts counts;
    json_reader reader { document, context };
    internal::readCounts(reader, "executions", counts.executions);
    internal::readCounts(reader, "unwound", counts.unwound);
    internal::readCounts(reader, "effects", counts.effects);
    internal::readCounts(reader, "keys", counts.keys);
    counts.mismatched = static_cast<std::uint64_t>(reader.integer("mismatched", 0, INT64_MAX, 0));
    counts.afterLeave = static_cast<std::uint64_t>(reader.integer("after_leave", 0, INT64_MAX, 0));
    counts.isKnown = true;
    if (std::optional<error> found = reader.finishLenient())
        return *found;
    return counts;
}

} // namespace knapweedcroft
