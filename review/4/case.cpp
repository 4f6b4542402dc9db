// The store is down while a backend leaves, and the node that has acknowledged the leave is killed and started again.

#include "../harness.hpp"

using namespace review;

namespace {

constexpr std::int64_t drainMs = 2000; // Bound `Drain`.
constexpr std::int64_t contactMs = 3000; // Bound `Contact`.

int run(const std::string& recordPath)
{
    record_file record { recordPath };
    const temporary_folder folder;
    const int storePort = freePorts(1).front();
    store_stand_in store { storePort, record };
    const machine planning { "sidecar-sal-1-1", "sal-1", "opkaldsplan" };
    const machine visitsOne { "sidecar-sal-1-2", "sal-1", "hjemmebesoeg" };
    const machine visitsTwo { "sidecar-sal-2-1", "sal-2", "hjemmebesoeg" };
    store.append("keyed.op", "config",
        makeConfiguration(makeRoute("besoeg-bestil", "visits.example", "/visits/", "unsafe", "hjemmebesoeg"),
            { "opkaldsplan", "hjemmebesoeg" }));
    std::vector<std::unique_ptr<gateway_process>> nodes;
    for (const machine& host : { planning, visitsOne, visitsTwo }) {
        nodes.push_back(std::make_unique<gateway_process>(host, storePort, folder.path(), record));
        nodes.back()->start();
    }
    backend_stand_in planningBackend { planning, "i-0a000001", record };
    backend_stand_in leaving { visitsOne, "i-0b000001", record };
    backend_stand_in staying { visitsTwo, "i-0b000002", record };
    for (const auto& node : nodes) {
        if (!node->waitReady(8000))
            return 2;
    }
    planningBackend.startBeats();
    staying.startBeats();
    leaving.startBeats();
    sleepMs(2000);

    std::atomic<bool> isOver { false };
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::vector<std::thread> clients;
    for (int client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isOver; ++number) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                {
                    const std::lock_guard<std::mutex> lock { mutex };
                    sentAt[id] = nowMs();
                }
                const client_result result = sendRequest(planning.clients,
                    formatRequest("POST", "visits.example", "/visits/book?work=40", id, 5000, "visit"), 6000);
                record.line("client: %s got %s", id.c_str(),
                    result.isAnswered ? std::to_string(result.response.status).c_str() : "no answer");
                sleepMs(20);
            }
        });
    }
    sleepMs(6000);

    std::int64_t storeBack = nowMs();
    if (isTroublePlayed()) {
        record.line("platform: the store is down");
        store.setDown(true);
        sleepMs(300);
    }
    leaving.stopBeats();
    bool isPlayable = leaving.leave();
    const std::int64_t acknowledged = nowMs();
    std::int64_t started = acknowledged;
    if (isTroublePlayed()) {
        sleepMs(400);
        record.line("platform: kills the node of %s", visitsOne.name.c_str());
        nodes[1]->kill();
        sleepMs(500);
        nodes[1]->start();
        started = nowMs();
        sleepMs(1300);
        store.setDown(false);
        storeBack = nowMs();
        record.line("platform: the store is back");
    }
    // The backend goes on serving for 8 s after the acknowledgement.
    sleepUntil(acknowledged + 8000);
    isOver = true;
    for (std::thread& thread : clients)
        thread.join();

    // In touch again: `Contact` after the node's start and after the end of the store's disruption.
    const std::int64_t inTouch = std::max(started, storeBack) + contactMs;
    std::size_t before = 0;
    std::size_t after = 0;
    std::size_t afterInTouch = 0;
    for (const backend_run& run : leaving.runs()) {
        before += run.at <= acknowledged ? 1 : 0;
        const bool isLate = run.at > acknowledged + drainMs && sentAt[run.requestId] > acknowledged + drainMs;
        after += isLate ? 1 : 0;
        afterInTouch += isLate && sentAt[run.requestId] > inTouch ? 1 : 0;
    }
    record.line("result: %zu requests reached the backend before its leave was acknowledged, %zu that were sent later "
                "than %lld ms after it, %zu of them sent when all machines and the store had been calm for %lld ms",
        before, after, static_cast<long long>(drainMs), afterInTouch, static_cast<long long>(contactMs));
    isPlayable = isPlayable && before > 0 && !nodes[1]->hasEnded();
    if (!isPlayable)
        return 2;
    const std::size_t counted = isTroublePlayed() ? afterInTouch : after;
    return counted > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** values) { return count == 2 ? run(values[1]) : 2; }
