#ifndef KNAPWEEDCROFT_GATEWAY_DOWNSTREAM_ROOM_HPP
#define KNAPWEEDCROFT_GATEWAY_DOWNSTREAM_ROOM_HPP

#include "knapweedcroft/core/time.hpp"

#include <map>
#include <string>

namespace knapweedcroft {

/** @brief Room of the services that the upstream of this host calls, from the answers to its calls. */
class downstream_room {
public:
    /**
     * @brief Takes the room that came with an answer.
     * @param entry Entry of the call.
     * @param share Share of new work for which there is room at its upstream and further down.
     * @param now Present time.
     */
    void update(const std::string& entry, double share, time_point now);

    /**
     * @brief Returns the least room over all entries that were called lately.
     * @param now Present time.
     * @return The share; 1 if nothing was called.
     */
    [[nodiscard]] double least(time_point now) const;

private:
    struct entry_room {
        double share = 1.0;
        time_point at;
    };

    std::map<std::string, entry_room> m_entries;
};

} // namespace knapweedcroft

#endif
