#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAKE_UPSTREAM_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_FAKE_UPSTREAM_HPP

#include "soak/request_ledger.hpp"

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Identity and addresses of a fake upstream. */
struct upstream_location {
    std::string node; /*!< Name of its node. */
    std::string service;
    std::string data_centre;
    host_port address;
    std::string control; /*!< Address that receives its announcements. */
    std::string outbound; /*!< Address that receives its sub-calls. */
    std::string hostName; /*!< `Host` header of its sub-calls. */
};

/** @brief What an upstream does with a request for which it has neither a slot nor room in its queue. */
enum class full_behaviour : unsigned char {
    shed, /*!< Answers that it did not run the request. */
    hang /*!< Never answers it, nor any later request on that connection. */
};

/** @brief Fake upstream that follows the documented protocol and can inject faults. */
class fake_upstream {
public:
    static constexpr std::size_t slots = 16;
    static constexpr const char* poisonTarget = "/look/poison"; /*!< Crashes the upstream that runs it. */

    /**
     * @brief Constructs a stopped upstream.
     * @param loop Must outlive the upstream.
     * @param entries Kinds of requests of all services; must outlive the upstream.
     * @param ledger Records all requests; must outlive the upstream.
     * @param seed Seed of the service times.
     * @param onFull What it does with requests that it cannot queue.
     */
    fake_upstream(event_loop& loop, upstream_location location, const std::vector<soak_entry>& entries,
        request_ledger& ledger, std::uint64_t seed, full_behaviour onFull = full_behaviour::shed);

    /** @brief Starts a new incarnation, which announces itself periodically. */
    void start();

    /** @brief Stops at once; running requests are lost. */
    void crash();

    /** @brief Announces that it leaves until this is acknowledged, and goes on serving. */
    void leave();

    /** @brief Sets the factor applied to the service times. */
    void setServiceTimeFactor(int factor) { m_serviceTimeFactor = factor; }

    /** @brief Returns the number of requests that it could not queue and never answers. */
    [[nodiscard]] std::size_t hungRequests() const { return m_hungRequests; }

    /** @brief Sets whether every third response is replaced by closing the connection. */
    void setDropsResponses(bool shouldDropResponses) { m_shouldDropResponses = shouldDropResponses; }

    /** @brief Sets the limit, in requests per second, that it names in its answers; nothing if it names none. */
    void setRateLimit(std::optional<double> limit) { m_rateLimit = limit; }

    /** @brief Sets whether it says in its answers that it leaves. */
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

private:
    struct job {
        std::uint64_t request = 0; // Request id at the server.
        std::string id;
        const soak_entry* entry = nullptr;
        time_point deadline;
        std::unique_ptr<loop_timer> timer;
        std::uint64_t exchange = 0; // Id of the pending sub-call; 0 if there is none.
        std::string callId;
        bool isPoison = false;
    };

    void announce();
    void receive(std::uint64_t request, const opaque_request& message);
    void reject(std::uint64_t request, const std::string& id, int status);
    void execute(std::uint64_t number);
    void finish(std::uint64_t number, int status);
    void cancelCall(const job& ended);
    void crashAndRestart();
    void addNotices(opaque_response& response);

    event_loop& m_loop;
    upstream_location m_location;
    const std::vector<soak_entry>& m_entries;
    request_ledger& m_ledger;
    std::mt19937_64 m_random;
    clock m_clock;
    exchange_client m_calls;
    http_client m_control;
    std::unique_ptr<pipelined_server> m_server;
    std::map<std::uint64_t, job> m_jobs;
    loop_timer m_announcements;
    loop_timer m_leaveCalls;
    loop_timer m_restart;
    std::string m_id;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_incarnations = 0;
    std::int64_t m_sequence = 0;
    std::uint64_t m_answers = 0;
    int m_serviceTimeFactor = 1;
    bool m_shouldDropResponses = false;
    full_behaviour m_onFull;
    std::size_t m_hungRequests = 0;
    bool m_isLeaving = false;
    std::optional<double> m_rateLimit;
    std::optional<double> m_namedLimit; /*!< Limit that the latest answer named. */
};

} // namespace knapweedcroft::platform

#endif
