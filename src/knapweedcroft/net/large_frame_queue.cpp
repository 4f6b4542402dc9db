#include "knapweedcroft/net/large_frame_queue.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

void large_frame_queue::push(large_frame frame)
{
    m_bytes += frame.bytes.size();
    m_answerBytes += frame.kind == large_frame_kind::answer ? frame.bytes.size() : 0U;
    m_frames.push_back(std::move(frame));
}

void large_frame_queue::subtract(const large_frame& frame)
{
    m_bytes -= frame.bytes.size();
    m_answerBytes -= frame.kind == large_frame_kind::answer ? frame.bytes.size() : 0U;
}

std::optional<large_frame> large_frame_queue::pop()
{
    const auto position
        = std::find_if(m_frames.begin(), m_frames.end(), [](const large_frame& frame) { return !frame.isOffered; });
    if (position == m_frames.end())
        return std::nullopt;
    large_frame frame = std::move(*position);
    m_frames.erase(position);
    subtract(frame);
    return frame;
}

void large_frame_queue::grant(call_id call)
{
    for (large_frame& frame : m_frames) {
        if (frame.kind == large_frame_kind::answer && frame.call == call)
            frame.isOffered = false;
    }
}

std::vector<forward_answer_offer> large_frame_queue::offers() const
{
    std::vector<forward_answer_offer> offered;
    for (const large_frame& frame : m_frames) {
        if (frame.isOffered)
            offered.push_back({ frame.call, frame.bytes.size() });
    }
    return offered;
}

void large_frame_queue::erase(large_frame_kind kind, call_id call)
{
    const auto position = std::find_if(m_frames.begin(), m_frames.end(),
        [kind, call](const large_frame& frame) { return frame.kind == kind && frame.call == call; });
    if (position == m_frames.end())
        return;
    subtract(*position);
    m_frames.erase(position);
}

void large_frame_queue::append(large_frame_queue& other)
{
    for (large_frame& frame : other.m_frames)
        push(std::move(frame));
    other.clear();
}

void large_frame_queue::clear()
{
    m_frames.clear();
    m_bytes = 0;
    m_answerBytes = 0;
}

std::vector<call_id> large_frame_queue::requestedCalls() const
{
    std::vector<call_id> calls;
    for (const large_frame& frame : m_frames) {
        if (frame.kind == large_frame_kind::request)
            calls.push_back(frame.call);
    }
    return calls;
}

} // namespace knapweedcroft
