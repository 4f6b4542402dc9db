#ifndef KNAPWEEDCROFT_TEST_PLATFORM_STORE_STAND_IN_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_STORE_STAND_IN_HPP

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

/** @brief The platform's store as its pages describe it: keyed topics of one partition, with the faults that it has. */
class store_stand_in {
public:
    /**
     * @brief Starts a store.
     * @param loop The loop; must outlive the store.
     * @param host IP address to listen on.
     * @param port Port, or 0 to have the system choose one.
     */
    explicit store_stand_in(event_loop& loop, const std::string& host = "127.0.0.1", std::uint16_t port = 0);

    /** @brief Appends a record and answers the reads that wait for it. */
    void append(const std::string& topic, const keyed_record& record);

    /** @brief Adds a record without answering the reads that wait. */
    void addSilently(const std::string& topic, const keyed_record& record)
    {
        m_topics[topic].records.push_back(record);
    }

    /** @brief Deletes the records of a topic before an offset; the newest record of each key stays readable. */
    void forgetBefore(const std::string& topic, std::size_t offset) { m_topics[topic].first = offset; }

    /** @brief Deletes the history of all topics. */
    void forgetAll();

    /** @brief Returns the number of records that a topic ever had. */
    [[nodiscard]] std::size_t size(const std::string& topic) { return m_topics[topic].records.size(); }

    [[nodiscard]] const std::string& address() const { return m_address; }

    std::size_t newestCalls = 0;
    std::size_t readCalls = 0;
    std::size_t appendCalls = 0;
    std::optional<int> failure; /*!< Status of all answers while set. */
    std::size_t lostAppends = 0; /*!< Appends that take effect without an answer. */
    std::vector<std::string> appended; /*!< Bodies of the appends that took effect. */

private:
    struct waiting_read {
        std::uint64_t id;
        std::size_t from;
        std::unique_ptr<loop_timer> limit;
    };

    struct topic_log {
        std::vector<keyed_record> records;
        std::size_t first = 0; // Oldest retained offset.
        std::vector<waiting_read> waiting;
    };

    void onNewest(std::uint64_t id, const http_request& request);
    void onRead(std::uint64_t id, const http_request& request);
    void onAppend(std::uint64_t id, const http_request& request);
    void answerRead(std::uint64_t id, const topic_log& source, std::size_t from);
    void endWait(const std::string& name, std::uint64_t id);
    [[nodiscard]] bool fail(std::uint64_t id);

    event_loop& m_loop;
    http_server m_server;
    std::string m_address;
    std::map<std::string, topic_log> m_topics;
};

} // namespace knapweedcroft::platform

#endif
