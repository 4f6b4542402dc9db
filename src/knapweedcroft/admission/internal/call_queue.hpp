#ifndef KNAPWEEDCROFT_ADMISSION_INTERNAL_CALL_QUEUE_HPP
#define KNAPWEEDCROFT_ADMISSION_INTERNAL_CALL_QUEUE_HPP

#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace knapweedcroft::internal {

/** @brief Position of a call in the queue; the lowest key is started first and evicted last. */
struct queue_key {
    priority order;
    std::uint64_t sequence = 0; /*!< Unique; ascending in the order of arrival. */

    friend bool operator<(const queue_key& lhs, const queue_key& rhs) noexcept
    {
        return lhs.order != rhs.order ? lhs.order < rhs.order : lhs.sequence < rhs.sequence;
    }
};

/** @brief Call that waits for a slot. */
struct queued_call {
    call_id id;
    queue_key key;
    priority callPriority; /*!< Priority of the call itself, independent of the queue order. */
    std::string entry;
    std::uint32_t entryLimit = 0; /*!< Concurrency limit of the entry; zero for no limit. */
    time_point arrival;
    time_point deadline;
    time_point latestStart; /*!< A call not started by then is not expected to meet its deadline. */
};

/**
 * @brief Ordered queue of calls that enforces the concurrency limit of each entry.
 *
 * A call is ready if it may start as soon as the upstream has a free slot, and blocked if the running and ready calls
 * of its entry have reached the limit of the entry. The first calls of an entry in queue order are the ready ones.
 */
class call_queue {
public:
    /**
     * @brief Adds a call.
     * @param call The call; its identifier must not be in the queue.
     */
    void add(queued_call call);

    /** @brief Removes a call and returns it; nothing if it is not queued. */
    std::optional<queued_call> remove(call_id id);

    /**
     * @brief Adds a running call of an entry.
     * @param entryLimit Concurrency limit of the entry; if zero, nothing is counted.
     */
    void addRunning(const std::string& entry, std::uint32_t entryLimit);

    /**
     * @brief Removes a running call of an entry.
     * @param entry Name of an entry with a limit.
     */
    void removeRunning(const std::string& entry);

    /** @brief Returns whether a call is queued. */
    [[nodiscard]] bool contains(call_id id) const { return m_calls.count(id) != 0; }

    /** @brief Returns the first ready call in queue order, or null. */
    [[nodiscard]] const queued_call* first() const;

    /** @brief Returns the last ready call in queue order, or null. */
    [[nodiscard]] const queued_call* last() const;

    /** @brief Returns the last blocked call of an entry in queue order, or null. */
    [[nodiscard]] const queued_call* lastBlocked(const std::string& entry) const;

    /** @brief Returns the ready or blocked call with the earliest `latestStart`, or null. */
    [[nodiscard]] const queued_call* firstByLatestStart() const;

    /** @brief Returns the number of ready calls before a position in the queue. */
    [[nodiscard]] std::size_t readyBefore(const queue_key& key) const { return m_ready.order_of_key(key); }

    /** @brief Returns the number of queued calls of a limited entry before a position; zero without a limit. */
    [[nodiscard]] std::size_t entryQueuedBefore(const std::string& entry, const queue_key& key) const;

    /** @brief Returns the number of running calls of a limited entry; zero without a limit. */
    [[nodiscard]] std::uint32_t entryRunning(const std::string& entry) const;

    /** @brief Returns the number of blocked calls of an entry. */
    [[nodiscard]] std::size_t blocked(const std::string& entry) const;

    /** @brief Returns the number of ready calls. */
    [[nodiscard]] std::size_t ready() const noexcept { return m_ready.size(); }

    /** @brief Returns the number of ready and blocked calls. */
    [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }

private:
    // Order-statistics tree: the calls ahead of a position are counted in logarithmic time.
    using ordered_calls = __gnu_pbds::tree<queue_key, call_id, std::less<queue_key>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    struct limited_entry {
        std::uint32_t limit = 0;
        std::uint32_t running = 0;
        ordered_calls ready;
        ordered_calls blocked;
    };

    void rebalance(limited_entry& entry);
    void makeReady(limited_entry& entry);
    void block(limited_entry& entry);
    void eraseIfUnused(const std::string& entry);

    std::unordered_map<call_id, queued_call> m_calls;
    ordered_calls m_ready;
    std::set<std::pair<time_point, call_id>> m_byLatestStart;
    std::unordered_map<std::string, limited_entry> m_limitedEntries;
};

} // namespace knapweedcroft::internal

#endif
