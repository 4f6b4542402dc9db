// Measures the memory and CPU time that a node needs for its state and messages. Costs of state are given per
// additional item: the difference between two sizes of the same state, which cancels fixed costs. The figures in
// docs/CAPACITY.md are derived from the output.

#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/idempotency/key_table.hpp"
#include "knapweedcroft/membership/lease_table.hpp"
#include "knapweedcroft/membership/membership_state.hpp"
#include "knapweedcroft/membership/records.hpp"
#include "knapweedcroft/wire/codec.hpp"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace knapweedcroft {

namespace {

constexpr time_point wallTime { milliseconds { 1'700'000'000'000 } };

/** @brief Resources used by a piece of work. */
struct cost {
    double bytes = 0.0; /*!< Heap bytes still allocated after the work. */
    double microseconds = 0.0; /*!< CPU time. */
};

[[nodiscard]] double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
}

[[nodiscard]] double cpuMicroseconds()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

[[nodiscard]] cost measureCost(const std::function<void()>& work)
{
    const double bytes = heapBytes();
    const double microseconds = cpuMicroseconds();
    work();
    const double total = cpuMicroseconds() - microseconds;
    return cost { heapBytes() - bytes, total };
}

/** @brief Returns the cost per additional item, from measurements of the same state at two sizes. */
[[nodiscard]] nlohmann::json costPerItem(
    const cost& small, std::size_t smallCount, const cost& large, std::size_t largeCount)
{
    const double items = static_cast<double>(largeCount - smallCount);
    return { { "bytes", (large.bytes - small.bytes) / items },
        { "cpu_us", (large.microseconds - small.microseconds) / items } };
}

[[nodiscard]] member makeMember(std::size_t service, std::size_t index)
{
    member value;
    value.node = "service_number_" + std::to_string(service) + "-" + std::to_string(index);
    value.incarnation = incarnation_id { hash64(value.node) };
    value.service = "service_number_" + std::to_string(service);
    value.data_centre = "data_centre_" + std::to_string(index);
    value.peerAddress = "10.20.30.40:40000";
    return value;
}

[[nodiscard]] std::vector<log_record> joinRecords(std::size_t services)
{
    constexpr std::size_t membersPerService = 5;
    std::vector<log_record> records;
    for (std::size_t service = 0; service < services; ++service) {
        for (std::size_t index = 0; index < membersPerService; ++index) {
            const std::int64_t offset = static_cast<std::int64_t>(records.size());
            records.push_back(
                log_record { offset, wallTime, formatRecord(join_record { makeMember(service, index) }) });
        }
    }
    return records;
}

[[nodiscard]] cost applyJoins(const std::vector<log_record>& records, std::size_t& snapshotBytes)
{
    membership_state state { membership_settings {} };
    const cost total = measureCost([&] {
        for (const log_record& record : records)
            static_cast<void>(state.apply(record, time_point {}));
    });
    snapshotBytes = state.snapshot().size();
    return total;
}

[[nodiscard]] nlohmann::json memberCost()
{
    const std::vector<log_record> small = joinRecords(22);
    const std::vector<log_record> large = joinRecords(112);
    std::size_t smallSnapshot = 0;
    std::size_t largeSnapshot = 0;
    const cost smallCost = applyJoins(small, smallSnapshot);
    const cost largeCost = applyJoins(large, largeSnapshot);
    nlohmann::json result = costPerItem(smallCost, small.size(), largeCost, large.size());
    result["record_bytes"] = large.back().payload.size();
    result["snapshot_bytes"]
        = static_cast<double>(largeSnapshot - smallSnapshot) / static_cast<double>(large.size() - small.size());
    return result;
}

[[nodiscard]] log_record changeRecord(std::int64_t offset)
{
    catalogue_entry_fields fields;
    fields.service = "service_number_" + std::to_string(offset / 4);
    fields.operation = "operation_" + std::to_string(offset % 4);
    fields.owner = "organisation";
    const result<catalogue_entry> entry = catalogue_entry::create(fields);
    change_record change;
    change.changeId = "change-" + std::to_string(offset);
    change.operatorName = "operator";
    change.name = valueOf(entry).name();
    change.baseVersion = noVersion;
    change.entry = valueOf(entry);
    return log_record { offset, wallTime, formatRecord(change) };
}

[[nodiscard]] cost applyChanges(std::size_t count, std::size_t& snapshotBytes)
{
    std::vector<log_record> records;
    for (std::size_t index = 0; index < count; ++index)
        records.push_back(changeRecord(static_cast<std::int64_t>(index)));
    catalogue_state state;
    const cost total = measureCost([&] {
        for (const log_record& record : records)
            static_cast<void>(state.apply(record));
    });
    snapshotBytes = state.snapshot().size();
    return total;
}

