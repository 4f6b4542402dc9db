#include "knapweedcroft/process/cluster.hpp"

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/idempotency/key_placement.hpp"

#include <csignal>
#include <cstdio>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t entryCount = 6;

[[nodiscard]] static std::string serviceOf(const std::string& name) { return name.substr(0, name.find('-')); }

[[nodiscard]] static nlohmann::json operations(const std::string& service)
{
    if (service == "back")
        return { { "reserve", { { "service_time_ms", 0 }, { "effect", true } } },
            { "wait", { { "service_time_ms", 600'000 } } } };
    const nlohmann::json reserve = { { "service", "back" }, { "operation", "reserve" }, { "keyed", true } };
    const nlohmann::json wait = { { "service", "back" }, { "operation", "wait" } };
    return { { "order",
                 { { "service_time_ms", 0 }, { "effect", true },
                     { "calls", nlohmann::json::array({ nlohmann::json::array({ reserve }) }) } } },
        { "long", { { "service_time_ms", 1500 }, { "effect", true } } }, { "look", { { "service_time_ms", 5 } } },
        { "visit",
            { { "service_time_ms", 0 }, { "calls", nlohmann::json::array({ nlohmann::json::array({ wait }) }) } } } };
}

[[nodiscard]] static nlohmann::json entry(const std::string& service, const std::string& operation, bool isIdempotent)
{
    return { { "name", service + "." + operation }, { "service", service }, { "operation", operation },
        { "owner", "hyggesnak" }, { "class", "critical" }, { "idempotent", isIdempotent }, { "deadline_ms", 30'000 },
        { "retry_budget", 2 } };
}

} // namespace internal

cluster_test::cluster_test()
{
    startLog();
    m_logAddress = m_log.http;
}

cluster_test::~cluster_test()
{
    if (!HasFailure())
        return;
    for (const std::map<std::string, cluster_server>::value_type& item : m_nodes)
        std::fprintf(stderr, "--- %s\n%s\n", item.first.c_str(), item.second.process->errors().c_str());
}

void cluster_test::startAll()
{
    for (const names& service : { m_fronts, m_backs }) {
        for (const std::string& name : service)
            startNode(name);
    }
    for (const names& service : { m_fronts, m_backs }) {
        for (const std::string& name : service)
            startUpstream(name);
    }
    publishCatalogue();
    ASSERT_TRUE(awaitReady({ "front-1", "front-2", "front-3", "back-1", "back-2" }));
}

void cluster_test::startLog()
{
    m_log.process = std::make_unique<test_process>(m_folder, "log", "knapweed-log", names {});
    awaitServer(m_log, "log");
}

void cluster_test::startNode(const std::string& name)
{
    const nlohmann::json settings = { { "name", name }, { "service", internal::serviceOf(name) },
        { "data_centre", "a" }, { "log", m_logAddress }, { "charts", KNAPWEEDCROFT_SOURCE_DIRECTORY "/charts" } };
    const std::string path = m_folder.write(name + ".json", settings.dump());
    cluster_server& server = m_nodes[name];
    server.process.reset();
    server.process = std::make_unique<test_process>(m_folder, name, "knapweed-node", names { "--settings", path });
    awaitServer(server, name);
}

void cluster_test::startUpstream(const std::string& name)
{
    const std::string service = internal::serviceOf(name);
    const nlohmann::json settings = { { "name", name }, { "service", service }, { "node", m_nodes[name].http },
        { "slots", 50 }, { "connections", 200 }, { "operations", internal::operations(service) } };
    const std::string path = m_folder.write("u-" + name + ".json", settings.dump());
    cluster_server& server = m_upstreams[name];
    server.process.reset();
    server.process
        = std::make_unique<test_process>(m_folder, "u-" + name, "knapweed-upstream", names { "--settings", path });
    awaitServer(server, name);
}

void cluster_test::awaitServer(cluster_server& server, const std::string& name)
{
    std::optional<nlohmann::json> line;
    const auto isReady = [&] {
        line = server.process->readyLine();
        return line.has_value() || server.process->hasEnded();
    };
    m_http.waitUntil(isReady);
    ASSERT_TRUE(line) << name << " did not start: " << server.process->errors();
    server.http = line->value("http", "");
    server.peer = line->value("peer", "");
}

void cluster_test::publishCatalogue()
{
    const nlohmann::json entries = { internal::entry("front", "order", false), internal::entry("front", "long", false),
        internal::entry("front", "look", true), internal::entry("front", "visit", true),
        internal::entry("back", "reserve", false), internal::entry("back", "wait", true) };
    const std::string path = m_folder.write("entries.json", entries.dump());
    const std::unique_ptr<test_process> control = startControl("publish", { "--operator", "anna", "apply", path });
    ASSERT_TRUE(awaitEnd(*control));
    ASSERT_EQ(control->exitStatus(), 0) << control->output() << control->errors();
}

bool cluster_test::awaitReady(const names& nodes)
{
    const auto isReady = [&](const std::string& node) {
        const nlohmann::json known = state(node);
        // Links to other services are opened on the first call, so they are not required here.
        std::size_t readyMembers = 0;
        for (const nlohmann::json& item : known.value("members", nlohmann::json::array())) {
            const bool isSelf = item.value("node", "") == node;
            const bool isForeign = item.value("service", "") != internal::serviceOf(node);
            readyMembers += isSelf || isForeign || item.value("linked", false) ? 1 : 0;
        }
        return known.value("in_view", false) && known.value("holds_lease", false)
            && (known.value("upstream", "") == "serving" || known.value("upstream", "") == "warming")
            && known.value("catalogue_offset", std::int64_t { 0 }) >= internal::entryCount
            && readyMembers >= nodes.size();
    };
    for (const std::string& node : nodes) {
        if (m_http.waitUntil([&] { return isReady(node); }))
            continue;
        ADD_FAILURE() << node << " is not ready: " << state(node).dump();
        return false;
    }
    return true;
}

std::unique_ptr<test_process> cluster_test::startControl(const std::string& name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--log", m_log.http, "--json" });
    return std::make_unique<test_process>(m_folder, name, "knapweedctl", arguments);
}

bool cluster_test::awaitEnd(test_process& process)
{
    return m_http.waitUntil([&process] { return process.hasEnded(); });
}

nlohmann::json cluster_test::state(const std::string& node)
{
    const nlohmann::json known = m_http.get(m_nodes[node].http, "/knapweed/v1/state")->json();
    return known.is_object() ? known : nlohmann::json::object();
}

cluster_test::names cluster_test::members(const std::string& node)
{
    names known;
    for (const nlohmann::json& item : state(node).value("members", nlohmann::json::array()))
        known.push_back(item.value("node", ""));
    return known;
}

exchange cluster_test::startCall(const std::string& node, const std::string& operation, const std::string& key)
{
    const std::string service = internal::serviceOf(node);
    http_client_request request = makeRequest(m_nodes[node].http, http_method::post,
        "/call/" + service + "/" + operation, nlohmann::json({ { "token", key } }).dump());
    if (!key.empty())
        request.headers.emplace_back("Idempotency-Key", key);
    return m_http.start(request);
}

exchange cluster_test::callUntilAnswered(const names& nodes, const std::string& operation, const std::string& key)
{
    exchange answer;
    std::size_t attempts = 0;
    const auto hasFinalAnswer = [&] {
        if (answer && !answer->hasEnded())
            return false;
        if (answer && answer->header("Knapweed-Result") != "refused_not_run")
            return true;
        if (answer)
            m_http.pause();
        answer = startCall(nodes[attempts++ % nodes.size()], operation, key);
        return false;
    };
    m_http.waitUntil(hasFinalAnswer);
    EXPECT_EQ(answer->status(), 200) << operation << " " << key << ": " << answer->describe();
    return answer;
}

std::string cluster_test::orderUntilAnswered(const names& nodes, const std::string& holder)
{
    std::string key;
    exchange answer;
    std::size_t attempts = 0;
    const auto isAnswered = [&] {
        // waitUntil() evaluates the condition again after it has returned true.
        if (answer && answer->status() == 200)
            return true;
        if (answer)
            m_http.pause();
        key = makeKeyHeldBy(holder, m_fronts);
        answer = startCall(nodes[attempts++ % nodes.size()], "order", key);
        m_http.waitUntil([&] { return answer->hasEnded(); });
        return answer->status() == 200;
    };
    EXPECT_TRUE(m_http.waitUntil(isAnswered)) << answer->describe();
    return key;
}

nlohmann::json cluster_test::stats(const std::string& upstream)
{
    const nlohmann::json counted = m_http.get(m_upstreams[upstream].http, "/stats")->json();
    return counted.is_object() ? counted : nlohmann::json::object();
}

std::int64_t cluster_test::total(const std::string& service, const std::string& count, const std::string& name)
{
    std::int64_t sum = 0;
    for (const std::string& upstream : service == "front" ? m_fronts : m_backs)
        sum += stats(upstream).value(count, nlohmann::json::object()).value(name, std::int64_t { 0 });
    return sum;
}

std::string cluster_test::makeKey()
{
    const clock time { system_time_source {} };
    const std::uint64_t stamp = static_cast<std::uint64_t>(time.wallNow().sinceEpoch().whole());
    const std::string hex = toHex((stamp << 16U) | 0x7000U);
    const std::string number = toHex(++m_lastKey);
    return hex.substr(0, 8) + "-" + hex.substr(8, 4) + "-" + hex.substr(12, 4) + "-8000-" + number.substr(4);
}

std::string cluster_test::makeKeyHeldBy(const std::string& holder, const names& nodes)
{
    service_view view;
    for (const std::string& node : nodes)
        view.members.push_back(member { node, incarnation_id { 1 }, internal::serviceOf(node), "a", "" });
    std::string key = makeKey();
    while (key_placement::holder(view, key)->node != holder)
        key = makeKey();
    return key;
}

} // namespace knapweedcroft
