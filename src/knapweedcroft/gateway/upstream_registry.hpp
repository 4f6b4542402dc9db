#ifndef KNAPWEEDCROFT_GATEWAY_UPSTREAM_REGISTRY_HPP
#define KNAPWEEDCROFT_GATEWAY_UPSTREAM_REGISTRY_HPP

#include "knapweedcroft/chart/chart_set.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Identifies one start of an upstream process. */
struct upstream_incarnation {
    std::string id;
    std::int64_t startedAt = 0; /*!< Unix time in ms; zero if the upstream does not tell. */

    friend bool operator==(const upstream_incarnation& lhs, const upstream_incarnation& rhs)
    {
        return lhs.id == rhs.id && lhs.startedAt == rhs.startedAt;
    }
    friend bool operator!=(const upstream_incarnation& lhs, const upstream_incarnation& rhs) { return !(lhs == rhs); }
};

/** @brief What an upstream says of itself. */
struct upstream_announcement {
    upstream_incarnation incarnation;
    service_name service;
    std::string address; /*!< `host:port` of its HTTP interface. */
    std::string data_centre;
    upstream_state state = upstream_state::serving;
    std::uint32_t slots = 0;
    milliseconds warmUpLeft; /*!< Time for which it stays slow after its start. */
    std::int64_t sequence = 0; /*!< Grows with each announcement of an incarnation. */
};

/** @brief What became of an announcement. */
enum class announcement_effect : std::uint8_t {
    unchanged, /*!< Nothing that others must know has changed. */
    changed, /*!< Another incarnation, state or number of slots. */
    stale /*!< Older than what is known; ignored. */
};

/** @brief The upstream beside this node: its incarnation, by the chart `upstream`, and its silence. */
class upstream_registry {
public:
    /**
     * @brief Constructs a registry without an upstream.
     * @param upstreamChart Chart of an upstream; must outlive the registry.
     * @param silence An upstream that announces nothing for this time counts as silent.
     */
    upstream_registry(const chart& upstreamChart, milliseconds silence);

    /**
     * @brief Takes an announcement.
     * @param announcement The announcement, already checked for its service and address.
     * @param now Present time.
     * @return What became of it.
     */
    announcement_effect announce(const upstream_announcement& announcement, time_point now);

    /**
     * @brief Takes the leave of an upstream, which still finishes the requests that it has.
     * @param id Identifier of the upstream.
     * @param now Present time.
     * @return True if it is the present upstream and was not known to leave before.
     */
    bool leave(const std::string& id, time_point now);

    /**
     * @brief Assumes an upstream that an earlier process of this node knew, until the next announcement.
     * @param announcement The last announcement known.
     * @param now Present time.
     * @return False if an upstream is known already.
     */
    bool assume(const upstream_announcement& announcement, time_point now);

    /**
     * @brief Takes note that the process at the upstream's address is another one or none.
     * @param id Identifier of the upstream that was expected.
     * @return True if it is the present upstream, which now counts as silent until its next announcement.
     */
    bool missing(const std::string& id);

    /**
     * @brief Checks for silence.
     * @param now Present time.
     * @return True if the upstream has become silent.
     */
    bool poll(time_point now);

    /** @brief Returns the last announcement of the present upstream, or nothing if there is none. */
    [[nodiscard]] const std::optional<upstream_announcement>& present() const noexcept { return m_present; }

    /** @brief Returns the state. */
    [[nodiscard]] upstream_chart_state state() const noexcept { return m_state.state(); }

    /** @brief Tells whether the upstream takes new requests. */
    [[nodiscard]] bool isServing() const noexcept;

    /**
     * @brief Returns the time for which the upstream stays slow after its start.
     * @param now Present time.
     */
    [[nodiscard]] milliseconds warmUpLeft(time_point now) const;

private:
    void fireState(const upstream_announcement& announcement);
    [[nodiscard]] bool isStale(const upstream_announcement& announcement);
    void replacePresent(const upstream_announcement& announcement);

    upstream_chart_instance m_state;
    milliseconds m_silence;
    std::optional<upstream_announcement> m_present;
    time_point m_announcedAt;
    std::map<std::string, std::int64_t> m_former; /*!< Last sequence of earlier incarnations that tell no start. */
    std::optional<std::int64_t> m_repeatedSequence; /*!< Sequence below the newest one, as a restart would send. */
    bool m_hasLeft = false; /*!< The present incarnation said goodbye; nothing it says later counts. */
};

} // namespace knapweedcroft

#endif
