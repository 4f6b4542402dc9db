#ifndef KNAPWEEDCROFT_TEST_GATEWAY_GATEWAY_GROUP_HPP
#define KNAPWEEDCROFT_TEST_GATEWAY_GATEWAY_GROUP_HPP

#include "knapweedcroft/gateway/gateway_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Simulated processing of the requests of an entry. */
struct entry_model {
    milliseconds serviceTime { 10 };
    std::string calledEntry; /*!< Empty if there are no calls. */
    int callCount = 0; /*!< Number of sequential calls. */
};

/** @brief Outcomes of the client requests of an entry. */
struct outcome_counts {
    int sent = 0;
    int succeeded = 0;
    int timely = 0; /*!< Succeeded within the target latency. */
    int refused = 0; /*!< Answered with 503 by a gateway; not run. */
    int failed = 0;
};

/** @brief Requests and retries that a service got, in order of time. */
struct service_arrivals {
    std::vector<time_point> requests; /*!< Without the calls of retries. */
    std::vector<time_point> retries; /*!< Attempts beyond the first, and the attempts of calls of retries. */
};

/** @brief What gateways send each other and ask the store. */
struct traffic_counts {
    std::size_t messages = 0;
    std::size_t remoteBytes = 0; /*!< Size of the messages between data centres. */
    std::size_t catchUps = 0; /*!< Copies of the directory or of the catalogue that were asked for. */
    std::size_t storeReads = 0;
};

/**
 * @brief Simulates several gateways and their upstreams in virtual time.
 *
 * Links deliver messages at once and in order. Each upstream processes the requests that its gateway sends it, makes
 * its calls through the same gateway, and answers 500 if one of them fails.
 */
class gateway_group {
public:
    explicit gateway_group(std::shared_ptr<const entry_table> table);

    /** @brief Adds a gateway with an upstream; all must be added before `start`. */
    void add(const std::string& name, const std::string& service, const std::string& dataCentre, std::uint32_t slots);
    void setModel(const std::string& entry, const entry_model& value) { m_models[entry] = value; }
    /** @brief Multiplies the service times of a gateway's upstream from now on. */
    void setSlowdown(const std::string& name, int factor) { m_nodes.at(name)->slowdown = factor; }

    /** @brief Sets whether a gateway's upstream refuses connections, as one that has ended does. */
    void setRefusing(const std::string& name, bool isRefusing) { m_nodes.at(name)->isRefusing = isRefusing; }

    /** @brief Sets the rate, in requests per second, that a gateway's upstream names in its answers from now on. */
    void setRateLimit(const std::string& name, std::optional<double> rate) { m_nodes.at(name)->rateLimit = rate; }

    /** @brief Delivers announcements, directory and catalogue, and links all gateways with each other. */
    void start();

    /**
     * @brief Starts all gateways with a store that holds the catalogue and the directory, and without links.
     *
     * Gateways open links as they decide, and poll the store in the mode that they choose.
     */
    void startOnStore();

    /** @brief Lets the upstream of a gateway leave, and announce nothing after that. */
    void leave(const std::string& name);

    /** @brief Lets the upstream of a gateway announce that it is draining, and nothing after that. */
    void drain(const std::string& name);

    /** @brief Delivers announcements of a gateway's upstream that were delayed on their way. */
    void announceLate(const std::string& name);

    /** @brief Lets a successor of a gateway's upstream announce itself at the same address. */
    void announceSuccessor(const std::string& name);

    /** @brief Sets whether the store answers; nodes notice at their next poll, and write then what they could not. */
    void setStoreAvailable(bool isAvailable) { m_isStoreAvailable = isAvailable; }

    /** @brief Takes a copy of the store's directory for `restoreCopy`. */
    void takeCopy() { m_copy = m_directory; }

    /** @brief Brings the store back from the copy that was taken last, with a new era. */
    void restoreCopy();

    /** @brief Replaces the catalogue in the store; pending polls complete at once. */
    void writeCatalogue(std::shared_ptr<const entry_table> table);

    /** @brief Restarts a gateway with the catalogue and directory unread; only for gateways on a store. */
    void restart(const std::string& name);

    /** @brief Restarts all gateways at once. */
    void restartAll();

    /** @brief Sends a client request to a gateway and counts its outcome under the entry's name. */
    void send(const std::string& name, const std::string& entry);

    /**
     * @brief Sends requests to random gateways at exponentially distributed intervals while time advances.
     * @param ratePerSecond Mean request rate of each entry.
     * @param duration Virtual time to run; requests in progress at its end are not awaited.
     */
    void generateLoad(const std::map<std::string, double>& ratePerSecond, milliseconds duration);

    /** @brief Advances the virtual time, with a timer event for each gateway at least every 10 ms. */
    void run(milliseconds duration);
    void handle(const std::string& name, const gateway_event& event);

