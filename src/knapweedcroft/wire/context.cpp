#include "knapweedcroft/wire/context.hpp"

#include <charconv>
#include <optional>

namespace knapweedcroft {

namespace internal {

static constexpr std::int64_t maxDeadlineMs = 86'400'000;

// Parses `name=value` fields separated by semicolons, which must appear in a fixed order.
class context_reader {
public:
    explicit context_reader(std::string_view text)
        : m_rest { text }
    {
    }

    [[nodiscard]] std::string_view next(std::string_view prefix)
    {
        const std::size_t end = m_rest.find(';');
        const std::string_view field = m_rest.substr(0, end);
        m_rest = end == std::string_view::npos ? std::string_view {} : m_rest.substr(end + 1);
        m_hasMore = end != std::string_view::npos;
        if (field.substr(0, prefix.size()) != prefix)
            m_isValid = false;
        return m_isValid ? field.substr(prefix.size()) : std::string_view {};
    }

    [[nodiscard]] std::uint64_t hex(std::string_view prefix)
    {
        const std::optional<std::uint64_t> value = parseHex(next(prefix));
        m_isValid = m_isValid && value.has_value();
        return value.value_or(0);
    }

    [[nodiscard]] std::int64_t decimal(std::string_view prefix, std::int64_t maxValue)
    {
        const std::string_view digits = next(prefix);
        std::int64_t value = -1;
        const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        const bool isFullyParsed = parsed.ec == std::errc {} && parsed.ptr == digits.data() + digits.size();
        m_isValid = m_isValid && isFullyParsed && value >= 0 && value <= maxValue;
        return m_isValid ? value : 0;
    }

    [[nodiscard]] bool isComplete() const noexcept { return m_isValid && !m_hasMore; }

private:
    std::string_view m_rest;
    bool m_isValid = true;
    bool m_hasMore = true;
};

} // namespace internal

std::string formatContext(const call_context& context)
{
    const std::int64_t deadline = context.deadline.whole() > 0 ? context.deadline.whole() : 0;
    std::string text = "v1;node=";
    text.append(toHex(context.node.value()));
    text.append(";action=").append(toHex(context.action.value()));
    text.append(";call=").append(toHex(context.call.value()));
    text.append(";class=").append(std::to_string(static_cast<int>(context.importance)));
    text.append(";deadline=").append(std::to_string(deadline));
    text.append(";depth=").append(std::to_string(context.depth));
    return text;
}

result<call_context> parseContext(std::string_view text)
{
    internal::context_reader reader { text };
    const std::string_view afterVersion = reader.next("v1");
    call_context context;
    context.node = incarnation_id { reader.hex("node=") };
    context.action = action_id { reader.hex("action=") };
    context.call = call_id { reader.hex("call=") };
    context.importance = static_cast<call_class>(reader.decimal("class=", static_cast<std::int64_t>(call_class::low)));
    context.deadline = milliseconds { reader.decimal("deadline=", internal::maxDeadlineMs) };
    context.depth = static_cast<std::uint32_t>(reader.decimal("depth=", UINT32_MAX));
    if (!reader.isComplete() || !afterVersion.empty()) {
        return error { error_kind::malformed_context,
            "the header Knapweed-Context is malformed; copy it unchanged from the call that is being served" };
    }
    return context;
}

} // namespace knapweedcroft
