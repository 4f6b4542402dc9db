#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_REGISTRY_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_REGISTRY_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/gateway/departed_upstreams.hpp"
#include "knapweedcroft/gateway/upstream_incarnation.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief State that an upstream reports about itself. */
struct upstream_announcement {
    upstream_incarnation incarnation;
    service_name service;
    std::string address; /*!< `host:port` of its HTTP interface. */
    std::string data_centre;
    upstream_state state = upstream_state::serving;
    std::uint32_t slots = 0;
    milliseconds remainingWarmUp; /*!< Remaining time of reduced capacity after the start. */
    std::int64_t sequence = 0; /*!< Increases with each announcement of an incarnation. */
};

/** @brief Result of processing an announcement. */
enum class announcement_result : std::uint8_t {
    unchanged, /*!< No change that peers need to know. */
    changed, /*!< The incarnation, whether it serves, or its slots changed. */
    stale /*!< Out of date; ignored. */
};

/** @brief Tracks the upstream of this host: its incarnation, its state in the chart `upstream`, and its silence. */
class upstream_registry {
public:
    /**
     * @brief Constructs a registry without an upstream.
     * @param upstreamChart State chart of an upstream; must outlive the registry.
     * @param silenceTimeout Time without announcements after which the upstream counts as silent.
     * @param departed Upstreams that have left, to which this registry adds; must outlive the registry.
     */
    upstream_registry(const chart& upstreamChart, milliseconds silenceTimeout, departed_upstreams& departed);

    /**
     * @brief Processes an announcement.
     * @param announcement The announcement; its service and address must have been validated.
     * @param now Current time.
     */
    announcement_result announce(const upstream_announcement& announcement, time_point now);

    /**
     * @brief Starts draining an upstream that leaves; it still finishes the requests that it has accepted.
     *
     * The leave of an upstream that is not known yet is remembered, so that a late announcement or the record of an
     * earlier process does not make it serve.
     * @param id Identifier of the upstream.
     * @param now Current time.
     * @param startedAt Unix time in ms at which the upstream started; nothing if unknown, for any of its starts.
     * @return True if this is the current upstream and it was serving.
     */
    bool leave(const std::string& id, time_point now, std::optional<std::int64_t> startedAt = std::nullopt);

    /**
     * @brief Restores the upstream that an earlier process of this node published, until the next announcement.
     * @return False if an upstream is already known, or if this one has left.
     */
    bool restore(const upstream_announcement& announcement, time_point now);

    /**
     * @brief Marks the upstream as silent until its next announcement, because its address is unreachable or another
     * process answers there.
     * @param id Identifier of the expected upstream.
     * @return True if it is the current upstream and it was serving.
     */
    bool markUnreachable(const std::string& id);

    /** @brief Marks the upstream as silent after the silence time-out; returns true if this changed its state. */
    bool poll(time_point now);

    /** @brief Returns the last announcement of the current upstream, if there is one. */
    [[nodiscard]] const std::optional<upstream_announcement>& current() const noexcept { return m_current; }

    /** @brief Returns the state of the current upstream. */
    [[nodiscard]] upstream_chart_state state() const noexcept { return m_state.state(); }

    /** @brief Returns true if the upstream accepts new requests, also while it warms up. */
    [[nodiscard]] bool isServing() const noexcept;

    /** @brief Returns true if the current upstream has announced that it leaves, which holds for this incarnation. */
    [[nodiscard]] bool isLeaving() const noexcept { return m_state.state() == upstream_chart_state::draining; }

    /** @brief Returns the latest upstreams of this host that have left, for its directory record, the latest last. */
    [[nodiscard]] const std::vector<upstream_incarnation>& departures() const noexcept { return m_departures; }

    /**
     * @brief Restores the upstreams that have left according to the record of an earlier process.
     * @return True if the current upstream is among them and was serving.
     */
    bool restoreDepartures(const std::vector<upstream_incarnation>& departures, time_point now);

    /** @brief Returns the remaining warm-up time of the upstream; never negative. */
    [[nodiscard]] milliseconds remainingWarmUp(time_point now) const;

private:
    void recordDeparture(const upstream_incarnation& upstream);
    void applyAnnouncedState(const upstream_announcement& announcement);
    [[nodiscard]] bool isStale(const upstream_announcement& announcement);
    void replaceCurrent(const upstream_announcement& announcement);

    upstream_chart_instance m_state;
    milliseconds m_silenceTimeout;
    std::optional<upstream_announcement> m_current;
    time_point m_announcedAt;
    std::map<std::string, std::int64_t> m_formerUpstreams; /*!< Start times of replaced upstreams, by identifier. */
    departed_upstreams& m_departed;
    std::vector<upstream_incarnation> m_departures; /*!< Those of this host; the latest ones, in order. */
    std::optional<std::int64_t> m_restartCandidateSequence; /*!< Latest number not above the newest one. */
    bool m_hasLeft = false; /*!< The current incarnation left; it announces nothing any more. */
};

} // namespace knapweedcroft

#endif