    /** @brief Closes the link between two gateways, with all frames counted as written. */
    void closeLink(const std::string& first, const std::string& second);

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] gateway_core& core(const std::string& node) { return *m_nodes.at(node)->core; }
    [[nodiscard]] const outcome_counts& counts(const std::string& entry) { return m_counts[entry]; }
    [[nodiscard]] const std::map<std::string, int>& executions() const { return m_executions; }
    [[nodiscard]] const std::vector<answer_client>& answers(const std::string& node)
    {
        return m_nodes.at(node)->answers;
    }
    [[nodiscard]] const std::vector<start_exchange>& exchanges(const std::string& node)
    {
        return m_nodes.at(node)->exchanges;
    }

    [[nodiscard]] const service_arrivals& arrivals(const std::string& service) { return m_arrivals[service]; }

    /** @brief Returns the answers that the upstream of a gateway got when it announced its leave. */
    [[nodiscard]] const std::vector<leave_verdict>& leaveVerdicts(const std::string& node) const
    {
        return m_nodes.at(node)->leaveVerdicts;
    }

    [[nodiscard]] store_read_mode readMode(const std::string& node) const { return m_nodes.at(node)->readMode; }

    traffic_counts traffic; /*!< Since the start of the group; counted only on a store. */
    std::int64_t upstreamStartedAt = 1; /*!< Start time that upstreams announce; zero if they report none. */
    double lostAnswerRatio = 0.0; /*!< Ratio of answers of upstreams that are lost after the request has run. */
    bool answersAutomatically = true; /*!< Upstreams answer according to the models; if false, the test answers. */

private:
    /** @brief Request that an upstream runs. */
    struct simulated_run {
        time_point deadline;
        bool isRetry = false;
    };

    struct simulated_node {
        gateway_settings settings;
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        std::optional<double> rateLimit;
        bool isRefusing = false;
        int slowdown = 1; /*!< Factor applied to the service times. */
        std::unique_ptr<gateway_core> core;
        store_read_mode readMode = store_read_mode::individual;
        time_point nextPoll;
        bool isPolling = false; /*!< The snapshots of the store have been read. */
        std::uint64_t era = 0; /*!< Era of the store that it has seen. */
        bool hasLeft = false; /*!< Its upstream announces nothing any more. */
        bool isRecordUnwritten = false; /*!< The store has not taken `record`. */
        std::optional<directory_record> record; /*!< Latest own record; nothing if it is withdrawn. */
        std::vector<leave_verdict> leaveVerdicts;
        std::vector<answer_client> answers;
        std::vector<start_exchange> exchanges;
        std::map<std::uint64_t, simulated_run> running;
    };

    struct client_state {
        std::string entry;
        time_point sentAt;
        std::function<void(bool)> done; /*!< Set for calls by upstreams, empty for client requests. */
    };

    void createCore(simulated_node& node);
    void announce(const std::string& name);
    [[nodiscard]] upstream_announcement makeAnnouncement(const std::string& name) const;
    void performOnStore(const std::string& name, gateway_action& action);
    void writeRecord(const std::string& name);
    void openLink(const std::string& name, const std::string& peer);
    void pollStore(const std::string& name);
    void pollStoreIfDue(const std::string& name);
    void at(time_point time, std::function<void()> task) { m_tasks.emplace(time, std::move(task)); }
    void perform(const std::string& name, gateway_actions& actions);
    void runExchange(const std::string& name, const start_exchange& action);
    void makeCalls(const std::string& name, std::uint64_t id, const entry_model& model, int remainingCalls);
    void finish(const std::string& name, std::uint64_t id, bool isGood);
    void request(
        const std::string& name, const std::string& entry, const simulated_run& cause, std::function<void(bool)> done);
    void recordArrival(const std::string& name, const start_exchange& action);
    void onAnswer(const std::string& name, const answer_client& answer);
    [[nodiscard]] const forward_entry& entryOf(const std::string& name) const;

    chart_set m_charts;
    std::shared_ptr<const entry_table> m_table;
    std::map<std::string, std::unique_ptr<simulated_node>> m_nodes;
    std::map<std::string, entry_model> m_models;
    std::multimap<time_point, std::function<void()>> m_tasks;
    std::map<std::pair<std::string, request_handle>, client_state> m_clients;
    std::map<std::string, outcome_counts> m_counts;
    std::set<std::pair<std::string, std::string>> m_links; /*!< Names in order; only on a store. */
    std::map<std::string, directory_record> m_directory; /*!< Records in the store. */
    std::map<std::string, directory_record> m_copy; /*!< Earlier records in the store. */
    std::uint64_t m_era = 1; /*!< Era of the store. */
    bool m_isOnStore = false;
    bool m_isStoreAvailable = true;
    std::map<std::string, int> m_executions; /*!< Exchanges by request identifier. */
    std::set<std::string> m_callsOfRetries; /*!< Their request identifiers. */
    std::map<std::string, service_arrivals> m_arrivals;
    std::mt19937_64 m_random { 17 };
    time_point m_now { milliseconds { 1000 } };
    request_handle m_lastHandle = 0;
};

/** @brief Makes a catalogue entry with the host `h` and the path prefix `/name/`. */
[[nodiscard]] forward_entry makeEntry(const std::string& name, const std::string& service, std::uint32_t rank,
    bool isIdempotent, milliseconds target, milliseconds timeout);

} // namespace knapweedcroft

#endif
