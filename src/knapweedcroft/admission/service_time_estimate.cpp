#include "knapweedcroft/admission/service_time_estimate.hpp"

namespace knapweedcroft {

namespace internal {

static constexpr double serviceTimeSampleWeight = 0.1;

} // namespace internal

void service_time_estimate::add(milliseconds sample) noexcept
{
    const double weight = m_hasSamples ? internal::serviceTimeSampleWeight : 1.0;
    m_mean += weight * (sample.count() - m_mean);
    m_hasSamples = true;
}

void service_time_estimate::addLowerBound(milliseconds sample) noexcept
{
    if (sample.count() > m_mean)
        add(sample);
}

} // namespace knapweedcroft
