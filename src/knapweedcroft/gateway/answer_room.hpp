#ifndef KNAPWEEDCROFT_GATEWAY_ANSWER_ROOM_HPP
#define KNAPWEEDCROFT_GATEWAY_ANSWER_ROOM_HPP

#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Large answer that a node may send now. */
struct answer_grant {
    node_name node;
    call_id call;

    friend bool operator==(const answer_grant& lhs, const answer_grant& rhs)
    {
        return lhs.node == rhs.node && lhs.call == rhs.call;
    }
};

/**
 * @brief Decides which large answers other nodes may send, so that those that clients have not read yet stay within a
 * part of the memory.
 *
 * Answers are granted in the order in which they were offered. Answers that are held behind an unanswered request of
 * their connection may wait for an offered one; so one answer at a time is granted beyond the limit, by up to half of
 * it, once it has waited for a while.
 */
class answer_room {
public:
    /**
     * @brief Constructs an object without offers.
     * @param limit Bytes of answers that may be held and on their way; one answer is granted whatever its size.
     */
    explicit answer_room(std::size_t limit)
        : m_limit { limit }
    {
    }

    /** @brief Adds an offer; one that is repeated replaces the earlier one, and its grant. */
    void offer(const node_name& node, call_id call, std::size_t bytes, time_point now);

    /** @brief Removes an offer or a grant: the answer has arrived, or it is not awaited any more. */
    void remove(const node_name& node, call_id call);

    /** @brief Removes the offers and grants of a node whose link has closed. */
    void remove(const node_name& node);

    /**
     * @brief Returns the answers that may be sent from now on; each is returned once.
     * @param heldBytes Bytes of answers that are held for clients.
     */
    [[nodiscard]] std::vector<answer_grant> takeGrants(std::size_t heldBytes, time_point now);

    /** @brief Returns the number of offers without a grant. */
    [[nodiscard]] std::size_t waitingCount() const noexcept { return m_waiting.size(); }

    /** @brief Returns the bytes of the answers that have been granted and have not arrived. */
    [[nodiscard]] std::size_t grantedBytes() const noexcept { return m_grantedBytes; }

private:
    using answer_key = std::pair<node_name, call_id>;

    struct waiting_offer {
        answer_key key;
        std::size_t bytes = 0;
        time_point offeredAt;
    };

    [[nodiscard]] bool hasRoom(const waiting_offer& offered, std::size_t heldBytes, time_point now) const;

    std::size_t m_limit;
    std::deque<waiting_offer> m_waiting;
    std::map<answer_key, std::size_t> m_granted;
    std::size_t m_grantedBytes = 0;
};

} // namespace knapweedcroft

#endif
