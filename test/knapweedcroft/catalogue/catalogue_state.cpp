#include "knapweedcroft/catalogue/catalogue_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace knapweedcroft {

[[nodiscard]] static catalogue_entry makeEntry(const std::string& operation, std::int64_t deadline)
{
    catalogue_entry_fields fields;
    fields.service = "home_visits";
    fields.operation = operation;
    fields.owner = "hyggesnak";
    fields.deadline = milliseconds { deadline };
    return valueOf(catalogue_entry::create(fields));
}

[[nodiscard]] static std::string change(const std::string& id, std::int64_t base, std::int64_t deadline)
{
    return formatRecord(change_record { id, "anna", base, "home_visits.book", makeEntry("book", deadline) });
}

[[nodiscard]] static std::string removal(const std::string& id, std::int64_t base)
{
    return formatRecord(change_record { id, "anna", base, "home_visits.book", std::nullopt });
}

[[nodiscard]] static log_record at(std::int64_t offset, std::string payload)
{
    return { offset, time_point { milliseconds { 1000 + offset } }, std::move(payload) };
}

/** @brief Applies records from offset 0 and returns the names of the outcomes, separated by spaces. */
[[nodiscard]] static std::string applyAll(catalogue_state& state, const std::vector<std::string>& payloads)
{
    std::string outcomeNames;
    std::int64_t offset = 0;
    for (const std::string& payload : payloads) {
        for (const change_outcome& outcome : state.apply(at(offset, payload))) {
            outcomeNames += outcomeNames.empty() ? "" : " ";
            outcomeNames += outcome.isAccepted() ? "accepted" : std::string { toString(outcome.voided->reason) };
        }
        ++offset;
    }
    return outcomeNames;
}

struct reducer_case {
    const char* name;
    std::vector<std::string> payloads;
    const char* expectedOutcomes;
    std::int64_t version; /*!< Final version of home_visits.book. */
    std::int64_t deadline; /*!< Final deadline in ms; 0 if there is no entry. */
};

class reducer_test : public testing::TestWithParam<reducer_case> { };

// Guards against changes that are lost, applied twice, or accepted although a concurrent change came first.
TEST_P(reducer_test, DecidesByBaseVersion)
{
    catalogue_state state;
    EXPECT_EQ(applyAll(state, GetParam().payloads), GetParam().expectedOutcomes);
    EXPECT_EQ(state.version("home_visits.book"), GetParam().version);
    const catalogue_entry* entry = state.find("home_visits", "book");
    EXPECT_EQ(entry == nullptr ? 0 : entry->deadline().whole(), GetParam().deadline);
    EXPECT_EQ(state.nextOffset(), static_cast<std::int64_t>(GetParam().payloads.size()));
}

INSTANTIATE_TEST_SUITE_P(Table, reducer_test,
    testing::Values(reducer_case { "First", { change("a", -1, 10) }, "accepted", 0, 10 },
        reducer_case { "Second", { change("a", -1, 10), change("b", 0, 20) }, "accepted accepted", 1, 20 },
        reducer_case { "TwoOperators", { change("a", -1, 10), change("b", 0, 20), change("c", 0, 30) },
            "accepted accepted version_conflict", 1, 20 },
        reducer_case {
            "TwoOperatorsCreate", { change("a", -1, 10), change("b", -1, 20) }, "accepted version_conflict", 0, 10 },
        reducer_case { "Duplicate", { change("a", -1, 10), change("a", -1, 10) }, "accepted duplicate", 0, 10 },
        reducer_case { "DuplicateLater", { change("a", -1, 10), change("b", 0, 20), change("a", -1, 10) },
            "accepted accepted duplicate", 1, 20 },
        reducer_case { "DuplicateOfVoid", { change("a", -1, 10), change("b", -1, 20), change("b", -1, 20) },
            "accepted version_conflict duplicate", 0, 10 },
        reducer_case { "Removal", { change("a", -1, 10), removal("b", 0) }, "accepted accepted", 1, 0 },
        reducer_case { "StaleAfterRemoval", { change("a", -1, 10), removal("b", 0), change("c", 0, 20) },
            "accepted accepted version_conflict", 1, 0 },
        reducer_case { "CreateAfterRemoval", { change("a", -1, 10), removal("b", 0), change("c", 1, 20) },
            "accepted accepted accepted", 2, 20 },
        reducer_case { "CreateAsIfNew", { change("a", -1, 10), removal("b", 0), change("c", -1, 20) },
            "accepted accepted version_conflict", 1, 0 },
        reducer_case { "Malformed",
            { "{", "7", R"({"type":"other"})", R"({"type":"change","change_id":"a"})", change("b", -1, 10) },
            "malformed malformed malformed malformed accepted", 4, 10 },
        reducer_case { "OtherNameInside",
            { formatRecord(change_record { "a", "anna", -1, "home_visits.book", makeEntry("list", 10) }) }, "malformed",
            -1, 0 },
        reducer_case { "ForgedSnapshot",
            { change("a", -1, 10),
                R"({"type":"snapshot","up_to":9,"versions":[{"name":"home_visits.book","version":8,)"
                R"("change_id":"x","operator":"x","time_ms":0,"entry":null}]})" },
            "accepted", 0, 10 }),
    [](const testing::TestParamInfo<reducer_case>& parameter) { return std::string { parameter.param.name }; });

