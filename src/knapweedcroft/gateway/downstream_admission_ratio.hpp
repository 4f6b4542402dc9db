#ifndef KNAPWEEDCROFT_GATEWAY_DOWNSTREAM_ADMISSION_RATIO_HPP
#define KNAPWEEDCROFT_GATEWAY_DOWNSTREAM_ADMISSION_RATIO_HPP

#include "knapweedcroft/core/time.hpp"

#include <map>
#include <string>

namespace knapweedcroft {

/**
 * @brief Admission ratios of the services that the upstream of this host calls, as reported by the answers to its
 * calls.
 */
class downstream_admission_ratio {
public:
    /**
     * @brief Updates the ratio of an entry from an answer.
     * @param ratio Admission ratio of the called upstream and of the services below it.
     */
    void update(const std::string& entry, double ratio, time_point now);

    /** @brief Returns the lowest ratio over all recently called entries; 1 if there are none. */
    [[nodiscard]] double minimum(time_point now) const;

private:
    struct entry_ratio {
        double ratio = 1.0;
        time_point at;
    };

    std::map<std::string, entry_ratio> m_entries;
};

} // namespace knapweedcroft

#endif
