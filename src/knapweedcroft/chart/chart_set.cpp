#include "knapweedcroft/chart/chart_set.hpp"

#include <utility>

namespace knapweedcroft {

namespace internal {

// The names must be in the order of the enumerators in the header.
[[nodiscard]] static chart_symbols upstreamSymbols()
{
    return { { "absent", "starting", "warming", "serving", "draining", "silent" },
        { "announced_starting", "announced_serving", "announced_draining", "warmed_up", "restarted",
            "announcements_missed", "gone" } };
}

[[nodiscard]] static chart_symbols peerLinkSymbols()
{
    return { { "connecting", "open", "suspect", "replacing", "closed" },
        { "connect", "opened", "connect_failed", "pong_received", "ping_missed", "closed" } };
}

[[nodiscard]] static chart_symbols keyedCallSymbols()
{
    return { { "reserved", "running", "answered", "failed", "unknown", "handed_over", "expired" },
        { "dispatched", "refused", "answered", "failed", "lost", "taken_over", "moved", "window_ended" } };
}

[[nodiscard]] static chart_symbols drainSymbols()
{
    return { { "serving", "leaving", "handing_over", "waiting", "done" },
        { "leave_requested", "view_read", "log_unavailable", "handed_over", "hand_over_failed", "calls_ended" } };
}

} // namespace internal

result<chart_set> loadCharts(const std::string& directory)
{
    result<chart> upstream = chart::load(directory + "/upstream.json", internal::upstreamSymbols());
    result<chart> peerLink = chart::load(directory + "/peer_link.json", internal::peerLinkSymbols());
    result<chart> keyedCall = chart::load(directory + "/keyed_call.json", internal::keyedCallSymbols());
    result<chart> drain = chart::load(directory + "/drain.json", internal::drainSymbols());
    for (const result<chart>* loaded : { &upstream, &peerLink, &keyedCall, &drain }) {
        if (!hasValue(*loaded))
            return errorOf(*loaded);
    }
    return chart_set { valueOf(std::move(upstream)), valueOf(std::move(peerLink)), valueOf(std::move(keyedCall)),
        valueOf(std::move(drain)) };
}

} // namespace knapweedcroft
