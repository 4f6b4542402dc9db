#include "knapweedcroft/log_service/fault_plan.hpp"

#include "knapweedcroft/core/json_reader.hpp"

#include <optional>
#include <utility>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static std::optional<log_fault> parseFault(const std::string& name) noexcept
{
    if (name == "none")
        return log_fault::none;
    if (name == "down")
        return log_fault::down;
    if (name == "slow")
        return log_fault::slow;
    if (name == "lose_answer")
        return log_fault::lose_answer;
    return std::nullopt;
}

} // namespace internal

result<fault_plan> fault_plan::fromJson(const nlohmann::json& document)
{
    constexpr std::int64_t maxDelay = 600'000;
    constexpr std::int64_t maxCount = 1'000'000'000;
    json_reader reader { document, "faults" };
    const std::optional<log_fault> fault = internal::parseFault(reader.string("mode"));
    if (!fault)
        reader.fail(error_kind::invalid_value, "field \"mode\" must be none, down, slow or lose_answer");
    fault_plan plan;
    plan.m_fault = fault.value_or(log_fault::none);
    plan.m_delay = milliseconds { reader.integer("delay_ms", 0, maxDelay, 0) };
    plan.m_remaining = reader.integer("count", 0, maxCount, 0);
    if (std::optional<error> problem = reader.finish())
        return *std::move(problem);
    return plan;
}

fault_decision fault_plan::decide(log_request request) noexcept
{
    if (m_fault == log_fault::lose_answer && request == log_request::read)
        return {};
    const fault_decision decision { m_fault, m_fault == log_fault::none ? milliseconds {} : m_delay };
    if (m_remaining > 0 && --m_remaining == 0)
        m_fault = log_fault::none;
    return decision;
}

} // namespace knapweedcroft
