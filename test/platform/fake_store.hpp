#ifndef KNAPWEEDCROFT_TEST_PLATFORM_FAKE_STORE_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_FAKE_STORE_HPP

#include "messages.hpp"

#include "knapweedcroft/net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Fake of the platform's store: single-partition keyed topics as documented, with injectable faults. */
class fake_store {
public:
    /**
     * @brief Starts listening.
     * @param loop Event loop; must outlive the store.
     * @param host IP address to listen on.
     * @param port Port, or 0 for an ephemeral one.
     */
    explicit fake_store(event_loop& loop, const std::string& host = "127.0.0.1", std::uint16_t port = 0);

    /** @brief Appends a record and completes the pending long polls of the topic. */
    void append(const std::string& topic, const keyed_record& record);

    /** @brief Appends a record without completing pending long polls. */
    void appendWithoutNotify(const std::string& topic, const keyed_record& record)
    {
        m_topics[topic].records.push_back(record);
        m_topics[topic].appendedAt.push_back(m_clock.now());
    }

    /** @brief Truncates a topic's history before an offset; the newest record of each key stays in the snapshot. */
    void truncateBefore(const std::string& topic, std::size_t offset) { m_topics[topic].firstOffset = offset; }

    /** @brief Truncates the whole history of all topics; their snapshots stay readable. */
    void truncateAll();

    /**
     * @brief Comes back from an older copy: drops the last records of a topic, starts a new era and resets all reads.
     * @param count Number of records to drop.
     */
    void restoreOlderCopy(const std::string& topic, std::size_t count);

    /** @brief Comes back from a copy of some time ago. */
    void restoreOlderCopy(milliseconds age);

    /** @brief Returns the number of records appended to a topic, including truncated ones. */
    [[nodiscard]] std::size_t size(const std::string& topic) { return m_topics[topic].records.size(); }

    [[nodiscard]] const std::string& address() const { return m_address; }

    std::size_t snapshotCalls = 0;
    std::size_t readCalls = 0;
    std::size_t appendCalls = 0;
    std::optional<int> failureStatus; /*!< HTTP status of all responses while set. */
    bool ignoresRequests = false; /*!< Requests get no answer while set. */
    std::optional<std::string> era { "1" }; /*!< Value of the header that names the era; none if empty. */
    std::int64_t lastReadWaitMs = -1; /*!< Long-poll time of the last read. */
    std::size_t appendsWithoutResponse = 0; /*!< Number of next appends to apply without sending a response. */
    std::optional<milliseconds> appendDelay; /*!< The next append runs after this time and sends no response. */
    std::size_t fencedAppends = 0; /*!< Appends that were refused for their epoch. */
    std::vector<std::string> appendedBodies; /*!< Request bodies of the appends that were applied or repeated. */

private:
    struct pending_read {
        std::uint64_t id;
        std::size_t from;
        std::unique_ptr<loop_timer> timeout;
    };

    struct topic_log {
        std::vector<keyed_record> records;
        std::vector<time_point> appendedAt;
        std::size_t firstOffset = 0; // Oldest retained offset.
        std::vector<pending_read> pendingReads;
        std::map<std::string, std::uint64_t> epochs; // Latest epoch of each producer.
    };

    void onSnapshot(std::uint64_t id, const http_request& request);
    void onRead(std::uint64_t id, const http_request& request);
    void onAppend(std::uint64_t id, const http_request& request);
    [[nodiscard]] http_response runAppend(const http_request& request);
    void respondToRead(std::uint64_t id, const topic_log& log, std::size_t from);
    void onReadTimeout(const std::string& name, std::uint64_t id);
    [[nodiscard]] bool injectFailure(std::uint64_t id);
    void answer(std::uint64_t id, http_response response);
    void startEra();

    event_loop& m_loop;
    clock m_clock { system_time_source {} };
    http_server m_server;
    std::string m_address;
    std::map<std::string, topic_log> m_topics;
    std::vector<std::unique_ptr<loop_timer>> m_delayedAppends;
};

} // namespace knapweedcroft::platform

#endif
