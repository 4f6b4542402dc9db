#include "../harness-2/drain_check.hpp"

namespace knapweedcroft::review {

// The store holds the leave of a backend; all processes are killed and start again, and then a heartbeat from before
// the leave arrives late.
static int play(deployment& played)
{
    machine& first = played.addMachine("sidecar-varna-port-1", "varna-port", "logbook");
    machine& second = played.addMachine("sidecar-varna-port-2", "varna-port", "logbook");
    machine& third = played.addMachine("sidecar-galata-1", "galata", "registry");
    backend_stand_in leaving { played.loop, played.record, first, "i-1a" };
    backend_stand_in staying { played.loop, played.record, second, "i-2a" };
    backend_stand_in other { played.loop, played.record, third, "i-3a" };
    for (backend_stand_in* backend : { &leaving, &staying, &other })
        backend->onArrival = [](const backend_arrival&, const opaque_request&) { return milliseconds { 300 }; };
    played.writeConfiguration(1,
        nlohmann::json::array({ makeRoute("file", "/file/", "logbook", "unsafe"),
            makeRoute("lookup", "/lookup/", "registry", "safe") }));
    for (const std::unique_ptr<machine>& host : played.machines)
        played.start(*host);
    played.wait(milliseconds { 500 });
    for (backend_stand_in* backend : { &leaving, &staying, &other })
        backend->start();
    if (!played.awaitReady(milliseconds { 15'000 }))
        return 2;
    played.wait(milliseconds { 3000 });

    bool isSending = true;
    std::function<void()> sendAll = [&] {
        if (!isSending)
            return;
        for (const std::unique_ptr<machine>& host : played.machines) {
            if (host->process > 0)
                played.send(*host, "POST", "/file/7");
        }
        played.after(milliseconds { 100 }, sendAll);
    };
    sendAll();
    played.wait(milliseconds { 2000 });

    const bool isTrouble = isTroubled();
    // The last heartbeat before the leave is sent now and delayed on its way.
    leaving.stopHeartbeats();
    const std::int64_t lateSequence = leaving.lastSequence() + 1;
    const milliseconds lateSentAt = played.record.now();
    played.wait(milliseconds { 500 });
    leaving.leave();
    played.loop.runUntil([&leaving] { return leaving.acknowledgedAt.has_value(); }, milliseconds { 8000 });
    played.wait(milliseconds { 300 });
    if (isTrouble) {
        for (const std::unique_ptr<machine>& host : played.machines)
            played.kill(*host);
        played.wait(milliseconds { 500 });
        for (const std::unique_ptr<machine>& host : played.machines)
            played.start(*host);
    }
    played.wait(milliseconds { 1000 });
    played.record.write("backend i-1a: the heartbeat sent at " + std::to_string(lateSentAt.whole()) + " ms arrives");
    leaving.sendReady(lateSequence);
    played.wait(milliseconds { 5000 });
    leaving.end();
    played.wait(milliseconds { 1000 });
    isSending = false;
    played.wait(milliseconds { 2000 });
    const std::size_t answered = static_cast<std::size_t>(std::count_if(played.calls.begin(), played.calls.end(),
        [](const std::pair<const std::string, client_call>& call) { return call.second.status == 200; }));
    played.record.write("check: " + std::to_string(answered) + " of " + std::to_string(played.calls.size())
        + " requests were answered with 200");
    if (answered < played.calls.size() / 3)
        return 2;
    return countLateRequests(played, leaving, first, std::nullopt) > 0 ? 1 : 0;
}

} // namespace knapweedcroft::review

int main(int count, char** values)
{
    return knapweedcroft::review::runCase(count, values, knapweedcroft::review::play);
}
