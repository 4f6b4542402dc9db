#include "knapweedcroft/control/text_table.hpp"

#include <algorithm>
#include <utility>

namespace knapweedcroft {

namespace internal {

static constexpr std::size_t columnGap = 2;

} // namespace internal

text_table::text_table(row headings) { m_rows.push_back(std::move(headings)); }

void text_table::add(row cells)
{
    // Text from the log must not inject escape sequences into the operator's terminal.
    const auto isControl
        = [](char character) { return static_cast<unsigned char>(character) < ' ' || character == 127; };
    for (std::string& cell : cells)
        std::replace_if(cell.begin(), cell.end(), isControl, '?');
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string text_table::format() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const row& cells : m_rows) {
        for (std::size_t column = 0; column < cells.size(); ++column)
            widths[column] = std::max(widths[column], cells[column].size());
    }
    std::string text;
    for (const row& cells : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            line += cells[column];
            line.append(widths[column] - cells[column].size() + internal::columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace knapweedcroft
