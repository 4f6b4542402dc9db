#ifndef KNAPWEEDCROFT_CONTROL_CHANGE_PUBLISHER_HPP
#define KNAPWEEDCROFT_CONTROL_CHANGE_PUBLISHER_HPP

#include "knapweedcroft/catalogue/catalogue_entry.hpp"
#include "knapweedcroft/catalogue/catalogue_state.hpp"
#include "knapweedcroft/catalogue/change_record.hpp"
#include "knapweedcroft/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace knapweedcroft {

/** @brief Change of a catalogue entry requested by an operator. */
struct change_request {
    std::string name; /*!< Name of the entry. */
    std::optional<catalogue_entry> entry; /*!< The new entry; if absent, the entry is removed. */
    std::optional<std::int64_t> baseVersion; /*!< Version that the change is based on; the current version if absent. */
    std::string operatorName;
    std::string changeId; /*!< Unique among all changes. */
};

/** @brief Step: read the stream to its end. */
struct read_stream {
    milliseconds delay; /*!< Time to wait before reading. */
};

/** @brief Step: append a record. */
struct append_change {
    std::string payload; /*!< JSON text. */
};

/** @brief Outcome of a change. */
enum class publish_verdict : std::uint8_t {
    accepted,
    unchanged, /*!< The entry already has the requested state; nothing was appended. */
    voided, /*!< The change was appended but has no effect. */
    rejected, /*!< The log or the catalogue does not allow the change; nothing was appended. */
    unavailable, /*!< The log did not store the change. */
    unknown /*!< The change may have been or may still be accepted; its record cannot be read back. */
};

/** @brief Returns the stable name of a verdict, in snake_case. */
[[nodiscard]] std::string_view toString(publish_verdict verdict) noexcept;

/** @brief Report on the outcome of a change. */
struct publish_report {
    publish_verdict verdict = publish_verdict::unavailable;
    std::string name;
    std::string changeId;
    std::int64_t version = noVersion; /*!< Version after the change, or the version that conflicts with it. */
    std::string message; /*!< Reason and remedy; empty if the change was accepted. */
};

/** @brief Next step of a publisher; the report is the last one. */
using publish_step = std::variant<read_stream, append_change, publish_report>;

/** @brief Result of an append, as relevant to the publisher. */
enum class append_reply : std::uint8_t {
    accepted,
    refused, /*!< Not stored; may be retried. */
    invalid, /*!< Not stored, and a retry would fail too. */
    unknown /*!< No response was received; the record may be in the log. */
};

/**
 * @brief State machine that publishes one change: reads its base version, appends it and reads back the outcome.
 *
 * After an append with an unknown result the stream is read again, and the append is retried only if the record is not
 * there. A duplicate of a record has no effect, so a duplicate that is stored late is harmless.
 */
class change_publisher {
public:
    explicit change_publisher(change_request request);

    /** @brief Returns the first step. */
    [[nodiscard]] publish_step begin() const;

    /**
     * @brief Continues after the stream was read to its end.
     * @param state The catalogue as of the end of the stream.
     * @return The next step.
     */
    [[nodiscard]] publish_step handleStreamRead(const catalogue_state& state);

    /**
     * @brief Continues after an append.
     * @param reply Result of the append.
     * @param detail Description of the failure, for the report.
     * @return The next step.
     */
    [[nodiscard]] publish_step handleAppendReply(append_reply reply, const std::string& detail);

    /** @brief Returns the report if publishing is abandoned now, for example because of a timeout. */
    [[nodiscard]] publish_report reportAbandoned() const;

    static constexpr std::uint32_t maxAppends = 8;

private:
    [[nodiscard]] publish_step prepareFirstAppend(const catalogue_state& state);
    [[nodiscard]] publish_step append();
    [[nodiscard]] publish_report report(publish_verdict verdict, std::int64_t version, std::string message) const;

    change_request m_request;
    std::string m_payload; /*!< Empty until the base version is known. */
    std::uint32_t m_appends = 0;
    bool m_mayBeStored = false;
    bool m_isStored = false;
    std::string m_detail;
};

} // namespace knapweedcroft

#endif
