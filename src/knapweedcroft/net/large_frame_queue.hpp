#ifndef KNAPWEEDCROFT_NET_LARGE_FRAME_QUEUE_HPP
#define KNAPWEEDCROFT_NET_LARGE_FRAME_QUEUE_HPP

#include "knapweedcroft/core/ids.hpp"
#include "knapweedcroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief What a large frame carries. */
enum class large_frame_kind : std::uint8_t { request, answer };

/** @brief Encoded message that waits for its turn on a link. */
struct large_frame {
    large_frame_kind kind = large_frame_kind::request;
    call_id call;
    std::string bytes;
    bool isOffered = false; /*!< Must not be sent before the peer has granted it. */
};

/**
 * @brief Large frames that wait until a link has written what is before them, in the order in which they were added.
 *
 * Small messages pass them, so that neither pings nor short answers wait behind large bodies.
 */
class large_frame_queue {
public:
    /** @brief Appends a frame. */
    void push(large_frame frame);

    /** @brief Removes and returns the first frame that may be sent; nothing if there is none. */
    [[nodiscard]] std::optional<large_frame> pop();

    /** @brief Allows to send the answer to a call; ignored if it does not wait here. */
    void grant(call_id call);

    /** @brief Removes the frame of a call, if it waits here. */
    void erase(large_frame_kind kind, call_id call);

    /** @brief Appends all frames of another queue, which is empty afterwards. */
    void append(large_frame_queue& other);

    void clear();

    [[nodiscard]] bool empty() const noexcept { return m_frames.empty(); }

    /** @brief Returns the answers that the peer has not granted, as they were offered. */
    [[nodiscard]] std::vector<forward_answer_offer> offers() const;

    /** @brief Returns the calls whose requests wait, in their order. */
    [[nodiscard]] std::vector<call_id> requestedCalls() const;

    /** @brief Returns the bytes of all frames that wait. */
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    /** @brief Returns the bytes of the answers that wait. */
    [[nodiscard]] std::size_t answerBytes() const noexcept { return m_answerBytes; }

private:
    void subtract(const large_frame& frame);

    std::deque<large_frame> m_frames;
    std::size_t m_bytes = 0;
    std::size_t m_answerBytes = 0;
};

} // namespace knapweedcroft

#endif
