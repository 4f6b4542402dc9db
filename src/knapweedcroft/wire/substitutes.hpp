#ifndef KNAPWEEDCROFT_WIRE_SUBSTITUTES_HPP
#define KNAPWEEDCROFT_WIRE_SUBSTITUTES_HPP

#include "knapweedcroft/wire/messages.hpp"

#include <optional>
#include <string>

namespace knapweedcroft {

/** @brief What is known of a message that cannot be transferred. */
struct message_subject {
    std::string kind; /*!< Name of the kind on the wire. */
    std::optional<call_id> call; /*!< The call that it requests, grants or answers. */

    friend bool operator==(const message_subject& lhs, const message_subject& rhs)
    {
        return lhs.kind == rhs.kind && lhs.call == rhs.call;
    }
};

/** @brief Returns the kind of a message and its call. */
[[nodiscard]] message_subject subjectOf(const peer_message& message);

/** @brief Returns whether a message of this kind concerns one call, which waits for ever unless it is answered. */
[[nodiscard]] bool concernsCall(const message_subject& subject);

/**
 * @brief Answers a request that the node of the upstream cannot receive; it has not run.
 * @return The answer for the node that sent the request, or nothing if the subject is no request.
 */
[[nodiscard]] std::optional<peer_message> refuseUntransferred(const message_subject& subject);

/**
 * @brief Replaces an answer that the node of the caller cannot receive; the request may have run.
 * @return The answer for the node of the caller, or nothing if the subject answers no call.
 */
[[nodiscard]] std::optional<peer_message> failUntransferred(const message_subject& subject);

} // namespace knapweedcroft

#endif
