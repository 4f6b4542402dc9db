#include "knapweedcroft/load/latency_probe.hpp"

#include "knapweedcroft/load/answer_check.hpp"
#include "knapweedcroft/load/call_key.hpp"
#include "knapweedcroft/net/http_client.hpp"
#include "knapweedcroft/net/http_types.hpp"

#include <optional>
#include <random>
#include <utility>
#include <variant>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t probeBodyBytes = 200;
static constexpr int firstErrorStatus = 300;

/** @brief Sends calls one at a time and measures their latency. */
class probe_caller {
public:
    probe_caller(event_loop& loop, const clock& time, const probe_settings& settings)
        : m_loop { loop }
        , m_clock { time }
        , m_settings { settings }
        , m_client { loop, http_client_settings {} }
    {
    }

    [[nodiscard]] std::optional<milliseconds> call(const probe_target& target)
    {
        http_client_request request;
        request.address = target.address;
        request.target = target.path;
        request.contentType = "application/json";
        request.body = makeRequestBody("probe", probeBodyBytes);
        request.timeout = m_settings.timeout;
        if (m_settings.isKeyed)
            request.headers.emplace_back("Idempotency-Key", makeCallKey(m_clock.wallNow(), m_random(), m_random()));
        std::optional<http_outcome> outcome;
        time_point end;
        const time_point start = m_clock.now();
        const http_client::request_id id = m_client.send(request, [this, &outcome, &end](http_outcome received) {
            end = m_clock.now();
            outcome = std::move(received);
        });
        const bool hasEnded = m_loop.runUntil([&outcome] { return outcome.has_value(); }, m_settings.timeout * 2);
        if (!hasEnded) {
            m_client.cancel(id);
            return std::nullopt;
        }
        const http_response* response = std::get_if<http_response>(&*outcome);
        if (response == nullptr || response->status >= firstErrorStatus)
            return std::nullopt;
        return end - start;
    }

private:
    event_loop& m_loop;
    const clock& m_clock;
    const probe_settings& m_settings;
    http_client m_client;
    std::mt19937_64 m_random;
};

[[nodiscard]] static nlohmann::ordered_json percentilesToJson(const percentiles& values)
{
    nlohmann::ordered_json object;
    object["count"] = values.size();
    object["p50_ms"] = values.at(0.5).count();
    object["p90_ms"] = values.at(0.9).count();
    object["p99_ms"] = values.at(0.99).count();
    return object;
}

} // namespace internal

result<probe_target> parseProbeTarget(const std::string& url)
{
    static constexpr std::string_view scheme = "http://";
    const bool hasScheme = url.compare(0, scheme.size(), scheme) == 0;
    const std::size_t slash = hasScheme ? url.find('/', scheme.size()) : std::string::npos;
    if (slash == std::string::npos)
        return error { error_kind::command_line, "\"" + url + "\" is not of the form http://host:port/path" };
    probe_target target { url.substr(scheme.size(), slash - scheme.size()), url.substr(slash) };
    const result<host_port> address = parseHostPort(target.address);
    if (!hasValue(address))
        return error { error_kind::command_line, errorOf(address).message };
    return target;
}

probe_result runProbe(event_loop& loop, const clock& time, const probe_settings& settings)
{
    internal::probe_caller caller { loop, time, settings };
    std::vector<milliseconds> direct;
    std::vector<milliseconds> through;
    probe_result measured;
    for (std::uint64_t round = 0; round < settings.warmup + settings.count; ++round) {
        const std::optional<milliseconds> directTime = caller.call(settings.direct);
        const std::optional<milliseconds> throughTime = caller.call(settings.through);
        if (!directTime || !throughTime) {
            ++measured.failures;
            continue;
        }
        if (round < settings.warmup)
            continue;
        direct.push_back(*directTime);
        through.push_back(*throughTime);
    }
    measured.direct = percentiles { std::move(direct) };
    measured.through = percentiles { std::move(through) };
    return measured;
}

nlohmann::ordered_json toJson(const probe_result& measured)
{
    nlohmann::ordered_json object;
    object["direct"] = internal::percentilesToJson(measured.direct);
    object["through"] = internal::percentilesToJson(measured.through);
    object["added"] = { { "p50_ms", (measured.through.at(0.5) - measured.direct.at(0.5)).count() },
        { "p90_ms", (measured.through.at(0.9) - measured.direct.at(0.9)).count() },
        { "p99_ms", (measured.through.at(0.99) - measured.direct.at(0.99)).count() } };
    object["failures"] = measured.failures;
    return object;
}

} // namespace knapweedcroft
