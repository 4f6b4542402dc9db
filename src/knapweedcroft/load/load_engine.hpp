#ifndef KNAPWEEDCROFT_LOAD_LOAD_ENGINE_HPP
#define KNAPWEEDCROFT_LOAD_LOAD_ENGINE_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/load/answer_check.hpp"
#include "knapweedcroft/load/arrivals.hpp"
#include "knapweedcroft/load/call_key.hpp"
#include "knapweedcroft/load/client_request.hpp"
#include "knapweedcroft/load/deployment.hpp"
#include "knapweedcroft/load/load_run.hpp"
#include "knapweedcroft/load/settings.hpp"
#include "knapweedcroft/load/shape.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedcroft {

/** @brief Schedule and settings of a load run. */
struct load_plan {
    std::vector<arrival> arrivals; /*!< In order of time. */
    std::vector<load_phase> phases; /*!< The phases that the arrivals name. */
    client_settings client;
    milliseconds settle { 3000 }; /*!< Maximum wait for executions to end before effects are counted. */
    std::uint64_t seed = 1; /*!< Seed of the choice of entry nodes. */
};

/** @brief Progress of a run. */
struct load_progress {
    std::string phase;
    milliseconds elapsed;
    std::size_t arrived = 0;
    std::size_t completed = 0;
    std::size_t inFlight = 0; /*!< Requests that have not ended. */
};

/** @brief Runs a load plan against a deployment as an open loop: arrivals never wait for answers. */
class load_engine {
public:
    /** @brief Called about once a second. */
    using progress_handler = std::function<void(const load_progress&)>;

    /**
     * @brief Constructs an engine; all arguments but the plan must outlive it.
     * @param against Addresses of the nodes and upstreams.
     * @param plan What to send.
     * @param onProgress Receiver of the progress; may be empty.
     */
    load_engine(event_loop& loop, const clock& time, const shape& on, const deployment& against, load_plan plan,
        progress_handler onProgress);

    /**
     * @brief Runs the plan, resets the injected faults and fetches the effect counts.
     * @return The record of the run, or an error of kind `connection_failed` if an upstream does not answer at the
     * start.
     */
    [[nodiscard]] result<load_run> run();

    /** @brief Ends the run early and abandons requests in flight. */
    void interrupt();

private:
    struct active_action {
        active_action(const client_settings& settings, time_point start)
            : request { settings, start }
        {
        }

        client_request request;
        std::string key;
        std::uint32_t attempt = 0; /*!< Attempt in flight; 0 while none is. */
        http_client::request_id sent = 0; /*!< Request of the last attempt. */
    };

    struct count_query {
        void handleOutcome(std::size_t index, const http_outcome& outcome);

        std::vector<upstream_counts> counts;
        std::size_t pending = 0;
    };

    void startPhase(std::size_t phase);
    void scheduleNext();
    void processDue();
    void startAction(std::size_t index);
    void applyStep(std::size_t index, const client_step& step);
    void sendAttempt(std::size_t index, milliseconds timeout);
    void handleAttemptEnd(std::size_t index, std::uint32_t attempt, const http_outcome& outcome);
    [[nodiscard]] classified_answer classify(std::size_t index, const http_outcome& outcome);
    void endAction(std::size_t index, attempt_end end);
    void reportProgress();
    void postFault(const load_fault& fault, double slowFactor);
    void setFaults(std::size_t phase, bool isOn);
    [[nodiscard]] std::vector<upstream_counts> fetchCounts();
    void awaitExecutions();
    void abandonActive();
    [[nodiscard]] const std::string& chooseNode(const std::string& dataCentre);
    [[nodiscard]] milliseconds elapsed() const;
    [[nodiscard]] bool isFinished() const;

    event_loop& m_loop;
    const clock& m_clock;
    const shape& m_shape;
    const deployment& m_deployment;
    load_plan m_plan;
    progress_handler m_onProgress;
    http_client m_client;
    http_client m_control;
    std::vector<answer_spec> m_answerSpecs;
    std::map<std::string, std::vector<std::string>> m_nodes;
    std::vector<std::string> m_allNodes;
    key_reissuer m_keys;
    std::mt19937_64 m_random;
    loop_timer m_wakeup;
    loop_timer m_progressTimer;
    time_point m_start;
    std::size_t m_nextArrival = 0;
    std::size_t m_nextPhase = 0;
    std::size_t m_completed = 0;
    std::unordered_map<std::size_t, active_action> m_active;
    std::multimap<time_point, std::size_t> m_retries;
    load_run m_run;
};

} // namespace knapweedcroft

#endif
