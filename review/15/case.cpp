// Case 15: clients of a machine that gets SIGTERM send a second `safe` request before the first one has been answered. The
// second one has been answered by its backend when the process ends, and its client doesn't get the answer.
#include "../stand-ins-3/deployment.hpp"

using namespace review;

namespace {

constexpr int memoryMb = 260;
constexpr int slots = 81;
constexpr int clientCount = 10;
constexpr int rounds = 3;
constexpr int longWorkMs = 4600;
constexpr int shortWorkMs = 100;
constexpr int deadlineMs = 5000; // Also the timeout of the routes.
constexpr int graceMs = 6000;
constexpr int sendAfterMs = 1500; // From the SIGTERM; clients leave after two misses of the readiness probe.

struct pair_outcome {
    std::string id;
    long long sentAt = 0;
    long long endedAt = 0;
    bool hasFirst = false;
    bool hasSecond = false;
};

class run_ledger {
public:
    void start(const std::string& id, int workMs)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_endsAt[id] = nowMs() + workMs;
    }
    // Returns when the run of a request ended, or -1 if it never began.
    long long endOf(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        const auto known = m_endsAt.find(id);
        return known == m_endsAt.end() ? -1 : known->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, long long> m_endsAt;
};

std::string makeRequest(const std::string& route, const std::string& id)
{
    return "GET /" + route + "/" + id + " HTTP/1.1\r\nHost: " + route + ".example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n";
}

void sendPair(const node& target, pair_outcome& result)
{
    const int fd = connectTo(target.clients());
    if (fd < 0)
        return;
    sendAll(fd, makeRequest("long", result.id + "-1") + makeRequest("short", result.id + "-2"));
    result.sentAt = nowMs();
    http_stream stream { fd };
    http_message answer;
    result.hasFirst = stream.read(answer, deadlineMs + 2000);
    result.hasSecond = result.hasFirst && stream.read(answer, deadlineMs + 2000)
        && answer.header("x-request-id") == result.id + "-2";
    result.endedAt = nowMs();
    close(fd);
}

} // namespace

int main(int count, char** values)
{
    const temporary_folder folder;
    record_file record { count > 1 ? values[1] : "record.txt" };
    const bool isStopped = isTroubled();
    record.line(isStopped ? "the machine gets SIGTERM" : "no SIGTERM");
    store platformStore { freeAddress() };
    platformStore.put("keyed.op", "config",
        makeConfiguration("00000001",
            makeRoute("long", "notes", "safe", deadlineMs, deadlineMs, 2) + ","
                + makeRoute("short", "notes", "safe", deadlineMs, 600, 2)));
    run_ledger runs;
    std::vector<std::unique_ptr<backend>> backends;
    backends.push_back(std::make_unique<backend>("i-plan", "plans", "sal-1", slots,
        [](const backend_request&) { return std::string { "plan" }; }));
    backends.push_back(
        std::make_unique<backend>("i-note", "notes", "sal-1", slots, [&runs](const backend_request& request) {
            const int workMs = request.message.word(1).find("/long/") == 0 ? longWorkMs : shortWorkMs;
            runs.start(request.id, workMs);
            sleepMs(workMs);
            return "note " + request.id;
        }));
    std::vector<std::unique_ptr<node>> nodes;
    for (std::size_t number = 0; number < backends.size(); ++number) {
        nodes.push_back(std::make_unique<node>(
            "sidecar-" + std::to_string(number + 1), *backends[number], platformStore, folder.path(), memoryMb));
        nodes.back()->start();
    }
    for (std::size_t number = 0; number < backends.size(); ++number)
        backends[number]->startHeartbeats(nodes[number]->control());
    for (const std::unique_ptr<node>& item : nodes) {
        if (!item->waitUntilReady(8000)) {
            record.line(item->name() + " did not become ready");
            for (const std::unique_ptr<node>& started : nodes)
                started->kill(SIGKILL);
            _exit(2);
        }
    }

    int cut = 0;
    int answered = 0;
    int excused = 0;
    for (int round = 1; round <= rounds; ++round) {
        sleepMs(4000); // More than Contact after the start of the machine.
        node& target = *nodes[0];
        const long long stoppedAt = nowMs();
        if (isStopped) {
            record.line("SIGTERM to " + target.name());
            target.signal(SIGTERM);
        }
        sleepMs(sendAfterMs);
        std::vector<pair_outcome> pairs(clientCount);
        std::vector<std::thread> clients;
        for (std::size_t number = 0; number < pairs.size(); ++number) {
            pairs[number].id = "p" + std::to_string(round) + "-" + std::to_string(number);
            clients.emplace_back([&target, &item = pairs[number]] { sendPair(target, item); });
        }
        for (std::thread& client : clients)
            client.join();
        for (const pair_outcome& item : pairs) {
            // LOST, for each request of the pair: passed on, and the connection ends without a complete answer within the
            // planned work, before the deadline; excused if the backend was at work in the last sixth of Grace.
            const bool isPlanned = isStopped && item.endedAt <= stoppedAt + graceMs + 1000
                && item.endedAt < item.sentAt + deadlineMs;
            const long long lastSixth = stoppedAt + graceMs - graceMs / 6;
            for (const bool isSecond : { false, true }) {
                const bool hasAnswer = isSecond ? item.hasSecond : item.hasFirst;
                const std::string id = item.id + (isSecond ? "-2" : "-1");
                const long long runEnd = runs.endOf(id);
                const bool isExcused = runEnd > lastSixth;
                const bool isCut = isPlanned && !hasAnswer && runEnd >= 0 && !isExcused;
                cut += isCut ? 1 : 0;
                answered += hasAnswer ? 1 : 0;
                excused += !hasAnswer && isExcused ? 1 : 0;
                record.line("request " + id + ": sent at " + std::to_string(item.sentAt) + " ms, "
                    + (runEnd < 0 ? std::string { "not run" } : "its run due to end at " + std::to_string(runEnd) + " ms")
                    + ", " + (hasAnswer ? "answered" : "no answer, the connection ended at "
                              + std::to_string(item.endedAt) + " ms")
                    + (isCut ? ": cut" : ""));
            }
        }
        if (!isStopped)
            continue;
        int status = 0;
        for (const long long until = stoppedAt + graceMs; nowMs() < until && !target.hasEnded(status); sleepMs(5)) { }
        record.line(target.name() + " ended " + std::to_string(nowMs() - stoppedAt) + " ms after the SIGTERM");
        target.kill(SIGKILL);
        target.start();
        target.waitUntilReady(8000);
    }
    record.line("requests: " + std::to_string(answered) + " answered, " + std::to_string(excused)
        + " excused, " + std::to_string(cut) + " run to the end and cut off by the stop");
    for (const std::unique_ptr<node>& item : nodes)
        item->kill(SIGKILL);
    for (const std::unique_ptr<backend>& item : backends)
        item->stopHeartbeats();
    const bool isLost = cut > 0;
    record.line(isLost ? "LOST is broken" : "LOST holds");
    std::printf("%s\n", isLost ? "broken" : "held");
    std::fflush(stdout);
    folder.remove();
    _exit(isLost ? 1 : 0);
}
