#include "knapweedcroft/load/effect_audit.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <unordered_map>
#include <utility>

namespace knapweedcroft {

namespace internal {

/** @brief Answers that clients got for one key. */
struct key_answers {
    std::size_t entry = 0;
    bool wasCompleted = false;
    bool wasOnlyRefused = true;
};

using key_effects = std::map<service_name, std::unordered_map<std::string, std::uint64_t>>;
using answers_by_key = std::map<std::string, key_answers>;

/** @brief An effect required by a completed request with a key. */
struct expected_effect {
    service_name service;
    std::string key;
};

[[nodiscard]] static std::uint64_t sum(const std::map<std::string, std::uint64_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t { 0 },
        [](std::uint64_t value, const std::pair<const std::string, std::uint64_t>& item) {
            return value + item.second;
        });
}

[[nodiscard]] static std::uint64_t countOf(const attempt_counts& counts, attempt_end end) noexcept
{
    return counts[static_cast<std::size_t>(end)];
}

[[nodiscard]] static std::uint64_t allAttempts(const attempt_counts& counts) noexcept
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t { 0 });
}

[[nodiscard]] static std::uint64_t refusedAttempts(const attempt_counts& counts) noexcept
{
    return countOf(counts, attempt_end::refused_not_run) + countOf(counts, attempt_end::rejected);
}

/** @brief Lists effects with the keys that upstreams derive for their keyed calls: the key, a dot and the number. */
static void addExpectedEffects(const shape& on, const service_name& service, const std::string& operation,
    const std::string& key, std::vector<expected_effect>& effects)
{
    const shape_operation& described = findService(on, service)->operations.at(operation);
    if (described.hasEffect)
        effects.push_back({ service, key });
    std::size_t number = 0;
    for (const std::vector<shape_call>& step : described.steps) {
        for (const shape_call& call : step) {
            ++number;
            if (call.isKeyed)
                addExpectedEffects(on, call.service, call.operation, key + "." + std::to_string(number), effects);
        }
    }
}

[[nodiscard]] static std::vector<expected_effect> expectedEffects(
    const shape& on, std::size_t entry, const std::string& key)
{
    std::vector<expected_effect> effects;
    const catalogue_entry& called = on.entries[entry].entry;
    addExpectedEffects(on, called.service(), called.operation(), key, effects);
    return effects;
}

[[nodiscard]] static answers_by_key collectAnswers(const load_run& run)
{
    answers_by_key answers;
    for (const action_record& action : run.actions) {
        if (action.key.empty())
            continue;
        key_answers& answer = answers[action.key];
        const bool wasOnlyRefused = refusedAttempts(action.attempts) == allAttempts(action.attempts);
        answer.entry = action.entry;
        answer.wasCompleted = answer.wasCompleted || countOf(action.attempts, attempt_end::completed) > 0;
        answer.wasOnlyRefused = answer.wasOnlyRefused && wasOnlyRefused;
    }
    return answers;
}

[[nodiscard]] static key_effects collectEffects(const std::vector<upstream_counts>& counts)
{
    key_effects effects;
    for (const upstream_counts& upstream : counts) {
        for (const std::pair<const std::string, std::uint64_t>& item : upstream.keys)
            effects[upstream.service][item.first] += item.second;
    }
    return effects;
}

[[nodiscard]] static std::uint64_t effectsOf(
    const key_effects& effects, const service_name& service, const std::string& key)
{
    const auto keys = effects.find(service);
    if (keys == effects.end())
        return 0;
    const auto position = keys->second.find(key);
    return position == keys->second.end() ? 0 : position->second;
}

[[nodiscard]] static bool hasRestarted(const upstream_counts& before, const upstream_counts& after)
{
    return sum(after.executions) < sum(before.executions);
}

static void addUpstream(const upstream_counts& before, const upstream_counts& after, effect_audit& audit)
{
    if (!before.isKnown || !after.isKnown || hasRestarted(before, after)) {
        audit.unaudited.push_back(after.host);
        return;
    }
    audit.executions += sum(after.executions) - sum(before.executions);
    audit.executionBound += sum(after.unwound) - sum(before.unwound);
    audit.mismatched += after.mismatched - before.mismatched;
    audit.afterLeave += after.afterLeave - before.afterLeave;
}

static void addActions(const shape& on, const load_run& run, const answers_by_key& answers, effect_audit& audit)
{
    std::vector<std::uint64_t> treeSizes;
    for (const shape_entry& item : on.entries)
        treeSizes.push_back(sum(callTree(on, item.entry.service(), item.entry.operation())));
    for (const action_record& action : run.actions) {
        const std::uint64_t started = allAttempts(action.attempts) - refusedAttempts(action.attempts);
        audit.executionBound += started * (treeSizes[action.entry] + on.entries[action.entry].entry.retryBudget());
        if (action.key.empty())
            audit.requiredExecutions += countOf(action.attempts, attempt_end::completed) * treeSizes[action.entry];
    }
    for (const std::pair<const std::string, key_answers>& item : answers) {
        if (item.second.wasCompleted)
            audit.requiredExecutions += treeSizes[item.second.entry];
    }
}

