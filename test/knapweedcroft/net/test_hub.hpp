#ifndef KNAPWEEDCROFT_TEST_NET_TEST_HUB_HPP
#define KNAPWEEDCROFT_TEST_NET_TEST_HUB_HPP

#include "knapweedcroft/net/peer_hub.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft {

inline constexpr milliseconds testTimeout { 20'000 };

/** @brief Returns the state charts of the real programs. */
[[nodiscard]] inline const chart_set& testCharts()
{
    static const result<chart_set> charts = loadCharts(KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts");
    return valueOf(charts);
}

// A hub and the events that it delivered.
class hub_fixture {
public:
    hub_fixture(event_loop& loop, const std::string& name, std::uint64_t incarnation)
        : m_name { name }
        , m_hub { loop, name, testCharts().peerLink, settings(), handlers(incarnation) }
    {
        m_address = valueOf(m_hub.listen("127.0.0.1", 0));
    }

    [[nodiscard]] peer_hub& hub() { return m_hub; }
    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] const std::vector<node_event>& events() const { return m_events; }

    template <typename Event> [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(),
            [](const node_event& event) { return std::holds_alternative<Event>(event); }));
    }

    template <typename Event> [[nodiscard]] const Event& last() const
    {
        const auto position = std::find_if(m_events.rbegin(), m_events.rend(),
            [](const node_event& event) { return std::holds_alternative<Event>(event); });
        return std::get<Event>(*position);
    }

private:
    [[nodiscard]] static peer_hub_settings settings()
    {
        peer_hub_settings values;
        values.pingInterval = milliseconds { 100 };
        return values;
    }

    [[nodiscard]] peer_hub_handlers handlers(std::uint64_t incarnation)
    {
        peer_hub_handlers receivers;
        receivers.makeHello = [this, incarnation] {
            hello_message hello;
            hello.node = m_name;
            hello.incarnation = incarnation_id { incarnation };
            hello.peerAddress = m_address;
            return hello;
        };
        receivers.deliver = [this](node_event event) { m_events.push_back(std::move(event)); };
        return receivers;
    }

    std::string m_name;
    std::string m_address;
    std::vector<node_event> m_events;
    peer_hub m_hub;
};

[[nodiscard]] inline call_request callWithId(std::uint64_t id)
{
    call_request call;
    call.id = call_id { id };
    call.entry = "quota.balance";
    call.body = "body";
    return call;
}

} // namespace knapweedcroft

#endif
