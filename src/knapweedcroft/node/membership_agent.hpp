#ifndef KNAPWEEDCROFT_NODE_MEMBERSHIP_AGENT_HPP
#define KNAPWEEDCROFT_NODE_MEMBERSHIP_AGENT_HPP

#include "knapweedcroft/catalogue/snapshot_schedule.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/membership/lease_table.hpp"
#include "knapweedcroft/membership/membership_state.hpp"
#include "knapweedcroft/membership/records.hpp"
#include "knapweedcroft/node/actions.hpp"
#include "knapweedcroft/node/events.hpp"
#include "knapweedcroft/node/log_writer.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Status of a node that its heartbeats carry in addition to its leases. */
struct heartbeat_status {
    std::int64_t catalogueOffset = -1;
    node_state state = node_state::serving;
};

/** @brief Keeps this node in the view of its service, sends heartbeats to the members, and evicts dead members. */
class membership_agent {
public:
    /**
     * @brief Constructs an agent whose node has not joined its service.
     * @param self Member record with which this node joins.
     * @param settings Intervals of heartbeats and durations of leases.
     * @param seed Seed of the snapshot delays.
     * @param state Views of the services.
     * @param leases Leases between the members of this node's service.
     * @param log Writer of the membership records.
     */
    membership_agent(member self, const membership_settings& settings, std::uint64_t seed, membership_state& state,
        lease_table& leases, log_writer& log);

    /**
     * @brief Applies records of the membership stream.
     * @param now Current time.
     * @param actions Receives the log lines of view changes and void records.
     * @return Services whose view changed.
     */
    [[nodiscard]] std::set<service_name> applyRecords(const records_read& event, time_point now, node_actions& actions);

    /**
     * @brief Installs a peer's snapshot of the views while the log is unavailable.
     * @param snapshot The peer's snapshot.
     * @param now Current time.
     * @return Services whose view changed.
     */
    [[nodiscard]] std::set<service_name> installSnapshot(const std::string& snapshot, time_point now);

    /**
     * @brief Sets whether this node should be a member of its service.
     * @param shouldBeMember True to join, false to leave.
     */
    void setMembership(bool shouldBeMember) noexcept;

    /**
     * @brief Sends the heartbeats and appends the records that are due.
     * @param status Status to send in heartbeats.
     * @param linked Peers with an open link.
     * @param now Current time.
     * @param wallNow Current wall-clock time.
     * @param actions Receives the resulting actions.
     */
    void maintain(const heartbeat_status& status, const std::set<node_name>& linked, time_point now, time_point wallNow,
        node_actions& actions);

    /** @brief Returns whether the view of this node's service contains this incarnation. */
    [[nodiscard]] bool isInView() const;

    /** @brief Returns whether all records that the log contained at the last read have been applied. */
    [[nodiscard]] bool isCaughtUp() const noexcept { return m_isCaughtUp; }

    /** @brief Returns the time of the next heartbeat. */
    [[nodiscard]] std::optional<time_point> nextWakeup() const { return m_nextHeartbeat; }

private:
    void sendHeartbeats(const heartbeat_status& status, const std::set<node_name>& linked, time_point now,
        time_point wallNow, node_actions& actions);
    void appendDueRecords(time_point now, node_actions& actions);
    void skipGapAfterTimeout(time_point now, std::set<service_name>& changed);
    void append(const std::string& purpose, const membership_record& record, time_point now, node_actions& actions);

    member m_self;
    membership_settings m_settings;
    membership_state& m_state;
    lease_table& m_leases;
    log_writer& m_log;
    snapshot_schedule m_snapshots;
    time_point m_nextHeartbeat;
    bool m_isCaughtUp = false;
    bool m_hasReachedEnd = false; /*!< The newest record has been read; earlier records may be missing. */
    std::optional<time_point> m_gapSince;
    bool m_shouldBeMember = false;
};

} // namespace knapweedcroft

#endif
