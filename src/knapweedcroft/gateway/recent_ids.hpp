#ifndef KNAPWEEDCROFT_GATEWAY_RECENT_IDS_HPP
#define KNAPWEEDCROFT_GATEWAY_RECENT_IDS_HPP

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace knapweedcroft {

/** @brief Set of identifiers that forgets the earliest ones beyond a limit. */
class recent_ids {
public:
    /** @brief Constructs an empty set that holds up to `maxSize` identifiers. */
    explicit recent_ids(std::size_t maxSize)
        : m_maxSize { maxSize }
    {
    }

    /** @brief Returns true if the set holds an identifier. */
    [[nodiscard]] bool contains(const std::string& id) const { return m_ids.count(id) != 0; }

    /**
     * @brief Inserts an identifier.
     * @return False if the set holds it already; nothing changes then.
     */
    bool insert(const std::string& id);

private:
    std::size_t m_maxSize;
    std::set<std::string> m_ids;
    std::deque<std::string> m_order; /*!< The same identifiers, the earliest first. */
};

} // namespace knapweedcroft

#endif
