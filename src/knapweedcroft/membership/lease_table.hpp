#ifndef KNAPWEEDCROFT_MEMBERSHIP_LEASE_TABLE_HPP
#define KNAPWEEDCROFT_MEMBERSHIP_LEASE_TABLE_HPP

#include "knapweedcroft/membership/settings.hpp"
#include "knapweedcroft/membership/view.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace knapweedcroft {

/**
 * @brief Tracks the leases that the members of a service grant each other, and determines which members can be evicted.
 *
 * A node acts on its keys only while more than half of its view, itself included, grants it a lease. The holder counts
 * a lease from the time at which it sent the heartbeat that the grant answers, so that clocks of two hosts are never
 * compared; the granter counts from the later time at which it sent the grant.
 *
 * No lease of P is valid when an eviction of P takes effect:
 * - A member that reports P as suspect at view V has already sent its last grant to P and sends no other one while V is
 *   its view. That grant answers a heartbeat of P that arrived at least one suspicion time before the report. The
 *   member's grants to P therefore end at most (lease time - suspicion time) after the report.
 * - A member that reports another as suspect accepts no new grant from it while its view is unchanged. If P has
 *   reported a granter at the view that P uses, that granter's grants to P end within the same time after P's report,
 *   even if the granter has been evicted since and may still be running.
 * - `evictableMembers` returns P only if, in each view that P may still be using (from the last one that P has
 * reported), the grants of enough other members have ended that the rest has no majority together with P.
 * - The eviction record names V and is void at any other view. A reporter grants P a lease again only after it has read
 *   a later view; by then the record is either applied or void, however late the log accepts it.
 *
 * The fencing in `stoppedAt` applies the same argument to a restarted node; members that have read the join of the new
 * incarnation take the place of the reporters. It assumes that earlier processes of the granters have ended.
 */
class lease_table {
public:
    /**
     * @brief Constructs a table without leases or grants.
     * @param self Name of this node.
     * @param own Incarnation of this node.
     * @param startedAt Monotonic time at which this incarnation started.
     */
    lease_table(const membership_settings& settings, node_name self, incarnation_id own, time_point startedAt);

    /** @brief Updates the retained views of this node's service; must be called after each view change. */
    void updateViews(const service_history& history);

    /**
     * @brief Sets whether the log is available; no further member is reported as suspect while it is not.
     *
     * A report binds the reporter until the view changes, and a view change requires the log.
     */
    void setLogAvailable(bool isAvailable) noexcept { m_isLogAvailable = isAvailable; }

    /** @brief Stops granting leases; must be called before this node appends its leave record. */
    void stopGranting() noexcept { m_isGranting = false; }

    /**
     * @brief Reports silent members as suspects; must be called every heartbeat interval, even without a linked peer.
     * @param now Monotonic time.
     */
    void reportSuspects(time_point now);

    /**
     * @brief Creates the next heartbeat for a peer; the caller must set `catalogueOffset` and `state`.
     *
     * `viewOffset` is the offset of this node's current view of its service.
     * @param peer Name of the peer.
     * @param now Monotonic time at which the heartbeat is sent.
     * @param wallNow Wall time.
     */
    [[nodiscard]] heartbeat_message makeHeartbeat(const node_name& peer, time_point now, time_point wallNow);

    /**
     * @brief Processes a heartbeat; one with an outdated sequence number is ignored.
     * @param peer Name of the sender.
     * @param now Monotonic time.
     * @param wallNow Wall time.
     */
    void receiveHeartbeat(
        const node_name& peer, const heartbeat_message& heartbeat, time_point now, time_point wallNow);

    /**
     * @brief Returns the time until which a majority of the view grants this node a lease.
     * @param view Current view of the service.
     * @param now Monotonic time.
     * @param wallNow Wall time; a grant is ignored if this clock was set by more than a quarter of the skew bound since
     * the heartbeat that the grant answers.
     * @return Monotonic time, or nothing if the node holds no lease now.
     */
    [[nodiscard]] std::optional<time_point> heldUntil(
        const service_view& view, time_point now, time_point wallNow) const;

