#ifndef KNAPWEEDCROFT_TEST_PROCESS_HTTP_EXCHANGE_HPP
#define KNAPWEEDCROFT_TEST_PROCESS_HTTP_EXCHANGE_HPP

#include "knapweedcroft/net/event_loop.hpp"
#include "knapweedcroft/net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief Request of a test, and its outcome once it has ended. */
struct test_exchange {
    http_client::request_id id = 0;
    std::optional<http_outcome> outcome;

    [[nodiscard]] bool hasEnded() const noexcept { return outcome.has_value(); }

    /** @brief Returns the status; 0 if there is no response. */
    [[nodiscard]] int status() const;

    /** @brief Returns the body; empty if there is no response. */
    [[nodiscard]] std::string body() const;

    /** @brief Returns the body as JSON; null if it is not valid JSON. */
    [[nodiscard]] nlohmann::json json() const;

    /** @brief Returns the value of a header; empty if absent. */
    [[nodiscard]] std::string header(const std::string& name) const;

    /** @brief Returns a description of the outcome for failure messages. */
    [[nodiscard]] std::string describe() const;
};

using exchange = std::shared_ptr<test_exchange>;

/** @brief Malformed or unsupported request, and the expected error response. */
struct contract_fault {
    const char* name;
    http_method method;
    std::string target;
    http_headers headers;
    std::string body;
    int status;
    std::string kind; /*!< Expected field `error` of the response. */
    std::string remedy; /*!< Expected part of the field `message`. */
};

/** @brief Prints the name of the case, which identifies it in test output. */
std::ostream& operator<<(std::ostream& stream, const contract_fault& fault);

/** @brief Sends HTTP requests on the event loop of a test and waits for conditions with a timeout. */
class http_exchanger {
public:
    /** @brief Default timeout of a wait; only a hang reaches it. */
    static constexpr milliseconds defaultTimeout { 45'000 };

    explicit http_exchanger(event_loop& loop);

    /** @brief Sends a request without waiting for its outcome. */
    exchange start(const http_client_request& request);

    /** @brief Sends a request and waits for its outcome. */
    exchange send(const http_client_request& request);

    /** @brief Sends `GET` and waits for the outcome. */
    exchange get(const std::string& address, const std::string& target);

    /** @brief Sends `POST` and waits for the outcome. */
    exchange post(const std::string& address, const std::string& target, const std::string& body);

    /** @brief Cancels a request. */
    void cancel(const exchange& pending) { m_client.cancel(pending->id); }

    /** @brief Runs the loop until a condition holds; returns false on timeout. */
    bool waitUntil(const std::function<bool()>& isDone, milliseconds limit = defaultTimeout);

    /** @brief Runs the loop for 20 ms, as the delay before a retry. */
    void pause()
    {
        waitUntil([] { return false; }, milliseconds { 20 });
    }

    /** @brief Sends an invalid request and checks the status, the error kind and the remedy. */
    void expectFault(const std::string& address, const contract_fault& fault);

private:
    event_loop& m_loop;
    http_client m_client;
};

/** @brief Creates a request; a non-empty body is sent as JSON. */
[[nodiscard]] http_client_request makeRequest(
    const std::string& address, http_method method, const std::string& target, const std::string& body = {});

} // namespace knapweedcroft

#endif
