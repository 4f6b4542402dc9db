#ifndef KNAPWEEDCROFT_LOG_SERVICE_FAULT_PLAN_HPP
#define KNAPWEEDCROFT_LOG_SERVICE_FAULT_PLAN_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace knapweedcroft {

/** @brief Fault injected into the log. */
enum class log_fault : std::uint8_t {
    none,
    down, /*!< Requests have no effect and are answered with 503. */
    slow, /*!< Requests are processed after a delay. */
    lose_answer /*!< Appends take effect but are never answered. */
};

/** @brief How to process a request. */
struct fault_decision {
    log_fault fault = log_fault::none;
    milliseconds delay; /*!< Time to wait before the request is processed. */
};

/** @brief Kind of a request, as far as the faults distinguish it. */
enum class log_request : std::uint8_t { append, read };

/** @brief Fault to inject, for a number of requests or until it is replaced. */
class fault_plan {
public:
    /** @brief Constructs a plan without faults. */
    fault_plan() noexcept = default;

    /**
     * @brief Reads a plan from the body of `POST /faults`.
     * @return The plan, or an error that names the field.
     */
    [[nodiscard]] static result<fault_plan> fromJson(const nlohmann::json& document);

    /**
     * @brief Determines how to process a request and counts it if the fault applies to it.
     * @param request Kind of the request; `lose_answer` applies to appends only.
     */
    [[nodiscard]] fault_decision decide(log_request request) noexcept;

    /** @brief Returns the fault that applies to the next request. */
    [[nodiscard]] log_fault fault() const noexcept { return m_fault; }

private:
    log_fault m_fault = log_fault::none;
    milliseconds m_delay;
    std::int64_t m_remaining = 0; /*!< Number of requests to which the fault still applies; 0 means no limit. */
};

} // namespace knapweedcroft

#endif
