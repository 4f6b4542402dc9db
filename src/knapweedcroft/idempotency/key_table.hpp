#ifndef KNAPWEEDCROFT_IDEMPOTENCY_KEY_TABLE_HPP
#define KNAPWEEDCROFT_IDEMPOTENCY_KEY_TABLE_HPP

#include "knapweedcroft/core/call_result.hpp"
#include "knapweedcroft/idempotency/settings.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace knapweedcroft {

/** @brief The key was new and is now reserved; the caller of `admit` must run the call and resolve the key. */
struct run_key { };

/** @brief A call with this key is already reserved or running; its result also answers this call. */
struct join_key { };

/** @brief The result for this key is already known. */
struct replay_key {
    call_result outcome;
};

/** @brief The call must not run on this node. */
struct refuse_key {
    refused_not_run refusal;
};

/** @brief Decision on a call with an idempotency key. */
using key_decision = std::variant<run_key, join_key, replay_key, refuse_key>;

/** @brief Effect of resolving a key. */
enum class resolve_outcome : std::uint8_t {
    recorded,
    removed, /*!< The call did not run; the key can be used again. */
    handed_over, /*!< Another node now holds the key; the result must be forwarded to it. */
    not_known
};

/** @brief Deduplicates calls by idempotency key and stores each result for the window of its key. */
class key_table {
public:
    explicit key_table(const idempotency_settings& settings);

    /**
     * @brief Decides how to handle a call, and reserves its key if the call must run.
     * @param entry Name of the catalogue entry; a call with the same key but another entry is refused.
     * @param bodyHash Hash of the request body; a call with the same key but another hash is refused.
     * @param window Time for which the result is kept.
     * @param now Monotonic time.
     */
    [[nodiscard]] key_decision admit(
        const std::string& key, const std::string& entry, std::uint64_t bodyHash, milliseconds window, time_point now);

    /** @brief Marks a reserved key as running; has no effect on a key in any other state. */
    void markRunning(const std::string& key);

    /**
     * @brief Stores the result of a reserved or running call; a stored result is never overwritten.
     * @param outcome Result of the call; `refused_not_run` removes the key.
     * @param now Monotonic time.
     */
    resolve_outcome resolve(const std::string& key, const call_result& outcome, time_point now);

    /**
     * @brief Imports a key from another node, or the later result of a key that was imported while its call ran.
     *
     * Imports may exceed `maxKeys`, since dropping a key would allow its call to run again.
     * @param now Monotonic time.
     */
    void importRecord(const key_record& record, time_point now);

    /**
     * @brief Exports keys for a hand-over and marks them as handed over, so that they are no longer admitted here.
     *
     * A reserved key is exported as running, since its call may still be dispatched from this node.
     * @param isMoved Selects the keys to export.
     * @param now Monotonic time.
     * @return Records of the exported keys, ordered by key.
     */
    [[nodiscard]] std::vector<key_record> exportMoved(
        const std::function<bool(const std::string&)>& isMoved, time_point now);

    /**
     * @brief Removes expired keys.
     * @param now Monotonic time.
     */
    void expire(time_point now);

    /** @brief Checks whether the table stores the state of a key; false for keys that were handed over. */
    [[nodiscard]] bool contains(const std::string& key) const;

    /** @brief Returns the number of keys, including those handed over. */
    [[nodiscard]] std::size_t size() const noexcept { return m_slots.size(); }

    /** @brief Returns the total size of the stored answer bodies in bytes. */
    [[nodiscard]] std::size_t answerBytes() const noexcept { return m_answerBytes; }

private:
    enum class slot_state : std::uint8_t { reserved, running, running_elsewhere, done, handed_over };

    using expiry_index = std::multimap<time_point, const std::string*>;

    struct slot {
        std::string entry;
        std::uint64_t bodyHash = 0;
        milliseconds window;
        slot_state state = slot_state::reserved;
        call_result outcome;
        bool isBodyDropped = false; /*!< The answer body did not fit into `maxAnswerBytes`. */
        std::optional<expiry_index::iterator> expiry; /*!< Absent while the call is reserved or running on this node. */
    };

    using slot_map = std::unordered_map<std::string, slot>;

    [[nodiscard]] key_decision decideExisting(
        const slot& stored, const std::string& entry, std::uint64_t bodyHash) const;
    [[nodiscard]] static call_result recordedOutcome(const slot& stored);
    [[nodiscard]] refused_not_run tableFullRefusal(time_point now) const;
    void storeOutcome(slot_map::iterator position, const call_result& outcome, time_point expiresAt);
    void expireAt(slot_map::iterator position, time_point expiresAt);
    void discardAnswer(slot& stored);
    void erase(slot_map::iterator position);

    idempotency_settings m_settings;
    slot_map m_slots;
    expiry_index m_expiries;
    std::size_t m_answerBytes = 0;
};

} // namespace knapweedcroft

#endif
