#ifndef KNAPWEEDCROFT_CATALOGUE_CATALOGUE_ENTRY_HPP
#define KNAPWEEDCROFT_CATALOGUE_CATALOGUE_ENTRY_HPP

#include "knapweedcroft/core/error.hpp"
#include "knapweedcroft/core/fwd.hpp"
#include "knapweedcroft/core/priority.hpp"
#include "knapweedcroft/core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedcroft {

/** @brief Values of a catalogue entry; the defaults apply to fields that a file omits. */
struct catalogue_entry_fields {
    service_name service; /*!< 1 to 64 of `A-Z a-z 0-9 _ -`. */
    std::string operation; /*!< 1 to 64 of `A-Z a-z 0-9 _ -`. */
    std::string owner; /*!< Organisation or team responsible for the entry; not blank, at most 128 bytes. */
    call_class importance = call_class::low;
    bool isIdempotent = false; /*!< If false, every call needs an idempotency key. */
    milliseconds deadline { 1000 }; /*!< 1 to 600,000 ms. */
    std::uint32_t retryBudget = 2; /*!< Retries per action; 0 to 16. */
    std::uint32_t maxSubCalls = 16; /*!< Sub-calls per call; 0 to 256. */
    std::uint32_t maxBodyBytes = 65536; /*!< Maximum size of a request body; 0 to 16 MiB. */
    milliseconds window { 600'000 }; /*!< Retention time of an idempotency key; 1,000 to 86,400,000 ms. */
    std::uint32_t maxConcurrency = 0; /*!< Concurrent calls per upstream; 0 to 100,000; 0 means unlimited. */
};

/** @brief How a reader handles unknown fields. */
enum class unknown_fields : std::uint8_t {
    refused, /*!< For files written by operators. */
    ignored /*!< For log records, which a later version may have written. */
};

/** @brief Catalogue entry of an operation: its owner, importance class and limits. */
class catalogue_entry {
public:
    /**
     * @brief Validates the values and creates an entry.
     * @return The entry, or an error that names the field.
     */
    [[nodiscard]] static result<catalogue_entry> create(catalogue_entry_fields fields);

    /**
     * @brief Reads and validates an entry from a JSON object.
     * @param context Name of the document, for error messages.
     * @return The entry, or an error that names the field.
     */
    [[nodiscard]] static result<catalogue_entry> fromJson(
        const nlohmann::json& object, std::string_view context, unknown_fields unknown);

    /** @brief Returns the entry as a JSON object with all of its fields. */
    [[nodiscard]] nlohmann::json toJson() const;

    /** @brief Returns the name, `service.operation`. */
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

    /** @brief Returns the service. */
    [[nodiscard]] const service_name& service() const noexcept { return m_fields.service; }

    /** @brief Returns the operation of the service. */
    [[nodiscard]] const std::string& operation() const noexcept { return m_fields.operation; }

    /** @brief Returns the organisation or team responsible for the entry. */
    [[nodiscard]] const std::string& owner() const noexcept { return m_fields.owner; }

    /** @brief Returns the importance class. */
    [[nodiscard]] call_class importance() const noexcept { return m_fields.importance; }

    /** @brief Returns whether a call may be executed more than once; otherwise it needs an idempotency key. */
    [[nodiscard]] bool isIdempotent() const noexcept { return m_fields.isIdempotent; }

    /** @brief Returns the time within which a call must be answered. */
    [[nodiscard]] milliseconds deadline() const noexcept { return m_fields.deadline; }

    /** @brief Returns the number of retries allowed per action in the whole call tree. */
    [[nodiscard]] std::uint32_t retryBudget() const noexcept { return m_fields.retryBudget; }

    /** @brief Returns the maximum number of sub-calls that one call may make. */
    [[nodiscard]] std::uint32_t maxSubCalls() const noexcept { return m_fields.maxSubCalls; }

    /** @brief Returns the maximum size of a request body in bytes. */
    [[nodiscard]] std::uint32_t maxBodyBytes() const noexcept { return m_fields.maxBodyBytes; }

    /** @brief Returns the time for which an idempotency key and its result are retained. */
    [[nodiscard]] milliseconds window() const noexcept { return m_fields.window; }

    /** @brief Returns the maximum number of concurrent calls per upstream; 0 means unlimited. */
    [[nodiscard]] std::uint32_t maxConcurrency() const noexcept { return m_fields.maxConcurrency; }

    /** @brief Returns the values, for creating a modified entry. */
    [[nodiscard]] const catalogue_entry_fields& fields() const noexcept { return m_fields; }

    friend bool operator==(const catalogue_entry& lhs, const catalogue_entry& rhs) noexcept;
    friend bool operator!=(const catalogue_entry& lhs, const catalogue_entry& rhs) noexcept { return !(lhs == rhs); }

private:
    explicit catalogue_entry(catalogue_entry_fields fields);

    std::string m_name;
    catalogue_entry_fields m_fields;
};

/** @brief Returns the name of the entry of an operation, `service.operation`. */
[[nodiscard]] std::string entryName(std::string_view service, std::string_view operation);

} // namespace knapweedcroft

#endif
