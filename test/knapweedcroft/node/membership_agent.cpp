#include "knapweedcroft/node/membership_agent.hpp"

#include "knapweedcroft/node/id_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace knapweedcroft {

/** @brief Fixture with an agent whose log records are passed in by the test. */
class membership_agent_test : public testing::Test {
protected:
    [[nodiscard]] static member makeMember(const node_name& name, std::uint64_t incarnation)
    {
        return member { name, incarnation_id { incarnation }, "s", "a", "127.0.0.1:1" };
    }

    [[nodiscard]] static log_record makeRecord(std::int64_t offset, const std::string& payload)
    {
        return log_record { offset, s_wallNow, payload };
    }

    void read(std::int64_t first, std::int64_t next, const std::vector<log_record>& records)
    {
        node_actions actions;
        static_cast<void>(
            m_agent.applyRecords(records_read { membershipStream, first, next, records }, m_now, actions));
    }

    /** @brief Advances the clocks by 20 s and returns whether the agent appends a snapshot. */
    [[nodiscard]] bool appendsSnapshot()
    {
        m_now = m_now + milliseconds { 20'000 }; // longer than the interval between two snapshot attempts
        s_wallNow = s_wallNow + milliseconds { 20'000 };
        node_actions actions;
        m_agent.maintain(heartbeat_status {}, {}, m_now, s_wallNow, actions);
        return std::any_of(actions.begin(), actions.end(), [](const node_action& action) {
            const append_record* append = std::get_if<append_record>(&action);
            return append != nullptr && append->payload.find("snapshot") != std::string::npos;
        });
    }

    inline static time_point s_wallNow { milliseconds { 1'700'000'000'000 } };
    time_point m_now { milliseconds { 1000 } };
    member m_self = makeMember("n1", 1);
    id_source m_ids { incarnation_id { 1 } };
    membership_settings m_settings;
    membership_state m_state { m_settings };
    lease_table m_leases { m_settings, "n1", incarnation_id { 1 }, m_now };
    log_writer m_log { m_ids, 1 };
    membership_agent m_agent { m_self, m_settings, 1, m_state, m_leases, m_log };
};

// Guards against the loss of a join that is stored after the state of a snapshot was taken, but before its record: once
// trimmed, it would be missing for new nodes.
TEST_F(membership_agent_test, PreservesRecordsThatASnapshotLacks)
{
    m_agent.setMembership(true);
    read(0, 1, { makeRecord(0, formatRecord(join_record { m_self })) });
    const std::string snapshot = m_state.snapshot();
    read(0, 3, { makeRecord(1, formatRecord(join_record { makeMember("n2", 2) })), makeRecord(2, snapshot) });
    EXPECT_FALSE(appendsSnapshot());
    read(2, 3, {});
    EXPECT_TRUE(appendsSnapshot());
}

// Guards against a snapshot by every member each time the log trims records that a newer snapshot covers.
TEST_F(membership_agent_test, LeavesATrimAloneThatASnapshotCovers)
{
    m_agent.setMembership(true);
    read(0, 2,
        { makeRecord(0, formatRecord(join_record { m_self })),
            makeRecord(1, formatRecord(join_record { makeMember("n2", 2) })) });
    read(0, 3, { makeRecord(2, m_state.snapshot()) });
    read(2, 3, {});
    EXPECT_FALSE(appendsSnapshot());
}

} // namespace knapweedcroft
