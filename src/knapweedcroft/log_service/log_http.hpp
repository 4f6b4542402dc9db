#ifndef KNAPWEEDCROFT_LOG_SERVICE_LOG_HTTP_HPP
#define KNAPWEEDCROFT_LOG_SERVICE_LOG_HTTP_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/log_service/fault_plan.hpp"
#include "knapweedcroft/log_service/log_store.hpp"
#include "knapweedcroft/log_service/settings.hpp"
#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace knapweedcroft {

/** @brief HTTP interface of the log stand-in. */
class log_http {
public:
    /**
     * @brief Constructs an interface that is not listening yet.
     * @param loop Event loop; must outlive the interface.
     */
    log_http(event_loop& loop, log_service_settings settings);
    log_http(const log_http&) = delete;
    log_http& operator=(const log_http&) = delete;
    ~log_http() = default;

    /**
     * @brief Starts listening.
     * @return The address as `host:port`, or an error.
     */
    [[nodiscard]] result<std::string> start();

    /** @brief Answers all long polls; to be called before a planned stop. */
    void releaseReaders();

private:
    using request_id = http_server::request_id;

    /** @brief Long poll that waits for a record. */
    struct waiting_read {
        std::string stream;
        std::int64_t from = 0;
        std::size_t limit = 0;
        std::unique_ptr<loop_timer> timer;
    };

    void addRoutes();
    void append(request_id id, const http_request& request);
    void performAppend(request_id id, const std::string& stream, const std::string& payload, log_fault fault);
    void read(request_id id, const http_request& request);
    void performRead(request_id id, waiting_read query, milliseconds wait);
    void answerRead(request_id id, const waiting_read& query);
    void wakeReaders(const std::string& stream);
    void setFaults(request_id id, const http_request& request);
    void trim(request_id id, const http_request& request);
    void sendStats(request_id id);
    void runAfter(request_id id, milliseconds delay, std::function<void()> task);
    void removeWaitingRead(request_id id);

    event_loop& m_loop;
    log_service_settings m_settings;
    clock m_clock;
    http_server m_server;
    log_store m_store;
    fault_plan m_faults;
    std::unordered_map<request_id, waiting_read> m_waiting;
    std::unordered_map<request_id, std::unique_ptr<loop_timer>> m_delayed;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_throttled = 0;
};

} // namespace knapweedcroft

#endif
