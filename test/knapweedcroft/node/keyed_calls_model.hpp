#ifndef KNAPWEEDCROFT_TEST_NODE_KEYED_CALLS_MODEL_HPP
#define KNAPWEEDCROFT_TEST_NODE_KEYED_CALLS_MODEL_HPP

#include "knapweedcroft/node/key_service.hpp"
#include "knapweedcroft/node/membership_agent.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft {

/** @brief Mechanisms to disable in the model, to verify that the invariants depend on them. */
struct disabled_mechanisms {
    bool areLeasesIgnored = false; /*!< The lease of a holder never expires. */
    bool isTakeoverIgnored = false; /*!< Keys with an unknown history run. */
    bool isHandOverIgnored = false; /*!< Hand-overs are acknowledged, but their records are discarded. */
    bool isDeadlineIgnored = false; /*!< Upstreams run calls past their deadline. */
    bool isDeadlineFromReceipt = false; /*!< The time to the deadline counts from receipt at the upstream. */
    bool isDelegateLeaseIgnored = false; /*!< Delegates run calls without a lease of their own. */
};

enum class model_fault_kind : std::uint8_t {
    pause,
    kill, /*!< The process ends; a new incarnation starts after the duration. */
    cut, /*!< Messages between two members are lost. */
    isolate, /*!< A member can reach neither other members nor the log, but clients can reach it. */
    lose_messages,
    log_down,
    log_slow,
    lose_append_answers,
    set_clock,
    join, /*!< A node starts on a host that runs none. */
    leave /*!< The node drains and stops; a new incarnation starts after the duration. */
};

struct model_fault {
    model_fault_kind kind = model_fault_kind::pause;
    std::int64_t at = 0; /*!< Virtual milliseconds, like all times of the model. */
    std::size_t host = 0;
    std::size_t other = 0;
    std::int64_t duration = 0;
};

std::ostream& operator<<(std::ostream& out, const model_fault& fault);

struct model_plan {
    std::uint64_t seed = 1;
    std::size_t members = 4;
    std::int64_t length = 22'000;
    std::int64_t keyInterval = 250; /*!< Interval at which clients start new keys. */
    int attempts = 5; /*!< Attempts per key, each at a random member. */
    std::int64_t retrySpan = 20'000; /*!< Time within which all attempts of a key are made. */
    std::int64_t firstKeyAt = 1000;
    bool areClocksSkewed = true; /*!< Clocks of hosts and clients differ, and one host may run well ahead. */
    bool areRandomFaultsOff = false; /*!< Only `faults` cause lost messages, delayed writes or shed calls. */
    std::vector<model_fault> faults;
    disabled_mechanisms disabled;
};

/** @brief One attempt of a client. */
struct model_attempt {
    std::size_t key = 0;
    std::int64_t at = 0;
    std::optional<call_result> outcome; /*!< Empty if the client got no answer. */
};

/** @brief A key with the attempts of its client and the effects that they had. */
struct model_key {
    std::string text;
    bool hasTimestamp = false; /*!< The key is a UUIDv7. */
    std::vector<std::int64_t> effects; /*!< Times at which the key took effect, at any upstream. */
    std::vector<std::size_t> attempts;
};

/**
 * @brief Deterministic discrete-event simulation of the hosts of one service.
 *
 * Runs the state modules of the nodes with a simulated log, network, upstreams and clients. Equal plans give equal
 * runs.
 */
class keyed_calls_model {
public:
    static constexpr std::int64_t window = 8000;
    static constexpr std::size_t hostCount = 6;

    explicit keyed_calls_model(const model_plan& plan);
    ~keyed_calls_model();

    /** @brief Runs the plan and returns the violated invariants, one per line; empty if all hold. */
    [[nodiscard]] std::string run();

    [[nodiscard]] const std::vector<model_key>& keys() const noexcept { return m_keys; }
    [[nodiscard]] const std::vector<model_attempt>& attempts() const noexcept { return m_attempts; }

private:
    struct process;
    struct open_call;
    using node_step = std::function<void(process&)>;

    struct host {
        node_name name;
        std::unique_ptr<process> running;
        std::uint64_t generation = 0;
        std::int64_t pausedUntil = 0;
        std::int64_t isolatedUntil = 0;
        std::int64_t bootAt = 0; /*!< Zero of the monotonic clock, at or before virtual time zero. */
        std::int64_t wallOffset = 0;
        double rate = 1.0; /*!< Speed of the monotonic clock relative to virtual time. */
    };

    struct scheduled {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> step;

        friend bool operator<(const scheduled& lhs, const scheduled& rhs)
        {
            return lhs.at != rhs.at ? lhs.at > rhs.at : lhs.order > rhs.order;
        }
    };

    struct reply_to {
        std::size_t host = 0;
        std::uint64_t generation = 0;
        call_id id;
    };

    [[nodiscard]] std::int64_t draw(std::int64_t low, std::int64_t high);
    [[nodiscard]] bool chance(int percent);
    [[nodiscard]] bool isFaultActive(model_fault_kind kind) const;
    [[nodiscard]] bool isLogDown(std::size_t at) const;
    [[nodiscard]] time_point monotonic(std::size_t at) const;
    [[nodiscard]] time_point wall(std::size_t at) const;
    void schedule(std::int64_t at, std::function<void()> step);
    void post(std::size_t at, std::int64_t delay, node_step step);
    void runStep(std::size_t at, std::uint64_t generation, const node_step& step);
    void start(std::size_t at);
    void stop(std::size_t at, std::int64_t restartDelay);
    void apply(const model_fault& fault);
    void startClients();
    void attempt(std::size_t index);
    void maintain(process& node);
    void perform(process& node, const node_actions& actions);
    void append(process& node, const append_record& record);
    void poll(process& node);
    void send(const process& from, const node_name& to, const peer_message& message);
    void receive(process& node, std::size_t from, const peer_message& message);
    void accept(process& node, const reply_to& from, const call_request& request);
    void startCall(process& node, call_id id);
    void dispatch(process& node, call_id id, time_point deadline);
    void runAtUpstream(std::size_t at, std::uint64_t generation, call_id id, const std::string& key);
    void finish(process& node, call_id id, const call_result& outcome);
    void reply(process& node, const reply_to& to, const call_result& outcome);
    [[nodiscard]] std::set<node_name> linked(std::size_t at) const;
    [[nodiscard]] std::size_t indexOf(const node_name& name) const;
    [[nodiscard]] std::string violations() const;

    model_plan m_plan;
    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastCall = 1'000'000;
    std::vector<scheduled> m_steps; /*!< Heap with the earliest step first. */
    std::vector<host> m_hosts;
    std::map<std::pair<std::size_t, std::size_t>, std::int64_t> m_lastArrival;
    std::map<std::pair<std::size_t, std::size_t>, std::int64_t> m_cutUntil;
    std::map<model_fault_kind, std::int64_t> m_faultUntil;
    std::vector<log_record> m_log;
    std::vector<model_key> m_keys;
    std::map<std::string, std::size_t> m_keyOf;
    std::vector<model_attempt> m_attempts; /*!< The index of an attempt is also its call id at its entry node. */
};

} // namespace knapweedcroft

#endif