// Guards against nodes that reject records written by a later version.
TEST(CatalogueState, IgnoresUnknownFieldsOfRecords)
{
    std::string payload = change("a", -1, 10);
    payload.insert(1, R"("added_later":1,)");
    catalogue_state state;
    EXPECT_EQ(applyAll(state, { payload }), "accepted");
}

// Guards against losing the outcome of a change that an operator asks for.
TEST(CatalogueState, FindsOutcomeByChangeId)
{
    catalogue_state state { 2 };
    EXPECT_EQ(applyAll(state, { change("a", -1, 10), change("b", -1, 20), change("a", -1, 10) }),
        "accepted version_conflict duplicate");
    ASSERT_EQ(state.history().size(), 2U);
    ASSERT_NE(state.outcomeOf("b"), nullptr);
    EXPECT_NE(state.outcomeOf("b")->voided->message.find("has version 0"), std::string::npos);
    EXPECT_EQ(state.outcomeOf("b")->operatorName, "anna");
    EXPECT_EQ(state.outcomeOf("other"), nullptr);
}

// Guards against accepting or rejecting changes while the versions that they are based on are unknown.
TEST(CatalogueState, HoldsRecordsBackUntilSnapshotClosesGap)
{
    catalogue_state writer;
    EXPECT_EQ(applyAll(writer, { change("a", -1, 10) }), "accepted");
    const std::string snapshot = writer.snapshot(); // includes offset 0
    catalogue_state reader;
    reader.skipTo(1);
    EXPECT_TRUE(reader.apply(at(1, change("b", -1, 20))).empty());
    EXPECT_TRUE(reader.hasGap());
    EXPECT_EQ(reader.find("home_visits.book"), nullptr);
    const std::vector<change_outcome> outcomes = reader.apply(at(2, snapshot));
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_FALSE(outcomes[0].isAccepted());
    EXPECT_FALSE(reader.hasGap());
    EXPECT_EQ(reader.version("home_visits.book"), 0);
    EXPECT_EQ(reader.nextOffset(), 3);
}

// Guards against a version that decreases when a lagging peer sends its snapshot.
TEST(CatalogueState, IgnoresStaleSnapshotOfPeer)
{
    catalogue_state writer;
    EXPECT_EQ(applyAll(writer, { change("a", -1, 10) }), "accepted");
    const std::string stale = writer.snapshot();
    EXPECT_EQ(writer.apply(at(1, change("b", 0, 20))).size(), 1U);
    EXPECT_TRUE(hasValue(writer.installSnapshot(stale)));
    EXPECT_EQ(writer.version("home_visits.book"), 1);
    EXPECT_EQ(writer.find("home_visits.book")->deadline(), milliseconds { 20 });
    EXPECT_FALSE(hasValue(writer.installSnapshot(change("c", 1, 30))));
    EXPECT_FALSE(hasValue(writer.installSnapshot("{")));
}