static void checkKeys(const shape& on, const answers_by_key& answers, const key_effects& effects, effect_audit& audit)
{
    const bool isComplete = audit.unaudited.empty();
    for (const std::pair<const std::string, key_answers>& item : answers) {
        for (const expected_effect& expected : expectedEffects(on, item.second.entry, item.first)) {
            const std::uint64_t count = effectsOf(effects, expected.service, expected.key);
            const std::string name = expected.service + " " + expected.key;
            if (item.second.wasCompleted && count == 0 && isComplete)
                audit.lostKeys.push_back(name);
            if (item.second.wasOnlyRefused && count > 0)
                audit.refusedKeys.push_back(name);
        }
    }
}

static void checkRepeats(const key_effects& before, const key_effects& after, effect_audit& audit)
{
    for (const std::pair<const service_name, std::unordered_map<std::string, std::uint64_t>>& service : after) {
        for (const std::pair<const std::string, std::uint64_t>& item : service.second) {
            if (item.second > 1 && item.second > effectsOf(before, service.first, item.first))
                audit.repeatedKeys.push_back(service.first + " " + item.first);
        }
    }
    std::sort(audit.repeatedKeys.begin(), audit.repeatedKeys.end());
}

static void addEach(std::vector<violation>& violations, const std::string& promise, const std::string& text,
    const std::vector<std::string>& items)
{
    for (const std::string& item : items)
        violations.push_back({ promise, text + item });
}

[[nodiscard]] static bool isUnexpected(const action_record& action) noexcept
{
    const bool wasCompleted = action.end == attempt_end::completed;
    const bool wasRejected = action.end == attempt_end::rejected;
    return action.expect == expected_answer::answered ? !wasCompleted : !wasRejected;
}

} // namespace internal

double effect_audit::wastedShare() const noexcept
{
    if (executions <= requiredExecutions)
        return 0.0;
    return static_cast<double>(executions - requiredExecutions) / static_cast<double>(executions);
}

effect_audit auditEffects(const shape& on, const load_run& run)
{
    effect_audit audit;
    for (std::size_t index = 0; index < run.before.size() && index < run.after.size(); ++index)
        internal::addUpstream(run.before[index], run.after[index], audit);
    const internal::answers_by_key answers = internal::collectAnswers(run);
    const internal::key_effects before = internal::collectEffects(run.before);
    const internal::key_effects after = internal::collectEffects(run.after);
    internal::addActions(on, run, answers, audit);
    internal::checkKeys(on, answers, after, audit);
    internal::checkRepeats(before, after, audit);
    return audit;
}

std::vector<violation> findViolations(const load_run& run, const effect_audit& audit)
{
    std::vector<violation> violations;
    if (audit.unaudited.empty() && audit.executions > audit.executionBound)
        violations.push_back({ "P1",
            std::to_string(audit.executions) + " executions, but the retry budgets allow "
                + std::to_string(audit.executionBound) });
    internal::addEach(violations, "P3", "", run.answerFaults);
    if (audit.mismatched > 0)
        violations.push_back({ "P3", std::to_string(audit.mismatched) + " sub-calls got the answer of another call" });
    internal::addEach(violations, "P4", "refused as not run, but took effect: ", audit.refusedKeys);
    internal::addEach(violations, "P5", "took effect more than once: ", audit.repeatedKeys);
    internal::addEach(violations, "lost", "answered, but an effect is missing: ", audit.lostKeys);
    if (audit.afterLeave > 0)
        violations.push_back(
            { "P6", std::to_string(audit.afterLeave) + " calls came more than 2 s after an upstream's leave" });
    internal::addEach(violations, "interface", "", run.interfaceFaults);
    return violations;
}

std::vector<violation> findUnexpectedEnds(const shape& on, const load_run& run)
{
    std::vector<violation> violations;
    for (std::size_t index = 0; index < run.actions.size(); ++index) {
        const action_record& action = run.actions[index];
        if (!internal::isUnexpected(action))
            continue;
        const bool isAnswerExpected = action.expect == expected_answer::answered;
        violations.push_back({ "expectation",
            "call " + std::to_string(index + 1) + " (" + on.entries[action.entry].entry.name() + ") ended as "
                + std::string { toString(action.end) } + ", expected "
                + (isAnswerExpected ? "a complete answer" : "a refusal that is final") });
    }
    return violations;
}

} // namespace knapweedcroft
