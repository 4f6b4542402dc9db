#ifndef KNAPWEEDCROFT_CHART_CHART_HPP
#define KNAPWEEDCROFT_CHART_CHART_HPP

#include "knapweedcroft/core/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Names of the states and events of a chart, in the order of the enumerations in the code. */
struct chart_symbols {
    std::vector<std::string> states;
    std::vector<std::string> events;
};

/** @brief An immutable state chart, compiled into a transition table and shared by all of its instances. */
class chart {
public:
    /** @brief Index of a state or an event in `chart_symbols`. */
    using index = std::uint8_t;

    /**
     * @brief Compiles a chart.
     *
     * Every known state must be defined and reachable; events and target states must be known. A state must have
     * transitions unless it is final; a final state must have none.
     * @param document The chart: `{"name","initial","states":{"s":{"on":{"event":"target"},"final":false}}}`.
     * @param context Name of the file, for error messages.
     * @param symbols Known states and events.
     * @return The chart, or an error of kind `invalid_chart` that names the file and the state.
     */
    [[nodiscard]] static result<chart> compile(
        const nlohmann::json& document, const std::string& context, const chart_symbols& symbols);

    /**
     * @brief Reads and compiles a chart.
     * @param symbols Known states and events.
     * @return The chart, or an error of kind `unreadable_file`, `malformed_json` or `invalid_chart`.
     */
    [[nodiscard]] static result<chart> load(const std::string& path, const chart_symbols& symbols);

    /** @brief Returns the name of the chart. */
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

    /** @brief Returns the initial state. */
    [[nodiscard]] index initial() const noexcept { return m_initial; }

    /**
     * @brief Returns the target of the transition from a state on an event.
     * @return The target state, or `none` if the state has no transition on the event.
     */
    [[nodiscard]] index next(index state, index event) const noexcept
    {
        return m_transitions[state * m_eventCount + event];
    }

    /** @brief Returns whether a state is final. */
    [[nodiscard]] bool isFinal(index state) const noexcept { return m_isFinal[state] != 0; }

    /** @brief Returns the name of a state. */
    [[nodiscard]] const std::string& stateName(index state) const noexcept { return m_stateNames[state]; }

    /** @brief Index value that represents no state. */
    static constexpr index none = 255;

private:
    chart() = default;

    std::string m_name;
    std::vector<std::string> m_stateNames;
    std::size_t m_eventCount = 0;
    std::vector<index> m_transitions;
    std::vector<std::uint8_t> m_isFinal;
    index m_initial = 0;
};

/**
 * @brief Current state of one object in a chart; cheap to copy, as it consists of a pointer and an index.
 * @tparam State Enumeration of the states, in the order of the chart's `chart_symbols`.
 * @tparam Event Enumeration of the events, in the order of the chart's `chart_symbols`.
 */
template <typename State, typename Event> class chart_instance {
public:
    /**
     * @brief Constructs an instance in the initial state.
     * @param definition The chart; must outlive the instance.
     */
    explicit chart_instance(const chart& definition) noexcept
        : m_chart { &definition }
        , m_state { definition.initial() }
    {
    }

    /**
     * @brief Performs the transition on an event.
     * @return False if the current state has no transition on the event; the state is then unchanged.
     */
    bool fire(Event event) noexcept
    {
        const chart::index next = m_chart->next(m_state, static_cast<chart::index>(event));
        if (next == chart::none)
            return false;
        m_state = next;
        return true;
    }

    /** @brief Returns the current state. */
    [[nodiscard]] State state() const noexcept { return static_cast<State>(m_state); }

    /** @brief Returns the name of the current state. */
    [[nodiscard]] const std::string& stateName() const noexcept { return m_chart->stateName(m_state); }

    /** @brief Returns whether the current state is final. */
    [[nodiscard]] bool isFinal() const noexcept { return m_chart->isFinal(m_state); }

private:
    const chart* m_chart;
    chart::index m_state;
};

} // namespace knapweedcroft

#endif
