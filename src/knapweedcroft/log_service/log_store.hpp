#ifndef KNAPWEEDCROFT_LOG_SERVICE_LOG_STORE_HPP
#define KNAPWEEDCROFT_LOG_SERVICE_LOG_STORE_HPP

#include "knapweedcroft/core/time.hpp"
#include "knapweedcroft/log_service/settings.hpp"
#include "knapweedcroft/node/events.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief The record was stored. */
struct append_accepted {
    std::int64_t offset = 0;
};

/** @brief The limit of appends per second is reached; nothing was stored. */
struct append_throttled {
    milliseconds retryAfter; /*!< Time until the next append can be accepted. */
};

/** @brief The name of the stream or the record is not valid; nothing was stored. */
struct append_invalid {
    std::string message;
};

/** @brief The record is too large; nothing was stored. */
struct append_too_large {
    std::uint32_t maxBytes = 0;
};

/** @brief Result of an append. */
using append_result = std::variant<append_accepted, append_throttled, append_invalid, append_too_large>;

/** @brief Records of a stream in order of offset, and the range of offsets of the stream. */
struct log_page {
    std::int64_t first = 0; /*!< Oldest offset that is retained. */
    std::int64_t next = 0; /*!< Offset of the next record to be appended. */
    std::vector<log_record> records;
};

/** @brief The requested offset is no longer retained. */
struct page_trimmed {
    std::int64_t first = 0;
    std::int64_t next = 0;
};

/** @brief Result of a read. */
using read_result = std::variant<log_page, page_trimmed>;

/**
 * @brief In-memory streams that stand in for the platform's log.
 *
 * Offsets of a stream start at 0 and have no gaps. A stream is created by its first record.
 */
class log_store {
public:
    /**
     * @brief Constructs a log without streams.
     */
    explicit log_store(log_store_settings settings);

    /**
     * @brief Appends a record.
     * @param stream Name of the stream, 1 to 64 of `A-Z a-z 0-9 _ -`.
     * @param payload JSON text.
     * @param now Monotonic time, for the limit of appends per second.
     * @param wallNow Wall-clock time, stored with the record.
     * @return The offset, or the reason why nothing was stored.
     */
    [[nodiscard]] append_result append(
        const std::string& stream, std::string_view payload, time_point now, time_point wallNow);

    /**
     * @brief Reads records.
     * @param stream Name of the stream; a stream that does not exist reads as empty.
     * @param from Offset of the first record to return.
     * @param limit Maximum number of records.
     * @param wallNow Wall-clock time, for the retention.
     * @return The records, or `page_trimmed` if `from` is no longer retained.
     */
    [[nodiscard]] read_result read(const std::string& stream, std::int64_t from, std::size_t limit, time_point wallNow);

    /**
     * @brief Discards the oldest records of a stream.
     * @param before Records below this offset are discarded; may exceed the offset of the last record.
     */
    void trim(const std::string& stream, std::int64_t before);

    /** @brief Returns the offset of the next record to be appended to a stream. */
    [[nodiscard]] std::int64_t next(const std::string& stream) const;

    /** @brief Returns the first and next offsets of each stream. */
    [[nodiscard]] std::map<std::string, page_trimmed> offsets() const;

private:
    struct stream_data {
        std::int64_t first = 0;
        std::deque<log_record> records;
    };

    [[nodiscard]] static std::int64_t nextOffset(const stream_data& data) noexcept;
    static void discardOldest(stream_data& data) noexcept;
    void expire(stream_data& data, time_point wallNow) const;

    log_store_settings m_settings;
    std::map<std::string, stream_data> m_streams;
    std::deque<time_point> m_recentAppends; /*!< Times of the appends accepted in the last 1,000 ms. */
};

/** @brief Returns whether a stream name is valid: 1 to 64 of `A-Z a-z 0-9 _ -`. */
[[nodiscard]] bool isStreamName(std::string_view name) noexcept;

} // namespace knapweedcroft

#endif