// Guards against closing the gap left by a trimmed log with a snapshot that does not cover it.
TEST(CatalogueState, StaleSnapshotDoesNotCloseGap)
{
    catalogue_state writer;
    EXPECT_EQ(applyAll(writer, { change("a", -1, 10) }), "accepted");
    catalogue_state reader;
    reader.skipTo(5);
    EXPECT_TRUE(hasValue(reader.installSnapshot(writer.snapshot())));
    EXPECT_TRUE(reader.hasGap());
    EXPECT_EQ(reader.version("home_visits.book"), 0);
    EXPECT_TRUE(reader.apply(at(5, change("b", 0, 20))).empty());
    EXPECT_EQ(reader.version("home_visits.book"), 0);
    EXPECT_EQ(reader.appliedOffset(), 1);
    EXPECT_EQ(reader.nextOffset(), 6);
}

/** @brief Generates a log of random changes, removals, duplicates, malformed records and valid snapshots. */
[[nodiscard]] static std::vector<std::string> randomLog()
{
    const int length = *rc::gen::inRange(1, 40);
    std::vector<std::string> log;
    catalogue_state writer;
    std::string olderSnapshot = writer.snapshot();
    for (int index = 0; index < length; ++index) {
        const int kind = *rc::gen::inRange(0, 10);
        const std::string operation = *rc::gen::element<std::string>("a", "b", "c");
        const std::string name = entryName("home_visits", operation);
        const std::string id = "id" + std::to_string(*rc::gen::inRange(0, 30));
        const bool isCurrentBase = *rc::gen::inRange(0, 3) > 0;
        const std::int64_t base = isCurrentBase ? writer.version(name) : *rc::gen::inRange(-1, length);
        if (kind == 0)
            log.push_back("{\"type\":\"change\"}");
        else if (kind == 1)
            log.push_back(writer.snapshot());
        else if (kind == 2)
            log.push_back(olderSnapshot);
        else if (kind == 3 && !log.empty())
            log.push_back(log[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(log.size())))]);
        else if (kind == 4)
            log.push_back(formatRecord(change_record { id, "anna", base, name, std::nullopt }));
        else
            log.push_back(formatRecord(change_record { id, "anna", base, name, makeEntry(operation, 1 + index) }));
        olderSnapshot = kind == 5 ? writer.snapshot() : olderSnapshot;
        (void)writer.apply(at(index, log.back()));
    }
    return log;
}

// Guards against nodes that enforce different catalogues (P8) because they read different parts of the log.
RC_GTEST_PROP(CatalogueStateProperty, ReadersOfSuffixesAgree, ())
{
    const std::vector<std::string> log = randomLog();
    const int size = static_cast<int>(log.size());
    const int start = *rc::gen::inRange(0, size + 1);
    const int snapshotAt = *rc::gen::inRange(start, size + 1);
    catalogue_state fullReader;
    catalogue_state suffixReader;
    suffixReader.skipTo(start);
    for (int offset = 0; offset < size; ++offset) {
        if (offset == snapshotAt)
            (void)suffixReader.installSnapshot(fullReader.snapshot());
        const std::int64_t previousVersion = suffixReader.version("home_visits.a");
        (void)fullReader.apply(at(offset, log[static_cast<std::size_t>(offset)]));
        if (offset >= start)
            (void)suffixReader.apply(at(offset, log[static_cast<std::size_t>(offset)]));
        RC_ASSERT(suffixReader.version("home_visits.a") >= previousVersion);
        for (const catalogue_state::versions_type::value_type& item : suffixReader.versions())
            RC_ASSERT(item.second.version <= fullReader.version(item.first));
        if (!suffixReader.hasGap() && offset >= start)
            RC_ASSERT(suffixReader.versions() == fullReader.versions());
    }
    if (snapshotAt < size)
        RC_ASSERT(!suffixReader.hasGap());
}

} // namespace knapweedcroft
