#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_EXPECTATION_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_SOAK_EXPECTATION_HPP

#include "soak/soak_run.hpp"

#include <gtest/gtest.h>

namespace knapweedcroft::platform {

/** @brief Plays a plan and expects that no guarantee is violated. */
inline void expectNoViolation(const fault_plan& plan)
{
    constexpr std::uint64_t seed = 1;
    soak_run run { seed, plan };
    const soak_report report = run.execute();
    EXPECT_EQ(report.violations.size(), 0U)
        << report.summary << "\n  " << (report.violations.empty() ? "" : report.violations.front());
}

} // namespace knapweedcroft::platform

#endif
