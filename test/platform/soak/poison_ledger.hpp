#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_POISON_LEDGER_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_POISON_LEDGER_HPP

#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Bounds on what upstreams receive of a request that crashes each upstream which runs it. */
struct poison_bounds {
    std::size_t crashes = 3; /*!< After this many crashes the request has to be held back. */
    milliseconds contact { 500 }; /*!< From the last of them until it has to be; the platform's rule allows 3 s. */
    std::size_t retries = 3; /*!< Times that it may still reach an upstream afterwards. */
};

/** @brief Records the runs and crashes of one request content that crashes upstreams. */
class poison_ledger {
public:
    explicit poison_ledger(const poison_bounds& bounds = {})
        : m_bounds { bounds }
    {
    }

    /** @brief Records that the request reached an upstream. */
    void recordArrival(time_point now) { m_arrivals.push_back(now); }

    /** @brief Records that an upstream crashed while it ran the request. */
    void recordCrash(time_point now) { m_crashes.push_back(now); }

    [[nodiscard]] std::size_t crashes() const { return m_crashes.size(); }

    [[nodiscard]] std::vector<std::string> violations() const;

private:
    poison_bounds m_bounds;
    std::vector<time_point> m_arrivals;
    std::vector<time_point> m_crashes;
};

} // namespace knapweedcroft::platform

#endif
