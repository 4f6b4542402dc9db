#ifndef KNAPWEEDCROFT_TEST_PLATFORM_SOAK_UPSTREAM_STAND_IN_HPP
#define KNAPWEEDCROFT_TEST_PLATFORM_SOAK_UPSTREAM_STAND_IN_HPP

#include "soak/request_ledger.hpp"

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/http/exchange_client.hpp"
#include "knapweedcroft/http/pipelined_server.hpp"
#include "knapweedcroft/net/http_client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedcroft::platform {

/** @brief Where an upstream of the soak runs. */
struct upstream_place {
    std::string node; /*!< Name of the node beside it. */
    std::string service;
    std::string data_centre;
    host_port address;
    std::string control; /*!< Address at which it announces itself. */
    std::string outbound; /*!< Address to which it sends its calls. */
    std::string hostName; /*!< Value of `Host` of its calls. */
};

/** @brief An upstream as the platform's pages describe it, with the faults of one. */
class upstream_stand_in {
public:
    static constexpr std::size_t slots = 16;

    /**
     * @brief Constructs an upstream that does not run.
     * @param loop The loop; must outlive the upstream.
     * @param place Where it runs.
     * @param entries The entries that it may be asked for; must outlive the upstream.
     * @param ledger Told of all that happens; must outlive the upstream.
     * @param seed Seed of its service times.
     */
    upstream_stand_in(event_loop& loop, upstream_place place, const std::vector<soak_entry>& entries,
        request_ledger& ledger, std::uint64_t seed);

    /** @brief Starts a new incarnation, which announces itself. */
    void start();

    /** @brief Ends at once; what it runs is lost. */
    void crash();

    /** @brief Sets the factor by which its service times are longer. */
    void setSlowness(int factor) { m_slowness = factor; }

    /** @brief Sets whether it closes the connection in place of every third answer. */
    void setLosesAnswers(bool losesAnswers) { m_losesAnswers = losesAnswers; }

private:
    struct job {
        std::uint64_t request = 0; // At the server.
        std::string id;
        const soak_entry* entry = nullptr;
        time_point deadline;
        std::unique_ptr<loop_timer> timer;
        std::uint64_t exchange = 0; // Of the call that it waits for; zero if there is none.
        std::string callId;
    };

    void announce();
    void receive(std::uint64_t request, const opaque_request& message);
    void reject(std::uint64_t request, const std::string& id, int status);
    void work(std::uint64_t number);
    void finish(std::uint64_t number, int status);
    void abandonCall(const job& ended);

    event_loop& m_loop;
    upstream_place m_place;
    const std::vector<soak_entry>& m_entries;
    request_ledger& m_ledger;
    std::mt19937_64 m_random;
    clock m_clock;
    exchange_client m_calls;
    http_client m_control;
    std::unique_ptr<pipelined_server> m_server;
    std::map<std::uint64_t, job> m_jobs;
    loop_timer m_announcements;
    std::string m_id;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_incarnations = 0;
    std::int64_t m_sequence = 0;
    std::uint64_t m_answers = 0;
    int m_slowness = 1;
    bool m_losesAnswers = false;
};

} // namespace knapweedcroft::platform

#endif
