#include "knapweedcroft/chart/chart.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static std::optional<chart::index> indexOf(const std::vector<std::string>& names, const std::string& name)
{
    const auto position = std::find(names.begin(), names.end(), name);
    if (position == names.end())
        return std::nullopt;
    return static_cast<chart::index>(position - names.begin());
}

[[nodiscard]] static std::string joinNames(const std::vector<std::string>& names)
{
    std::string list;
    for (const std::string& name : names)
        list += (list.empty() ? "" : ", ") + name;
    return list;
}

/** @brief Compiles the states of a chart and records the first error. */
class chart_compiler {
public:
    chart_compiler(const std::string& context, const chart_symbols& symbols)
        : m_context { context }
        , m_symbols { symbols }
        , m_transitions(symbols.states.size() * symbols.events.size(), chart::none)
        , m_isFinal(symbols.states.size(), 0)
        , m_isDefined(symbols.states.size(), false)
    {
    }

    void compileState(const std::string& name, const nlohmann::json& definition)
    {
        const std::optional<chart::index> state = indexOf(m_symbols.states, name);
        if (!state)
            return fail(name, "is not known; use one of " + joinNames(m_symbols.states));
        m_isDefined[*state] = true;
        json_reader reader { definition, m_context + ": state \"" + name + "\"" };
        m_isFinal[*state] = reader.boolean("final", false) ? 1 : 0;
        const nlohmann::json& transitions = reader.child("on");
        if (const std::optional<error> readError = reader.finish())
            return recordError(readError->message);
        if (!transitions.is_null() && !transitions.is_object())
            return fail(name, "must have an object in \"on\" that maps events to target states");
        const bool hasTransitions = !transitions.empty();
        if (m_isFinal[*state] != 0 && hasTransitions)
            return fail(name, "is final and has transitions; remove them or \"final\"");
        if (m_isFinal[*state] == 0 && !hasTransitions)
            return fail(name, "has no outgoing transition; add one or mark the state as final");
        for (const auto& item : transitions.items())
            compileTransition(name, *state, item.key(), item.value());
    }

    void checkDefined()
    {
        for (std::size_t state = 0; state < m_isDefined.size(); ++state) {
            if (!m_isDefined[state])
                return fail(m_symbols.states[state], "is not defined; define it");
        }
    }

    void checkReachable(chart::index initial)
    {
        std::vector<bool> isReached(m_symbols.states.size(), false);
        std::vector<chart::index> pending { initial };
        isReached[initial] = true;
        while (!pending.empty()) {
            const std::size_t state = pending.back();
            pending.pop_back();
            for (std::size_t event = 0; event < m_symbols.events.size(); ++event) {
                const chart::index target = m_transitions[state * m_symbols.events.size() + event];
                if (target == chart::none || isReached[target])
                    continue;
                isReached[target] = true;
                pending.push_back(target);
            }
        }
        for (std::size_t state = 0; state < isReached.size(); ++state) {
            if (!isReached[state])
                return fail(
                    m_symbols.states[state], "cannot be reached from the initial state; add a transition to it");
        }
    }

    void recordError(const std::string& message)
    {
        if (!m_error)
            m_error = error { error_kind::invalid_chart, message };
    }

    [[nodiscard]] const std::optional<error>& firstError() const { return m_error; }
    [[nodiscard]] std::vector<chart::index> transitions() { return std::move(m_transitions); }
    [[nodiscard]] std::vector<std::uint8_t> finalStates() { return std::move(m_isFinal); }

private:
    void compileTransition(
        const std::string& name, chart::index state, const std::string& eventName, const nlohmann::json& targetName)
    {
        const std::optional<chart::index> event = indexOf(m_symbols.events, eventName);
        if (!event)
            return fail(name,
                "has a transition on the unknown event \"" + eventName + "\"; use one of "
                    + joinNames(m_symbols.events));
        if (!targetName.is_string())
            return fail(name, "must have the name of a state as the target of \"" + eventName + "\"");
        const std::string target = targetName.get<std::string>();
        const std::optional<chart::index> next = indexOf(m_symbols.states, target);
        if (!next)
            return fail(name,
                "has a transition to the unknown state \"" + target + "\"; use one of " + joinNames(m_symbols.states));
        m_transitions[state * m_symbols.events.size() + *event] = *next;
    }

    void fail(const std::string& state, const std::string& message)
    {
        recordError(m_context + ": state \"" + state + "\" " + message);
    }

    const std::string& m_context;
    const chart_symbols& m_symbols;
    std::vector<chart::index> m_transitions;
    std::vector<std::uint8_t> m_isFinal;
    std::vector<bool> m_isDefined;
    std::optional<error> m_error;
};

} // namespace internal

result<chart> chart::compile(const nlohmann::json& document, const std::string& context, const chart_symbols& symbols)
{
    internal::chart_compiler compiler { context, symbols };
    json_reader reader { document, context };
    chart compiled;
    compiled.m_name = reader.string("name");
    const std::string initialName = reader.string("initial");
    const nlohmann::json& states = reader.child("states");
    if (const std::optional<error> readError = reader.finish())
        return error { error_kind::invalid_chart, readError->message };
    if (!states.is_object())
        return error { error_kind::invalid_chart, context + ": field \"states\" must be an object; define the states" };
    const std::optional<index> initial = internal::indexOf(symbols.states, initialName);
    if (!initial)
        compiler.recordError(context + ": the initial state \"" + initialName + "\" is not known; use one of "
            + internal::joinNames(symbols.states));
    for (const auto& item : states.items())
        compiler.compileState(item.key(), item.value());
    compiler.checkDefined();
    if (!compiler.firstError())
        compiler.checkReachable(*initial);
    if (compiler.firstError())
        return *compiler.firstError();
    compiled.m_initial = *initial;
    compiled.m_stateNames = symbols.states;
    compiled.m_eventCount = symbols.events.size();
    compiled.m_transitions = compiler.transitions();
    compiled.m_isFinal = compiler.finalStates();
    return compiled;
}

result<chart> chart::load(const std::string& path, const chart_symbols& symbols)
{
    const result<nlohmann::json> document = readJsonFile(path);
    if (!hasValue(document))
        return errorOf(document);
    return compile(valueOf(document), path, symbols);
}

} // namespace knapweedcroft
