#ifndef KNAPWEEDCROFT_TEST_MEMBERSHIP_VIEWS_HPP
#define KNAPWEEDCROFT_TEST_MEMBERSHIP_VIEWS_HPP

#include "knapweedcroft/membership/membership_state.hpp"

#include <string>

namespace knapweedcroft {

/** @brief A log of membership records of one service, and the membership state after applying them. */
struct view_log {
    membership_settings settings;
    membership_state state { settings };
    std::vector<log_record> records;
    time_point now;

    membership_outcome add(const membership_record& record)
    {
        const std::int64_t offset = static_cast<std::int64_t>(records.size());
        records.push_back({ offset, now, formatRecord(record) });
        return state.apply(records.back(), now);
    }

    membership_outcome join(const node_name& node, std::uint64_t incarnation)
    {
        return add(join_record { { node, incarnation_id { incarnation }, "s", "varna", node + ":1" } });
    }

    [[nodiscard]] const service_view& view() const { return *state.view("s"); }
    [[nodiscard]] const service_history& history() const { return *state.history("s"); }
};

} // namespace knapweedcroft

#endif