    /**
     * @brief Checks whether a member of the current view has been silent for the suspicion time.
     * @param node Name of the member.
     * @param now Monotonic time.
     */
    [[nodiscard]] bool isSuspect(const node_name& node, time_point now) const;

    /**
     * @brief Returns the members for which this node may now append an eviction record that names the given view.
     * @param view Current view of the service.
     * @param now Monotonic time.
     * @return The members; excludes those that too few members suspect or that may still hold a lease.
     */
    [[nodiscard]] std::vector<member> evictableMembers(const service_view& view, time_point now) const;

    /**
     * @brief Checks whether this node should append its own join record again to renew the view.
     *
     * This is the case when a reported suspect sends heartbeats again, since only a view change allows grants to it.
     * @param now Monotonic time.
     */
    [[nodiscard]] bool shouldRefreshView(time_point now) const;

    /**
     * @brief Returns a time by which an incarnation had provably stopped acting on views below an offset.
     * @param viewOffset Offset of a retained view.
     * @param now Monotonic time.
     * @return Monotonic time not later than `now`, or nothing if no such time is known.
     */
    [[nodiscard]] std::optional<time_point> stoppedAt(
        const node_identity& identity, std::int64_t viewOffset, time_point now) const;

    [[nodiscard]] const membership_settings& settings() const noexcept { return m_settings; }

private:
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        time_point sentAt;
        milliseconds wallOffset; /*!< Wall clock minus monotonic clock at `sentAt`. */
    };

    struct received_grant {
        time_point until;
        milliseconds wallOffset; /*!< Wall clock minus monotonic clock when the answered heartbeat was sent. */
    };

    struct view_report {
        std::int64_t offset = -1;
        time_point firstReceivedAt;
    };

    struct peer_state {
        std::uint64_t lastSequence = 0;
        time_point lastReceivedAt;
        bool isClockInSync = false;
        std::optional<received_grant> receivedGrant;
        std::vector<view_report> viewReports; /*!< In ascending order of offsets. */
        std::int64_t suspectsViewOffset = -1; /*!< Offset of the view at which `suspects` were reported. */
        std::map<node_name, time_point> suspects; /*!< With the time at which each was first reported. */
    };

    using time_points = std::vector<time_point>;

    [[nodiscard]] const service_view* currentView() const noexcept;
    [[nodiscard]] bool isMember() const noexcept;
    [[nodiscard]] const peer_state* find(const node_identity& identity) const;
    [[nodiscard]] bool isSilent(const member& peer, time_point now) const;
    [[nodiscard]] std::optional<lease_grant> makeGrant(const member& peer, time_point now) const;
    void receiveGrant(peer_state& state, const lease_grant& grant, time_point now) const;
    static void receiveSuspects(peer_state& state, const heartbeat_message& heartbeat, time_point now);
    [[nodiscard]] std::optional<time_point> viewReportedAt(
        const node_identity& identity, std::int64_t viewOffset) const;
    [[nodiscard]] std::optional<time_point> suspectedAt(
        const node_identity& reporter, std::int64_t viewOffset, const node_name& suspect) const;
    [[nodiscard]] std::optional<time_point> grantsEndBySuspicion(
        const node_name& granter, const member& suspect, const service_view& view) const;
    [[nodiscard]] std::optional<time_point> grantsEndByView(const node_name& granter, const view_entry& removal) const;
    [[nodiscard]] std::optional<time_point> grantsEndByLeave(const node_name& granter) const;
    template <typename GrantsEndOf>
    [[nodiscard]] std::optional<time_point> fencedAt(
        const node_identity& identity, std::size_t viewCount, GrantsEndOf grantsEndOf) const;

    membership_settings m_settings;
    node_identity m_self;
    time_point m_startedAt;
    service_history m_history;
    bool m_isLogAvailable = true;
    bool m_isGranting = true;
    std::uint64_t m_sequence = 0;
    std::deque<sent_heartbeat> m_sentHeartbeats;
    std::optional<time_point> m_lastCheckAt;
    time_point m_listeningSince; /*!< Earlier silence of peers is ignored, since this node was paused or not started. */
    std::map<node_identity, peer_state> m_peers;
    std::map<node_name, time_point> m_reportedSuspects; /*!< At the current view, with the time of the report. */
};

} // namespace knapweedcroft

#endif
