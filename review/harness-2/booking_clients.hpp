#ifndef KNAPWEEDCROFT_REVIEW_BOOKING_CLIENTS_HPP
#define KNAPWEEDCROFT_REVIEW_BOOKING_CLIENTS_HPP

#include "kept_connection.hpp"

namespace knapweedcroft::review {

/** @brief Clients that book one thing after the other, each on a connection that it keeps. */
class booking_clients {
public:
    booking_clients(deployment& played, std::vector<const backend_stand_in*> backends)
        : m_played { played }
        , m_backends { std::move(backends) }
    {
        check();
    }

    void open(const machine& host, std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            m_clients.push_back(std::make_unique<kept_connection>(
                m_played.loop, m_played.record, host, "b" + std::to_string(++m_opened)));
    }

    std::size_t answered = 0;
    std::size_t lost = 0; /*!< Kept connections that ended without an answer to a booking that a backend was running. */

private:
    void check()
    {
        for (auto item = m_clients.begin(); item != m_clients.end();) {
            kept_connection& client = **item;
            if (client.isClosed) {
                lost += client.requests() > 1 && isRun(client.requestId()) ? 1U : 0U;
                item = m_clients.erase(item);
                continue;
            }
            answered += client.isAnswered ? 1U : 0U;
            if (client.isAnswered || client.requests() == 0)
                client.send("/book/1", 3000, 64 * 1024, "POST");
            ++item;
        }
        m_played.after(milliseconds { 20 }, [this] { check(); });
    }

    [[nodiscard]] bool isRun(const std::string& requestId) const
    {
        return std::any_of(m_backends.begin(), m_backends.end(), [&requestId](const backend_stand_in* backend) {
            return std::any_of(backend->arrivals.begin(), backend->arrivals.end(),
                [&requestId](const backend_arrival& arrival) { return arrival.requestId == requestId; });
        });
    }

    deployment& m_played;
    std::vector<const backend_stand_in*> m_backends;
    std::list<std::unique_ptr<kept_connection>> m_clients;
    std::size_t m_opened = 0;
};

} // namespace knapweedcroft::review

#endif
