#include "knapweedcroft/process/cluster.hpp"

#include <algorithm>
#include <csignal>
#include <set>

namespace knapweedcroft {

class end_to_end_test : public cluster_test { };

// Guards against a retry that runs again because it arrives at another node.
TEST_F(end_to_end_test, ServesACallAndRepeatsItsAnswer)
{
    startAll();
    const std::string key = makeKey();
    const exchange first = callUntilAnswered({ "front-1" }, "order", key);
    EXPECT_EQ(first->json().value("echo", ""), key);
    EXPECT_EQ(first->json().value("children", nlohmann::json {}), nlohmann::json::array({ key + ".1" }));
    for (const std::string& node : m_fronts) {
        const exchange repeat = callUntilAnswered({ node }, "order", key);
        EXPECT_EQ(repeat->body(), first->body()) << node;
    }
    EXPECT_EQ(total("front", "executions", "order"), 1);
    EXPECT_EQ(total("front", "keys", key), 1);
    EXPECT_EQ(total("back", "executions", "reserve"), 1);
    EXPECT_EQ(total("back", "effects", "reserve"), 1);
}

// Guards against a second execution after the node that recorded the first one was killed.
TEST_F(end_to_end_test, NeverRunsAKeyAgainAfterItsHolderWasKilled)
{
    startAll();
    const names others { "front-2", "front-3" };
    const std::string key = makeKeyHeldBy("front-1", m_fronts);
    const exchange cut = startCall("front-2", "long", key);
    ASSERT_TRUE(m_http.waitUntil([&] { return total("front", "executions", "long") == 1; }));
    m_nodes["front-1"].process->signal(SIGKILL);
    ASSERT_TRUE(awaitEnd(*m_nodes["front-1"].process));
    // Keys of the other holders are served even before the killed node is evicted.
    for (const std::string& holder : others)
        (void)callUntilAnswered(others, "order", makeKeyHeldBy(holder, m_fronts));
    ASSERT_TRUE(m_http.waitUntil([&] { return cut->hasEnded(); }));
    EXPECT_NE(cut->status(), 200) << cut->describe();
    for (const std::string& node : others) {
        ASSERT_TRUE(m_http.waitUntil([&] {
            const names known = members(node);
            return std::find(known.begin(), known.end(), "front-1") == known.end();
        }));
    }
    // New keys that were placed on the killed node are served by the others; the old key is never run again.
    (void)orderUntilAnswered(others, "front-1");
    for (const std::string& node : others) {
        exchange repeat;
        const auto hasFinalAnswer = [&] {
            m_http.pause();
            repeat = startCall(node, "long", key);
            return m_http.waitUntil([&] { return repeat->hasEnded(); }) && repeat->status() != 503;
        };
        ASSERT_TRUE(m_http.waitUntil(hasFinalAnswer)) << repeat->describe();
        EXPECT_EQ(repeat->header("Knapweed-Result"), "outcome_unknown") << repeat->describe();
    }
    ASSERT_TRUE(m_http.waitUntil([&] { return total("front", "effects", "long") == 1; }));
    EXPECT_EQ(total("front", "executions", "long"), 1);
    EXPECT_EQ(total("front", "executions", "order"), 3);
    // No key took effect more than once at all upstreams together.
    std::map<std::string, int> effects;
    for (const std::string& upstream : m_fronts) {
        const nlohmann::json counted = stats(upstream);
        for (const auto& item : counted.at("keys").items())
            EXPECT_EQ(effects[item.key()] += item.value().get<int>(), 1) << item.key();
    }
}

// Guards against a node that resumes after a freeze and still runs its keys, which other nodes have taken over.
TEST_F(end_to_end_test, NeverRunsAKeyTwiceAfterItsHolderWasFrozen)
{
    startAll();
    const names others { "front-2", "front-3" };
    const std::string before = makeKeyHeldBy("front-1", m_fronts);
    const exchange running = startCall("front-2", "long", before);
    ASSERT_TRUE(m_http.waitUntil([&] { return total("front", "executions", "long") == 1; }));
    m_nodes["front-1"].process->signal(SIGSTOP);
    // This call reaches the frozen node, which reads it only after SIGCONT.
    const std::string during = makeKeyHeldBy("front-1", m_fronts);
    const exchange waiting = startCall("front-3", "order", during);
    for (const std::string& node : others) {
        ASSERT_TRUE(m_http.waitUntil([&] {
            const names known = members(node);
            return std::find(known.begin(), known.end(), "front-1") == known.end();
        }));
    }
    const std::string after = orderUntilAnswered(others, "front-1");
    const exchange taken = callUntilAnswered(others, "order", after);
    m_nodes["front-1"].process->signal(SIGCONT);
    ASSERT_TRUE(awaitReady(m_fronts));
    // The resumed node has rejoined and gets the answer from the node that held the key in the meantime.
    for (const std::string& node : m_fronts) {
        const exchange repeat = callUntilAnswered({ node }, "order", after);
        EXPECT_EQ(repeat->body(), taken->body()) << node;
        for (const std::string& key : { before, during }) {
            const exchange again = startCall(node, key == before ? "long" : "order", key);
            ASSERT_TRUE(m_http.waitUntil([&] { return again->hasEnded(); }));
            EXPECT_NE(again->status(), 200) << again->describe();
        }
    }
    ASSERT_TRUE(m_http.waitUntil([&] { return running->hasEnded() && waiting->hasEnded(); }));
    EXPECT_EQ(total("front", "executions", "long"), 1);
    EXPECT_EQ(total("front", "keys", after), 1);
    EXPECT_LE(total("front", "keys", during), 1);
    EXPECT_EQ(total("back", "keys", after + ".1"), 1);
    EXPECT_LE(total("back", "keys", during + ".1"), 1);
}

// Guards against catalogue changes that are lost or applied twice, and against nodes that cannot start or serve, during
// a log outage.
TEST_F(end_to_end_test, GoesOnWithoutTheLog)
{
    startAll();
    const std::string entry = R"({"name":"front.look","service":"front","operation":"look","owner":"hyggesnak",)"
                              R"("class":"low","idempotent":true,"deadline_ms":20000})";
    const std::string path = m_folder.write("look.json", entry);
    const auto setFault
        = [this](const std::string& fault) { EXPECT_EQ(m_http.post(m_log.http, "/faults", fault)->status(), 200); };
    const auto countOfRecords
        = [this] { return m_http.get(m_log.http, "/stats")->json().at("streams").at("catalogue").value("next", 0); };
    const int records = countOfRecords();
    setFault(R"({"mode":"down"})");
    const std::unique_ptr<test_process> refused
        = startControl("refused", { "--operator", "anna", "--timeout", "2", "apply", path });
    (void)callUntilAnswered({ "front-1" }, "look", "");
    (void)callUntilAnswered({ "front-2" }, "order", makeKey());
    ASSERT_TRUE(awaitEnd(*refused));
    EXPECT_EQ(refused->exitStatus(), 3) << refused->output() << refused->errors();
    setFault(R"({"mode":"lose_answer","count":1})");
    EXPECT_EQ(countOfRecords(), records);
    const std::unique_ptr<test_process> accepted = startControl("accepted",
        { "--operator", "anna", "--timeout", "40", "--wait-nodes", m_nodes["front-1"].http, "apply", path });
    ASSERT_TRUE(awaitEnd(*accepted));
    EXPECT_EQ(accepted->exitStatus(), 0) << accepted->output() << accepted->errors();
    EXPECT_EQ(countOfRecords(), records + 1);
    EXPECT_EQ(state("front-1").at("versions").value("front.look", -1), records);
}

// Guards against a node that joins twice or never because the response to its first append was lost or delayed.
TEST_F(end_to_end_test, JoinsWhileTheLogIsSlowAndLosesAnAnswer)
{
    EXPECT_EQ(m_http.post(m_log.http, "/faults", R"({"mode":"lose_answer","delay_ms":300,"count":1})")->status(), 200);
    startNode("front-1");
    startUpstream("front-1");
    ASSERT_TRUE(m_http.waitUntil([this] { return state("front-1").value("in_view", false); }));
    EXPECT_EQ(m_http.post(m_log.http, "/faults", R"({"mode":"slow","delay_ms":300})")->status(), 200);
    startNode("front-2");
    startUpstream("front-2");
    publishCatalogue();
    ASSERT_TRUE(awaitReady({ "front-1", "front-2" }));
    EXPECT_EQ(callUntilAnswered({ "front-1", "front-2" }, "long", makeKey())->status(), 200);
    EXPECT_EQ(members("front-1"), (names { "front-1", "front-2" }));
}

// Guards against two concurrent changes of one version that both take effect, and against an unreported conflict.
TEST_F(end_to_end_test, AcceptsOneOfTwoOperators)
{
    startAll();
    const std::int64_t base = state("front-1").at("versions").at("front.look").get<std::int64_t>();
    std::vector<std::unique_ptr<test_process>> operators;
    for (const std::string& name : { std::string { "anna" }, std::string { "bo" } }) {
        const nlohmann::json entry = { { "name", "front.look" }, { "service", "front" }, { "operation", "look" },
            { "owner", name }, { "class", "low" }, { "idempotent", true }, { "deadline_ms", 20'000 } };
        const std::string path = m_folder.write(name + ".json", entry.dump());
        operators.push_back(
            startControl(name, { "--operator", name, "--base-version", std::to_string(base), "apply", path }));
    }
    std::multiset<std::pair<int, std::string>> verdicts;
    std::int64_t version = -1;
    for (const std::unique_ptr<test_process>& each : operators) {
        ASSERT_TRUE(awaitEnd(*each));
        const nlohmann::json report = each->lastLine();
        ASSERT_TRUE(report.is_object()) << each->output() << each->errors();
        verdicts.emplace(each->exitStatus(), report.value("verdict", ""));
        if (each->exitStatus() == 0)
            version = report.value("version", std::int64_t { -1 });
        else
            EXPECT_NE(report.value("message", ""), "");
    }
    EXPECT_EQ(verdicts, (std::multiset<std::pair<int, std::string>> { { 0, "accepted" }, { 2, "void" } }));
    for (const std::string& node : { std::string { "front-1" }, std::string { "front-3" }, std::string { "back-2" } }) {
        EXPECT_TRUE(m_http.waitUntil([&] { return state(node).at("versions").at("front.look") == version; })) << node;
    }
}

// Guards against calls that are cut off, refused, or sent to an upstream that has announced its shutdown.
TEST_F(end_to_end_test, StopsAnUpstreamWithoutCuttingACall)
{
    startAll();
    constexpr std::size_t callers = 6;
    constexpr std::size_t callsAfterStop = 200;
    std::vector<exchange> calls(callers);
    std::size_t started = 0;
    std::size_t answered = 0;
    std::vector<std::string> failures;
    const auto restartEndedCalls = [&] {
        for (exchange& call : calls) {
            if (call && !call->hasEnded())
                continue;
            if (call && call->status() == 200)
                ++answered;
            else if (call)
                failures.push_back(call->describe());
            call = startCall(m_fronts[started++ % m_fronts.size()], "look", "");
        }
    };
    const auto hasAnswered = [&](std::size_t count) {
        return [&restartEndedCalls, &answered, count] {
            restartEndedCalls();
            return answered >= count;
        };
    };
    ASSERT_TRUE(m_http.waitUntil(hasAnswered(100)));
    test_process& leaving = *m_upstreams["front-1"].process;
    leaving.signal(SIGTERM);
    ASSERT_TRUE(m_http.waitUntil([&] {
        restartEndedCalls();
        return leaving.hasEnded();
    }));
    ASSERT_TRUE(m_http.waitUntil(hasAnswered(answered + callsAfterStop)));
    EXPECT_EQ(failures, std::vector<std::string> {});
    EXPECT_EQ(leaving.exitStatus(), 0);
    const nlohmann::json last = leaving.lastLine();
    EXPECT_EQ(last.value("stopped", false), true) << leaving.output();
    EXPECT_EQ(last.value("cut", -1), 0);
    EXPECT_EQ(last.value("after_leave", -1), 0);
}

// Guards against sub-calls that keep running after the client has disconnected.
TEST_F(end_to_end_test, CancelsTheWholeTreeWhenTheClientGoesAway)
{
    startAll();
    const exchange call = startCall("front-1", "visit", "");
    ASSERT_TRUE(m_http.waitUntil([&] { return total("back", "executions", "wait") == 1; }));
    m_http.cancel(call);
    const auto cancelled = [this](const names& upstreams) {
        std::int64_t sum = 0;
        for (const std::string& upstream : upstreams)
            sum += stats(upstream).value("cancelled", std::int64_t { 0 });
        return sum;
    };
    // The call in `front` ends by its own cancellation or with its sub-call, so only `back` has a fixed count.
    EXPECT_TRUE(m_http.waitUntil([&] { return cancelled(m_backs) == 1; })) << cancelled(m_backs);
    for (const std::string& node : names { "front-1", "front-2", "front-3", "back-1", "back-2" })
        EXPECT_TRUE(m_http.waitUntil([&] { return state(node).value("running", -1) == 0; })) << state(node).dump();
    EXPECT_EQ(total("back", "executions", "wait"), 1);
    const exchange direct = startCall("back-1", "wait", "");
    ASSERT_TRUE(m_http.waitUntil([&] { return total("back", "executions", "wait") == 2; }));
    m_http.cancel(direct);
    EXPECT_TRUE(m_http.waitUntil([&] { return cancelled(m_backs) == 2; })) << cancelled(m_backs);
}

} // namespace knapweedcroft