[[nodiscard]] nlohmann::json catalogueEntryCost()
{
    constexpr std::size_t small = 200;
    constexpr std::size_t large = 900;
    std::size_t smallSnapshot = 0;
    std::size_t largeSnapshot = 0;
    const cost smallCost = applyChanges(small, smallSnapshot);
    const cost largeCost = applyChanges(large, largeSnapshot);
    nlohmann::json result = costPerItem(smallCost, small, largeCost, large);
    result["record_bytes"] = changeRecord(0).payload.size();
    result["snapshot_bytes"] = static_cast<double>(largeSnapshot - smallSnapshot) / static_cast<double>(large - small);
    return result;
}

[[nodiscard]] cost fillKeys(std::size_t count)
{
    constexpr std::size_t answerBytes = 300;
    key_table table { idempotency_settings {} };
    const call_result outcome = answered { 200, "application/json", std::string(answerBytes, 'x') };
    return measureCost([&] {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string key = "018bcfe5-6800-7000-8000-" + toHex(index).substr(4);
            static_cast<void>(table.admit(key, "home_visits.book", index, milliseconds { 600'000 }, time_point {}));
            table.markRunning(key);
            table.resolve(key, outcome, time_point {});
        }
    });
}

[[nodiscard]] nlohmann::json keyCost()
{
    constexpr std::size_t small = 10'000;
    constexpr std::size_t large = 60'000;
    const cost smallCost = fillKeys(small);
    return costPerItem(smallCost, small, fillKeys(large), large);
}

[[nodiscard]] nlohmann::json heartbeatCost()
{
    constexpr std::size_t rounds = 20'000;
    membership_state state { membership_settings {} };
    for (const log_record& record : joinRecords(1))
        static_cast<void>(state.apply(record, time_point {}));
    const member self = makeMember(0, 0);
    const member peer = makeMember(0, 1);
    lease_table sender { membership_settings {}, self.node, self.incarnation, time_point {} };
    lease_table receiver { membership_settings {}, peer.node, peer.incarnation, time_point {} };
    sender.updateViews(*state.history(self.service));
    receiver.updateViews(*state.history(self.service));
    std::size_t bytes = 0;
    const cost total = measureCost([&] {
        for (std::size_t round = 0; round < rounds; ++round) {
            const time_point now { milliseconds { static_cast<std::int64_t>(round) * 500 } };
            const std::string frame = valueOf(encode(sender.makeHeartbeat(peer.node, now, wallTime)));
            const result<peer_message> decoded = decode(frame);
            receiver.receiveHeartbeat(self.node, std::get<heartbeat_message>(valueOf(decoded)), now, wallTime);
            bytes = frame.size();
        }
    });
    return { { "frame_bytes", bytes }, { "cpu_us_sent_and_received", total.microseconds / rounds } };
}

[[nodiscard]] nlohmann::json callCost()
{
    constexpr std::size_t rounds = 50'000;
    constexpr std::size_t bodyBytes = 256;
    call_request request;
    request.id = call_id { 1 };
    request.action = action_id { 2 };
    request.entry = "member_register.lookup";
    request.deadline = milliseconds { 1000 };
    request.contentType = "application/json";
    request.body = std::string(bodyBytes, 'x');
    call_answer answer;
    answer.id = call_id { 1 };
    answer.outcome = answered { 200, "application/json", request.body };
    answer.touched = { "member_register" };
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 0;
    const cost total = measureCost([&] {
        for (std::size_t round = 0; round < rounds; ++round) {
            const std::string requestFrame = valueOf(encode(request));
            const std::string answerFrame = valueOf(encode(answer));
            static_cast<void>(decode(requestFrame));
            static_cast<void>(decode(answerFrame));
            requestBytes = requestFrame.size() - bodyBytes;
            answerBytes = answerFrame.size() - bodyBytes;
        }
    });
    return { { "request_header_bytes", requestBytes }, { "answer_header_bytes", answerBytes },
        { "codec_cpu_us_both_ends", total.microseconds / rounds } };
}

} // namespace

static int measureAll()
{
    const nlohmann::json report = { { "member", memberCost() }, { "catalogue_entry", catalogueEntryCost() },
        { "key", keyCost() }, { "heartbeat", heartbeatCost() }, { "call", callCost() } };
    std::cout << report.dump(2) << "\n";
    return 0;
}

} // namespace knapweedcroft

int main() { return knapweedcroft::measureAll(); }
